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
	// reachInterval is the interval between updates of the reach.
	reachInterval = 50 * time.Millisecond
	// reachTimeout is how recently another control instance must have answered to be reachable: the
	// duration of one call and a few round trips.
	reachTimeout = peerLongPoll + 100*time.Millisecond
)

// runReach keeps the reach up to date. Followers rely on it because they do not call every
// control instance themselves.
func (c *Controller) runReach(ctx context.Context) {
	for {
		next := c.computeReach()
		before := c.reach.Load()
		if !proto.Equal(before, next) {
			c.reach.Store(next)
		}
		if before.GetMajority() != next.GetMajority() {
			c.notifyWatchers()
		}
		if !wait.For(ctx, reachInterval) {
			return
		}
	}
}

func (c *Controller) computeReach() *fleetpb.Reach {
	out := &fleetpb.Reach{FailureDomains: []string{c.Self.GetFailureDomain()}, AllRelay: c.watch.AllRelay()}
	voters := c.State().GetVoters()
	reached := 0
	if register.ContainsStorage(voters, c.Self.GetStorage()) {
		reached++
	}
	for _, m := range c.watch.ControlInstances(reachTimeout) {
		if register.ContainsStorage(voters, m.GetStorage()) {
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
