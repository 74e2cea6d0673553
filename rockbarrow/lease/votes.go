// SPDX-License-Identifier: MIT

package lease

import (
	"slices"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// VoterStates holds the newest states that voters have accepted, as reported to a control instance. The zero value is
// ready to use.
type VoterStates struct {
	byStorage map[uint64]voterState
}

// voterState is the number of the newest state that a voter had accepted at a time.
type voterState struct {
	number  uint64
	askedAt time.Time
}

// Record stores the reply of a voter's storage to a request sent at a time. Replies to earlier requests are ignored.
func (v *VoterStates) Record(storage, number uint64, askedAt time.Time) {
	if v.byStorage == nil {
		v.byStorage = map[uint64]voterState{}
	}
	if prev, ok := v.byStorage[storage]; !ok || askedAt.After(prev.askedAt) {
		v.byStorage[storage] = voterState{number: number, askedAt: askedAt}
	}
}

// ConfirmedAt returns the latest time before which no state newer than s was chosen, if there is one: the time at which
// a majority of the voters of s had accepted nothing newer. A newer state needs a majority of these voters even if it
// changes the voters.
func (v *VoterStates) ConfirmedAt(s *fleetpb.State) (at time.Time, ok bool) {
	var times []time.Time
	for _, voter := range s.GetVoters() {
		state, known := v.byStorage[voter.GetStorage()]
		if known && state.number <= s.GetNumber() {
			times = append(times, state.askedAt)
		}
	}
	majority := len(s.GetVoters())/2 + 1
	if len(times) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority-1], true
}
