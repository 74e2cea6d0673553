// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	"rockbarrow.dev/rockbench/agent"
	"rockbarrow.dev/rockbench/scene"
	"rockbarrow.dev/schema/configpb"
)

const (
	demoPrograms = 90
	demoAtOnce   = 18
	demoTime     = 55 * time.Second
)

// demo runs agent programs through eight daemons, kills an owner half way, and
// checks the promises.
func demo(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTime)
	defer cancel()
	s := &scene.Scene{Engines: 3, TLS: true, Seed: 1}
	defer s.Stop()
	start := time.Now()
	fmt.Fprintln(out, "building and starting 8 daemons in 3 failure domains, 9 engines, 6 services")
	if err := s.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "ready after %.1f s\n", time.Since(start).Seconds())
	records := &agent.Records{}
	d := &demoRun{scene: s, records: records, out: out}
	if err := d.load(ctx); err != nil {
		return err
	}
	verdicts := s.Check(ctx, records.All())
	report(out, s, records.All(), verdicts, time.Since(start))
	if err := ctx.Err(); err != nil {
		return err
	}
	return failed(verdicts, records.All())
}

// demoRun is the load of a demo.
type demoRun struct {
	scene   *scene.Scene
	records *agent.Records
	out     io.Writer
}

func (d *demoRun) load(ctx context.Context) error {
	bar := progressbar.NewOptions(demoPrograms, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("programs"), progressbar.OptionThrottle(200*time.Millisecond))
	defer bar.Finish()
	seats := make(chan struct{}, demoAtOnce)
	var wait sync.WaitGroup
	client := d.scene.Client()
	client.HTTP = agent.Transport(demoAtOnce)
	for n := range demoPrograms {
		select {
		case <-ctx.Done():
			wait.Wait()
			return ctx.Err()
		case seats <- struct{}{}:
		}
		switch n {
		case demoPrograms / 3:
			if err := d.change(ctx); err != nil {
				return err
			}
		case demoPrograms / 2:
			if err := d.kill(); err != nil {
				return err
			}
		case demoPrograms * 3 / 4:
			if err := d.restart(); err != nil {
				return err
			}
		}
		wait.Add(1)
		w := &worker{agent: d.agent(client, n), seats: seats, wait: &wait, bar: bar}
		go w.run(ctx)
	}
	wait.Wait()
	return nil
}

func (d *demoRun) agent(client *agent.Client, n int) *agent.Agent {
	p := scene.Programs[n%len(scene.Programs)]
	return &agent.Agent{
		Client: client, Records: d.records, Name: fmt.Sprintf("demo-%d", n), Seed: uint64(n),
		Shape: agent.Shape{
			Program: p.Name, Domains: p.Domains, Turns: 3 + n%4, Prompt: 60, Turn: 12,
			Pause: 40 * time.Millisecond, Child: n%5 == 0, Pairing: scene.Pairings, Tool: scene.Tools, Vanish: n%17 == 16,
		},
	}
}

// worker runs one agent and gives its seat back.
type worker struct {
	agent *agent.Agent
	seats chan struct{}
	wait  *sync.WaitGroup
	bar   *progressbar.ProgressBar
}

func (w *worker) run(ctx context.Context) {
	defer w.wait.Done()
	// The record keeps the error; the last table shows it.
	_ = w.agent.Run(ctx)
	<-w.seats
	_ = w.bar.Add(1)
}

// change makes a change of configuration under load and times it.
func (d *demoRun) change(ctx context.Context) error {
	start := time.Now()
	version, err := d.scene.Apply(ctx, &configpb.Command{Changes: []*configpb.Change{{
		Edit: &configpb.Change_PutModel{PutModel: &configpb.Model{Name: "tutor", Version: "2"}},
	}}})
	if err != nil {
		return err
	}
	if err := d.scene.WaitInForce(ctx, version); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\nversion %d in force on all 8 instances after %d ms\n", version, time.Since(start).Milliseconds())
	return nil
}

// kill kills an instance that owns a run under way.
func (d *demoRun) kill() error {
	const victim = "east-2"
	fmt.Fprintf(d.out, "\nkilling %s, which owns runs\n", victim)
	d.scene.Fleet.Find(victim).Kill()
	return nil
}

func (d *demoRun) restart() error {
	const victim = "east-2"
	fmt.Fprintf(d.out, "\nstarting %s again, which has forgotten all\n", victim)
	return d.scene.Fleet.Find(victim).Start(d.scene.Fleet.Binary)
}

// report prints the last table.
func report(out io.Writer, s *scene.Scene, records []*agent.Record, verdicts []scene.Verdict, took time.Duration) {
	programs, calls := s.Book.Counts()
	waste := s.Ledger.Waste()
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\nprograms\t%d finished of %d\n", programs, countPrograms(records))
	fmt.Fprintf(w, "calls\t%d answered, %d answers lost and asked for again\n", calls, s.Book.Losses())
	t, p := s.Book.Turns(), s.Book.Programs()
	fmt.Fprintf(w, "call latency\tp50 %d ms\tp95 %d ms\tp99 %d ms\n", t.P50.Milliseconds(), t.P95.Milliseconds(), t.P99.Milliseconds())
	fmt.Fprintf(w, "program latency\tp50 %d ms\tp95 %d ms\tp99 %d ms\n", p.P50.Milliseconds(), p.P95.Milliseconds(), p.P99.Milliseconds())
	fmt.Fprintf(w, "prompt tokens\t%d, of them %d cached\n", waste.Prompt, waste.Cached)
	fmt.Fprintf(w, "wasted cache\t%d computed again though held, %d evicted before reuse\n", waste.HeldElsewhere, waste.EvictedBeforeReuse)
	fmt.Fprintf(w, "refusals\t%v\n", s.Book.Refusals())
	for _, v := range verdicts {
		state := "kept"
		switch {
		case len(v.Broken) > 0:
			state = "BROKEN"
		case v.Checked == 0:
			state = "not tried"
		}
		fmt.Fprintf(w, "%s\t%s, %d checked\n", v.Promise, state, v.Checked)
	}
	fmt.Fprintf(w, "time\t%.1f s\n", took.Seconds())
	w.Flush()
	const most = 5
	for _, v := range verdicts {
		for _, b := range v.Broken[:min(most, len(v.Broken))] {
			fmt.Fprintf(out, "broken: %s: %s\n", v.Promise, b)
		}
	}
	for _, r := range records {
		if r.Err != nil {
			fmt.Fprintf(out, "failed: %v\n", r.Err)
		}
	}
}

func countPrograms(records []*agent.Record) int {
	n := 0
	for _, r := range records {
		if !r.Started.IsZero() {
			n++
		}
	}
	return n
}

// BrokenError says that promises were broken or programs failed.
type BrokenError struct {
	// Promises and Programs count them.
	Promises, Programs int
}

// Error describes the counts.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("%d promises were broken and %d programs failed", e.Promises, e.Programs)
}

func failed(verdicts []scene.Verdict, records []*agent.Record) error {
	e := &BrokenError{}
	for _, v := range verdicts {
		if len(v.Broken) > 0 {
			e.Promises++
		}
	}
	for _, r := range records {
		if r.Err != nil {
			e.Programs++
		}
	}
	if e.Promises+e.Programs > 0 {
		return e
	}
	return nil
}
