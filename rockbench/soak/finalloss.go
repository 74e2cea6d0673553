// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// finalWithin bounds the time from the end of the faults until turns are continued after the final loss.
	finalWithin = 2 * time.Minute
	// catchUp is how long after its start a disk that was lost still counts as lost, the longest time of the platform's installations.
	catchUp = 6 * time.Second
	// calmBefore is how long nothing is disturbed before the final loss and what comes around it, calmSpread the most that is added.
	calmBefore, calmSpread = 5 * time.Second, 3 * time.Second
	// turnsWithin bounds the wait for enough turns.
	turnsWithin = 30 * time.Second
	// earlySpread is the most between a disk that still counts and the final loss.
	earlySpread = 4 * time.Second
	// absentAfter and absentSpread are the time from the end of its copy until another store goes down, mostly just before the change of the
	// stores' view ends.
	absentAfter, absentSpread = 250 * time.Millisecond, 200 * time.Millisecond
	// endsInterval is the pause between two endpoints that end by chance around the loss, endsBefore and endsAfter when they begin and stop.
	endsInterval, endsBefore, endsAfter = 400 * time.Millisecond, 2 * time.Second, 4 * time.Second
	// largeInput is the size of the input of large turns. Chains of longChain turns don't have them, as a history must fit into the cache
	// of an endpoint.
	largeInput = 10 << 10
	// longEvery is how many programs there are for one with a chain of longChain turns.
	longChain, longEvery = 30, 4
	// slowCopy is how long a copy of all records takes over slow links, less than catchUp.
	slowCopy = 4 * time.Second
)

// finalLoss ends a run: while turns are answered, all disks that may be lost are, the power of all others, or less, and all start again within a
// second. Turns that were answered whole before are continued then.
type finalLoss struct {
	soak  *soak
	fleet *fleet
	shape finalShape
	r     *rand.Rand
	// lost are instances whose disks the loss takes, successors those that come in their place under another name, not started yet.
	lost, successors []*instance
	// disturbed are claimed for what happens to them as the loss comes.
	disturbed []*instance
	// spared were lost before or are down.
	spared []*instance
	// linkRate is that of slow links in bytes a second, zero while links are as they are.
	linkRate int64
	// number counts the stores that came later.
	number int
	at     time.Time
}

func (s *soak) finalLoss(ctx context.Context) {
	x := &finalLoss{soak: s, fleet: s.fleet, shape: s.final, r: rand.New(rand.NewPCG(s.cfg.Seed, seedOfFinal+1))}
	x.run(ctx)
}

func (x *finalLoss) run(ctx context.Context) {
	x.tell("the final loss takes %v", x.shape)
	working, stop := context.WithCancel(ctx)
	defer stop()
	var programs, ends sync.WaitGroup
	for i := range x.soak.cfg.Programs {
		w := &worker{soak: x.soak, number: i, r: rand.New(rand.NewPCG(x.soak.cfg.Seed, seedOfFinal+100+uint64(i)))}
		programs.Go(func() { w.loopLast(working) })
	}
	wait.For(ctx, calmBefore+time.Duration(x.r.Int64N(int64(calmSpread))))
	x.awaitTurns(ctx)
	x.slowLinks()
	x.changeStores(ctx)
	x.playRounds(ctx)
	ending, endsOver := context.WithCancel(ctx)
	defer endsOver()
	if x.shape.endpointsEnd {
		ends.Go(func() { x.endEndpoints(ending) })
		wait.For(ctx, endsBefore)
	}
	losses := max(1, x.soak.cfg.Tolerance) - x.loseEarly(ctx)
	if x.soak.cfg.Operators > 0 {
		if err := x.fleet.deploy(ctx); err != nil {
			x.fleet.ledger.AddViolation("a configuration was not taken: %v", err)
		}
	}
	if x.shape.kind <= disksAlone {
		x.drawLost(losses)
	}
	x.disturb(ctx)
	x.lose()
	stop()
	programs.Wait()
	x.startAgain(ctx)
	time.AfterFunc(endsAfter, endsOver)
	if x.soak.cfg.Operators > 0 {
		ends.Go(func() { x.fleet.awaitRead(ctx) })
	}
	x.continueTurns(ctx)
	if x.shape.rounds > 0 {
		x.checkRecovery()
		x.checkAttempts()
	}
	ends.Wait()
	x.fleet.replacements.Wait()
}

// awaitTurns waits for enough turns to continue, which take longer on a busy machine.
func (x *finalLoss) awaitTurns(ctx context.Context) {
	for end := time.Now().Add(turnsWithin); time.Now().Before(end); {
		if len(x.fleet.ledger.TurnsSince(time.Now().Add(-continuedAge))) >= continued || !wait.For(ctx, checkEvery) {
			return
		}
	}
}

