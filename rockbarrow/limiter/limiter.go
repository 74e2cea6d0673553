// SPDX-License-Identifier: MIT

package limiter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/fair"
)

// Limiter admits requests to the places of one service. The zero value has no places
// until it is [Resized].
type Limiter struct {
	places int
	// running holds when each request got its place.
	running map[ID]time.Time
	// waiting is ordered by before: the one that starts next is the first.
	waiting []*waiter
	// arrivals numbers the requests, so that equal ones keep their order.
	arrivals uint64
	// begun are the starts of each group.
	begun [groups]rate
	// taken is how long requests keep their places, smoothed.
	taken time.Duration
	// promised is when the client that was rejected last is to come back.
	promised time.Time
	// clock orders the new programs of customers, and customers holds the virtual time of each.
	clock     fair.VirtualClock
	customers map[string]float64
}

// group is the first part of the order in which requests start.
type group int

const (
	// underway are turns of programs that can still be in time.
	underway group = iota
	// fresh are first turns.
	fresh
	// late are turns of programs whose time is over. They start when nobody else waits.
	late
	// groups is their number.
	groups
)

type waiter struct {
	id       ID
	group    group
	priority uint32
	// due is when the program should be over. Programs that did not say have none, and go
	// first in their group in the order of their arrival.
	due time.Time
	// latest is when it must start to be answered while its client waits; zero if the
	// client did not say how long that is.
	latest time.Time
	// virtual is the customer's virtual time at which a new program of it is to start.
	virtual float64
	arrival uint64
}

// before orders waiting requests.
func before(a, b *waiter) int {
	if c := cmp.Compare(a.group, b.group); c != 0 {
		return c
	}
	if c := cmp.Compare(a.priority, b.priority); c != 0 && a.group == fresh {
		return c
	}
	if c := a.due.Compare(b.due); c != 0 && a.group == underway {
		return c
	}
	if c := cmp.Compare(a.virtual, b.virtual); c != 0 && a.group == fresh {
		return c
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// Handle takes an event and returns what is to be done about it.
func (l *Limiter) Handle(now time.Time, e Event) []Action {
	out := l.giveUp(now)
	switch e := e.(type) {
	case Arrived:
		return append(out, l.arrive(now, e)...)
	case Finished:
		l.finish(now, e.ID)
	case Cancelled:
		l.drop(e.ID)
	case Resized:
		l.places = e.Slots
	}
	return append(out, l.fill(now)...)
}

// smoothing is the weight of a new measurement of how long places are kept.
const smoothing = 0.05

func (l *Limiter) finish(now time.Time, id ID) {
	began, ok := l.running[id]
	if !ok {
		return
	}
	delete(l.running, id)
	took := now.Sub(began)
	if l.taken == 0 {
		l.taken = took
	}
	l.taken += time.Duration(smoothing * float64(took-l.taken))
}

// giveUp rejects those who have waited so long that their clients will be gone before
// they are answered.
func (l *Limiter) giveUp(now time.Time) []Action {
	var out []Action
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waiter) bool {
		if w.latest.IsZero() || now.Before(w.latest) {
			return false
		}
		out = append(out, Reject{ID: w.id, RetryAfter: l.retryAfter(now, l.expect(now, w.group, 0))})
		return true
	})
	return out
}

// Running returns the number of requests that have places, Waiting of those that wait.
func (l *Limiter) Running() int { return len(l.running) }

// Waiting returns the number of requests that wait.
func (l *Limiter) Waiting() int { return len(l.waiting) }

func (l *Limiter) arrive(now time.Time, e Arrived) []Action {
	l.arrivals++
	w := &waiter{id: e.ID, group: groupOf(e), priority: e.Priority, virtual: l.clock.StartTag(l.customers[e.Customer]), arrival: l.arrivals}
	if e.HasDeadline {
		w.due = now.Add(e.Remaining)
	}
	most := time.Duration(math.MaxInt64)
	if e.ClientTimeout > 0 {
		most = max(0, e.ClientTimeout-l.taken)
		w.latest = now.Add(most)
	}
	if w.group != underway {
		most = min(most, e.MaxWait)
	}
	at, _ := slices.BinarySearchFunc(l.waiting, w, before)
	if at > 0 || !l.room(w.group) {
		if wait := l.expect(now, w.group, l.ahead(at, w.group)); wait > most {
			return []Action{Reject{ID: e.ID, RetryAfter: l.retryAfter(now, wait)}}
		}
	}
	l.waiting = slices.Insert(l.waiting, at, w)
	if w.group == fresh {
		l.charge(e.Customer, w.virtual, e.Weight)
	}
	return l.fill(now)
}

// manyCustomers is how many virtual times are kept before those that are behind the clock are dropped.
const manyCustomers = 256

// charge moves a customer behind those that had fewer new programs for their weights.
func (l *Limiter) charge(customer string, virtual, weight float64) {
	if len(l.customers) >= manyCustomers {
		maps.DeleteFunc(l.customers, func(_ string, v float64) bool { return l.clock.Passed(v) })
	}
	if l.customers == nil {
		l.customers = map[string]float64{}
	}
	l.customers[customer] = fair.FinishTag(virtual, 1, weight)
}

// ahead returns how many of a group wait before a position.
func (l *Limiter) ahead(at int, g group) int {
	n := 0
	for _, w := range l.waiting[:at] {
		if w.group == g {
			n++
		}
	}
	return n
}

func groupOf(e Arrived) group {
	switch {
	case e.HasDeadline && e.Remaining <= 0:
		return late
	case e.InProgress:
		return underway
	}
	return fresh
}

// fill starts waiting requests while there are places.
func (l *Limiter) fill(now time.Time) []Action {
	var out []Action
	for len(l.waiting) > 0 && l.room(l.waiting[0].group) {
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		if l.running == nil {
			l.running = map[ID]time.Time{}
		}
		l.running[w.id] = now
		if w.group == fresh {
			l.clock.Advance(w.virtual)
		}
		l.begun[w.group].add(now)
		out = append(out, Start{ID: w.id})
	}
	return out
}

// room reports whether a request may start now. All but turns of programs that can be
// in time leave some places free: these turns come back from their pauses by chance, and
// while n places are busy on average the number that wants one varies by the root of n.
func (l *Limiter) room(g group) bool {
	most := l.places
	if g != underway {
		most = max(min(1, most), most-int(math.Sqrt(float64(most))))
	}
	return len(l.running) < most
}

func (l *Limiter) drop(id ID) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waiter) bool { return w.id == id })
}

// longest bounds what a client is told to wait when nothing is known of how fast
// requests like its own start.
const longest = 2 * time.Second

// expect returns how long a request waits behind so many others of its group. Those of
// earlier groups go before it all the time, so that what counts is how often its own
// group has started lately.
func (l *Limiter) expect(now time.Time, g group, ahead int) time.Duration {
	perSecond := l.begun[g].perSecond(now)
	switch {
	case perSecond == 0 && g == underway:
		// Nothing says that the next place is far.
		return 0
	case perSecond == 0:
		return longest
	}
	return min(longest, time.Duration(float64(ahead+1)/perSecond*float64(time.Second)))
}

// retryAfter spreads the clients that are rejected over the time to come, in the order in
// which they were, as fast as new programs begin.
func (l *Limiter) retryAfter(now time.Time, wait time.Duration) time.Duration {
	step := l.expect(now, fresh, 0)
	next := now.Add(wait)
	if after := l.promised.Add(step); after.After(next) {
		next = after
	}
	if next.After(now.Add(longest)) {
		next = now.Add(longest)
	}
	l.promised = next
	return next.Sub(now)
}
