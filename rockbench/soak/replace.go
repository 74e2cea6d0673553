// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// mostReplaced is how many control instances a run replaces at the most, and replacedNumber the number of the first replacement in its
	// failure domain.
	mostReplaced   = 2
	replacedNumber = 50
	// seedLag is how long settings may still name the instances of before.
	seedLag = 3 * time.Second
)

// replaceAlone replaces a control instance by an empty one with another name, at another address, which learns of the others
// from settings that may name instances that are gone. No other loss of a disk comes meanwhile.
func replaceAlone(in *instance) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return alone(func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		if in.role != "control" || len(f.replacedControls()) >= mostReplaced || !in.claimed.TryLock() {
			return
		}
		// It never comes back, and stays claimed.
		in.gone.Store(true)
		in.stop(syscall.SIGKILL)
		in.proxy.close()
		next, err := f.replacementOf(in, r)
		if err != nil {
			f.ledger.AddViolation("%v", err)
			return
		}
		next.claimed.Lock()
		defer next.claimed.Unlock()
		lag := min(last, seedLag)
		wait.For(ctx, time.Duration(r.Int64N(int64(lag)+1)))
		next.plan.Seeds = f.someSeeds(r, in)
		f.swapControl(in, next)
		f.restart(next)
		wait.For(context.WithoutCancel(ctx), lag)
		f.renewSeeds(r)
		wait.For(context.WithoutCancel(ctx), lossWait)
	})
}

// replacementOf makes the instance that comes in the place of another one. In half of the cases it takes over the address of one that is
// gone, which settings may still name.
func (f *fleet) replacementOf(in *instance, r *rand.Rand) (*instance, error) {
	gone := f.replacedControls()
	n := replacedNumber + len(gone)
	free := slices.DeleteFunc(append(gone, in), func(of *instance) bool {
		return slices.ContainsFunc(f.controls(), func(c *instance) bool { return c != in && c.plan.IP == of.plan.IP })
	})
	domain := slices.Index(in.plan.FailureDomains, in.plan.FailureDomain)
	plan := in.plan
	plan.Instance, plan.IP, plan.Bootstrap = fmt.Sprintf("control-%d-%d", domain, n), ip(domain, n), false
	if r.IntN(2) == 0 {
		of := free[r.IntN(len(free))].plan
		plan.IP, plan.FirstPort = of.IP, of.FirstPort
		f.ledger.Count("addresses taken over by another instance")
	}
	plan.OperatorAddress = fmt.Sprintf("%s:%d", plan.IP, plan.FirstPort+portSpan)
	return f.add(in.binary, plan, in.role)
}

// someSeeds draws the control instances that settings name, one of which may be gone already.
func (f *fleet) someSeeds(r *rand.Rand, gone *instance) []string {
	list := slices.Clone(f.controls())
	if gone != nil && !slices.Contains(list, gone) {
		list = append(list, gone)
	}
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var out []string
	for _, c := range list[:seeds] {
		out = append(out, c.plan.OperatorAddress)
	}
	return out
}

// replacedControls returns the control instances that others have replaced.
func (f *fleet) replacedControls() []*instance {
	f.controlMu.RLock()
	defer f.controlMu.RUnlock()
	return slices.Clone(f.replaced)
}

// swapControl puts a control instance in the place of another one.
func (f *fleet) swapControl(old, next *instance) {
	f.controlMu.Lock()
	list := slices.Clone(f.control)
	list[slices.Index(list, old)] = next
	f.control = list
	f.replaced = append(f.replaced, old)
	f.controlMu.Unlock()
	f.sides.add(next)
	f.operator.SetAddresses(f.operators())
}

// renewSeeds gives half of the instances settings with control instances of now, and tells half of these of it.
func (f *fleet) renewSeeds(r *rand.Rand) {
	for _, in := range f.all() {
		if r.IntN(2) == 0 || !in.claimed.TryLock() {
			continue
		}
		in.plan.Seeds = f.someSeeds(r, nil)
		if err := in.write(); err != nil {
			f.ledger.AddViolation("%v", err)
		}
		if r.IntN(2) == 0 {
			in.signal(syscall.SIGHUP)
		}
		in.claimed.Unlock()
	}
}
