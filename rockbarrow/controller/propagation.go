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

// propagationTimeout bounds the wait for other control instances to know a state. It is several round trips of a busy
// instance, and leaves most of an operator's call.
const propagationTimeout = 200 * time.Millisecond

// propagation tracks the states known to other control instances.
type propagation struct {
	mu sync.Mutex
	// known holds the number of the newest state reported by each instance, by name.
	known map[string]uint64
	// changed is closed when an instance reports another state, and nil while nobody waits.
	changed chan struct{}
}

// record stores the state that an instance reports. After a restart it may be an older one.
func (p *propagation) record(instance string, state uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil {
		p.known = map[string]uint64{}
	}
	if p.known[instance] == state {
		return
	}
	p.known[instance] = state
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// snapshot returns the reported states, and a channel that is closed when one of them changes.
func (p *propagation) snapshot() (map[string]uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return maps.Clone(p.known), p.changed
}

// applyCommand applies an operator's change. It returns once the outcome is chosen and known to the control instances
// heard recently: if only this instance knew it, a failure right after the acknowledgement would delay it everywhere.
// Unresponsive instances are waited for no longer than propagationTimeout.
func (c *Controller) applyCommand(ctx context.Context, change register.Change) (*fleetpb.State, error) {
	s, err := c.Change(ctx, change)
	if err != nil {
		return nil, err
	}
	if lagging := c.awaitPropagation(ctx, s.GetNumber()); len(lagging) > 0 {
		c.Log.WithFields(logrus.Fields{"state": s.GetNumber(), "config_version": s.GetConfiguration().GetVersion(), "control": lagging}).
			Warn("a change is acknowledged before these control instances know it")
	}
	return s, nil
}

// awaitPropagation returns the names of the control instances that do not know a state when the wait ends.
func (c *Controller) awaitPropagation(ctx context.Context, state uint64) []string {
	timeout := time.NewTimer(propagationTimeout)
	defer timeout.Stop()
	for {
		known, changed := c.propagation.snapshot()
		lagging := slices.DeleteFunc(instanceNames(c.controlMembers(time.Now(), rankTimeout)), func(name string) bool {
			return name == c.Self.GetInstance() || known[name] >= state
		})
		if len(lagging) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return lagging
		case <-ctx.Done():
			return lagging
		}
	}
}
