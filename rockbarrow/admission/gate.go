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
	// DefaultMaxQueue bounds waiting calls of all customers.
	DefaultMaxQueue = 512
	// DefaultMaxWait bounds how long a call waits.
	DefaultMaxWait = 10 * time.Second
	// drainWindow is how far back the rate of service looks.
	drainWindow = 4 * time.Second
	// minRetry and maxRetry bound the time that a refused caller is told.
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
	// early is how much of MaxWait an estimate may reach before a call is
	// refused at once.
	early = 0.8
)

// ID is the host's number for a call.
type ID uint64

// Event is what a [Gate] handles.
type Event interface{ event() }

// Arrived is a call that wants an endpoint.
type Arrived struct {
	ID       ID
	Customer string
	// Weight is the customer's share; 0 means 1.
	Weight uint32
	// MaxCalls bounds the customer's calls under way here; 0 does not.
	MaxCalls uint32
	// Class groups calls that any one endpoint could serve alike.
	Class string
	// Cost is the call's expected work, in tokens.
	Cost uint64
	// Attained is what the run has cost so far; 0 marks a new run.
	AttainedService uint64
	// Started is when the run began.
	Started time.Time
}

// Taken says that a tried call has an endpoint.
type Placed struct{ ID ID }

// NoRoom says that no endpoint of a tried call's class has room now.
type NoCapacity struct{ ID ID }

// Left says that a call no longer waits.
type Cancelled struct{ ID ID }

// Finished says that a taken call has left its endpoint.
type Finished struct{ ID ID }

// Ticked lets time pass.
type Ticked struct{}

func (Arrived) event()    {}
func (Placed) event()     {}
func (NoCapacity) event() {}
func (Cancelled) event()  {}
func (Finished) event()   {}
func (Ticked) event()     {}

// Action is what a [Gate] wants done.
type Action interface{ action() }

// Try asks to find an endpoint now; [Taken] or [NoRoom] answers it.
type Try struct{ ID ID }

// Refuse tells the caller that the call did not run.
type Reject struct {
	ID      ID
	Problem *peerpb.Problem
}

func (Try) action()    {}
func (Reject) action() {}

// Gate holds the calls of one instance that wait for an endpoint. Set the
// exported fields before the first event; zero takes the defaults.
type Queue struct {
	MaxQueue int
	MaxWait  time.Duration

	customers []*customer
	// trying is the call whose Try is not answered yet; one at a time.
	trying *waiter
	taken  map[ID]*waiter
	// full are classes without room since the last change.
	full   map[string]bool
	clock  fair.VirtualClock
	queued int
	// drained are times of calls that left the queue for an endpoint.
	drained []time.Time
}

type customer struct {
	name     string
	weight   float64
	maxCalls uint32
	// virtual is its time on the clock.
	virtual  float64
	underway uint32
	waiters  []*waiter
}

type waiter struct {
	arrived  Arrived
	at       time.Time
	customer *customer
}

// Queued returns how many calls wait.
func (g *Queue) Len() int { return g.queued }

// Handle takes one event.
func (g *Queue) Handle(now time.Time, e Event) []Action {
	if g.taken == nil {
		g.taken = map[ID]*waiter{}
		g.full = map[string]bool{}
	}
	switch e := e.(type) {
	case Arrived:
		return g.arrived(now, e)
	case Placed:
		g.take(now, e.ID)
	case NoCapacity:
		if w := g.trying; w != nil && w.arrived.ID == e.ID {
			g.full[w.arrived.Class] = true
			g.trying = nil
		}
	case Cancelled:
		g.remove(e.ID)
	case Finished:
		if w := g.taken[e.ID]; w != nil {
			w.customer.underway--
			delete(g.taken, e.ID)
			clear(g.full)
		}
	case Ticked:
		clear(g.full)
		return append(g.expire(now), g.next()...)
	}
	return g.next()
}

func (g *Queue) arrived(now time.Time, e Arrived) []Action {
	if wait, ok := g.admit(now); !ok {
		return []Action{Reject{ID: e.ID, Problem: problem.Retry(problem.Overloaded, "the queue is full", wait)}}
	}
	c := g.customerOf(e)
	if len(c.waiters) >= g.share(c) {
		return []Action{Reject{ID: e.ID, Problem: problem.Retry(problem.Overloaded, "the customer's share of the queue is full", g.wait(now, len(c.waiters)))}}
	}
	if len(c.waiters) == 0 && c.underway == 0 {
		c.virtual = g.clock.StartTag(c.virtual)
	}
	w := &waiter{arrived: e, at: now, customer: c}
	at, _ := slices.BinarySearchFunc(c.waiters, w, compareWaiters)
	c.waiters = slices.Insert(c.waiters, at, w)
	g.queued++
	return g.next()
}

