// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"math/bits"
	"testing"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

func newMembers(domains ...string) []*fleetpb.Member {
	var out []*fleetpb.Member
	for i, d := range domains {
		out = append(out, &fleetpb.Member{Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: d})
	}
	return out
}

func TestGroupsSpreadOverFailureDomains(t *testing.T) {
	members := newMembers("a", "a", "a", "b", "b", "b", "c", "c")
	for i := range 200 {
		count := map[string]int{}
		g := Group(members, fmt.Sprint("program-", i), 5)
		for _, m := range g {
			count[m.GetFailureDomain()]++
		}
		if len(g) != 5 || count["a"] > 2 || count["b"] > 2 || count["c"] > 2 {
			t.Fatalf("group %d has %d stores, by failure domain %v, want 5 with at most 2 each", i, len(g), count)
		}
	}
}

func TestGroupIsIndependentOfStorage(t *testing.T) {
	members := newMembers("a", "b", "c", "d", "e")
	again := newMembers("a", "b", "c", "d", "e")
	again[2].Storage = 99
	for i := range 100 {
		p := fmt.Sprint("program-", i)
		a, b := Group(members, p, 3), Group(again, p, 3)
		for j := range a {
			if a[j].GetInstance() != b[j].GetInstance() {
				t.Fatalf("the group of %s changed with the storage id of a member", p)
			}
		}
	}
}

func TestQuorumsDuringViewChange(t *testing.T) {
	all := newMembers("a", "b", "c", "d")
	v := &fleetpb.View{Epoch: 2, Members: all[1:], Prior: all[:3], Copies: 3}
	tracker := NewQuorumTracker(v, "p")
	tracker.Ack(1, 1)
	tracker.Ack(2, 1)
	if tracker.HasWriteQuorum() {
		t.Error("write quorum without the new group")
	}
	if tracker.HasReadQuorum() {
		t.Error("read quorum without the new group, to which records are written")
	}
	tracker.Ack(4, 0)
	if !tracker.HasWriteQuorum() || !tracker.HasReadQuorum() {
		t.Error("no quorums with majorities of both groups")
	}
	// A store that has not copied its records must not count toward the read quorum.
	tracker = NewQuorumTracker(&fleetpb.View{Epoch: 3, Members: all[1:], Copies: 3}, "p")
	tracker.Ack(4, 0)
	tracker.Ack(3, 2)
	if tracker.HasReadQuorum() {
		t.Error("read quorum with a store that has not copied its records")
	}
}

func TestSettlementReplacesReservation(t *testing.T) {
	var total ReservationSet
	total.Merge([]*fleetpb.Reservation{{Turn: "1", Tokens: 100}, {Turn: "2", Tokens: 50}})
	total.Merge([]*fleetpb.Reservation{{Turn: "1", Tokens: 30, Settled: true}})
	total.Merge([]*fleetpb.Reservation{{Turn: "1", Tokens: 100}})
	if n := total.TokensExcept("3"); n != 80 {
		t.Errorf("%d tokens used, want 80", n)
	}
	if n := total.TokensExcept("2"); n != 30 {
		t.Errorf("%d tokens used by others, want 30", n)
	}
}

// TestOneOfTwoConcurrentReservationsSeesTheOther checks two concurrent reservations with all
// pairs of quorums.
func TestOneOfTwoConcurrentReservationsSeesTheOther(t *testing.T) {
	quorums := [][]int{{0, 1}, {0, 2}, {1, 2}}
	for _, qa := range quorums {
		for _, qb := range quorums {
			for order := range 2 {
				books := make([]StateMachine, 3)
				write := func(turn string, at int) []*fleetpb.Reservation {
					books[at].Apply(time.Time{}, reservationRecord("p", turn, 100))
					return books[at].Reservations("p")
				}
				var a, b ReservationSet
				steps := []func(){}
				for i := range 2 {
					steps = append(steps, func() { a.Merge(write("a", qa[i])) }, func() { b.Merge(write("b", qb[(i+order)%2])) })
				}
				for _, s := range steps {
					s()
				}
				if a.TokensExcept("a") == 0 && b.TokensExcept("b") == 0 {
					t.Fatalf("quorums %v and %v: neither saw the other", qa, qb)
				}
			}
		}
	}
}