func (x *finalLoss) tell(format string, args ...any) {
	fmt.Fprintf(x.soak.cfg.Out, "%6.2f s  "+format+"\n", append([]any{time.Since(x.soak.start).Seconds()}, args...)...)
}

// loopLast runs one program after another until ctx ends, in the middle of whatever they do.
func (w *worker) loopLast(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		p := &standin.Program{
			Name: fmt.Sprintf("final%d-%d-%d", w.soak.cfg.Seed, w.number, n), Turns: 2 + w.r.IntN(6), Entries: w.soak.entries(),
			Host: host, TurnPath: "/turn/", OncePath: "/once/", RepeatPath: "/repeat/",
			Rand: w.r, Recorder: w.soak.fleet.ledger, Client: client,
		}
		p.Customer, p.Secret = w.soak.fleet.customers.of(w.number)
		w.branch(p)
		if w.r.IntN(longEvery) == 0 {
			p.Turns = longChain
		} else if w.soak.final.largeTurns {
			p.InputBytes = largeInput
		}
		p.Run(ctx)
	}
}

// loseEarly loses a disk some time before the others and returns how many disks that leaves fewer to lose.
func (x *finalLoss) loseEarly(ctx context.Context) (counted int) {
	if x.shape.early == noEarlyLoss {
		return 0
	}
	in := x.pool()[0]
	in.claimed.Lock()
	x.tell("the disk of %s is lost", in.plan.Instance)
	in.stop(syscall.SIGKILL)
	if err := in.wipe(); err != nil {
		x.fleet.ledger.AddViolation("%v", err)
	}
	wait.For(ctx, time.Duration(x.r.Int64N(int64(time.Second))))
	logged, begun := len(in.logged()), time.Now()
	x.fleet.restart(in)
	in.claimed.Unlock()
	x.spared = append(x.spared, in)
	if x.shape.absent && in.role == "store" && x.awaitCopy(ctx, in, logged) {
		wait.For(ctx, absentAfter+time.Duration(x.r.Int64N(int64(absentSpread))))
		x.endStore(in)
	}
	if x.shape.early == copiedLoss {
		wait.For(ctx, catchUp-time.Since(begun))
		return 0
	}
	wait.For(ctx, time.Duration(x.r.Int64N(int64(earlySpread))))
	return 1
}

// pool returns the instances whose disks may be lost, in any order.
func (x *finalLoss) pool() []*instance {
	var out []*instance
	if x.shape.roles != controlOnly {
		out = append(out, x.fleet.stores...)
	}
	if x.shape.roles != storesOnly {
		out = append(out, x.fleet.controls()...)
	}
	x.r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// drawLost draws the instances whose disks are lost, others than those that were lost before or are down if there are enough.
func (x *finalLoss) drawLost(n int) {
	list := x.pool()
	slices.SortStableFunc(list, func(a, b *instance) int { return x.rank(a) - x.rank(b) })
	x.lost = list[:min(n, len(list))]
}

// rank is greater for instances that were lost before or are down.
func (x *finalLoss) rank(in *instance) int {
	if slices.Contains(x.spared, in) {
		return 1
	}
	return 0
}

// endEndpoints has one endpoint after another end by chance.
func (x *finalLoss) endEndpoints(ctx context.Context) {
	r := rand.New(rand.NewPCG(x.soak.cfg.Seed, seedOfFinal+2))
	for wait.For(ctx, endsInterval) {
		crashEndpoint(ctx, x.fleet, r, 0)
	}
}

// lose ends the processes and takes disks and power.
func (x *finalLoss) lose() {
	all := x.fleet.all()
	if x.shape.kind == disksAlone {
		all = slices.Clone(x.lost)
	}
	for _, in := range all {
		if !slices.Contains(x.disturbed, in) {
			in.claimed.Lock()
			x.disturbed = append(x.disturbed, in)
		}
	}
	x.at = time.Now()
	for _, in := range all {
		in.expectEnd()
		in.signal(syscall.SIGKILL)
	}
	var names []string
	for _, in := range all {
		in.stop(syscall.SIGKILL)
		var err error
		switch {
		case slices.Contains(x.lost, in):
			names = append(names, in.plan.Instance)
			err = in.wipe()
		case x.shape.kind <= powerAlone && in.life() > 0:
			err = in.losePower(x.r)
		}
		if err != nil {
			x.fleet.ledger.AddViolation("%s: %v", in.plan.Instance, err)
		}
	}
	x.tell("final loss of %d instances, of the disks of %v, replaced are %d", len(all), names, len(x.successors))
}

// startAgain starts all that were lost within a second, in any order.
func (x *finalLoss) startAgain(ctx context.Context) {
	list := x.disturbed
	x.r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, in := range list {
		x.fleet.restart(in)
		in.claimed.Unlock()
		wait.For(ctx, time.Duration(x.r.Int64N(int64(time.Second)/int64(len(list)))))
	}
}

// newClient returns a client of entry instances.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: clientConns}}
}
