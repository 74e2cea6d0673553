// SPDX-License-Identifier: MIT

package ledger

import (
	"slices"

	"rockbarrow.dev/schema/fleetpb"
)

// QuorumTracker counts the answers of a program's stores to one call.
type QuorumTracker struct {
	view *fleetpb.View
	// current is the group among the view's members, prior the one among the
	// prior members during a view change, or else empty.
	current, prior []*fleetpb.Member
	// abandoned are the groups of earlier attempts at a view change.
	abandoned       [][]*fleetpb.Member
	acked, complete map[uint64]bool
	refused, late   map[uint64]bool
	// allStores is true if the lists are all stores instead of a program's groups.
	allStores bool
}

// NewQuorumTracker returns a tracker of a program's stores under a view.
func NewQuorumTracker(v *fleetpb.View, program string) *QuorumTracker {
	t := newTracker(v)
	t.current = Group(v.GetMembers(), program, int(v.GetCopies()))
	if len(v.GetPrior()) > 0 {
		t.prior = Group(v.GetPrior(), program, int(v.GetCopies()))
	}
	for _, set := range Attempts(v) {
		t.abandoned = append(t.abandoned, Group(set.GetMembers(), program, int(v.GetCopies())))
	}
	return t
}

func newTracker(v *fleetpb.View) *QuorumTracker {
	return &QuorumTracker{view: v, acked: map[uint64]bool{}, complete: map[uint64]bool{}, refused: map[uint64]bool{}, late: map[uint64]bool{}}
}

// NewAllStoresTracker returns a tracker of all stores of a view, for a query whose
// program is unknown.
func NewAllStoresTracker(v *fleetpb.View) *QuorumTracker {
	t := newTracker(v)
	t.allStores = true
	t.current, t.prior = v.GetMembers(), v.GetPrior()
	for _, set := range Attempts(v) {
		t.abandoned = append(t.abandoned, set.GetMembers())
	}
	return t
}

// Members returns the stores to call, each once.
func (t *QuorumTracker) Members() []*fleetpb.Member {
	out := append([]*fleetpb.Member(nil), t.current...)
	for _, group := range append([][]*fleetpb.Member{t.prior}, t.abandoned...) {
		for _, m := range group {
			if !hasStorage(out, m.GetStorage()) {
				out = append(out, m)
			}
		}
	}
	return out
}

// Ack counts a store that answered the call; if the call is a write, the store has
// synced the record. The store counts toward the read quorum only if it is complete
// for the records from before the view, as [IsComplete] tells.
func (t *QuorumTracker) Ack(storage, wholeEpoch uint64) {
	t.acked[storage] = true
	t.complete[storage] = IsComplete(t.view, wholeEpoch)
}

// Answered returns the instance names of the stores that answered the call.
func (t *QuorumTracker) Answered() []string {
	var out []string
	for _, m := range t.Members() {
		if t.acked[m.GetStorage()] {
			out = append(out, m.GetInstance())
		}
	}
	return out
}

// Incomplete returns the instance names of the stores that answered the call without holding all records from before the view.
func (t *QuorumTracker) Incomplete() []string {
	var out []string
	for _, m := range t.Members() {
		if t.acked[m.GetStorage()] && !t.complete[m.GetStorage()] {
			out = append(out, m.GetInstance())
		}
	}
	return out
}

// Refuse counts a store that refused or failed the call.
func (t *QuorumTracker) Refuse(storage uint64) { t.refused[storage] = true }

// MarkLate counts a store that did not answer in time, and may have answered later.
func (t *QuorumTracker) MarkLate(storage uint64) { t.late[storage] = true }

// HasWriteQuorum reports whether the record is durable. The quorum is that of the
// current group, which keeps the record. During a view change a read quorum of the
// prior group must have answered too: it has fenced the prior view, under which the
// record could otherwise still be found absent. The same holds for abandoned groups.
func (t *QuorumTracker) HasWriteQuorum() bool {
	return count(t.current, t.acked) >= WriteQuorum(len(t.current)) && count(t.prior, t.acked) >= ReadQuorum(len(t.prior)) && t.coversAbandoned()
}

// coversAbandoned reports whether every abandoned group has a read quorum among the
// stores that answered. They need not be complete for it, as its records were written
// to them only.
func (t *QuorumTracker) coversAbandoned() bool {
	return !slices.ContainsFunc(t.abandoned, func(group []*fleetpb.Member) bool { return count(group, t.acked) < ReadQuorum(len(group)) })
}

// HasReadQuorum reports whether a record that no store returned is certainly absent.
// The authoritative group covers records from before the view. A write quorum of the
// current group covers records written under the view, and includes a store that
// refuses the call once a later view may have writes.
func (t *QuorumTracker) HasReadQuorum() bool {
	group := t.authoritativeGroup()
	return len(group) > 0 && count(group, t.complete) >= ReadQuorum(len(group)) &&
		count(t.current, t.acked) >= WriteQuorum(len(t.current)) && t.coversAbandoned()
}

// authoritativeGroup returns the group that holds all records from before this view.
func (t *QuorumTracker) authoritativeGroup() []*fleetpb.Member {
	if len(t.prior) > 0 {
		return t.prior
	}
	return t.current
}

// HasReadQuorumInAllGroups reports whether a record that no store returned is
// absent from every group: each has a read quorum among the stores that answered.
func (t *QuorumTracker) HasReadQuorumInAllGroups(copies int) bool {
	acked := func(storage uint64) bool { return t.acked[storage] }
	return ReadQuorumInAllGroups(t.authoritativeGroup(), copies, func(storage uint64) bool { return t.complete[storage] }) &&
		writeQuorumInAllGroups(t.current, copies, acked) && AbandonedSufficient(t.view, acked)
}

// QuorumLost reports whether a quorum can no longer be reached.
func (t *QuorumTracker) QuorumLost() bool {
	group := t.authoritativeGroup()
	return count(t.current, t.refused) > MaxWriteFailures(len(t.current)) || count(group, t.refused) > MaxReadFailures(len(group)) ||
		slices.ContainsFunc(t.abandoned, func(group []*fleetpb.Member) bool { return count(group, t.refused) > MaxReadFailures(len(group)) })
}

// count returns how many members of a group are in a set.
func count(group []*fleetpb.Member, set map[uint64]bool) int {
	n := 0
	for _, m := range group {
		if set[m.GetStorage()] {
			n++
		}
	}
	return n
}

func hasStorage(list []*fleetpb.Member, storage uint64) bool {
	for _, m := range list {
		if m.GetStorage() == storage {
			return true
		}
	}
	return false
}
