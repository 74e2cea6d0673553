// SPDX-License-Identifier: MIT

package ledger

import (
	"math/bits"
	"testing"

	"rockbarrow.dev/schema/fleetpb"
)

// subset returns the members whose bits are set.
func subset(all []*fleetpb.Member, set int) []*fleetpb.Member {
	var out []*fleetpb.Member
	for i, m := range all {
		if set&(1<<i) != 0 {
			out = append(out, m)
		}
	}
	return out
}

// hasQuorums reports the quorums of a view if a set of its stores answered, each
// complete for the epoch before.
func hasQuorums(v *fleetpb.View, all []*fleetpb.Member, answered int) (write, read bool) {
	t := NewQuorumTracker(v, "p")
	for _, m := range subset(all, answered) {
		t.Ack(m.GetStorage(), v.GetEpoch()-1)
	}
	return t.HasWriteQuorum(), t.HasReadQuorum()
}

// TestNoReadQuorumMissesAWriteOfAViewChange guards against turns that were answered whole
// and get 404: a read quorum of the prior members alone proved absence, although
// records are written to the new members, also to a client that still uses the prior view.
func TestNoReadQuorumMissesAWriteOfAViewChange(t *testing.T) {
	all := newMembers("a", "b", "c", "d")
	for prior := 1; prior < 1<<len(all); prior++ {
		for next := 1; next < 1<<len(all); next++ {
			if bits.OnesCount(uint(prior)) > 3 || bits.OnesCount(uint(next)) > 3 {
				continue
			}
			before := &fleetpb.View{Epoch: 3, Members: subset(all, prior), Copies: 3}
			during := &fleetpb.View{Epoch: 4, Members: subset(all, next), Prior: before.GetMembers(), Copies: 3}
			after := &fleetpb.View{Epoch: 5, Members: during.GetMembers(), Copies: 3}
			for written := 1; written < 1<<len(all); written++ {
				if write, _ := hasQuorums(during, all, written&(prior|next)); !write {
					continue
				}
				for answered := range 1 << len(all) {
					if answered&written != 0 {
						continue
					}
					for _, v := range []*fleetpb.View{before, during, after} {
						if _, read := hasQuorums(v, all, answered); read {
							t.Fatalf("stores %04b to %04b: written to %04b, absent under view %d by %04b", prior, next, written, v.GetEpoch(), answered)
						}
					}
				}
			}
			for written := 1; written < 1<<len(all); written++ {
				if write, _ := hasQuorums(before, all, written&prior); !write {
					continue
				}
				for answered := range 1 << len(all) {
					if _, read := hasQuorums(during, all, answered); read && answered&written == 0 {
						t.Fatalf("stores %04b to %04b: written to %04b before the change, absent during it by %04b", prior, next, written, answered)
					}
				}
			}
		}
	}
}

// isFoundAfter reports whether a record that was written to a set of stores is found by
// each read quorum once all members of a view change have copied and it has ended, and
// is copied by the next change.
func isFoundAfter(v *fleetpb.View, all []*fleetpb.Member, written int) bool {
	holders := 0
	for i, m := range all {
		if hasStorage(v.GetMembers(), m.GetStorage()) && (written&(1<<i) != 0 || MustCopy(v, m.GetStorage(), "p", false)) {
			holders |= 1 << i
		}
	}
	after := &fleetpb.View{Epoch: v.GetEpoch() + 1, Members: v.GetMembers(), Copies: v.GetCopies()}
	next := &fleetpb.View{Epoch: v.GetEpoch() + 2, Members: all, Prior: v.GetMembers(), Copies: v.GetCopies()}
	for answered := range 1 << len(all) {
		_, read := hasQuorums(after, all, answered)
		copied := SourcesSufficient(next, func(storage uint64) bool { return answered&(1<<(storage-1)) != 0 })
		if (read || copied) && answered&holders == 0 {
			return false
		}
	}
	return true
}

