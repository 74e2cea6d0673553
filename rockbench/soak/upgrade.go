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

// upgrader stops one instance after another, in an order drawn by lot, and starts it
// again with this build. Both versions work together meanwhile; half way all entry
// instances, of whichever version, have to route by the newest configuration.
type upgrader struct {
	soak *soak
	r    *rand.Rand
	// finish is when the soak ends, later than the faults.
	finish context.Context
}

func (u *upgrader) loop(ctx context.Context) {
	all := u.soak.fleet.all()
	u.r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	pause := u.soak.cfg.Last / time.Duration(len(all)+1)
	for i, in := range all {
		if i == len(all)/2 {
			u.soak.fleet.checkRoutes(u.finish)
		}
		wait.For(ctx, pause)
		// The last ones are upgraded also when the faults are over.
		u.upgrade(in)
	}
}

func (u *upgrader) upgrade(in *instance) {
	for !in.claimed.TryLock() {
		// One that another has replaced is never free again.
		if in.gone.Load() || !wait.For(u.finish, checkEvery) {
			return
		}
	}
	defer in.claimed.Unlock()
	fmt.Fprintf(u.soak.cfg.Out, "%6.2f s  %s is upgraded\n", time.Since(u.soak.start).Seconds(), in.plan.Instance)
	in.stop(syscall.SIGTERM)
	in.binary = u.soak.fleet.binary
	u.soak.fleet.restart(in)
}
