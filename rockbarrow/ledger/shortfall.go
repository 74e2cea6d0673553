// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"

	"rockbarrow.dev/schema/fleetpb"
)

// Purpose is what a quorum is for.
type Purpose int

// A reservation needs both: its record must be durable, and all other reservations must be found.
const (
	ForWrite Purpose = 1 << iota
	ForRead
	ForBoth = ForWrite | ForRead
)

// The requirements that a [Shortfall] names.
const (
	// NeedWriteQuorum is a write quorum of the current group.
	NeedWriteQuorum = "write_quorum"
	// NeedPriorFence is a read quorum of the prior group that has answered, complete or not.
	NeedPriorFence = "prior_fence"
	// NeedReadQuorum is a read quorum of complete stores of the group that holds all records from before the view.
	NeedReadQuorum = "read_quorum"
	// NeedAbandoned is a read quorum of the group of an abandoned attempt, whose number follows.
	NeedAbandoned = "abandoned_"
)

// Shortfall is a requirement of a quorum that too few stores meet.
type Shortfall struct {
	// Requirement is one of the names above.
	Requirement string
	// Have is how many stores meet it and Need how many must. For a query of all stores, both are those of the worst group that
	// there may be.
	Have, Need int
	// Lost is true if the stores that have not answered yet can't meet it.
	Lost bool
	// Late is how many stores of those named by the requirement did not answer in time. The others that lack refused, or could not be reached.
	Late int
}

func (s Shortfall) String() string {
	out := fmt.Sprintf("%s %d/%d", s.Requirement, s.Have, s.Need)
	if s.Lost {
		out += " lost"
	}
	if s.Late > 0 {
		out += fmt.Sprintf(", %d late", s.Late)
	}
	return out
}

// Shortfalls returns what the answers so far lack for a purpose.
func (t *QuorumTracker) Shortfalls(p Purpose) []Shortfall {
	var out []Shortfall
	isAcked := func(storage uint64) bool { return t.acked[storage] }
	isComplete := func(storage uint64) bool { return t.complete[storage] }
	check := func(requirement string, group []*fleetpb.Member, meets func(storage uint64) bool, need int) {
		have := t.countInGroup(group, meets)
		if have >= need {
			return
		}
		mayMeet := func(storage uint64) bool { return meets(storage) || !t.refused[storage] && !t.acked[storage] }
		out = append(out, Shortfall{
			Requirement: requirement, Have: have, Need: need, Lost: t.countInGroup(group, mayMeet) < need, Late: count(group, t.late),
		})
	}
	check(NeedWriteQuorum, t.current, isAcked, WriteQuorum(t.groupSize(t.current)))
	if p&ForWrite != 0 && len(t.prior) > 0 {
		check(NeedPriorFence, t.prior, isAcked, ReadQuorum(t.groupSize(t.prior)))
	}
	if p&ForRead != 0 {
		group := t.authoritativeGroup()
		check(NeedReadQuorum, group, isComplete, ReadQuorum(t.groupSize(group)))
	}
	for i, group := range t.abandoned {
		check(fmt.Sprint(NeedAbandoned, i+1), group, isAcked, ReadQuorum(t.groupSize(group)))
	}
	return out
}

// groupSize returns the size of a program's group among some stores, which for a tracker of all stores are more than one group.
func (t *QuorumTracker) groupSize(list []*fleetpb.Member) int {
	if t.allStores {
		return min(int(t.view.GetCopies()), len(list))
	}
	return len(list)
}

// countInGroup returns how many stores of a group meet a requirement, or how many of the worst possible group.
func (t *QuorumTracker) countInGroup(list []*fleetpb.Member, meets func(storage uint64) bool) int {
	if t.allStores {
		return max(0, t.groupSize(list)-MaxMissing(list, int(t.view.GetCopies()), meets))
	}
	n := 0
	for _, m := range list {
		if meets(m.GetStorage()) {
			n++
		}
	}
	return n
}

// HasAnswered reports whether a store answered the call, and whether it is complete.
func (t *QuorumTracker) HasAnswered(storage uint64) (answered, complete bool) {
	return t.acked[storage], t.complete[storage]
}