func reservationRecord(program, turn string, tokens uint64) *fleetpb.Record {
	return &fleetpb.Record{Kind: &fleetpb.Record_Reservation{Reservation: &fleetpb.ProgramReservation{
		Program: program, RetainMs: 1000, Reservation: &fleetpb.Reservation{Turn: turn, Tokens: tokens},
	}}}
}

func turnRecord(id, previous, home string) *fleetpb.Record {
	return &fleetpb.Record{Kind: &fleetpb.Record_Turn{Turn: &fleetpb.Turn{
		Id: id, Previous: previous, Home: home, Input: []byte("in " + id), Output: []byte("out\n"), RetainMs: 1000,
	}}}
}

func TestExpireKeepsUsedChains(t *testing.T) {
	start := time.Unix(0, 0)
	var b StateMachine
	b.Apply(start, turnRecord("1", "", "p"))
	b.Apply(start, turnRecord("2", "1", "p"))
	b.Apply(start, turnRecord("other", "", "q"))
	late := start.Add(retentionFactor*time.Second + retentionMargin - 1)
	if chain := b.Chain(late, "2"); len(chain) != 2 || chain[1].GetId() != "1" {
		t.Fatalf("chain %v, want turns 2 and 1", chain)
	}
	b.Expire(start.Add(retentionFactor*time.Second + retentionMargin))
	if !b.Has("1") || b.Has("other") {
		t.Error("the used chain was expired or the unused one was not")
	}
	b.Expire(late.Add(retentionFactor*time.Second + retentionMargin))
	if programs, turns, bytes := b.Size(); programs != 0 || turns != 0 || bytes != 0 {
		t.Errorf("%d programs, %d turns and %d bytes after expiry, want none", programs, turns, bytes)
	}
}

// TestWriteQuorumIntersectsCopySources checks that every write quorum shares a store
// with every sufficient set of sources.
func TestWriteQuorumIntersectsCopySources(t *testing.T) {
	for n := 2; n <= 7; n++ {
		prior := newMembers("a", "b", "c", "d", "e", "f", "g")[:n]
		v := &fleetpb.View{Epoch: 2, Members: prior, Prior: prior, Copies: uint32(n)}
		if from := CopySources(v, 99); len(from) != n {
			t.Fatalf("%d sources, want %d", len(from), n)
		}
		for written := range 1 << n {
			if bits.OnesCount(uint(written)) != WriteQuorum(n) {
				continue
			}
			for responded := range 1 << n {
				covers := SourcesSufficient(v, func(storage uint64) bool { return responded&(1<<(storage-1)) != 0 })
				if covers && written&responded == 0 {
					t.Fatalf("of %d stores, write quorum %b and sufficient sources %b do not intersect", n, written, responded)
				}
				if !covers && bits.OnesCount(uint(responded)) >= ReadQuorum(n) {
					t.Fatalf("of %d stores, sources %b are a read quorum and not sufficient", n, responded)
				}
			}
		}
	}
}

func TestMustCopyAndCopySources(t *testing.T) {
	all := newMembers("a", "b", "c")
	v := &fleetpb.View{Epoch: 2, Members: append(newMembers("a", "b"), &fleetpb.Member{Instance: "store-2", Storage: 9}), Prior: all, Copies: 3}
	if !MustCopy(v, 9, "p", true) || MustCopy(v, 1, "p", false) {
		t.Error("MustCopy is wrong for a new or a remaining store")
	}
	for _, m := range CopySources(v, 99) {
		if !hasStorage(all, m.GetStorage()) {
			t.Errorf("store %d is a source and was no prior member", m.GetStorage())
		}
	}
	if len(CopySources(v, 9)) != 3 || len(CopySources(v, 1)) != 2 {
		t.Error("CopySources does not exclude exactly the copying store")
	}
}

func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 9; n++ {
		if WriteQuorum(n)+ReadQuorum(n) <= n || 2*WriteQuorum(n) <= n {
			t.Errorf("of %d stores, quorums of %d and %d need not intersect", n, WriteQuorum(n), ReadQuorum(n))
		}
	}
	if MaxReadFailures(2) != 1 || MaxWriteFailures(2) != 0 || MaxReadFailures(0) != 0 || MaxWriteFailures(0) != 0 {
		t.Error("two stores must tolerate one read failure and no write failure, no stores none")
	}
}
