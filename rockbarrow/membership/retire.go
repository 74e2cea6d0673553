// SPDX-License-Identifier: MIT

package membership

import (
	"fmt"
	"slices"

	"rockbarrow.dev/schema/fleetpb"
)

// UnknownStoreError reports that no store has the given name.
type UnknownStoreError struct{ Name string }

func (e *UnknownStoreError) Error() string { return "membership: unknown store " + e.Name }

// StartingError reports that this control instance has not run long enough to have heard all stores.
type StartingError struct{ Name string }

func (e *StartingError) Error() string {
	return "membership: this control instance has just started and does not know whether store " + e.Name + " can be retired"
}

// TooFewStoresError reports that a store can't be retired without losing the fault tolerance.
type TooFewStoresError struct{ Remaining, Needed int }

func (e *TooFewStoresError) Error() string {
	return fmt.Sprintf("membership: %d stores would remain, %d are needed", e.Remaining, e.Needed)
}

// CheckRetire returns an error if a store can't be retired, because it is unknown or
// because too few stores would remain for a write quorum to survive the tolerated losses. The error is a [StartingError] if
// neither is certain.
// Only present stores count, or all members while silent ones can't count as lost.
func (p Planner) CheckRetire(s *fleetpb.State, name string) error {
	v := s.GetView()
	if slices.Contains(s.GetRetired(), name) || slices.Contains(v.GetLeaving(), name) {
		return nil
	}
	present := map[string]bool{}
	for _, peer := range p.Stores {
		present[peer.Member.GetInstance()] = p.isPresent(peer)
	}
	known := present[name]
	for _, m := range v.GetMembers() {
		known = known || m.GetInstance() == name
		if p.Uptime <= minUptime {
			present[m.GetInstance()] = true
		}
	}
	starting := p.Uptime <= minUptime
	if !known && starting {
		return &StartingError{Name: name}
	}
	if !known {
		return &UnknownStoreError{Name: name}
	}
	remaining := 0
	for instance, ok := range present {
		if ok && instance != name && !slices.Contains(v.GetLeaving(), instance) && !slices.Contains(s.GetRetired(), instance) {
			remaining++
		}
	}
	needed := p.minMembers()
	if remaining < needed && starting {
		return &StartingError{Name: name}
	}
	if remaining < needed {
		return &TooFewStoresError{Remaining: remaining, Needed: needed}
	}
	return nil
}
