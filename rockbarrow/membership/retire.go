// SPDX-License-Identifier: MIT

package membership

import (
	"slices"

	"rockbarrow.dev/schema/fleetpb"
)

// UnknownStoreError says that no store has a name.
type UnknownStoreError struct{ Name string }

// Error names the store.
func (e *UnknownStoreError) Error() string { return "membership: no store is named " + e.Name }

// TooFewStoresError says that a store can't be emptied.
type TooFewStoresError struct{ Remaining, Needed int }

// Error describes the shortage.
func (e *TooFewStoresError) Error() string { return "membership: too few stores would be left" }

// CheckRetire returns why a store can't be emptied, or nil. So many must be left
// that the tolerated losses leave one.
func CheckRetire(s *fleetpb.State, present []Peer, name string, needed int) error {
	if slices.Contains(s.GetRetired(), name) || slices.Contains(s.GetView().GetLeaving(), name) {
		return nil
	}
	known, left := false, 0
	count := func(m *fleetpb.Member) {
		switch {
		case m.GetInstance() == name:
			known = true
		case !slices.Contains(s.GetView().GetLeaving(), m.GetInstance()):
			left++
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
	if left < needed {
		return &TooFewStoresError{Remaining: left, Needed: needed}
	}
	return nil
}
