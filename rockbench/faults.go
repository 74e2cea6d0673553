// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"

	"rockbarrow.dev/rockbench/agent"
	"rockbarrow.dev/rockbench/scene"
	"rockbarrow.dev/rockbench/standin"
)

const (
	faultAgents = 16
	faultTime   = 7 * time.Minute
	readyTime   = 40 * time.Second
)

// trial is one fault under load.
type trial struct {
	name string
	run  func(context.Context, *scene.Scene) error
}

var trials = []trial{
	{"kill an owner without a disk, start it again", killAndStart("east-3")},
	{"kill an instance with a disk, start it again", killAndStart("west-1")},
	{"kill the control leader, start it again", killAndStart("east-1")},
	{"freeze an instance for 8 s", freeze("east-2", 8*time.Second)},
	{"cut a failure domain off for 8 s", cut("west", 8*time.Second)},
	{"answers lost at engines and services", answersLost},
	{"an engine hangs, another dies, a third leaves", engineTrouble},
	{"rolling restart of all instances", rolling},
}

// faults puts every trial under load and checks the promises at the end.
func faults(ctx context.Context, out io.Writer, only string) error {
	ctx, cancel := context.WithTimeout(ctx, faultTime)
	defer cancel()
	s := &scene.Scene{Engines: 3, TLS: true, Seed: 2}
	defer s.Stop()
	start := time.Now()
	if err := s.Start(ctx); err != nil {
		return err
	}
	load := &faultLoad{scene: s, records: &agent.Records{}}
	load.start(ctx)
	for _, t := range trials {
		if !strings.Contains(t.name, only) {
			continue
		}
		began := time.Now()
		before, _ := s.Book.Counts()
		if err := t.run(ctx, s); err != nil {
			load.stop()
			return err
		}
		if err := waitReady(ctx, s); err != nil {
			load.stop()
			return err
		}
		after, _ := s.Book.Counts()
		fmt.Fprintf(out, "%-50s %5.1f s, %d programs finished meanwhile, longest silence %.1f s\n", t.name, time.Since(began).Seconds(), after-before, load.silence().Seconds())
	}
	load.stop()
	records := load.records.All()
	verdicts := s.Check(ctx, records)
	report(out, s, records, verdicts, time.Since(start))
	return failed(verdicts, records)
}

func waitReady(ctx context.Context, s *scene.Scene) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	return s.Fleet.WaitReady(ctx)
}

func killAndStart(instance string) func(context.Context, *scene.Scene) error {
	return func(ctx context.Context, s *scene.Scene) error {
		in := s.Fleet.Find(instance)
		in.Kill()
		if err := wait(ctx, 6*time.Second); err != nil {
			return err
		}
		if err := in.Start(s.Fleet.Binary); err != nil {
			return err
		}
		return wait(ctx, 6*time.Second)
	}
}

func freeze(instance string, d time.Duration) func(context.Context, *scene.Scene) error {
	return func(ctx context.Context, s *scene.Scene) error {
		in := s.Fleet.Find(instance)
		in.Signal(syscall.SIGSTOP)
		err := wait(ctx, d)
		in.Signal(syscall.SIGCONT)
		return err
	}
}

func cut(domain string, d time.Duration) func(context.Context, *scene.Scene) error {
	return func(ctx context.Context, s *scene.Scene) error {
		if err := s.Fleet.CutDomain(domain); err != nil {
			return err
		}
		if err := wait(ctx, d); err != nil {
			return err
		}
		return s.Fleet.Heal()
	}
}

func answersLost(ctx context.Context, s *scene.Scene) error {
	for _, e := range s.EngineList {
		e.Fault(standin.EngineFaults{DropAfterRun: 0.1, Refuse: 0.1})
	}
	for _, v := range s.Services {
		v.Fault(standin.ServiceFaults{DropAfterRun: 0.2, Refuse: 0.1})
	}
	err := wait(ctx, 6*time.Second)
	for _, e := range s.EngineList {
		e.Fault(standin.EngineFaults{})
	}
	for _, v := range s.Services {
		v.Fault(standin.ServiceFaults{})
	}
	return err
}

func engineTrouble(ctx context.Context, s *scene.Scene) error {
	hanging, dying, leaving := s.EngineList[0], s.EngineList[1], s.EngineList[3]
	hanging.Fault(standin.EngineFaults{Hang: true})
	dying.Stop()
	leaving.Leave()
	if err := wait(ctx, 8*time.Second); err != nil {
		return err
	}
	hanging.Fault(standin.EngineFaults{})
	if err := dying.Start(); err != nil {
		return err
	}
	leaving.Stop()
	return leaving.Start()
}

// rolling stops and starts each instance once the one before is ready again.
func rolling(ctx context.Context, s *scene.Scene) error {
	for _, in := range s.Fleet.Instances() {
		in.Terminate()
		if err := in.Start(s.Fleet.Binary); err != nil {
			return err
		}
		if err := waitReady(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// faultLoad keeps agents busy until it is stopped.
type faultLoad struct {
	scene   *scene.Scene
	records *agent.Records
	halt    chan struct{}
	wait    sync.WaitGroup

	mu      sync.Mutex
	calls   int
	since   time.Time
	longest time.Duration
}

func (l *faultLoad) start(ctx context.Context) {
	l.halt = make(chan struct{})
	l.since = time.Now()
	client := l.scene.Client()
	client.HTTP = agent.Transport(faultAgents)
	client.Patience = 60 * time.Second
	for n := range faultAgents {
		l.wait.Add(1)
		go (&faultAgent{load: l, client: client, number: n}).loop(ctx)
	}
	go l.loop()
}

// loop measures how long no call at all was answered.
func (l *faultLoad) loop() {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-l.halt:
			return
		case now := <-t.C:
			_, calls := l.scene.Book.Counts()
			l.mu.Lock()
			if calls > l.calls {
				l.calls, l.since = calls, now
			}
			l.longest = max(l.longest, now.Sub(l.since))
			l.mu.Unlock()
		}
	}
}

// silence returns the longest silence since the last call of it.
func (l *faultLoad) silence() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.longest
	l.longest = 0
	return d
}

func (l *faultLoad) stop() {
	close(l.halt)
	l.wait.Wait()
}

// faultAgent runs one program after the other.
type faultAgent struct {
	load   *faultLoad
	client *agent.Client
	number int
}

func (a *faultAgent) loop(ctx context.Context) {
	defer a.load.wait.Done()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-a.load.halt:
			return
		default:
		}
		p := scene.Programs[(a.number+n)%len(scene.Programs)]
		one := &agent.Agent{
			Client: a.client, Records: a.load.records, Name: fmt.Sprintf("fault-%d-%d", a.number, n), Seed: uint64(1000*a.number + n),
			Shape: agent.Shape{
				Program: p.Name, Domains: p.Domains, Turns: 3 + n%5, Prompt: 40, Turn: 10,
				Pause: 60 * time.Millisecond, Child: n%6 == 0, Pairing: scene.Pairings, Tool: scene.Tools,
			},
		}
		// The record keeps the error; the last table shows it.
		_ = one.Run(ctx)
	}
}
