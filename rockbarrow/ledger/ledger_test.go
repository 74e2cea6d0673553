// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"math/bits"
	"testing"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

func stores(domains ...string) []*fleetpb.Member {
	var out []*fleetpb.Member
	for i, d := range domains {
		out = append(out, &fleetpb.Member{Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: d})
	}
	return out
}

func TestGroupsSpreadOverDomains(t *testing.T) {
	members := stores("a", "a", "a", "b", "b", "b", "c", "c")
	for i := range 200 {
		count := map[string]int{}
		g := Group(members, fmt.Sprint("program-", i), 5)
		for _, m := range g {
			count[m.GetFailureDomain()]++
		}
		if len(g) != 5 || count["a"] > 2 || count["b"] > 2 || count["c"] > 2 {
			t.Fatalf("group %d holds %v", i, count)
		}
	}
}

func TestAReplacedStoreKeepsItsGroups(t *testing.T) {
	members := stores("a", "b", "c", "d", "e")
	again := stores("a", "b", "c", "d", "e")
	again[2].Storage = 99
	for i := range 100 {
		p := fmt.Sprint("program-", i)
		a, b := Group(members, p, 3), Group(again, p, 3)
		for j := range a {
			if a[j].GetInstance() != b[j].GetInstance() {
				t.Fatalf("the group of %s changed", p)
			}
		}
	}
}

func TestAMoveNeedsBothGroups(t *testing.T) {
	all := stores("a", "b", "c", "d")
	v := &fleetpb.View{Epoch: 2, Members: all[1:], Prior: all[:3], Copies: 3}
	tally := NewQuorumTracker(v, "p")
	tally.Ack(1, 1)
	tally.Ack(2, 1)
	if tally.HasWriteQuorum() {
		t.Error("a record is durable without the new group")
	}
	if !tally.HasReadQuorum() {
		t.Error("the old group has answered and is not believed")
	}
	tally.Ack(4, 0)
	if !tally.HasWriteQuorum() {
		t.Error("a record with both majorities is not durable")
	}
	// A new store that has copied nothing yet proves nothing.
	tally = NewQuorumTracker(&fleetpb.View{Epoch: 3, Members: all[1:], Copies: 3}, "p")
	tally.Ack(4, 0)
	tally.Ack(3, 2)
	if tally.HasReadQuorum() {
		t.Error("a store that has not copied its groups is believed")
	}
}

func TestASettlementCountsBeforeAReservation(t *testing.T) {
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

// TestOneOfTwoReservationsSeesTheOther tries all pairs of quorums.
func TestOneOfTwoReservationsSeesTheOther(t *testing.T) {
	quorums := [][]int{{0, 1}, {0, 2}, {1, 2}}
	for _, qa := range quorums {
		for _, qb := range quorums {
			for order := range 2 {
				books := make([]StateMachine, 3)
				write := func(turn string, at int) []*fleetpb.Reservation {
					books[at].Apply(time.Time{}, reservation("p", turn, 100))
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

func reservation(program, turn string, tokens uint64) *fleetpb.Record {
	return &fleetpb.Record{Kind: &fleetpb.Record_Reservation{Reservation: &fleetpb.ProgramReservation{
		Program: program, RetainMs: 1000, Reservation: &fleetpb.Reservation{Turn: turn, Tokens: tokens},
	}}}
}

func turn(id, previous, home string) *fleetpb.Record {
	return &fleetpb.Record{Kind: &fleetpb.Record_Turn{Turn: &fleetpb.Turn{
		Id: id, Previous: previous, Home: home, Input: []byte("in " + id), Output: []byte("out\n"), RetainMs: 1000,
	}}}
}

func TestChainsAreKeptWhileTheyAreUsed(t *testing.T) {
	start := time.Unix(0, 0)
	var b StateMachine
	b.Apply(start, turn("1", "", "p"))
	b.Apply(start, turn("2", "1", "p"))
	b.Apply(start, turn("other", "", "q"))
	late := start.Add(graceFactor*time.Second + slack - 1)
	if chain := b.Chain(late, "2"); len(chain) != 2 || chain[1].GetId() != "1" {
		t.Fatalf("chain %v", chain)
	}
	b.Expire(start.Add(graceFactor*time.Second + slack))
	if !b.Has("1") || b.Has("other") {
		t.Error("the used chain is gone or the unused one is not")
	}
	b.Expire(late.Add(graceFactor*time.Second + slack))
	if programs, turns, bytes := b.Size(); programs != 0 || turns != 0 || bytes != 0 {
		t.Errorf("%d programs, %d turns and %d bytes are left", programs, turns, bytes)
	}
}

// TestADurableRecordIsInEveryCopy tries every write quorum against every set of
// sources that a copy may come from: they share a store.
func TestADurableRecordIsInEveryCopy(t *testing.T) {
	for n := 2; n <= 7; n++ {
		prior := stores("a", "b", "c", "d", "e", "f", "g")[:n]
		v := &fleetpb.View{Epoch: 2, Members: prior, Prior: prior, Copies: uint32(n)}
		if from := CopySources(v, 99); len(from) != n {
			t.Fatalf("%d sources of %d stores", len(from), n)
		}
		for written := range 1 << n {
			if bits.OnesCount(uint(written)) != WriteQuorum(n) {
				continue
			}
			for heard := range 1 << n {
				covers := SourcesSufficient(v, func(storage uint64) bool { return heard&(1<<(storage-1)) != 0 })
				if covers && written&heard == 0 {
					t.Fatalf("of %d stores, %b wrote and %b were copied from", n, written, heard)
				}
				if !covers && bits.OnesCount(uint(heard)) >= ReadQuorum(n) {
					t.Fatalf("of %d stores, %b were heard and are not enough", n, heard)
				}
			}
		}
	}
}

func TestWhoCopies(t *testing.T) {
	all := stores("a", "b", "c")
	v := &fleetpb.View{Epoch: 2, Members: append(stores("a", "b"), &fleetpb.Member{Instance: "store-2", Storage: 9}), Prior: all, Copies: 3}
	if !MustCopy(v, 9, "p", true) || MustCopy(v, 1, "p", false) {
		t.Error("the wrong stores copy")
	}
	for _, m := range CopySources(v, 99) {
		if !hasStorage(all, m.GetStorage()) {
			t.Errorf("store %d counts while records are copied to it", m.GetStorage())
		}
	}
	if len(CopySources(v, 9)) != 3 || len(CopySources(v, 1)) != 2 {
		t.Error("the wrong stores count while records are copied")
	}
}

func TestReadAndWriteQuorumsMeet(t *testing.T) {
	for n := 1; n <= 9; n++ {
		if WriteQuorum(n)+ReadQuorum(n) <= n || 2*WriteQuorum(n) <= n {
			t.Errorf("of %d stores, %d and %d need not meet", n, WriteQuorum(n), ReadQuorum(n))
		}
	}
	if MaxReadFailures(2) != 1 || MaxWriteFailures(2) != 0 || MaxReadFailures(0) != 0 || MaxWriteFailures(0) != 0 {
		t.Error("of two stores, either holds all and both must write")
	}
}
