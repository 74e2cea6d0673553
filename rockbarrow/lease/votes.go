// SPDX-License-Identifier: MIT

package lease

import (
	"slices"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// Votes is what a control instance was told by voters of the newest states that they have accepted. The zero value is
// ready.
type VoterStates struct {
	said map[uint64]vote
}

// vote is the number of the newest state that a voter had accepted when it was asked.
type vote struct {
	number uint64
	asked  time.Time
}

// Heard takes an answer of a storage to a question of a moment.
func (v *VoterStates) Record(storage, number uint64, asked time.Time) {
	if v.said == nil {
		v.said = map[uint64]vote{}
	}
	if before, ok := v.said[storage]; !ok || asked.After(before.asked) {
		v.said[storage] = vote{number: number, asked: asked}
	}
}

// Confirm returns the latest moment by which a majority of the voters of s had accepted nothing newer than s, and
// whether there is one. A newer state needs a majority of them too, also where it has other voters.
func (v *VoterStates) ConfirmedAt(s *fleetpb.State) (at time.Time, ok bool) {
	var moments []time.Time
	for _, voter := range s.GetVoters() {
		said, known := v.said[voter.GetStorage()]
		if known && said.number <= s.GetNumber() {
			moments = append(moments, said.asked)
		}
	}
	majority := len(s.GetVoters())/2 + 1
	if len(moments) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(moments, func(a, b time.Time) int { return b.Compare(a) })
	return moments[majority-1], true
}