// TestNoReadQuorumMissesAWriteOfAnAbandonedViewChange guards against the loss of records
// that were written during a view change which then went to other members.
func TestNoReadQuorumMissesAWriteOfAnAbandonedViewChange(t *testing.T) {
	all := newMembers("a", "b", "c", "d")
	for prior := 1; prior < 1<<len(all); prior++ {
		for first := 1; first < 1<<len(all); first++ {
			for second := 1; second < 1<<len(all); second++ {
				if bits.OnesCount(uint(prior)) > 3 || bits.OnesCount(uint(first)) > 3 || bits.OnesCount(uint(second)) > 3 {
					continue
				}
				before := &fleetpb.View{Epoch: 3, Members: subset(all, prior), Copies: 3}
				during := &fleetpb.View{Epoch: 4, Members: subset(all, first), Prior: before.GetMembers(), Copies: 3}
				again := &fleetpb.View{
					Epoch: 5, Members: subset(all, second), Prior: before.GetMembers(), PriorEpoch: 3, Copies: 3,
					Abandoned: []*fleetpb.MemberSet{{Members: during.GetMembers()}},
				}
				var writes, reads [3][]int
				for i, v := range []*fleetpb.View{before, during, again} {
					for answered := range 1 << len(all) {
						write, read := hasQuorums(v, all, answered)
						if write {
							writes[i] = append(writes[i], answered)
						}
						if read {
							reads[i] = append(reads[i], answered)
						}
					}
				}
				// A store that answered a write refuses older views, and one that a read under a
				// newer view asked must have the record.
				for i := range writes {
					for j := range reads {
						for _, w := range writes[i] {
							for _, r := range reads[j] {
								if w&r == 0 {
									t.Fatalf("stores %04b to %04b, then %04b: written under view %d to %04b, absent under view %d by %04b", prior, first, second, i+3, w, j+3, r)
								}
							}
						}
					}
				}
				for i, v := range []*fleetpb.View{during, again} {
					for j := range i + 1 {
						for _, w := range writes[j] {
							if !isFoundAfter(v, all, w) {
								t.Fatalf("stores %04b to %04b, then %04b: written under view %d to %04b, lost after view %d", prior, first, second, j+3, w, v.GetEpoch())
							}
						}
					}
				}
				for _, w := range writes[1] {
					for responded := range 1 << len(all) {
						from := func(storage uint64) bool { return responded&(1<<(storage-1)) != 0 }
						if responded&w == 0 && SourcesSufficient(again, from) && AbandonedSufficient(again, from) {
							t.Fatalf("stores %04b to %04b, then %04b: written to %04b, not copied from %04b", prior, first, second, w, responded)
						}
					}
				}
			}
		}
	}
}

// TestNoReadQuorumInAllGroupsMissesAWrite guards against the same for a turn whose
// program is unknown, which is looked up on all stores.
func TestNoReadQuorumInAllGroupsMissesAWrite(t *testing.T) {
	all := newMembers("a", "b", "c", "d", "e")
	for prior := 1; prior < 1<<len(all); prior++ {
		for next := 1; next < 1<<len(all); next++ {
			v := &fleetpb.View{Epoch: 4, Members: subset(all, next), Prior: subset(all, prior), Copies: 3}
			group := Group(v.GetMembers(), "p", 3)
			for answered := range 1 << len(all) {
				tracker := NewAllStoresTracker(v)
				for _, m := range subset(all, answered) {
					tracker.Ack(m.GetStorage(), 3)
				}
				if !tracker.HasReadQuorumInAllGroups(3) {
					continue
				}
				silent := 0
				for _, m := range group {
					if answered&(1<<(m.GetStorage()-1)) == 0 {
						silent++
					}
				}
				if silent >= WriteQuorum(len(group)) {
					t.Fatalf("stores %05b to %05b: absent by %05b, and %d of a new group of %d did not answer", prior, next, answered, silent, len(group))
				}
			}
		}
	}
}
