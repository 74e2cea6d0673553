// SPDX-License-Identifier: MIT

package stores_test

import (
	"context"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

// TestTurnIsFoundDuringAViewChange guards against 404 for a turn that was answered whole:
// it was written to the new members during a view change, and one of two prior members,
// which was down meanwhile, denied it alone.
func TestTurnIsFoundDuringAViewChange(t *testing.T) {
	g := newTestCluster(t)
	all := g.state.GetView().GetMembers()
	g.changeView(func(v *fleetpb.View) { v.Prior, v.Members = all, all[:2] })
	g.awaitCopied(2, g.stores[:2]...)
	g.changeView(func(v *fleetpb.View) { v.Prior = nil })
	g.awaitCopied(3, g.stores[:2]...)

	g.stores[0].stop()
	g.changeView(func(v *fleetpb.View) { v.Prior, v.Members = all[:2], all })
	g.noError(g.runTurn(g.client, stores.Turn{ID: "1", Program: "p", MaxTokens: 10, Budget: 30}, 10))

	// The store that missed the turn answers first.
	for _, s := range g.stores[1:] {
		s.stop()
		s.lookupDelay = 100 * time.Millisecond
		s.start()
	}
	g.stores[0].start()
	g.publishState()
	c := g.newClient()
	c.Domain = g.stores[0].member.GetFailureDomain()
	for _, id := range []string{"2", "3"} {
		// Program q looks the turn up on all stores.
		program := map[string]string{"2": "p", "3": "q"}[id]
		grant, err := c.Reserve(context.Background(), stores.Turn{ID: id, Program: program, Previous: "1", MaxTokens: 10, Budget: 30})
		g.noError(err)
		if want := "in 1\nout 1\n"; historyText(grant) != want {
			t.Errorf("program %s: history %q, want %q", program, historyText(grant), want)
		}
		c = g.newClient()
		c.Domain = g.stores[0].member.GetFailureDomain()
	}
}

// TestViewChangeRightBehindAnotherEnds guards against a deployment that never serves again:
// no store had heard of the end of a view change when the next one began, so that none
// counted as complete and all waited for each other's records.
func TestViewChangeRightBehindAnotherEnds(t *testing.T) {
	g := newTestCluster(t)
	g.noError(g.runTurn(g.client, stores.Turn{ID: "1", Program: "p", MaxTokens: 10, Budget: 30}, 10))
	all := g.state.GetView().GetMembers()
	g.changeView(func(v *fleetpb.View) { v.Prior, v.Members = all, all[:2] })
	g.awaitCopied(2, g.stores[:2]...)
	// The view that ends the change is published to nobody.
	g.state = &fleetpb.State{Number: g.state.GetNumber(), View: &fleetpb.View{Epoch: 3, Copies: 3, Members: all[:2]}}
	g.changeView(func(v *fleetpb.View) { v.Prior, v.Members = all[:2], all })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for _, s := range g.stores {
		for s.store.CompleteEpoch() < 4 {
			if err := ctx.Err(); err != nil {
				t.Fatalf("%s has not copied: %v", s.member.GetInstance(), err)
			}
			sleepBriefly()
		}
	}
	g.noError(g.runTurn(g.newClient(), stores.Turn{ID: "2", Program: "p", Previous: "1", MaxTokens: 10, Budget: 30}, 10))
}

// TestStoreThatMissedTheEndOfAChangeIsComplete guards against turns that reach no endpoint again after the loss of one disk: a store was down as
// a change ended that left it nothing to copy, and could not be read from or become complete without the store that was lost then.
func TestStoreThatMissedTheEndOfAChangeIsComplete(t *testing.T) {
	g := newTestCluster(t)
	g.noError(g.runTurn(g.client, stores.Turn{ID: "1", Program: "p", MaxTokens: 10, Budget: 30}, 10))
	empty := func(i int, storage uint64) {
		g.stores[i].stop()
		m := g.stores[i].member
		g.stores[i] = &testStore{t: t, dir: t.TempDir(), member: &fleetpb.Member{
			Instance: m.GetInstance(), Storage: storage, FailureDomain: m.GetFailureDomain(), Address: m.GetAddress(),
		}}
		g.stores[i].start()
	}
	members := func() (out []*fleetpb.Member) {
		for _, s := range g.stores {
			out = append(out, s.member)
		}
		return out
	}
	publishTo := func(list ...*testStore) {
		for _, s := range list {
			s.watch.UpdateState(g.state)
		}
	}
	next := func(v *fleetpb.View) { g.state = &fleetpb.State{Number: g.state.GetNumber() + 1, View: v} }
	// The third store is copied from, and is down before it hears of the change.
	all := members()
	empty(0, 77)
	next(&fleetpb.View{Epoch: 2, Copies: 3, Members: members(), Prior: all})
	publishTo(g.stores[:2]...)
	g.awaitCopied(2, g.stores[:2]...)
	g.stores[2].stop()
	next(&fleetpb.View{Epoch: 3, Copies: 3, Members: members(), PriorEpoch: 1})
	publishTo(g.stores[:2]...)
	g.awaitCopied(3, g.stores[:2]...)
	// The second one loses its disk before the third one is back.
	before := members()
	empty(1, 78)
	g.stores[2].start()
	next(&fleetpb.View{Epoch: 3, Copies: 3, Members: before, PriorEpoch: 1})
	g.publishState()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for g.stores[2].store.CompleteEpoch() < 3 {
		if ctx.Err() != nil {
			t.Fatal("the store that missed the end of the change has not become complete")
		}
		sleepBriefly()
	}
	next(&fleetpb.View{Epoch: 4, Copies: 3, Members: members(), Prior: before, PriorEpoch: 1})
	g.publishState()
	g.awaitCopied(4, g.stores...)
	next(&fleetpb.View{Epoch: 5, Copies: 3, Members: members()})
	g.publishState()
	grant, err := g.newClient().Reserve(t.Context(), stores.Turn{ID: "2", Program: "p", Previous: "1", MaxTokens: 10, Budget: 30})
	g.noError(err)
	if want := "in 1\nout 1\n"; historyText(grant) != want {
		t.Errorf("history %q, want %q", historyText(grant), want)
	}
}

// TestAbandonedViewChangeKeepsItsRecords guards against the loss of turns that were written
// during a view change, of which a new member was then lost.
func TestAbandonedViewChangeKeepsItsRecords(t *testing.T) {
	g := newTestCluster(t)
	all := g.state.GetView().GetMembers()
	g.changeView(func(v *fleetpb.View) { v.Prior, v.Members = all, all[:2] })
	g.awaitCopied(2, g.stores[:2]...)
	g.changeView(func(v *fleetpb.View) { v.Prior = nil })
	g.awaitCopied(3, g.stores[:2]...)

	// The turn reaches one prior member and the new one, which is lost.
	g.stores[1].stop()
	g.changeView(func(v *fleetpb.View) { v.Prior, v.Members = all[:2], all })
	g.noError(g.runTurn(g.client, stores.Turn{ID: "1", Program: "p", MaxTokens: 10, Budget: 30}, 10))
	g.stores[2].stop()
	g.stores[1].start()
	g.changeView(func(v *fleetpb.View) {
		v.Abandoned = []*fleetpb.MemberSet{{Members: v.GetMembers()}}
		v.Members, v.PriorEpoch = v.GetPrior(), 3
	})
	g.awaitCopied(5, g.stores[:2]...)
	g.changeView(func(v *fleetpb.View) { v.Prior = nil })
	g.awaitCopied(6, g.stores[:2]...)

	r, err := g.stores[1].store.Lookup(t.Context(), &fleetpb.LookupRequest{Epoch: 6, Storage: 2, Turn: "1"})
	g.noError(err)
	if !r.GetFound() {
		t.Errorf("the store that was down lacks the turn: %v", r)
	}
	grant, err := g.newClient().Reserve(t.Context(), stores.Turn{ID: "2", Program: "p", Previous: "1", MaxTokens: 10, Budget: 30})
	g.noError(err)
	if want := "in 1\nout 1\n"; historyText(grant) != want {
		t.Errorf("history %q, want %q", historyText(grant), want)
	}
}
