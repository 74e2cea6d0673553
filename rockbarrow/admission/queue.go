// SPDX-License-Identifier: MIT

package admission

import (
	"cmp"
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/fair"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
)

const (
	// DefaultMaxQueue bounds the queued calls of all customers.
	DefaultMaxQueue = 512
	// DefaultMaxWait bounds the time in the queue.
	DefaultMaxWait = 10 * time.Second
	// drainWindow is the window over which the service rate is measured.
	drainWindow = 4 * time.Second
	// minRetry and maxRetry bound the retry time of a rejected call.
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
	// maxWaitFraction is the fraction of MaxWait above which the expected wait
	// causes a call to be rejected on arrival.
	maxWaitFraction = 0.8
)

// ID identifies a call. It is assigned by the caller of the queue.
type ID uint64

// Event is an input of a [Queue].
type Event interface{ event() }

// Arrived reports a call that needs an endpoint.
type Arrived struct {
	ID       ID
	Customer string
	// Weight is the customer's share; 0 counts as 1.
	Weight uint32
	// MaxCalls bounds the customer's calls in flight at this instance; 0 is no limit.
	MaxCalls uint32
	// Class groups calls that can be served by the same endpoints.
	Class string
	// Cost is the call's expected cost in tokens.
	Cost uint64
	// AttainedService is the cost of the run so far; 0 for a new run.
	AttainedService uint64
	// Started is when the run started.
	Started time.Time
}

// Placed reports that the call of a [Try] has an endpoint.
type Placed struct{ ID ID }

// NoCapacity reports that no endpoint is available for the call of a [Try], nor
// for others of its class.
type NoCapacity struct{ ID ID }

// Cancelled reports that a queued call is no longer wanted.
type Cancelled struct{ ID ID }

// Finished reports that a placed call has ended.
type Finished struct{ ID ID }

// Ticked is sent periodically to expire calls and retry full classes.
type Ticked struct{}

func (Arrived) event()    {}
func (Placed) event()     {}
func (NoCapacity) event() {}
func (Cancelled) event()  {}
func (Finished) event()   {}
func (Ticked) event()     {}

// Action is an output of a [Queue].
type Action interface{ action() }

// Try asks for an endpoint for a call. The response is [Placed] or [NoCapacity].
type Try struct{ ID ID }

// Reject refuses a call, which has not run.
type Reject struct {
	ID      ID
	Problem *peerpb.Problem
}

func (Try) action()    {}
func (Reject) action() {}

// Queue holds the calls of one instance that wait for an endpoint. Set the
// exported fields before the first event; zero selects the defaults.
type Queue struct {
	MaxQueue int
	MaxWait  time.Duration

	customers []*customer
	// pending is the call whose Try has no response yet; there is at most one.
	pending  *waitingCall
	inFlight map[ID]*waitingCall
	// fullClasses had no available endpoint at the last try. It is cleared when a
	// call finishes and on each tick.
	fullClasses map[string]bool
	clock       fair.VirtualClock
	length      int
	// departures are the times at which calls were placed, within drainWindow.
	departures []time.Time
}

type customer struct {
	name     string
	weight   float64
	maxCalls uint32
	// virtual is the start tag of the customer's next call.
	virtual  float64
	inFlight uint32
	waiting  []*waitingCall
}

type waitingCall struct {
	arrived   Arrived
	arrivedAt time.Time
	customer  *customer
}

// Len returns the number of queued calls.
func (q *Queue) Len() int { return q.length }

// Handle processes an event and returns the resulting actions.
func (q *Queue) Handle(now time.Time, e Event) []Action {
	if q.inFlight == nil {
		q.inFlight = map[ID]*waitingCall{}
		q.fullClasses = map[string]bool{}
	}
	switch e := e.(type) {
	case Arrived:
		return q.enqueue(now, e)
	case Placed:
		q.place(now, e.ID)
	case NoCapacity:
		if w := q.pending; w != nil && w.arrived.ID == e.ID {
			q.fullClasses[w.arrived.Class] = true
			q.pending = nil
		}
	case Cancelled:
		q.remove(e.ID)
	case Finished:
		if w := q.inFlight[e.ID]; w != nil {
			w.customer.inFlight--
			delete(q.inFlight, e.ID)
			clear(q.fullClasses)
		}
	case Ticked:
		clear(q.fullClasses)
		return append(q.expire(now), q.next()...)
	}
	return q.next()
}

func (q *Queue) enqueue(now time.Time, e Arrived) []Action {
	if wait, ok := q.estimateWait(now); !ok {
		return []Action{Reject{ID: e.ID, Problem: problem.Retry(problem.Overloaded, "the queue is full", wait)}}
	}
	c := q.customerOf(e)
	if len(c.waiting) >= q.maxWaiting(c) {
		return []Action{Reject{ID: e.ID, Problem: problem.Retry(problem.Overloaded, "the customer's share of the queue is full", q.drainTime(now, len(c.waiting)))}}
	}
	if len(c.waiting) == 0 && c.inFlight == 0 {
		c.virtual = q.clock.StartTag(c.virtual)
	}
	w := &waitingCall{arrived: e, arrivedAt: now, customer: c}
	at, _ := slices.BinarySearchFunc(c.waiting, w, compareCalls)
	c.waiting = slices.Insert(c.waiting, at, w)
	q.length++
	return q.next()
}

