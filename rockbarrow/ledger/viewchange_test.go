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
