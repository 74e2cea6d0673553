// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
)

// fault is one disturbance: it begins, lasts and ends.
type fault struct {
	name string
	run  func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration)
}

// lossWait is how long a wiped instance gets to copy what it lost before the next
// disk may be lost. A store here copies within about a second of its start; the
// duties of control look four times a second.
const lossWait = 5 * time.Second

// faults are all kinds but those that lose a disk.
var faults = []fault{
	{"pause a store", pauseOne(func(f *fleet) []*instance { return f.stores })},
	{"pause a control instance", pauseOne(func(f *fleet) []*instance { return f.control })},
	{"pause an entry", pauseOne(func(f *fleet) []*instance { return f.entries })},
	{"kill a store", endOne(syscall.SIGKILL, func(f *fleet) []*instance { return f.stores })},
	{"kill a control instance", endOne(syscall.SIGKILL, func(f *fleet) []*instance { return f.control })},
	{"kill an entry", endOne(syscall.SIGKILL, func(f *fleet) []*instance { return f.entries })},
	{"stop an entry", endOne(syscall.SIGTERM, func(f *fleet) []*instance { return f.entries })},
	{"stop a store", endOne(syscall.SIGTERM, func(f *fleet) []*instance { return f.stores })},
	{"slow links", link(delay)},
	{"silent links", link(silence)},
	{"answers cut off", link(oneWay)},
	{"reset links", link(reset)},
	{"lost answers", loseAnswers},
	{"an endpoint is replaced", replaceEndpoint},
	{"new settings", hangUp},
}

// diskFaults lose a disk. Two never come at once, as one loss is tolerated.
var diskFaults = []fault{
	{"wipe a store", wipeOne(func(f *fleet) []*instance { return f.stores })},
	{"wipe a control instance", wipeOne(func(f *fleet) []*instance { return f.control })},
}

type choose func(f *fleet) []*instance

// claim draws an instance that no other fault has, or returns nil.
func claim(r *rand.Rand, list []*instance) *instance {
	in := list[r.IntN(len(list))]
	if !in.claimed.TryLock() {
		return nil
	}
	return in
}

func pauseOne(from choose) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, from(f))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		in.signal(syscall.SIGSTOP)
		wait.For(ctx, last)
		in.signal(syscall.SIGCONT)
	}
}

func endOne(s syscall.Signal, from choose) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, from(f))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		in.stop(s)
		wait.For(ctx, last)
		f.restart(in)
	}
}

func wipeOne(from choose) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, from(f))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		in.stop(syscall.SIGKILL)
		if err := in.wipe(); err != nil {
			f.ledger.Break("%v", err)
		}
		wait.For(ctx, last)
		f.restart(in)
		wait.For(context.WithoutCancel(ctx), lossWait)
	}
}

// link spoils the way to one instance.
func link(m mode) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, append(append([]*instance(nil), f.control...), f.stores...))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		in.proxy.set(m)
		wait.For(ctx, last)
		in.proxy.set(pass)
	}
}

func loseAnswers(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	const perThousand = 60
	e := f.endpoint(r)
	e.LoseAnswers.Store(perThousand)
	wait.For(ctx, last)
	e.LoseAnswers.Store(0)
}

// replaceEndpoint lets one leave after another has come.
func replaceEndpoint(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	old := f.endpoint(r)
	if _, err := f.addEndpoint(old.Service, old.Domain); err != nil {
		f.ledger.Break("%v", err)
		return
	}
	old.Draining.Store(true)
	wait.For(ctx, last+2*time.Second)
	f.removeEndpoint(old)
	old.Close()
}

func hangUp(ctx context.Context, f *fleet, _ *rand.Rand, last time.Duration) {
	for _, in := range f.all() {
		in.signal(syscall.SIGHUP)
	}
	wait.For(ctx, last)
}

func (f *fleet) restart(in *instance) {
	if err := in.start(); err != nil {
		f.ledger.Break("%s was not started again: %v", in.plan.Instance, err)
	}
}

// String names a fault in reports.
func (f fault) String() string { return fmt.Sprintf("%q", f.name) }
