// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/engine"
	"rockbarrow.dev/rockbarrow/settings"
	"rockbarrow.dev/rockbench/agent"
	"rockbarrow.dev/rockbench/fleet"
	"rockbarrow.dev/rockbench/scene"
	"rockbarrow.dev/schema/configpb"
)

// slope is a benchmark behind a row of docs/CAPACITY.md.
type slope struct {
	what, pkg, bench, time string
}

var slopeList = []slope{
	{"owner: one call, stepped, by calls before it", "owner", "Turn", "300x"},
	{"owner: memory of one run, by tokens", "owner", "RunMemory", "3x"},
	{"replica: memory of one copy, by tokens", "owner", "ReplicaMemory", "3x"},
	{"replica with a disk: one synced change, by writers", "disk", "Sync", "1s"},
	{"entry: one placement among 900 engines", "placement", "Choose", "1s"},
	{"all: one period of gossip, by instances of the domain", "roster", "Period", "300x"},
	{"all: one version into force, by share of the letter's document", "control", "Snapshot", "300x"},
	{"control voter: judging a whole document", "control", "Validate", "100x"},
}

// slopes runs all benchmarks behind docs/CAPACITY.md and measures eight daemons
// at rest, and prints one table.
func slopes(ctx context.Context, out io.Writer) error {
	for _, s := range slopeList {
		fmt.Fprintf(out, "\n%s\n", s.what)
		cmd := exec.CommandContext(ctx, "go", "test", "-run", "^$", "-bench", "^Benchmark"+s.bench+"$", "-benchtime", s.time, "rockbarrow.dev/rockbarrow/"+s.pkg)
		b, err := cmd.Output()
		if err != nil {
			return errors.Wrap(err, "slopes: "+s.bench)
		}
		for _, line := range strings.Split(string(b), "\n") {
			if strings.HasPrefix(line, "Benchmark") {
				fmt.Fprintln(out, " ", line)
			}
		}
	}
	return atRest(ctx, out)
}

// atRest measures what control costs eight idle daemons, and how fast a command
// comes into force.
func atRest(ctx context.Context, out io.Writer) error {
	s := &scene.Scene{Engines: 1, TLS: true, Seed: 1, Adjust: func(c *settings.Settings) { c.Log.Level = "warning" }}
	defer s.Stop()
	if err := s.Start(ctx); err != nil {
		return err
	}
	// The balancer's looks are no cost of the product.
	s.Balancer.Stop()
	s.Balancer = nil
	const watch = 10 * time.Second
	time.Sleep(2 * time.Second)
	cpu, lo, err := usage(s)
	if err != nil {
		return err
	}
	time.Sleep(watch)
	cpu2, lo2, err := usage(s)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	n := float64(len(s.Fleet.Instances()))
	fmt.Fprintf(w, "\neight daemons at rest for %v\n", watch)
	fmt.Fprintf(w, "  processor\t%.2f %% of a core each\n", 100*(cpu2-cpu).Seconds()/watch.Seconds()/n)
	fmt.Fprintf(w, "  network, stand-ins' polls included\t%.1f KB/s each\n", float64(lo2-lo)/watch.Seconds()/n/1000)
	fmt.Fprintf(w, "  memory\t%.1f MB each, resident\n", resident(s)/1e6)
	if err := inForce(ctx, w, s); err != nil {
		return err
	}
	return underLoad(ctx, out, s, (cpu2-cpu).Seconds()/watch.Seconds())
}

// underLoad pairs calls through the product with the same calls straight to an
// engine, and divides the daemons' processor time by the calls; rest is what
// they take together at rest, in cores.
func underLoad(ctx context.Context, out io.Writer, s *scene.Scene, rest float64) error {
	const pairs, turns = 60, 10
	s.Balancer = &fleet.Balancer{Fleet: s.Fleet}
	if err := s.Balancer.Start(); err != nil {
		return err
	}
	client := s.Client()
	through, direct := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	cpu, _, err := usage(s)
	if err != nil {
		return err
	}
	start := time.Now()
	for n := range pairs / turns {
		p := &pair{scene: s, client: client, engines: &http.Client{}, name: fmt.Sprintf("pair-%d", n), through: through, direct: direct}
		if err := p.run(ctx, turns); err != nil {
			return err
		}
	}
	cpu2, _, err := usage(s)
	if err != nil {
		return err
	}
	idle := rest * time.Since(start).Seconds()
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\n%d calls, each made through the product and straight to an engine\n", pairs)
	t, d := through.ValueAtQuantile(50), direct.ValueAtQuantile(50)
	fmt.Fprintf(w, "  median through and straight\t%.2f ms\t%.2f ms\tratio %.2f, added %.2f ms\n", float64(t)/1000, float64(d)/1000, float64(t)/float64(d), float64(t-d)/1000)
	t, d = through.ValueAtQuantile(95), direct.ValueAtQuantile(95)
	fmt.Fprintf(w, "  p95 through and straight\t%.2f ms\t%.2f ms\tratio %.2f, added %.2f ms\n", float64(t)/1000, float64(d)/1000, float64(t)/float64(d), float64(t-d)/1000)
	fmt.Fprintf(w, "  processor time of all daemons\t%.2f ms a call, rest taken off\n", 1000*((cpu2-cpu).Seconds()-idle)/pairs)
	return w.Flush()
}

