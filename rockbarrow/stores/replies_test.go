// SPDX-License-Identifier: MIT

package stores_test

import (
	"slices"
	"testing"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

// TestRepliesNameWhoAcknowledgedATurn guards against a turn that was acknowledged and lost of which nothing tells that it was: who
// stored it, under which view, and who denied it later.
func TestRepliesNameWhoAcknowledgedATurn(t *testing.T) {
	g := newTestCluster(t)
	g.stores[2].stop()
	grant, err := g.client.Reserve(t.Context(), stores.Turn{ID: "1", Program: "p", MaxTokens: 10})
	g.noError(err)
	if r := grant.StoredBy(); r.Epoch() != 0 || r.Stores() != nil {
		t.Errorf("stored by %v before it was", r)
	}
	g.noError(g.client.Settle(t.Context(), grant, 5, &fleetpb.Turn{Id: "1", Home: "p", Input: []byte("in")}))
	both := []string{"store-0", "store-1"}
	if r := grant.StoredBy(); r.Epoch() != 1 || r.IsChanging() || !slices.Equal(sorted(r.Stores()), both) || r.Incomplete() != nil {
		t.Errorf("stored by %+v, want %v under view 1", r, both)
	}

	_, err = g.newClient().Reserve(t.Context(), stores.Turn{ID: "2", Program: "p", Previous: "forged", MaxTokens: 10})
	var unknown *stores.UnknownTurnError
	if !errors.As(err, &unknown) {
		t.Fatalf("%v, want an UnknownTurnError", err)
	}
	if r := unknown.Replies; r.Epoch() != 1 || r.IsChanging() || !slices.Equal(sorted(r.Stores()), both) || r.Incomplete() != nil {
		t.Errorf("denied by %+v, want %v under view 1", r, both)
	}
}

// TestRepliesNameTheStoresOfTheChain guards against evidence that names the group of the program instead of the one that keeps the turn.
func TestRepliesNameTheStoresOfTheChain(t *testing.T) {
	g := newTestCluster(t)
	g.noError(g.runTurn(g.client, stores.Turn{ID: "1", Program: "p", MaxTokens: 10}, 5))
	c := g.newClient()
	grant, err := c.Reserve(t.Context(), stores.Turn{ID: "2", Program: "q", Previous: "1", MaxTokens: 10})
	g.noError(err)
	g.noError(c.Settle(t.Context(), grant, 5, &fleetpb.Turn{Id: "2", Previous: "1", Home: grant.Home()}))
	if r := grant.StoredBy(); r.Epoch() != 1 || len(r.Stores()) < 2 {
		t.Errorf("stored by %+v", r)
	}
	// A turn that is settled without its record is stored by nobody.
	grant, err = c.Reserve(t.Context(), stores.Turn{ID: "3", Program: "q", Previous: "2", MaxTokens: 10})
	g.noError(err)
	g.noError(c.Settle(t.Context(), grant, 5, nil))
	if r := grant.StoredBy(); r.Epoch() != 0 || r.Stores() != nil {
		t.Errorf("stored by %+v without a record", r)
	}
}

// TestRepliesTellWhichStoresAreIncomplete guards against a proof of absence of which the log does not tell whether those who gave it
// held all records.
func TestRepliesTellWhichStoresAreIncomplete(t *testing.T) {
	g := newTestCluster(t)
	all := g.state.GetView().GetMembers()
	g.changeView(func(v *fleetpb.View) { v.Prior, v.Members = all, all[:2] })
	g.awaitCopied(2, g.stores[:2]...)
	g.changeView(func(v *fleetpb.View) { v.Prior = nil })
	g.awaitCopied(3, g.stores[:2]...)
	// The third store missed the change and returns, and can't copy from the others' majority.
	g.stores[0].stop()
	g.changeView(func(v *fleetpb.View) { v.Prior, v.Members = all[:2], all })
	_, err := g.newClient().Reserve(t.Context(), stores.Turn{ID: "2", Program: "p", Previous: "forged", MaxTokens: 10})
	var unknown *stores.UnknownTurnError
	if !errors.As(err, &unknown) {
		t.Fatalf("%v, want an UnknownTurnError", err)
	}
	if r := unknown.Replies; r.Epoch() != 4 || !r.IsChanging() || !slices.Equal(sorted(r.Stores()), []string{"store-1", "store-2"}) {
		t.Errorf("denied by %+v, want store-1 and store-2 in the change to view 4", r)
	}
}

func sorted(names []string) []string { return slices.Sorted(slices.Values(names)) }
