// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/confighistory"
)

const (
	// eventsBuffer is how many events may wait; more are dropped.
	eventsBuffer = 64
	// closeBehind is the most by which most faults come after their event, and farBehind that of the others, which come around the
	// end of the time in which a change must be in force.
	closeBehind = 400 * time.Millisecond
	farBehind   = 2 * confighistory.ApplyWithin
	// farEvery is how many faults there are for one of the latter, and passEvery how many events for one without a fault.
	farEvery, passEvery = 6, 2
	// mostReactions is how many faults that follow events may last at a time.
	mostReactions = 2
)

// eventKind is a kind of event.
type eventKind int

const (
	// changeSent is the moment at which an operator begins to send a change, and changeAcknowledged that at which it learns that
	// an instance acknowledged it.
	changeSent eventKind = iota
	changeAcknowledged
	// started is the moment at which a process was started.
	started
)

// String names an event in reports.
func (k eventKind) String() string {
	return []string{"a change is sent to", "a change is acknowledged by", "a process is started of"}[k]
}

// event is something that happened at an instance.
type event struct {
	kind     eventKind
	instance *instance
}

// reactor brings faults right after events, at the instances that they happened at. Faults at random moments seldom meet the
// tenths of a second in which a change is on its way.
type reactor struct {
	soak  *soak
	r     *rand.Rand
	scope scope
	// domain is the failure domain that they meet if that is their scope.
	domain string
}

// loop ends with ctx and the faults under way.
func (x *reactor) loop(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, mostReactions)
	for {
		var e event
		select {
		case <-ctx.Done():
			return
		case e = <-x.soak.fleet.events:
		}
		seed := x.r.Uint64()
		if e.kind == started && e.instance.role == "control" {
			w := &visitor{fleet: x.soak.fleet, instance: e.instance, r: rand.New(rand.NewPCG(seed, 0))}
			running.Go(func() { w.run(ctx) })
		}
		if x.r.IntN(passEvery) == 0 || x.scope == oneDomain && e.instance.plan.FailureDomain != x.domain {
			continue
		}
		select {
		case slots <- struct{}{}:
			running.Go(func() {
				defer func() { <-slots }()
				x.react(ctx, e, rand.New(rand.NewPCG(seed, 1)))
			})
		default:
		}
	}
}

// react brings a fault after an event.
func (x *reactor) react(ctx context.Context, e event, r *rand.Rand) {
	list := x.faults(e.instance)
	f := list[r.IntN(len(list))]
	after := time.Duration(r.Int64N(int64(closeBehind)))
	if r.IntN(farEvery) == 0 {
		after = time.Duration(r.Int64N(int64(farBehind)))
	}
	last := time.Duration(r.Int64N(int64(mostLasting)))
	if !wait.For(ctx, after) {
		return
	}
	fmt.Fprintf(x.soak.cfg.Out, "%6.2f s  %s for %d ms, %d ms after %s %s\n",
		time.Since(x.soak.start).Seconds(), f, last.Milliseconds(), after.Milliseconds(), e.kind, e.instance.plan.Instance)
	x.soak.fleet.ledger.Count("faults at events")
	f.run(ctx, x.soak.fleet, r, last)
}

// faults are those that may follow an event at an instance.
func (x *reactor) faults(in *instance) []fault {
	if x.scope == onlyCuts {
		return append([]fault{{"cut it off from the others", cutOff(in)}}, cuts...)
	}
	only := func(*fleet) []*instance { return []*instance{in} }
	domain := func(f *fleet) []*instance {
		return slices.DeleteFunc(f.all(), func(o *instance) bool { return o.plan.FailureDomain != in.plan.FailureDomain })
	}
	out := []fault{
		{"kill it", killOne(only)},
		{"its power is lost", endAll(only, powerLost)},
		{"pause it", pauseOne(only)},
		{"stop it", stopOne(only)},
		{"its links are slow", linkOf(delay, only)},
		{"its links are silent", linkOf(silence, only)},
		{"its answers are cut off", linkOf(oneWay, only)},
		{"its links are reset", linkOf(reset, only)},
		{"power of its failure domain is lost", endAll(domain, powerLost)},
	}
	if in.role != "entry" {
		out = append(out, fault{"cut it off from the others", cutOff(in)}, fault{"wipe it", wipeAlone(in)},
			fault{"its disk stalls", stallDisk(only, 0)}, fault{"its disk is slow", stallDisk(only, slowSync)})
	}
	if in.role == "control" {
		out = append(out, fault{"replace it", replaceAlone(in)}, fault{"the list is refused or late", troubleList})
	}
	if in.role == "entry" || x.scope == oneDomain {
		return out
	}
	return append(out,
		fault{"wipe it while all others lose power", wipeAmidLossAlone(in)},
		fault{"all control instances are killed", endAll((*fleet).controls, killed)},
		fault{"power is lost everywhere", endAll((*fleet).all, powerLost)},
		fault{"control is cut into halves", cutControl},
	)
}

// cutOff cuts an instance off from all others with disks.
func cutOff(in *instance) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, _ *rand.Rand, last time.Duration) {
		if !f.sides.cut([]*instance{in}) {
			return
		}
		defer f.sides.heal()
		wait.For(ctx, confighistory.ApplyWithin+last)
	}
}

// wipeAlone loses the disk of an instance unless another loss of a disk is under way.
func wipeAlone(in *instance) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return alone(wipeOne(func(*fleet) []*instance { return []*instance{in} }))
}

// wipeAmidLossAlone does the same while all others lose power.
func wipeAmidLossAlone(in *instance) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return alone(wipeAmidLoss(func(*fleet) []*instance { return []*instance{in} }))
}

// alone keeps losses of disks apart, as one is tolerated.
func alone(run func(context.Context, *fleet, *rand.Rand, time.Duration)) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		if !f.wiping.TryLock() {
			return
		}
		defer f.wiping.Unlock()
		run(ctx, f, r, last)
	}
}

// visitor sends all kinds of calls to a control instance that has just started, which may know nothing yet.
type visitor struct {
	fleet    *fleet
	instance *instance
	r        *rand.Rand
}

const (
	// visits is how many calls an instance that starts gets answers to, and visitWithin bounds the time for them. The first ones
	// come as soon as it listens: it is tried each visitInterval, and most calls after that follow within visitPause.
	visits        = 12
	visitWithin   = 3 * time.Second
	visitInterval = 2 * time.Millisecond
	visitPause    = 40 * time.Millisecond
)

func (v *visitor) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, visitWithin)
	defer cancel()
	o := newLossyOperator(v.fleet, v.r)
	o.quiet = true
	defer o.client.CloseIdleConnections()
	for answers := 0; answers < visits; {
		pause := visitInterval
		if v.visit(ctx, o) != 0 {
			answers++
			pause = time.Duration(v.r.Int64N(int64(visitPause)))
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// visit makes a call and returns its status, zero without an answer.
func (v *visitor) visit(ctx context.Context, o *lossyOperator) (status int) {
	switch v.r.IntN(4) {
	case 0:
		return o.sendInvalid(ctx, v.instance)
	case 1:
		return o.resend(ctx, v.instance)
	case 2:
		return o.sendNothing(ctx, v.instance)
	}
	return o.read(ctx, v.instance)
}
