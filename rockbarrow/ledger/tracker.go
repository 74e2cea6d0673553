// SPDX-License-Identifier: MIT

package ledger

import "rockbarrow.dev/schema/fleetpb"

// QuorumTracker counts the answers to one call that goes to a program's stores.
type QuorumTracker struct {
	epoch uint64
	// present is the group under the view's members, prior the one under the
	// members before a change under way, or empty.
	present, prior []*fleetpb.Member
	acked, whole   map[uint64]bool
	refused        map[uint64]bool
}

// NewQuorumTracker returns the tally of a program's stores under a view.
func NewQuorumTracker(v *fleetpb.View, program string) *QuorumTracker {
	t := &QuorumTracker{epoch: v.GetEpoch(), acked: map[uint64]bool{}, whole: map[uint64]bool{}, refused: map[uint64]bool{}}
	t.present = Group(v.GetMembers(), program, int(v.GetCopies()))
	if len(v.GetPrior()) > 0 {
		t.prior = Group(v.GetPrior(), program, int(v.GetCopies()))
	}
	return t
}

// NewAllStoresTracker returns a tally of all stores of a view, for a question whose
// program is not known.
func NewAllStoresTracker(v *fleetpb.View) *QuorumTracker {
	t := NewQuorumTracker(&fleetpb.View{Epoch: v.GetEpoch()}, "")
	t.present, t.prior = v.GetMembers(), v.GetPrior()
	return t
}

// Members returns the stores to call, each once.
func (t *QuorumTracker) Members() []*fleetpb.Member {
	out := append([]*fleetpb.Member(nil), t.present...)
	for _, m := range t.prior {
		if !hasStorage(out, m.GetStorage()) {
			out = append(out, m)
		}
	}
	return out
}

// Ack counts a store that has synced the record. What it does not tell means
// something only if it held all records of its groups under the view before this
// one: while a move is under way the old group answers, and when it has ended
// the members have what they copied.
func (t *QuorumTracker) Ack(storage, wholeEpoch uint64) {
	t.acked[storage] = true
	t.whole[storage] = wholeEpoch+1 >= t.epoch
}

// Refuse counts a store that will not answer this call.
func (t *QuorumTracker) Refuse(storage uint64) { t.refused[storage] = true }

// HasWriteQuorum reports whether the record is durable. While a move is under way it is
// so in the new group, where it stays; whoever reads asks both groups.
func (t *QuorumTracker) HasWriteQuorum() bool {
	return count(t.present, t.acked) >= WriteQuorum(len(t.present))
}

// HasReadQuorum reports whether what no store has told is certainly not there.
func (t *QuorumTracker) HasReadQuorum() bool {
	group := t.authority()
	return len(group) > 0 && count(group, t.whole) >= ReadQuorum(len(group))
}

// authority is the group that holds all records from before this view.
func (t *QuorumTracker) authority() []*fleetpb.Member {
	if len(t.prior) > 0 {
		return t.prior
	}
	return t.present
}

// HasReadQuorumInAllGroups reports whether what no store has told is in no group at all:
// each group has a quorum among the stores that answered.
func (t *QuorumTracker) HasReadQuorumInAllGroups(copies int) bool {
	return ReadQuorumInAllGroups(t.authority(), copies, func(storage uint64) bool { return t.whole[storage] })
}

// QuorumLost reports whether a quorum can no longer be reached.
func (t *QuorumTracker) QuorumLost() bool {
	group := t.authority()
	return count(t.present, t.refused) > MaxWriteFailures(len(t.present)) || count(group, t.refused) > MaxReadFailures(len(group))
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
