// SPDX-License-Identifier: MIT

package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/turnhistory"
)

const (
	// recoverWithin is the time in which a turn must reach an endpoint once all instances have started again.
	recoverWithin = 15 * time.Second
	// continued is how many turns are continued at the most. Of them, late ended last before the loss, and deep have the longest chains; in
	// every forkedEvery-th case two programs continue the same turn.
	continued, late, deep, forkedEvery = 150, 70, 15, 6
	// continuedAge bounds the age of these turns at the loss, so that they are retained until all attempts have ended.
	continuedAge = 35 * time.Second
	// sameEvery is how many turns are continued for one under the name of the same program.
	sameEvery = 4
	// firstInterval is the pause between two first turns of new programs, and firstPatience how long each is sent.
	firstInterval, firstPatience = 100 * time.Millisecond, 4 * time.Second
	// clientConns is how many idle connections a client keeps to an entry instance.
	clientConns = 64
)

// dialer gives up on instances that are down.
var dialer = &net.Dialer{Timeout: time.Second}

// continueTurns has programs continue turns that were answered whole before the loss, and judges what becomes of them.
func (x *finalLoss) continueTurns(ctx context.Context) {
	turns := x.sampleTurns()
	x.tell("%d turns are continued", len(turns))
	a := &asker{
		soak: x.soak, client: newClient(), entries: x.soak.entries(), back: time.Now(), turns: make([]turnhistory.Turn, len(turns)),
		seed: x.soak.cfg.Seed,
	}
	defer a.client.CloseIdleConnections()
	var running, firsts sync.WaitGroup
	a.left.Store(int64(len(turns)))
	for i, t := range turns {
		same := t.Budget == 0 && x.r.IntN(sameEvery) == 0
		running.Go(func() { a.continueTurn(ctx, i, t, same) })
	}
	firsts.Go(func() { a.sendFirsts(ctx) })
	running.Wait()
	firsts.Wait()
	h := &turnhistory.History{Back: a.back, Until: a.until(), Turns: slices.Concat(a.turns, a.firsts), Full: a.full}
	for _, t := range h.Turns {
		for i := range t.Tries {
			// An endpoint may have begun after the client had gone.
			t.Tries[i].Reached = t.Tries[i].Reached || x.fleet.ledger.HasRun(t.Tries[i].ID)
		}
	}
	v := h.Judge()
	x.fleet.afterLoss.Store(&v)
	x.tell("%d of %d continued turns reached an endpoint, the first after %d ms, the last after %d ms; %d of %d first turns did",
		v.Reached, v.Asked, v.Earliest.Milliseconds(), v.Longest.Milliseconds(), v.FirstReached, v.FirstAsked)
	for _, text := range v.Violations {
		x.fleet.ledger.AddViolation("%s", text)
	}
}

// sampleTurns draws the turns that are continued.
func (x *finalLoss) sampleTurns() []*standin.CompletedTurn {
	list := x.fleet.ledger.TurnsSince(x.at.Add(-continuedAge))
	var out []*standin.CompletedTurn
	take := func(n int) {
		n = min(n, len(list))
		out = append(out, list[len(list)-n:]...)
		list = list[:len(list)-n]
	}
	take(late)
	slices.SortStableFunc(list, func(a, b *standin.CompletedTurn) int { return cmp.Compare(a.Depth, b.Depth) })
	take(deep)
	x.r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	take(continued - len(out))
	for i := 0; i+1 < len(out); i += forkedEvery {
		out[i] = out[i+1]
	}
	return out
}

// asker is the clients after the final loss.
type asker struct {
	soak    *soak
	client  *http.Client
	entries []string
	back    time.Time
	seed    uint64
	// left is how many continued turns have not been answered whole.
	left  atomic.Int64
	turns []turnhistory.Turn
	// mu guards firsts.
	mu     sync.Mutex
	firsts []turnhistory.Turn
	// full is true once endpoints were half full at the end of the time to recover.
	full bool
}

// until returns when the time to recover is over. Time in which the machine was too busy to run the soak does not count.
func (a *asker) until() time.Time {
	return a.back.Add(recoverWithin + a.soak.fleet.watchdog.stalled(a.back, time.Now()))
}

func (a *asker) goesOn(ctx context.Context) bool {
	return ctx.Err() == nil && time.Now().Before(a.until())
}

func (a *asker) continueTurn(ctx context.Context, i int, t *standin.CompletedTurn, same bool) {
	defer a.left.Add(-1)
	name := fmt.Sprintf("continuing%d-%d", a.seed, i)
	c := a.continuation(name, uint64(i))
	c.From, c.Customer, c.Secret = t, t.Customer, t.Secret
	if same {
		c.Name = t.Program
	}
	tries := c.Run(ctx, func() bool { return a.goesOn(ctx) })
	a.turns[i] = turnhistory.Turn{Program: c.Name, Previous: t.ID, Whole: t.Ended, Retention: retention, Tries: tries}
}

// sendFirsts sends first turns of new programs until all others have been answered or the time to recover is over.
func (a *asker) sendFirsts(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; a.left.Load() > 0 && a.goesOn(ctx); n++ {
		running.Go(func() { a.sendFirst(ctx, n) })
		if time.Now().After(a.until().Add(-turnhistory.RecentFirst)) && a.soak.fleet.isHalfFull("model") {
			a.full = true
		}
		wait.For(ctx, firstInterval)
	}
}

func (a *asker) sendFirst(ctx context.Context, n int) {
	c := a.continuation(fmt.Sprintf("first%d-%d", a.seed, n), uint64(continued+n))
	c.Customer, c.Secret = a.soak.fleet.customers.of(n)
	end := time.Now().Add(firstPatience)
	tries := c.Run(ctx, func() bool { return a.goesOn(ctx) && time.Now().Before(end) })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.firsts = append(a.firsts, turnhistory.Turn{Program: c.Name, Tries: tries})
}

// continuation returns a turn of a program.
func (a *asker) continuation(name string, n uint64) *standin.Continuation {
	return &standin.Continuation{
		Name: name, Input: name, Entries: a.entries, Host: host, TurnPath: "/turn/",
		Rand: rand.New(rand.NewPCG(a.seed, seedOfFinal+1000+n)), Recorder: a.soak.fleet.ledger, Client: a.client,
	}
}