// compareWaiters puts runs under way before new ones, then older ones first.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(newRun(a), newRun(b)),
		a.arrived.Started.Compare(b.arrived.Started),
		a.at.Compare(b.at),
		cmp.Compare(a.arrived.ID, b.arrived.ID),
	)
}

func newRun(w *waiter) int {
	if w.arrived.AttainedService == 0 {
		return 1
	}
	return 0
}

// admit refuses early when the queue is full or could not drain in time.
func (g *Queue) admit(now time.Time) (time.Duration, bool) {
	wait := g.wait(now, g.queued)
	if g.queued >= or(g.MaxQueue, DefaultMaxQueue) {
		return wait, false
	}
	limit := or(g.MaxWait, DefaultMaxWait)
	if g.queued > 8 && len(g.drained) > 3 && float64(wait) > early*float64(limit) {
		return wait, false
	}
	return 0, true
}

// share is the part of the queue that one customer may fill: all of it alone,
// and its weight's part when others wait too.
func (g *Queue) share(c *customer) int {
	total := 0.0
	for _, o := range g.customers {
		if o == c || len(o.waiters) > 0 {
			total += o.weight
		}
	}
	return max(1, int(float64(or(g.MaxQueue, DefaultMaxQueue))*c.weight/total))
}

// wait estimates how long n calls take to leave the queue.
func (g *Queue) wait(now time.Time, n int) time.Duration {
	g.forget(now)
	if len(g.drained) == 0 {
		return max(minRetry, min(or(g.MaxWait, DefaultMaxWait)/2, maxRetry))
	}
	// The window is as long as the drains seen, so that a start is not slow.
	span := max(now.Sub(g.drained[0]), 50*time.Millisecond)
	each := span / time.Duration(len(g.drained))
	return max(minRetry, min(each*time.Duration(n), maxRetry))
}

func (g *Queue) forget(now time.Time) {
	n := 0
	for n < len(g.drained) && now.Sub(g.drained[n]) > drainWindow {
		n++
	}
	g.drained = g.drained[n:]
}

func (g *Queue) customerOf(e Arrived) *customer {
	for _, c := range g.customers {
		if c.name == e.Customer {
			c.weight = float64(or(e.Weight, 1))
			c.maxCalls = e.MaxCalls
			return c
		}
	}
	c := &customer{name: e.Customer, weight: float64(or(e.Weight, 1)), maxCalls: e.MaxCalls, virtual: g.clock.StartTag(0)}
	g.customers = append(g.customers, c)
	return c
}

// next tries the first call of the customer that is behind the most.
func (g *Queue) next() []Action {
	if g.trying != nil || g.queued == 0 {
		return nil
	}
	var best *waiter
	for _, c := range g.customers {
		if c.maxCalls > 0 && c.underway >= c.maxCalls {
			continue
		}
		if best != nil && c.virtual >= best.customer.virtual {
			continue
		}
		if w := g.first(c); w != nil {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	g.trying = best
	return []Action{Try{ID: best.arrived.ID}}
}

// first returns the customer's first call whose class may have room.
func (g *Queue) first(c *customer) *waiter {
	for _, w := range c.waiters {
		if !g.full[w.arrived.Class] {
			return w
		}
	}
	return nil
}

func (g *Queue) take(now time.Time, id ID) {
	w := g.trying
	if w == nil || w.arrived.ID != id {
		return
	}
	g.trying = nil
	c := w.customer
	c.waiters = slices.DeleteFunc(c.waiters, func(o *waiter) bool { return o == w })
	g.queued--
	g.clock.Advance(c.virtual)
	c.virtual = fair.FinishTag(c.virtual, float64(max(w.arrived.Cost, 1)), c.weight)
	c.underway++
	g.taken[id] = w
	g.drained = append(g.drained, now)
	g.forget(now)
}

func (g *Queue) remove(id ID) {
	if g.trying != nil && g.trying.arrived.ID == id {
		g.trying = nil
	}
	for _, c := range g.customers {
		n := len(c.waiters)
		c.waiters = slices.DeleteFunc(c.waiters, func(w *waiter) bool { return w.arrived.ID == id })
		g.queued -= n - len(c.waiters)
	}
}

// expire refuses calls whose time in the queue is over and forgets customers
// that are idle.
func (g *Queue) expire(now time.Time) []Action {
	var out []Action
	limit := or(g.MaxWait, DefaultMaxWait)
	for _, c := range g.customers {
		for _, w := range slices.Clone(c.waiters) {
			if now.Sub(w.at) < limit || g.trying == w {
				continue
			}
			g.remove(w.arrived.ID)
			p := problem.Retry(problem.Overloaded, "no endpoint had room in time", g.wait(now, g.queued+1))
			out = append(out, Reject{ID: w.arrived.ID, Problem: p})
		}
	}
	g.customers = slices.DeleteFunc(g.customers, func(c *customer) bool {
		return len(c.waiters) == 0 && c.underway == 0 && g.clock.Passed(c.virtual)
	})
	return out
}

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
