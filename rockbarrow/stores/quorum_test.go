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

// TestReserveCallsOnlyAQuorum checks that a reservation calls further stores
// only if one of the quorum fails, and that settlements reach all stores.
func TestReserveCallsOnlyAQuorum(t *testing.T) {
	g := newTestCluster(t)
	g.client.HedgeDelay = time.Hour
	reserveCalls := func(program string) (n int) {
		for _, p := range g.stores {
			n += p.reserveCalls.count(program)
		}
		return n
	}
	reserve := func(program string) {
		g.noError(g.runTurn(g.client, stores.Turn{ID: program + "-1", Program: program, MaxTokens: 10, Budget: 100}, 10))
	}
	reserve("p")
	for !g.client.AllAnswered() {
		sleepBriefly()
	}
	const turns = 20
	for i := range turns {
		g.noError(g.runTurn(g.client, stores.Turn{ID: fmt.Sprint("q", i), Program: "q", MaxTokens: 1, Budget: 100}, 1))
	}
	if n := reserveCalls("q"); n != 2*turns {
		t.Errorf("%d calls for %d reservations, want a quorum of two each", n, turns)
	}
	g.stores[1].stop()
	grant, err := g.client.Reserve(t.Context(), stores.Turn{ID: "2", Program: "p", Previous: "p-1", MaxTokens: 10, Budget: 100})
	g.noError(err)
	if want := "in p-1\nout p-1\n"; historyText(grant) != want {
		t.Errorf("with one store stopped: history %q, want %q", historyText(grant), want)
	}
	var over *stores.OverBudgetError
	if _, err := g.client.Reserve(t.Context(), stores.Turn{ID: "3", Program: "p", MaxTokens: 81, Budget: 100}); !errors.As(err, &over) {
		t.Errorf("%v, want an OverBudgetError that counts the earlier settlement", err)
	}
}

// TestReserveWithoutMembers guards against a panic when the view has no members yet.
func TestReserveWithoutMembers(t *testing.T) {
	w := &watch.Client{Self: &fleetpb.Member{Instance: "entry"}, Log: discardLogger()}
	w.UpdateState(&fleetpb.State{Number: 1, View: &fleetpb.View{Epoch: 1, Copies: 3}})
	c := &stores.Client{Watch: w, Pool: &dial.Pool{}, TurnCache: &stores.Cache{MaxBytes: 1 << 10}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var unavailable *stores.UnavailableError
	if _, err := c.Reserve(ctx, stores.Turn{ID: "1", Program: "p", MaxTokens: 1}); !errors.As(err, &unavailable) {
		t.Errorf("%v, want an UnavailableError", err)
	}
}

func TestReserveWithStoresDown(t *testing.T) {
	g := newTestCluster(t)
	g.noError(g.runTurn(g.client, stores.Turn{ID: "1", Program: "p", MaxTokens: 10}, 5))
	g.stores[0].stop()
	g.noError(g.runTurn(g.newClient(), stores.Turn{ID: "2", Program: "p", Previous: "1", MaxTokens: 10}, 5))
	var unknown *stores.UnknownTurnError
	if err := g.runTurn(g.client, stores.Turn{ID: "x", Program: "p", Previous: "forged", MaxTokens: 10}, 5); !errors.As(err, &unknown) {
		t.Errorf("%v, want an UnknownTurnError", err)
	}
	g.stores[1].stop()
	var unavailable *stores.UnavailableError
	c := g.newClient()
	if _, err := c.Reserve(shortContext(t), stores.Turn{ID: "3", Program: "p", Previous: "2", MaxTokens: 10}); !errors.As(err, &unavailable) {
		t.Errorf("%v, want an UnavailableError", err)
	}
	if c.Reachable() {
		t.Error("Reachable is true with two of three stores stopped")
	}
	if !g.newClient().ProgramReachable("p") {
		t.Error("ProgramReachable is false for stores that were not called yet")
	}
}

// TestReachableOnlyAfterAnAnswer guards against counting stores
// as reachable that never answered: a new process may be inside a network partition.
func TestReachableOnlyAfterAnAnswer(t *testing.T) {
	g := newTestCluster(t)
	c := g.newClient()
	if c.Reachable() {
		t.Fatal("Reachable is true although no store has answered")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx)
	for !c.Reachable() {
		if err := t.Context().Err(); err != nil {
			t.Fatal(err)
		}
		sleepBriefly()
	}
}

// shortContext returns a context with a short timeout, for calls that can't succeed.
func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// TestIdleInstanceDetectsPartition checks that probes detect a partition
// while the instance makes no calls of its own.
func TestIdleInstanceDetectsPartition(t *testing.T) {
	g := newTestCluster(t)
	c := g.newClient()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go c.Run(ctx)
	until := func(reachable bool) {
		t.Helper()
		for c.Reachable() != reachable {
			if err := ctx.Err(); err != nil {
				t.Fatalf("Reachable did not become %v: %v", reachable, err)
			}
			sleepBriefly()
		}
	}
	until(true)
	g.changeView(func(*fleetpb.View) {})
	c.Watch.UpdateState(&fleetpb.State{Number: g.state.GetNumber() + 1, View: g.state.GetView(), Voters: []*fleetpb.Member{{Instance: "silent"}}})
	g.stores[0].stop()
	g.stores[1].stop()
	until(false)
}

// TestEntryStartsBeforeStores guards against rejecting turns
// when an entry instance starts before its stores, as after a power failure.
func TestEntryStartsBeforeStores(t *testing.T) {
	g := newTestCluster(t)
	for _, p := range g.stores {
		p.stop()
	}
	c := g.newClient()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx)
	// Wait until the first probes have failed.
	pause := time.NewTimer(2 * probeFailureTime)
	<-pause.C
	if !c.ProgramReachable("p") {
		t.Fatal("ProgramReachable is false for stores that may be starting")
	}
	for _, p := range g.stores {
		p.start()
	}
	g.publishState()
	g.noError(g.runTurn(c, stores.Turn{ID: "1", Program: "p", MaxTokens: 10}, 5))
}

// probeFailureTime is longer than a probe takes to fail at an address without a listener.
const probeFailureTime = 300 * time.Millisecond
