// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// mostStarts is how often an endpoint starts again in one series.
	mostStarts = 5
	// startedWithin is the most between two starts of a series, so that several fall into the time of one reading of
	// the list.
	startedWithin = 200 * time.Millisecond
	// clockStep is the most by which an endpoint's clock is set back between two starts.
	clockStep = time.Hour
	// usedWithin is how long after the last fault each endpoint has to get a request: an endpoint that failed often
	// is left out for up to 30 s, but one that has started again has failed nothing.
	usedWithin = 20 * time.Second
)

// restartEndpoint lets one end, in the middle of whatever it does or after it has left, and start again under its
// id at another address.
func restartEndpoint(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	f.replacing.Lock()
	defer f.replacing.Unlock()
	old := f.endpoint(r)
	if r.IntN(2) == 0 {
		leave(ctx, f, old, last)
	} else {
		f.removeEndpoint(old)
		old.Close()
	}
	wait.For(ctx, last/4)
	if err := f.startEndpoint(f.nextLife(old, r), anyPort); err != nil {
		f.ledger.AddViolation("%v", err)
	}
}

// bounceEndpoint ends one in the middle of whatever it does, and starts it again where it was, several times. The list
// tells nothing of it.
func bounceEndpoint(ctx context.Context, f *fleet, r *rand.Rand, _ time.Duration) {
	f.replacing.Lock()
	defer f.replacing.Unlock()
	old := f.endpoint(r)
	for range 1 + r.IntN(mostStarts) {
		next := f.nextLife(old, r)
		f.ledger.Count("starts of endpoints at their address")
		if err := next.Replace(old); err != nil {
			f.ledger.AddViolation("%s: %v", old.ID, err)
			f.removeEndpoint(old)
			return
		}
		f.swapEndpoint(old, next)
		old = next
		wait.For(ctx, time.Duration(r.Int64N(int64(startedWithin))))
	}
}

// nextLife is an endpoint that comes after another one under its id. Some clocks are set back, and some tell no time.
func (f *fleet) nextLife(old *standin.Endpoint, r *rand.Rand) *standin.Endpoint {
	e := f.newEndpoint(old.ID, old.Service, old.Domain)
	switch r.IntN(6) {
	case 0:
		e.StartMS = old.StartMS - uint64(1+r.Int64N(clockStep.Milliseconds()))
	case 1:
		e.StartReport = standin.ReportNoStart
	case 2:
		e.StartReport = standin.ReportInvalidStart
	}
	return e
}

// swapEndpoint puts one life in the place of another in the list.
func (f *fleet) swapEndpoint(old, next *standin.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = slices.Clone(f.endpoints)
	f.endpoints[slices.Index(f.endpoints, old)] = next
	f.publish()
}

// checkEndpoints breaks a promise unless each life that runs gets requests once the faults are over.
func (f *fleet) checkEndpoints(ctx context.Context, entries []string) {
	f.replacing.Lock()
	defer f.replacing.Unlock()
	f.mu.Lock()
	before := map[*standin.Endpoint]int64{}
	for _, e := range f.endpoints {
		before[e] = e.RequestCount()
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, usedWithin)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	r := rand.New(rand.NewPCG(seedOfOperators, uint64(len(before))))
	for n := 0; ctx.Err() == nil; n++ {
		p := &standin.Program{
			Name: fmt.Sprint("last-", n), Turns: 1, Entries: entries, Host: host, TurnPath: "/turn/", OncePath: "/once/",
			RepeatPath: "/repeat/", Rand: r, Recorder: f.ledger, Client: client,
		}
		p.Customer, p.Secret = f.customers.of(n)
		p.Run(ctx)
		for e, taken := range before {
			if e.RequestCount() > taken {
				delete(before, e)
			}
		}
		if len(before) == 0 {
			return
		}
	}
	for e := range before {
		f.ledger.AddViolation("%s, born %d, got no request in %v after the faults", e.ID, e.StartMS, usedWithin)
	}
}

// backAfter is the time from the crash of an endpoint to the start of another one in its place, and the time for which the
// list still shows the crashed one.
const backAfter = 1500 * time.Millisecond

// crash ends an endpoint and starts another one in its place, unless a fault has replaced it or is about to.
func (f *fleet) crash(e *standin.Endpoint) bool {
	if !f.replacing.TryLock() {
		return false
	}
	defer f.replacing.Unlock()
	f.mu.Lock()
	listed := slices.Contains(f.endpoints, e)
	f.crashed[e] = listed
	f.mu.Unlock()
	if !listed {
		// Its listener may be that of the next one.
		return false
	}
	e.Close()
	f.replacements.Go((&replacement{fleet: f, old: e}).run)
	return true
}

// replacement puts an endpoint with a new id in the place of one that has crashed.
type replacement struct {
	fleet *fleet
	old   *standin.Endpoint
}

func (r *replacement) run() {
	time.Sleep(backAfter)
	r.fleet.removeEndpoint(r.old)
	if _, err := r.fleet.addEndpoint(r.old.Service, r.old.Domain); err != nil {
		r.fleet.ledger.AddViolation("%v", err)
	}
}

// crashEndpoint ends one by chance, in the middle of whatever it does.
func crashEndpoint(_ context.Context, f *fleet, r *rand.Rand, _ time.Duration) { f.endpoint(r).End() }
