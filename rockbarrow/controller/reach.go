// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// reachTick is how often the reach of this instance is looked at.
	reachTick = 50 * time.Millisecond
	// reachedWithin is how lately another control instance must have answered to be reached: a call's length and
	// some round trips.
	reachedWithin = peerHold + 100*time.Millisecond
)

// runReach keeps what this instance tells its followers of the control instances that it reaches, which they can't all
// call themselves.
func (c *Controller) runReach(ctx context.Context) {
	for {
		next := c.findReach()
		before := c.reach.Load()
		if !proto.Equal(before, next) {
			c.reach.Store(next)
		}
		if before.GetMajority() != next.GetMajority() {
			c.publish()
		}
		if !wait.For(ctx, reachTick) {
			return
		}
	}
}

func (c *Controller) findReach() *fleetpb.Reach {
	out := &fleetpb.Reach{FailureDomains: []string{c.Self.GetFailureDomain()}, AllRelay: c.watch.AllRelay()}
	voters := c.State().GetVoters()
	reached := 0
	if register.Has(voters, c.Self.GetStorage()) {
		reached++
	}
	for _, m := range c.watch.ControlInstances(reachedWithin) {
		if register.Has(voters, m.GetStorage()) {
			reached++
		}
		if !slices.Contains(out.FailureDomains, m.GetFailureDomain()) {
			out.FailureDomains = append(out.FailureDomains, m.GetFailureDomain())
		}
	}
	slices.Sort(out.FailureDomains)
	out.Majority = 2*reached > len(voters)
	return out
}
