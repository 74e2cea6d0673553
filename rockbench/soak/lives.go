// SPDX-License-Identifier: MIT

package soak

import (
	"cmp"
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
	var old *standin.Endpoint
	if r.IntN(2) == 0 {
		if old = f.take(r, phaseLeaving); old != nil {
			leave(ctx, f, old, last)
		}
	} else if old = f.take(r, phaseEnding); old != nil {
		f.removeEndpoint(old)
		old.Close()
	}
	if old == nil {
		return
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
	old := f.take(r, phaseEnding)
	for range 1 + r.IntN(mostStarts) {
		if old == nil {
			return
		}
		next := f.nextLife(old, r)
		f.ledger.Count("starts of endpoints at their address")
		if err := next.Replace(old); err != nil {
			f.ledger.AddViolation("%s: %v", old.ID, err)
			f.removeEndpoint(old)
			return
		}
		f.swapEndpoint(old, next)
		wait.For(ctx, time.Duration(r.Int64N(int64(startedWithin))))
		old = f.claim(next, phaseEnding)
	}
	f.release(old)
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

// silentFor is the same for an endpoint that falls silent, unless a test sets another time: the platform notices it later.
const silentFor = 5 * time.Second

// phase is what becomes of an endpoint that does not stay.
type phase int

const (
	phaseStaying phase = iota
	// phaseLeaving is an endpoint that drains, and that a fault closes.
	phaseLeaving
	// phaseEnding is one that a fault closes at once. Its listener may be that of the next one.
	phaseEnding
	// phaseCrashed is one that has ended by itself, and may still be listed.
	phaseCrashed
)

// endWithin bounds the time in which a fault closes an endpoint that it ends.
const endWithin = 5 * time.Second

// crash ends an endpoint or has it fall silent, unless it is the last one of its service, and starts another one in its place. It
// reports whether the endpoint has ended.
func (f *fleet) crash(e *standin.Endpoint, silent bool) bool {
	f.mu.Lock()
	was, listed := f.phases[e], slices.Contains(f.endpoints, e)
	if !listed || was == phaseEnding {
		f.mu.Unlock()
		return e.AwaitEnd(endWithin)
	}
	if !f.hasOther(e) {
		f.mu.Unlock()
		return false
	}
	f.phases[e] = phaseCrashed
	f.mu.Unlock()
	f.endOf(e, silent)
	if was == phaseStaying {
		after := backAfter
		if silent {
			after = cmp.Or(f.silentFor, silentFor)
		}
		f.replacements.Go((&replacement{fleet: f, old: e, after: after}).run)
	}
	return true
}

// endOf closes an endpoint or has it fall silent. A silent one is closed with the fleet.
func (f *fleet) endOf(e *standin.Endpoint, silent bool) {
	if !silent {
		e.Close()
		return
	}
	if err := e.Silence(); err != nil {
		f.ledger.AddViolation("%s: %v", e.ID, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = append(f.silent, e)
}

// hasOther reports whether another endpoint of the same service stays; the caller holds mu.
func (f *fleet) hasOther(e *standin.Endpoint) bool {
	return slices.ContainsFunc(f.endpoints, func(o *standin.Endpoint) bool {
		return o != e && o.Service == e.Service && f.phases[o] == phaseStaying
	})
}

// take draws an endpoint that stays for a fault that ends it, or returns nil.
func (f *fleet) take(r *rand.Rand, p phase) *standin.Endpoint { return f.claim(f.endpoint(r), p) }

// claim returns an endpoint that stays, which a fault ends then, or nil.
func (f *fleet) claim(e *standin.Endpoint, p phase) *standin.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phases[e] != phaseStaying {
		return nil
	}
	f.phases[e] = p
	return e
}

// release lets an endpoint stay that was claimed; nil is ignored.
func (f *fleet) release(e *standin.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.phases, e)
}

// replacement puts an endpoint with a new id in the place of one that has crashed.
type replacement struct {
	fleet *fleet
	old   *standin.Endpoint
	after time.Duration
}

func (r *replacement) run() {
	time.Sleep(r.after)
	r.fleet.removeEndpoint(r.old)
	if _, err := r.fleet.addEndpoint(r.old.Service, r.old.Domain); err != nil {
		r.fleet.ledger.AddViolation("%v", err)
	}
}

// crashEndpoint ends one by chance, in the middle of whatever it does.
func crashEndpoint(_ context.Context, f *fleet, r *rand.Rand, _ time.Duration) { f.endpoint(r).End() }
