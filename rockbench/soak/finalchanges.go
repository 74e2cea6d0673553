// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"rockbarrow.dev/platform/settings"
	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// retireWithin bounds the wait for the end of a retirement.
	retireWithin = 10 * time.Second
	// mostDisturbed is how many instances are disturbed as the final loss comes, within disturbSpread.
	mostDisturbed = 3
	disturbSpread = time.Second
	// successorAfter is the time from the end of a store for good to the start of its successor.
	successorAfter = 2 * time.Second
	// leastSlow in bytes is the least state over which links are slowed.
	leastSlow = 1 << 20
)

// changeStores retires and replaces stores, and waits until no disk counts as lost by it.
func (x *finalLoss) changeStores(ctx context.Context) {
	if x.shape.change == noStoreChange {
		return
	}
	if x.shape.change != storeReplaced {
		x.retireStore(ctx)
	}
	if x.shape.change != storeRetired {
		x.replaceStore(ctx)
	}
	wait.For(ctx, catchUp)
}

// retireStore empties a store and removes it.
func (x *finalLoss) retireStore(ctx context.Context) {
	in := x.fleet.stores[x.r.IntN(len(x.fleet.stores))]
	ctx, cancel := context.WithTimeout(ctx, retireWithin)
	defer cancel()
	begun := time.Now()
	if !x.fleet.operator.Retire(ctx, in.plan.Instance) {
		x.fleet.ledger.Count("retirements that were refused or took too long")
		return
	}
	x.remove(in)
	x.fleet.ledger.Count("retirements")
	x.tell("%s was retired after %v", in.plan.Instance, time.Since(begun).Round(time.Millisecond))
}

// remove ends a store for good.
func (x *finalLoss) remove(in *instance) {
	in.claimed.Lock()
	in.gone.Store(true)
	in.stop(syscall.SIGKILL)
	in.proxy.close()
	f := x.fleet
	f.setStores(slices.DeleteFunc(slices.Clone(f.stores), func(s *instance) bool { return s == in }))
	f.retired = append(f.retired, in)
}

// replaceStore ends a store for good and starts an empty one under another name later.
func (x *finalLoss) replaceStore(ctx context.Context) { x.replaceStoreAfter(ctx, successorAfter) }

func (x *finalLoss) replaceStoreAfter(ctx context.Context, after time.Duration) {
	in := x.fleet.stores[x.r.IntN(len(x.fleet.stores))]
	x.fleet.changing.Store(true)
	x.remove(in)
	next := x.newStore(in.plan)
	if next == nil {
		return
	}
	wait.For(ctx, after)
	x.fleet.restart(next)
	x.tell("%s has replaced %s", next.plan.Instance, in.plan.Instance)
	x.fleet.ledger.Count("stores replaced")
}

// newStore makes a store in the failure domain of another one, which is not started.
func (x *finalLoss) newStore(plan settings.FileParams) *instance {
	f := x.fleet
	domain := slices.Index(plan.FailureDomains, plan.FailureDomain)
	n := newStores + x.number
	x.number++
	plan.Instance, plan.IP, plan.Bootstrap = fmt.Sprintf("store-%d-%d", domain, n), ip(domain, n), false
	plan.Seeds = f.someSeeds(x.r, nil)
	in, err := f.add(f.binary, plan, "store")
	if err != nil {
		f.ledger.AddViolation("%v", err)
		return nil
	}
	f.setStores(append(slices.Clone(f.stores), in))
	f.sides.add(in)
	if x.linkRate > 0 && x.shape.rounds > 0 {
		in.proxy.shared.Store(true)
		in.proxy.rate.Store(x.linkRate)
	}
	return in
}

// disturb stops, pauses, ends, replaces and adds some instances within a second before the loss. What is replaced is one of those whose disks
// are lost.
func (x *finalLoss) disturb(ctx context.Context) {
	if !x.shape.uncounted {
		return
	}
	x.fleet.changing.Store(true)
	if len(x.lost) > 0 && x.r.IntN(3) == 0 {
		x.replaceLost()
	}
	for range 1 + x.r.IntN(mostDisturbed) {
		x.disturbOne()
		wait.For(ctx, time.Duration(x.r.Int64N(int64(disturbSpread/mostDisturbed))))
	}
}

