// SPDX-License-Identifier: MIT

package stores_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// TestAReservationAsksAQuorumFirst: a store more is asked only where one of the quorum is gone, and what all were told by
// the settlement holds on whichever stores are left.
func TestAReservationAsksAQuorumFirst(t *testing.T) {
	g := newGroup(t)
	g.client.HedgeAfter = time.Hour
	asked := func(program string) (n int) {
		for _, p := range g.places {
			n += p.reserves.of(program)
		}
		return n
	}
	reserve := func(program string) {
		g.must(g.run(g.client, stores.Turn{ID: program + "-1", Program: program, Most: 10, Budget: 100}, 10))
	}
	reserve("p")
	for !g.client.Proven() {
		pauseBriefly()
	}
	const turns = 20
	for i := range turns {
		g.must(g.run(g.client, stores.Turn{ID: fmt.Sprint("q", i), Program: "q", Most: 1, Budget: 100}, 1))
	}
	if n := asked("q"); n != 2*turns {
		t.Errorf("%d questions for %d reservations of a quorum of two", n, turns)
	}
	g.places[1].stop()
	grant, err := g.client.Reserve(t.Context(), stores.Turn{ID: "2", Program: "p", Previous: "p-1", Most: 10, Budget: 100})
	g.must(err)
	if want := "in p-1\nout p-1\n"; history(grant) != want {
		t.Errorf("with a store gone: history %q, want %q", history(grant), want)
	}
	var over *stores.OverBudgetError
	if _, err := g.client.Reserve(t.Context(), stores.Turn{ID: "3", Program: "p", Most: 81, Budget: 100}); !errors.As(err, &over) {
		t.Errorf("%v: what was settled before is forgotten", err)
	}
}

// TestBeforeStoresAreChosenNothingIsReserved: a view without members is an error to who reserves, and no fault.
func TestBeforeStoresAreChosenNothingIsReserved(t *testing.T) {
	w := &watch.Client{Self: &fleetpb.Member{Instance: "entry"}, Log: quiet()}
	w.UpdateState(&fleetpb.State{Number: 1, View: &fleetpb.View{Epoch: 1, Copies: 3}})
	c := &stores.Client{Watch: w, Pool: &dial.Pool{}, Turns: &stores.Cache{Bytes: 1 << 10}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var unavailable *stores.UnavailableError
	if _, err := c.Reserve(ctx, stores.Turn{ID: "1", Program: "p", Most: 1}); !errors.As(err, &unavailable) {
		t.Errorf("%v, want an UnavailableError", err)
	}
}

func TestOneLostStoreCostsNothingTwoAreToldAsUnavailable(t *testing.T) {
	g := newGroup(t)
	g.must(g.run(g.client, stores.Turn{ID: "1", Program: "p", Most: 10}, 5))
	g.places[0].stop()
	g.must(g.run(g.newClient(), stores.Turn{ID: "2", Program: "p", Previous: "1", Most: 10}, 5))
	var unknown *stores.UnknownTurnError
	if err := g.run(g.client, stores.Turn{ID: "x", Program: "p", Previous: "forged", Most: 10}, 5); !errors.As(err, &unknown) {
		t.Errorf("%v, want an unknown turn", err)
	}
	g.places[1].stop()
	var unavailable *stores.UnavailableError
	c := g.newClient()
	if _, err := c.Reserve(shortly(t), stores.Turn{ID: "3", Program: "p", Previous: "2", Most: 10}); !errors.As(err, &unavailable) {
		t.Errorf("%v, want unavailable stores, never an unknown turn", err)
	}
	if c.Reachable() {
		t.Error("two of three stores are lost and a majority counts as reachable")
	}
	if !g.newClient().Reaches("p") {
		t.Error("a program whose stores were not called yet is refused")
	}
}

// TestAProcessThatStartsReachesStoresOnceTheyAnswer: behind a cut a new process must
// not count stores as reached that it has never heard.
func TestAProcessThatStartsReachesStoresOnceTheyAnswer(t *testing.T) {
	g := newGroup(t)
	c := g.newClient()
	if c.Reachable() {
		t.Fatal("stores that never answered count as reached")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx)
	for !c.Reachable() {
		if err := t.Context().Err(); err != nil {
			t.Fatal(err)
		}
		pauseBriefly()
	}
}

// shortly returns a context for calls that can't succeed.
func shortly(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// TestAnIdleInstanceNoticesThatItIsCutOff: it makes no calls of its own, and most
// voters fall silent together with most stores.
func TestAnIdleInstanceNoticesThatItIsCutOff(t *testing.T) {
	g := newGroup(t)
	c := g.newClient()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go c.Run(ctx)
	until := func(reachable bool) {
		t.Helper()
		for c.Reachable() != reachable {
			if err := ctx.Err(); err != nil {
				t.Fatalf("reachable is not %v: %v", reachable, err)
			}
			pauseBriefly()
		}
	}
	until(true)
	g.change(func(*fleetpb.View) {})
	c.Watch.UpdateState(&fleetpb.State{Number: g.state.GetNumber() + 1, View: g.state.GetView(), Voters: []*fleetpb.Member{{Instance: "silent"}}})
	g.places[0].stop()
	g.places[1].stop()
	until(false)
}

// TestAProcessThatStartsBeforeItsStoresWaitsForThem: after a loss of power of all
// instances an entry may come up first; its turns wait for the stores.
func TestAProcessThatStartsBeforeItsStoresWaitsForThem(t *testing.T) {
	g := newGroup(t)
	for _, p := range g.places {
		p.stop()
	}
	c := g.newClient()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx)
	// Its probes have failed by the time they have had their longest.
	pause := time.NewTimer(2 * probesFail)
	<-pause.C
	if !c.Reaches("p") {
		t.Fatal("turns are refused at once for stores that may be starting")
	}
	for _, p := range g.places {
		p.start()
	}
	g.spread()
	g.must(g.run(c, stores.Turn{ID: "1", Program: "p", Most: 10}, 5))
}

// probesFail is more than a probe takes to fail at an address where nobody listens.
const probesFail = 300 * time.Millisecond
