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

// TooFewStoresError reports that a store can't be retired without losing the fault tolerance.
type TooFewStoresError struct{ Remaining, Needed int }

func (e *TooFewStoresError) Error() string {
	return fmt.Sprintf("membership: %d stores would remain, %d are needed", e.Remaining, e.Needed)
}

// CheckRetire returns an error if a store can't be retired, because it is unknown or
// because fewer stores than needed would remain.
func CheckRetire(s *fleetpb.State, present []Peer, name string, needed int) error {
	if slices.Contains(s.GetRetired(), name) || slices.Contains(s.GetView().GetLeaving(), name) {
		return nil
	}
	known, remaining := false, 0
	count := func(m *fleetpb.Member) {
		switch {
		case m.GetInstance() == name:
			known = true
		case !slices.Contains(s.GetView().GetLeaving(), m.GetInstance()):
			remaining++
		}
	}
	for _, m := range s.GetView().GetMembers() {
		count(m)
	}
	for _, p := range present {
		if !hasInstance(s.GetView().GetMembers(), p.Member.GetInstance()) {
			count(p.Member)
		}
	}
	if !known {
		return &UnknownStoreError{Name: name}
	}
	if remaining < needed {
		return &TooFewStoresError{Remaining: remaining, Needed: needed}
	}
	return nil
}