func (x *finalLoss) disturbOne() {
	f := x.fleet
	all := f.all()
	in := all[x.r.IntN(len(all))]
	kind := x.r.IntN(4)
	if kind == 3 {
		if added := x.newStore(f.stores[0].plan); added != nil {
			x.claim(added)
			f.restart(added)
			x.tell("%s is added", added.plan.Instance)
		}
		return
	}
	if slices.Contains(x.disturbed, in) {
		return
	}
	x.claim(in)
	x.tell("%s is %s", in.plan.Instance, []string{"paused", "stopping", "down"}[kind])
	switch kind {
	case 0:
		in.signal(syscall.SIGSTOP)
	case 1:
		in.expectEnd()
		in.signal(syscall.SIGTERM)
	case 2:
		in.stop(syscall.SIGKILL)
	}
}

// endStore ends a store other than a given instance until the final loss.
func (x *finalLoss) endStore(but *instance) {
	others := slices.DeleteFunc(slices.Clone(x.fleet.stores), func(s *instance) bool { return s == but })
	in := others[x.r.IntN(len(others))]
	x.fleet.changing.Store(true)
	x.claim(in)
	x.spared = append(x.spared, in)
	in.stop(syscall.SIGKILL)
	x.tell("%s is down", in.plan.Instance)
}

// awaitCopy waits until a store says that it has copied the records, after some bytes of its log. Until then its disk counts as lost.
func (x *finalLoss) awaitCopy(ctx context.Context, in *instance, logged int) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUp)
	defer cancel()
	for !bytes.Contains(in.logged()[logged:], []byte("all records of the view are copied")) {
		if !wait.For(ctx, holdTick) {
			return false
		}
	}
	return true
}

func (x *finalLoss) claim(in *instance) {
	in.claimed.Lock()
	x.disturbed = append(x.disturbed, in)
}

// replaceLost ends one of the instances whose disks are lost for good. Its successor starts with all others.
func (x *finalLoss) replaceLost() {
	f, old := x.fleet, x.lost[0]
	x.lost = x.lost[1:]
	var next *instance
	if old.role == "store" {
		x.remove(old)
		next = x.newStore(old.plan)
	} else {
		old.claimed.Lock()
		old.gone.Store(true)
		old.stop(syscall.SIGKILL)
		old.proxy.close()
		var err error
		if next, err = f.replacementOf(old, x.r); err != nil {
			f.ledger.AddViolation("%v", err)
			return
		}
		f.swapControl(old, next)
		next.plan.Seeds = f.someSeeds(x.r, nil)
	}
	if next == nil {
		return
	}
	x.claim(next)
	x.successors = append(x.successors, next)
	x.tell("%s is replaced by %s", old.plan.Instance, next.plan.Instance)
}

// slowLinks slows all answers of stores, so that a copy of all records takes slowCopy.
func (x *finalLoss) slowLinks() {
	if !x.shape.slowLinks {
		return
	}
	var most int64
	for _, s := range x.fleet.stores {
		most = max(most, sizeOf(s.plan.DataDir))
	}
	if most < leastSlow {
		return
	}
	took := slowCopy.Seconds()
	if x.shape.rounds > 0 {
		took = x.soak.cfg.CopySeconds
	}
	rate := int64(float64(most) / took)
	for _, s := range x.fleet.stores {
		s.proxy.shared.Store(x.shape.rounds > 0)
		s.proxy.rate.Store(rate)
	}
	x.linkRate = rate
	x.tell("the links of stores carry %d kB/s, for %d kB of records", rate>>10, most>>10)
}

// sizeOf returns the size of all files in a folder.
func sizeOf(dir string) (sum int64) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	for _, f := range files {
		if f.IsDir() {
			sum += sizeOf(filepath.Join(dir, f.Name()))
		} else if info, err := f.Info(); err == nil {
			sum += info.Size()
		}
	}
	return sum
}
