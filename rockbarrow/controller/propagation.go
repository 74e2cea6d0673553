// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// propagationTimeout bounds the wait for all other control instances to know a state. It is several round trips of a busy
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
// Unresponsive instances are waited for no longer than propagationTimeout, unless a tolerated loss of those that know it would leave
// none.
func (c *Controller) applyCommand(ctx context.Context, change register.Change) (*fleetpb.State, error) {
	s, err := c.Change(ctx, change)
	if err != nil {
		return nil, err
	}
	lagging, err := c.awaitPropagation(ctx, s)
	if err != nil {
		return nil, err
	}
	if len(lagging) > 0 {
		c.Log.WithFields(logrus.Fields{"state": s.GetNumber(), "config_version": s.GetConfiguration().GetVersion(), "control": lagging}).
			Warn("a change is acknowledged before these control instances know it")
	}
	return s, nil
}

// awaitPropagation returns the names of the control instances that do not know a state when the wait ends. It fails if too few
// others are known to know it when ctx ends.
func (c *Controller) awaitPropagation(ctx context.Context, s *fleetpb.State) ([]string, error) {
	timeout := time.NewTimer(propagationTimeout)
	defer timeout.Stop()
	waited := false
	for {
		known, changed := c.propagation.snapshot()
		var aware, lagging []*fleetpb.Member
		for _, m := range c.controlMembers(time.Now(), rankTimeout) {
			switch {
			case m.GetInstance() == c.Self.GetInstance():
			case known[m.GetInstance()] >= s.GetNumber():
				aware = append(aware, m)
			default:
				lagging = append(lagging, m)
			}
		}
		survives := c.survivesLoss(s, aware, lagging)
		if survives && (waited || len(lagging) == 0) {
			return instanceNames(lagging), nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			waited = true
		case <-ctx.Done():
			if survives {
				return instanceNames(lagging), nil
			}
			return nil, &UnavailableError{Cause: errors.New("too few other control instances are known to have learned of the change")}
		}
	}
}

// survivesLoss reports whether the tolerated losses, or that of the own failure domain, leave an instance that knows a
// state, given the other instances heard recently that know it and those that don't. None may be heard from other failure domains,
// as when a majority of the voters is cut off in the own one.
func (c *Controller) survivesLoss(s *fleetpb.State, aware, lagging []*fleetpb.Member) bool {
	elsewhere := func(m *fleetpb.Member) bool { return m.GetFailureDomain() != c.Self.GetFailureDomain() }
	wanted := min(c.FaultTolerance, len(s.GetVoters())/2)
	if len(aware) < wanted {
		return false
	}
	return wanted == 0 || slices.ContainsFunc(aware, elsewhere) || !slices.ContainsFunc(lagging, elsewhere)
}
