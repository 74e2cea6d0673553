// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// spreadTimeout bounds the wait for other control instances to know a state. It is several round trips of a busy instance,
// and leaves most of an operator's call.
const spreadTimeout = 200 * time.Millisecond

// spread tracks which states other control instances know.
type spread struct {
	mu sync.Mutex
	// known holds the number of the newest state that each instance has reported, by its name.
	known map[string]uint64
	// changed is closed and replaced when an instance reports another state.
	changed chan struct{}
}

// record notes the state that an instance reports. After a restart that is an older one.
func (s *spread) record(instance string, state uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = map[string]uint64{}
	}
	if s.known[instance] == state {
		return
	}
	s.known[instance] = state
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// reports returns what instances have reported, and a channel that is closed once that changes.
func (s *spread) reports() (map[string]uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return maps.Clone(s.known), s.changed
}

// order performs an operator's change. It returns once the outcome is chosen and the control instances that were heard
// recently know it, as whoever alone knows that a change is acknowledged may be lost right then. Instances that are silent are
// not waited for longer than spreadTimeout.
func (c *Controller) order(ctx context.Context, change register.Change) error {
	s, err := c.Change(ctx, change)
	if err != nil {
		return err
	}
	if lacking := c.awaitSpread(ctx, s.GetNumber()); len(lacking) > 0 {
		c.Log.WithFields(logrus.Fields{"state": s.GetNumber(), "config_version": s.GetConfiguration().GetVersion(), "control": lacking}).
			Warn("a change is acknowledged before these control instances know it")
	}
	return nil
}

// awaitSpread returns the control instances that do not know a state when the wait ends.
func (c *Controller) awaitSpread(ctx context.Context, state uint64) []string {
	timeout := time.NewTimer(spreadTimeout)
	defer timeout.Stop()
	for {
		known, changed := c.spread.reports()
		lacking := slices.DeleteFunc(instanceNames(c.controlMembers(time.Now(), rankTimeout)), func(name string) bool {
			return name == c.Self.GetInstance() || known[name] >= state
		})
		if len(lacking) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return lacking
		case <-ctx.Done():
			return lacking
		}
	}
}

// recordSpread notes the state that a control instance reports in a Watch call.
func (c *Controller) recordSpread(req *fleetpb.WatchRequest) {
	c.spread.record(req.GetSender().GetInstance(), req.GetStateNumber())
}