// pair makes the calls of one run twice.
type pair struct {
	scene  *scene.Scene
	client *agent.Client
	name   string
	// engines calls an engine without the product.
	engines         *http.Client
	through, direct *hdrhistogram.Histogram
}

func (p *pair) run(ctx context.Context, turns int) error {
	run, err := p.client.Create(ctx, "coach", p.name, "", 0)
	if err != nil {
		return err
	}
	var history []agent.Message
	for n := 1; n <= turns; n++ {
		m := []agent.Message{{Role: "user", Content: fmt.Sprintf("%s call %d", p.name, n)}}
		start := time.Now()
		answer, err := p.client.Call(ctx, run.Run, "", agent.CallBody{Sequence: uint64(n), Messages: m, Repeatable: true})
		if err != nil {
			return err
		}
		_ = p.through.RecordValue(time.Since(start).Microseconds())
		history = append(history, m...)
		if err := p.straight(ctx, history); err != nil {
			return err
		}
		history = append(history, agent.Message{Role: "assistant", Content: answer.Content})
	}
	return p.client.End(ctx, run.Run)
}

// straight sends the same prompt to another engine of the same kind, whose cache
// holds as much.
func (p *pair) straight(ctx context.Context, history []agent.Message) error {
	body, err := json.Marshal(map[string]any{"model": "tutor", "messages": history, "max_tokens": 64, "stream": true})
	if err != nil {
		return errors.Wrap(err, "slopes: straight")
	}
	e := p.scene.EngineList[len(p.scene.EngineList)-1]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Address()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "slopes: straight")
	}
	req.Header.Set(engine.HeaderAttempt, p.name+"/0/0")
	start := time.Now()
	resp, err := p.engines.Do(req)
	if err != nil {
		return errors.Wrap(err, "slopes: straight")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "slopes: straight")
	}
	if err := p.direct.RecordValue(time.Since(start).Microseconds()); err != nil {
		return errors.Wrap(err, "slopes: straight")
	}
	return nil
}

// inForce times commands one after the other, and each until all have it.
func inForce(ctx context.Context, w *tabwriter.Writer, s *scene.Scene) error {
	const commands = 50
	start := time.Now()
	var version uint64
	for n := range commands {
		v, err := s.Apply(ctx, &configpb.Command{Changes: []*configpb.Change{{
			Edit: &configpb.Change_PutModel{PutModel: &configpb.Model{Name: "tutor", Version: strconv.Itoa(n)}},
		}}})
		if err != nil {
			return err
		}
		version = v
	}
	accepted := time.Since(start)
	if err := s.WaitInForce(ctx, version); err != nil {
		return err
	}
	fmt.Fprintf(w, "  commands, one after the other\t%.0f a second\n", commands/accepted.Seconds())
	fmt.Fprintf(w, "  last one in force on all 8 after\t%d ms\n", (time.Since(start) - accepted).Milliseconds())
	return w.Flush()
}

// usage returns the daemons' processor time and the bytes that crossed the
// loopback interface.
func usage(s *scene.Scene) (time.Duration, int64, error) {
	total := time.Duration(0)
	for _, in := range s.Fleet.Instances() {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", in.PID()))
		if err != nil {
			return 0, 0, errors.Wrap(err, "slopes: usage")
		}
		fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		const user, system, tick = 11, 12, 10 * time.Millisecond
		for _, i := range []int{user, system} {
			n, err := strconv.ParseInt(fields[i], 10, 64)
			if err != nil {
				return 0, 0, errors.Wrap(err, "slopes: usage")
			}
			total += time.Duration(n) * tick
		}
	}
	lo, err := loopback()
	return total, lo, err
}

func loopback() (int64, error) {
	f, err := os.Open("/proc/net/dev")
	if err != nil {
		return 0, errors.Wrap(err, "slopes: network")
	}
	defer f.Close()
	scan := bufio.NewScanner(f)
	for scan.Scan() {
		name, rest, ok := strings.Cut(strings.TrimSpace(scan.Text()), ":")
		if ok && name == "lo" {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, errors.New("slopes: no loopback interface")
}

func resident(s *scene.Scene) float64 {
	sum := 0.0
	for _, in := range s.Fleet.Instances() {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", in.PID()))
		if err != nil {
			continue
		}
		pages, err := strconv.ParseFloat(strings.Fields(string(b))[1], 64)
		if err != nil {
			continue
		}
		sum += pages * float64(os.Getpagesize())
	}
	return sum / float64(len(s.Fleet.Instances()))
}
