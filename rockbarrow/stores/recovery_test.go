// SPDX-License-Identifier: MIT

package stores_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

func TestAWipedStoreCopiesBeforeItCounts(t *testing.T) {
	g := newGroup(t)
	g.must(g.run(g.client, stores.Turn{ID: "1", Program: "p", Most: 10, Budget: 30}, 10))
	// The second turn reaches two stores only.
	g.places[2].stop()
	g.must(g.run(g.client, stores.Turn{ID: "2", Program: "p", Previous: "1", Most: 10, Budget: 30}, 10))
	g.places[2].start()
	// The first store loses its disk and comes back as another life.
	g.places[0].stop()
	wiped := &place{t: t, dir: t.TempDir(), member: &fleetpb.Member{
		Instance: "store-0", Storage: 77, FailureDomain: "domain-0", Address: g.places[0].member.GetAddress(),
	}}
	wiped.start()
	g.places[0] = wiped
	members := []*fleetpb.Member{wiped.member, g.places[1].member, g.places[2].member}
	g.change(func(v *fleetpb.View) { v.Prior, v.Members = v.GetMembers(), members })
	g.await(2, g.places...)
	g.change(func(v *fleetpb.View) { v.Prior = nil })
	g.await(3, g.places...)
	// The only other holder of the second turn is lost right after the repair.
	g.places[1].stop()
	var over *stores.OverBudgetError
	grant, err := g.newClient().Reserve(context.Background(), stores.Turn{ID: "3", Program: "p", Previous: "2", Most: 10, Budget: 30})
	g.must(err)
	if want := "in 1\nout 1\nin 2\nout 2\n"; history(grant) != want {
		t.Errorf("history %q, want %q", history(grant), want)
	}
	if _, err := g.newClient().Reserve(context.Background(), stores.Turn{ID: "4", Program: "p", Most: 10, Budget: 30}); !errors.As(err, &over) {
		t.Errorf("%v: the budget is forgotten", err)
	}
}

func TestAllStoresRestart(t *testing.T) {
	g := newGroup(t)
	g.must(g.run(g.client, stores.Turn{ID: "1", Program: "p", Most: 10}, 5))
	for _, p := range g.places {
		p.stop()
	}
	for _, p := range g.places {
		p.start()
	}
	g.spread()
	c := g.newClient()
	g.must(g.run(c, stores.Turn{ID: "2", Program: "p", Previous: "1", Most: 10}, 5))
	var unknown *stores.UnknownTurnError
	if err := g.run(c, stores.Turn{ID: "3", Program: "p", Previous: "forged", Most: 10}, 5); !errors.As(err, &unknown) {
		t.Errorf("%v: stores that kept their disks are not believed", err)
	}
}

func TestACallUnderAnOlderViewIsTriedUnderTheNewOne(t *testing.T) {
	g := newGroup(t)
	old := g.newClient()
	g.change(func(v *fleetpb.View) { v.Prior = v.GetMembers() })
	g.await(2, g.places...)
	if _, err := old.Reserve(shortly(t), stores.Turn{ID: "1", Program: "p", Most: 10}); err == nil {
		t.Error("a call under an older view was taken")
	}
	old.Watch.UpdateState(g.state)
	g.must(g.run(old, stores.Turn{ID: "2", Program: "p", Most: 10}, 5))
}

// TestOneOfTwoStoresIsWiped: the copy that is left is read, and the emptied store
// takes it over before both write again.
func TestOneOfTwoStoresIsWiped(t *testing.T) {
	g := newGroup(t)
	two := g.state.GetView().GetMembers()[:2]
	g.change(func(v *fleetpb.View) { v.Prior, v.Members = v.GetMembers(), two })
	g.await(2, g.places[:2]...)
	g.change(func(v *fleetpb.View) { v.Prior = nil })
	g.await(3, g.places[:2]...)
	g.places[2].stop()
	g.must(g.run(g.client, stores.Turn{ID: "1", Program: "p", Most: 10}, 5))
	g.places[0].stop()
	wiped := &place{t: t, dir: t.TempDir(), member: &fleetpb.Member{
		Instance: "store-0", Storage: 77, FailureDomain: "domain-0", Address: g.places[0].member.GetAddress(),
	}}
	wiped.start()
	g.places = []*place{wiped, g.places[1]}
	g.change(func(v *fleetpb.View) {
		v.Prior, v.Members = v.GetMembers(), []*fleetpb.Member{wiped.member, g.places[1].member}
	})
	g.must(g.run(g.newClient(), stores.Turn{ID: "2", Program: "p", Previous: "1", Most: 10}, 5))
	g.await(2, g.places...)
}
