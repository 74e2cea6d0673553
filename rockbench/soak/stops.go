// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// stopsPause bounds the pause between two series of planned stops.
	stopsPause = 3 * time.Second
	// stopsSpread bounds the time between the first and the last of stops that overlap.
	stopsSpread = 3 * time.Second
	// signalSpread bounds the time from the stop signal to further ones, and hangUpBefore the time of a SIGHUP before it.
	signalSpread = 5 * time.Second
	hangUpBefore = 500 * time.Millisecond
	// downFor bounds the time from the end of a process to the next one.
	downFor = time.Second
)

// goPlanned starts planned stops in series, clients whose requests these may not lose, responses without end, and
// clients that don't behave.
func (s *soak) goPlanned(running *sync.WaitGroup, faulty, finish context.Context) {
	if s.cfg.Callers == 0 || s.cfg.Before != "" {
		// Instances of an earlier version lose such requests.
		return
	}
	for i := range uint64(s.cfg.Callers * len(s.fleet.entries)) {
		c := &caller{fleet: s.fleet, entry: s.fleet.entries[i%uint64(len(s.fleet.entries))], number: i, r: rand.New(rand.NewPCG(s.cfg.Seed, seedOfCallers+i))}
		running.Go(func() { c.loop(faulty, finish) })
	}
	x := &endless{fleet: s.fleet, r: rand.New(rand.NewPCG(s.cfg.Seed, seedOfEndless))}
	running.Go(func() { x.loop(faulty) })
	c := &crowds{fleet: s.fleet, r: rand.New(rand.NewPCG(s.cfg.Seed, seedOfCrowds))}
	running.Go(func() { c.loop(faulty) })
	entries := &stopper{soak: s, r: rand.New(rand.NewPCG(s.cfg.Seed, seedOfStops))}
	running.Go(func() { entries.loop(faulty, entries.stopEntries) })
	disks := &stopper{soak: s, r: rand.New(rand.NewPCG(s.cfg.Seed, seedOfStops+1))}
	running.Go(func() { disks.loop(faulty, disks.stopDisks) })
}

// stopper brings one series of planned stops after another.
type stopper struct {
	soak *soak
	r    *rand.Rand
}

func (s *stopper) loop(ctx context.Context, series func(context.Context)) {
	for wait.For(ctx, time.Duration(s.r.Int64N(int64(stopsPause)))) {
		series(ctx)
	}
}

// stopEntries stops up to half of the entry instances at once or within stopsSpread, some of them with further signals.
func (s *stopper) stopEntries(ctx context.Context) {
	entries := s.soak.fleet.entries
	chosen := s.r.Perm(len(entries))[:1+s.r.IntN((len(entries)+1)/2)]
	atOnce := s.r.IntN(2) == 0
	var stops []*plannedStop
	for _, i := range chosen {
		p := &plannedStop{fleet: s.soak.fleet, instance: entries[i], down: time.Duration(s.r.Int64N(int64(downFor)))}
		after := time.Duration(s.r.Int64N(int64(stopsSpread)))
		if !atOnce {
			p.after = after
		}
		again, hangUp, before := s.after(), s.after(), time.Duration(s.r.Int64N(int64(hangUpBefore)))
		const sometimes = 3
		if s.r.IntN(sometimes) == 0 {
			p.further = append(p.further, furtherSignal{after: again, signal: syscall.SIGTERM})
		}
		switch s.r.IntN(2 * sometimes) {
		case 0:
			p.further = append(p.further, furtherSignal{after: hangUp, signal: syscall.SIGHUP})
		case 1:
			p.hangUpBefore = before
		}
		stops = append(stops, p)
	}
	s.tell("stop %d entries, at once %v", len(stops), atOnce)
	var running sync.WaitGroup
	for _, p := range stops {
		running.Go(func() { p.run(ctx) })
	}
	running.Wait()
}

func (s *stopper) after() time.Duration { return time.Duration(s.r.Int64N(int64(signalSpread))) }

// stopDisks stops all stores or all control instances one after another.
func (s *stopper) stopDisks(ctx context.Context) {
	all, role := s.soak.fleet.stores, "stores"
	if s.r.IntN(2) == 0 {
		all, role = s.soak.fleet.controls(), "control instances"
	}
	order, down := s.r.Perm(len(all)), time.Duration(s.r.Int64N(int64(downFor)))
	s.tell("stop all %s in series, each down for %v", role, down)
	for _, i := range order {
		if ctx.Err() != nil {
			return
		}
		(&plannedStop{fleet: s.soak.fleet, instance: all[i], down: down}).run(ctx)
	}
}

func (s *stopper) tell(format string, args ...any) {
	fmt.Fprintf(s.soak.cfg.Out, "%6.2f s  "+format+"\n", append([]any{time.Since(s.soak.start).Seconds()}, args...)...)
}

// furtherSignal is one that a process gets some time after the stop signal, unless it has ended.
type furtherSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// plannedStop stops one instance and starts it again, unless a fault has it.
type plannedStop struct {
	fleet    *fleet
	instance *instance
	// after is when it begins, hangUpBefore how long before the stop signal SIGHUP is sent, zero for none.
	after, hangUpBefore time.Duration
	further             []furtherSignal
	// down is the time from its end to the next start.
	down time.Duration
}

func (p *plannedStop) run(ctx context.Context) {
	if !wait.For(ctx, p.after) || !p.instance.claimed.TryLockPlanned() {
		return
	}
	defer p.instance.claimed.Unlock()
	if p.hangUpBefore > 0 {
		p.instance.signal(syscall.SIGHUP)
		wait.For(ctx, p.hangUpBefore)
	}
	p.end()
	wait.For(ctx, p.down)
	p.fleet.restart(p.instance)
}

// end stops the process, which breaks a promise unless it ends within the grace period.
func (p *plannedStop) end() {
	in := p.instance
	if in.role == "entry" {
		p.fleet.checkMemory(in)
	}
	exited := in.expectEnd()
	begun := time.Now()
	in.signal(syscall.SIGTERM)
	p.fleet.ledger.Count("planned stops")
	for _, s := range p.further {
		t := time.AfterFunc(s.after, func() { in.signal(s.signal) })
		defer t.Stop()
	}
	// Time in which the machine was too busy to run the soak is not the process's.
	for left := grace * time.Second; left > 0; left = grace*time.Second + p.fleet.watchdog.stalled(begun, time.Now()) - time.Since(begun) {
		select {
		case <-exited:
			return
		case <-time.After(left):
		}
	}
	p.fleet.ledger.AddViolation("%s had not ended %v after SIGTERM and was killed", in.plan.Instance, time.Since(begun))
	in.stop(syscall.SIGKILL)
}