// compareCalls orders the calls of a customer: runs in progress before new ones,
// then older runs first.
func compareCalls(a, b *waitingCall) int {
	return cmp.Or(
		cmp.Compare(newRun(a), newRun(b)),
		a.arrived.Started.Compare(b.arrived.Started),
		a.arrivedAt.Compare(b.arrivedAt),
		cmp.Compare(a.arrived.ID, b.arrived.ID),
	)
}

func newRun(w *waitingCall) int {
	if w.arrived.AttainedService == 0 {
		return 1
	}
	return 0
}

// estimateWait returns the expected wait and false if a new call must be rejected:
// if the queue is full, or if it would take too long to drain.
func (q *Queue) estimateWait(now time.Time) (time.Duration, bool) {
	wait := q.drainTime(now, q.length)
	if q.length >= orDefault(q.MaxQueue, DefaultMaxQueue) {
		return wait, false
	}
	limit := orDefault(q.MaxWait, DefaultMaxWait)
	if q.length > 8 && len(q.departures) > 3 && float64(wait) > maxWaitFraction*float64(limit) {
		return wait, false
	}
	return 0, true
}

// maxWaiting returns the queue length allowed for a customer: its weight's share
// among the customers that have calls waiting.
func (q *Queue) maxWaiting(c *customer) int {
	total := 0.0
	for _, o := range q.customers {
		if o == c || len(o.waiting) > 0 {
			total += o.weight
		}
	}
	return max(1, int(float64(orDefault(q.MaxQueue, DefaultMaxQueue))*c.weight/total))
}

// drainTime estimates the time until n calls have left the queue.
func (q *Queue) drainTime(now time.Time, n int) time.Duration {
	q.pruneDepartures(now)
	if len(q.departures) == 0 {
		return max(minRetry, min(orDefault(q.MaxWait, DefaultMaxWait)/2, maxRetry))
	}
	// After a start, the rate is measured since the first departure.
	span := max(now.Sub(q.departures[0]), 50*time.Millisecond)
	each := span / time.Duration(len(q.departures))
	return max(minRetry, min(each*time.Duration(n), maxRetry))
}

func (q *Queue) pruneDepartures(now time.Time) {
	n := 0
	for n < len(q.departures) && now.Sub(q.departures[n]) > drainWindow {
		n++
	}
	q.departures = q.departures[n:]
}

func (q *Queue) customerOf(e Arrived) *customer {
	for _, c := range q.customers {
		if c.name == e.Customer {
			c.weight = float64(orDefault(e.Weight, 1))
			c.maxCalls = e.MaxCalls
			return c
		}
	}
	c := &customer{name: e.Customer, weight: float64(orDefault(e.Weight, 1)), maxCalls: e.MaxCalls, virtual: q.clock.StartTag(0)}
	q.customers = append(q.customers, c)
	return c
}

// next returns a Try for the first eligible call of the customer with the lowest
// virtual time.
func (q *Queue) next() []Action {
	if q.pending != nil || q.length == 0 {
		return nil
	}
	var best *waitingCall
	for _, c := range q.customers {
		if c.maxCalls > 0 && c.inFlight >= c.maxCalls {
			continue
		}
		if best != nil && c.virtual >= best.customer.virtual {
			continue
		}
		if w := q.firstEligible(c); w != nil {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	q.pending = best
	return []Action{Try{ID: best.arrived.ID}}
}

// firstEligible returns the customer's first call whose class is not full.
func (q *Queue) firstEligible(c *customer) *waitingCall {
	for _, w := range c.waiting {
		if !q.fullClasses[w.arrived.Class] {
			return w
		}
	}
	return nil
}

func (q *Queue) place(now time.Time, id ID) {
	w := q.pending
	if w == nil || w.arrived.ID != id {
		return
	}
	q.pending = nil
	c := w.customer
	c.waiting = slices.DeleteFunc(c.waiting, func(o *waitingCall) bool { return o == w })
	q.length--
	q.clock.Advance(c.virtual)
	c.virtual = fair.FinishTag(c.virtual, float64(max(w.arrived.Cost, 1)), c.weight)
	c.inFlight++
	q.inFlight[id] = w
	q.departures = append(q.departures, now)
	q.pruneDepartures(now)
}

func (q *Queue) remove(id ID) {
	if q.pending != nil && q.pending.arrived.ID == id {
		q.pending = nil
	}
	for _, c := range q.customers {
		n := len(c.waiting)
		c.waiting = slices.DeleteFunc(c.waiting, func(w *waitingCall) bool { return w.arrived.ID == id })
		q.length -= n - len(c.waiting)
	}
}

// expire rejects calls that have waited longer than MaxWait, and removes idle
// customers.
func (q *Queue) expire(now time.Time) []Action {
	var out []Action
	limit := orDefault(q.MaxWait, DefaultMaxWait)
	for _, c := range q.customers {
		for _, w := range slices.Clone(c.waiting) {
			if now.Sub(w.arrivedAt) < limit || q.pending == w {
				continue
			}
			q.remove(w.arrived.ID)
			p := problem.Retry(problem.Overloaded, "no endpoint was available in time", q.drainTime(now, q.length+1))
			out = append(out, Reject{ID: w.arrived.ID, Problem: p})
		}
	}
	q.customers = slices.DeleteFunc(q.customers, func(c *customer) bool {
		return len(c.waiting) == 0 && c.inFlight == 0 && q.clock.Passed(c.virtual)
	})
	return out
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
