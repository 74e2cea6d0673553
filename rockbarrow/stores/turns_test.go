// SPDX-License-Identifier: MIT

package stores_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

func TestHistoryAcrossEntries(t *testing.T) {
	g := newTestCluster(t)
	g.noError(g.runTurn(g.client, stores.Turn{ID: "1", Program: "p", MaxTokens: 10}, 5))
	g.noError(g.runTurn(g.newClient(), stores.Turn{ID: "2", Program: "p", Previous: "1", MaxTokens: 10}, 5))
	// Another program continues from a turn of the first.
	g.noError(g.runTurn(g.newClient(), stores.Turn{ID: "3", Program: "q", Previous: "2", MaxTokens: 10}, 5))
	grant, err := g.newClient().Reserve(context.Background(), stores.Turn{ID: "4", Program: "r", Previous: "3", MaxTokens: 10})
	g.noError(err)
	want := "in 1\nout 1\nin 2\nout 2\nin 3\nout 3\n"
	if got := historyText(grant); got != want || grant.Home() != "p" {
		t.Errorf("history %q at home %s, want %q at p", got, grant.Home(), want)
	}
}

// TestTurnOfAnotherCustomerIsUnknown checks that a customer can't continue from
// another customer's turn, also if it is cached. A turn without a customer can be
// continued by anyone who knows its id.
func TestTurnOfAnotherCustomerIsUnknown(t *testing.T) {
	g := newTestCluster(t)
	one, other := g.newClient(), g.newClient()
	keep := func(id, customer string) {
		grant, err := one.Reserve(t.Context(), stores.Turn{ID: id, Program: "p", Customer: customer, MaxTokens: 1, Retention: time.Minute})
		g.noError(err)
		g.noError(one.Settle(t.Context(), grant, 1, &fleetpb.Turn{Id: id, Home: grant.Home(), Input: []byte("in"), Customer: customer, RetainMs: 60_000}))
	}
	keep("of-a", "a")
	keep("of-nobody", "")
	for _, c := range []*stores.Client{one, other} {
		for _, test := range []struct {
			previous, customer string
			known              bool
		}{{"of-a", "a", true}, {"of-a", "b", false}, {"of-a", "", false}, {"of-nobody", "b", true}, {"of-nobody", "", true}} {
			_, err := c.Reserve(t.Context(), stores.Turn{ID: test.previous + "/" + test.customer, Program: "p", Customer: test.customer, Previous: test.previous, MaxTokens: 1, Retention: time.Minute})
			var unknown *stores.UnknownTurnError
			if errors.As(err, &unknown) == test.known {
				t.Errorf("customer %q continues from %s: %v", test.customer, test.previous, err)
			}
		}
	}
}

func TestBudgetAcrossEntries(t *testing.T) {
	g := newTestCluster(t)
	turn := func(id string) stores.Turn { return stores.Turn{ID: id, Program: "p", MaxTokens: 100, Budget: 250} }
	g.noError(g.runTurn(g.client, turn("1"), 100))
	g.noError(g.runTurn(g.newClient(), turn("2"), 40))
	// 140 tokens are spent; one more turn of up to 100 fits, two do not.
	held, err := g.newClient().Reserve(context.Background(), turn("3"))
	g.noError(err)
	var over *stores.OverBudgetError
	if _, err := g.newClient().Reserve(context.Background(), turn("4")); !errors.As(err, &over) || over.Used != 240 {
		t.Fatalf("%v, want 240 tokens used", err)
	}
	// The rejected attempts were released, so another turn fits.
	g.noError(g.client.Settle(context.Background(), held, 10, nil))
	g.noError(g.runTurn(g.newClient(), turn("5"), 100))
}

// Guards against retries and store calls for a program whose settled tokens leave no room:
// looping programs ask many times.
func TestSpentBudgetIsRefusedWithoutTheStores(t *testing.T) {
	g := newTestCluster(t)
	turn := func(id string) stores.Turn {
		return stores.Turn{ID: id, Program: "p", MaxTokens: 100, Budget: 150, Retention: time.Minute}
	}
	g.noError(g.runTurn(g.client, turn("1"), 100))
	c := g.newClient()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for i, ctx := range []context.Context{context.Background(), ended} {
		// The second call could not reach any store.
		var over *stores.OverBudgetError
		if _, err := c.Reserve(ctx, turn(fmt.Sprint("2-", i))); !errors.As(err, &over) || over.Settled != 100 {
			t.Errorf("call %d: %v, want an OverBudgetError with 100 settled tokens", i, err)
		}
	}
}

func TestConcurrentTurnsNeverExceedTheBudget(t *testing.T) {
	g := newTestCluster(t)
	var running sync.WaitGroup
	var mu sync.Mutex
	granted := 0
	for i := range 12 {
		c := g.newClient()
		running.Go(func() {
			_, err := c.Reserve(context.Background(), stores.Turn{ID: fmt.Sprint(i), Program: "p", MaxTokens: 100, Budget: 500})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				granted++
			}
		})
	}
	running.Wait()
	if granted > 5 {
		t.Errorf("%d turns of 100 tokens were granted in a budget of 500", granted)
	}
}
