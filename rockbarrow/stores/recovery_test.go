// SPDX-License-Identifier: MIT

package stores_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

func TestWipedStoreCopiesBeforeServing(t *testing.T) {
	g := newTestCluster(t)
	g.noError(g.runTurn(g.client, stores.Turn{ID: "1", Program: "p", MaxTokens: 10, Budget: 30}, 10))
	// The second turn is written to two stores only.
	g.stores[2].stop()
	g.noError(g.runTurn(g.client, stores.Turn{ID: "2", Program: "p", Previous: "1", MaxTokens: 10, Budget: 30}, 10))
	g.stores[2].start()
	// The first store loses its disk and returns with a new storage id.
	g.stores[0].stop()
	wiped := &testStore{t: t, dir: t.TempDir(), member: &fleetpb.Member{
		Instance: "store-0", Storage: 77, FailureDomain: "domain-0", Address: g.stores[0].member.GetAddress(),
	}}
	wiped.start()
	g.stores[0] = wiped
	members := []*fleetpb.Member{wiped.member, g.stores[1].member, g.stores[2].member}
	g.changeView(func(v *fleetpb.View) { v.Prior, v.Members = v.GetMembers(), members })
	g.awaitCopied(2, g.stores...)
	g.changeView(func(v *fleetpb.View) { v.Prior = nil })
	g.awaitCopied(3, g.stores...)
	// The other store with the second turn stops right after the copy.
	g.stores[1].stop()
	var over *stores.OverBudgetError
	grant, err := g.newClient().Reserve(context.Background(), stores.Turn{ID: "3", Program: "p", Previous: "2", MaxTokens: 10, Budget: 30})
	g.noError(err)
	if want := "in 1\nout 1\nin 2\nout 2\n"; historyText(grant) != want {
		t.Errorf("history %q, want %q", historyText(grant), want)
	}
	if _, err := g.newClient().Reserve(context.Background(), stores.Turn{ID: "4", Program: "p", MaxTokens: 10, Budget: 30}); !errors.As(err, &over) {
		t.Errorf("%v, want an OverBudgetError", err)
	}
}

func TestRestartOfAllStores(t *testing.T) {
	g := newTestCluster(t)
	g.noError(g.runTurn(g.client, stores.Turn{ID: "1", Program: "p", MaxTokens: 10}, 5))
	for _, p := range g.stores {
		p.stop()
	}
	for _, p := range g.stores {
		p.start()
	}
	g.publishState()
	c := g.newClient()
	g.noError(g.runTurn(c, stores.Turn{ID: "2", Program: "p", Previous: "1", MaxTokens: 10}, 5))
	var unknown *stores.UnknownTurnError
	if err := g.runTurn(c, stores.Turn{ID: "3", Program: "p", Previous: "forged", MaxTokens: 10}, 5); !errors.As(err, &unknown) {
		t.Errorf("%v, want an UnknownTurnError from stores that kept their disks", err)
	}
}

func TestStaleViewIsRejected(t *testing.T) {
	g := newTestCluster(t)
	old := g.newClient()
	g.changeView(func(v *fleetpb.View) { v.Prior = v.GetMembers() })
	g.awaitCopied(2, g.stores...)
	if _, err := old.Reserve(shortContext(t), stores.Turn{ID: "1", Program: "p", MaxTokens: 10}); err == nil {
		t.Error("a call under an older view succeeded")
	}
	old.Watch.UpdateState(g.state)
	g.noError(g.runTurn(old, stores.Turn{ID: "2", Program: "p", MaxTokens: 10}, 5))
}

// TestWipedStoreOfTwoRecovers checks that a deployment of two stores recovers from
// the loss of one disk: the wiped store copies the records from the other one.
func TestWipedStoreOfTwoRecovers(t *testing.T) {
	g := newTestCluster(t)
	two := g.state.GetView().GetMembers()[:2]
	g.changeView(func(v *fleetpb.View) { v.Prior, v.Members = v.GetMembers(), two })
	g.awaitCopied(2, g.stores[:2]...)
	g.changeView(func(v *fleetpb.View) { v.Prior = nil })
	g.awaitCopied(3, g.stores[:2]...)
	g.stores[2].stop()
	g.noError(g.runTurn(g.client, stores.Turn{ID: "1", Program: "p", MaxTokens: 10}, 5))
	g.stores[0].stop()
	wiped := &testStore{t: t, dir: t.TempDir(), member: &fleetpb.Member{
		Instance: "store-0", Storage: 77, FailureDomain: "domain-0", Address: g.stores[0].member.GetAddress(),
	}}
	wiped.start()
	g.stores = []*testStore{wiped, g.stores[1]}
	g.changeView(func(v *fleetpb.View) {
		v.Prior, v.Members = v.GetMembers(), []*fleetpb.Member{wiped.member, g.stores[1].member}
	})
	g.noError(g.runTurn(g.newClient(), stores.Turn{ID: "2", Program: "p", Previous: "1", MaxTokens: 10}, 5))
	g.awaitCopied(2, g.stores...)
}
