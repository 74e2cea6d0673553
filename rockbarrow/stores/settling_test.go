// SPDX-License-Identifier: MIT

package stores_test

import (
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/stores"
)

// TestSettlementsInTheBackgroundAreAwaited guards against reservations that count with their maximum for good, so that later turns
// exceed their budget, because the process ended before they were settled.
func TestSettlementsInTheBackgroundAreAwaited(t *testing.T) {
	g := newTestCluster(t)
	other := g.newClient()
	const budget, most = 100, 80
	for _, release := range []bool{false, true} {
		ending := g.newClient()
		program := "settled"
		if release {
			program = "released"
		}
		grant, err := ending.Reserve(t.Context(), stores.Turn{ID: program + "-1", Program: program, MaxTokens: most, Budget: budget})
		g.noError(err)
		if release {
			ending.Release(t.Context(), grant)
		} else {
			ending.SettleAsync(t.Context(), grant, budget-most, incarnation.ID{})
		}
		ending.AwaitSettled()
		ending.Pool.Close()
		if _, err := other.Reserve(t.Context(), stores.Turn{ID: program + "-2", Program: program, MaxTokens: most, Budget: budget}); err != nil {
			t.Errorf("a turn after one that was %s: %v", program, err)
		}
	}
}

// TestSettlementsOutliveARestartOfStores guards against reservations that count with their maximum for good because most stores of the
// program were stopped when they were to be settled.
func TestSettlementsOutliveARestartOfStores(t *testing.T) {
	g := newTestCluster(t)
	go g.client.Run(t.Context())
	const budget, most = 100, 80
	grant, err := g.client.Reserve(t.Context(), stores.Turn{ID: "1", Program: "p", MaxTokens: most, Budget: budget})
	g.noError(err)
	for _, s := range g.stores {
		s.stop()
	}
	g.client.Release(t.Context(), grant)
	<-time.After(2 * time.Second)
	for _, s := range g.stores {
		s.start()
	}
	g.publishState()
	for !g.client.ProgramReachable("p") {
		sleepBriefly()
	}
	g.client.AwaitSettled()
	if _, err := g.client.Reserve(t.Context(), stores.Turn{ID: "2", Program: "p", MaxTokens: most, Budget: budget}); err != nil {
		t.Errorf("a turn after one that was released while the stores started again: %v", err)
	}
}
