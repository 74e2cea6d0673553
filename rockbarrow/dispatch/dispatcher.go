// SPDX-License-Identifier: MIT

// Package dispatch combines admission and placement: it assigns an endpoint to
// each call of an instance.
//
// A [Call] is submitted to a [Dispatcher], which passes it either a [Slot] at an
// endpoint, which must be released, or the problem for which it was rejected:
//
//	dispatcher.Submit(&dispatch.Call{Request: request, Placed: placed, Rejected: rejected})
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rockbarrow.dev/rockbarrow/admission"
	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
)

// tickPeriod is the interval at which queued calls are retried and expired.
const tickPeriod = 50 * time.Millisecond

// Call is a call that needs an endpoint. Exactly one of Placed and Rejected is
// called, once, without holding the dispatcher's lock.
type Call struct {
	Customer string
	Weight   uint32
	MaxCalls uint32
	Request  placement.Request
	// AttainedService and Started order the calls of a customer.
	AttainedService uint64
	Started         time.Time
	// Retry is true for an attempt after the first, which is subject to the retry
	// budget.
	Retry    bool
	Placed   func(*Slot)
	Rejected func(*peerpb.Problem)
}

// Slot is an acquired slot at an endpoint.
type Slot struct {
	dispatcher *Dispatcher
	id         admission.ID
	choice     placement.Choice
	released   atomic.Bool
	firstToken atomic.Bool
}

// Choice returns the endpoint and the estimates that it was chosen by.
func (s *Slot) Choice() placement.Choice { return s.choice }

// RecordFirstToken records that the call has its first token.
func (s *Slot) RecordFirstToken() {
	if s.firstToken.CompareAndSwap(false, true) {
		s.choice.Endpoint().FirstToken(s.choice.UncachedTokens())
	}
}

// Release releases the slot. Only the first invocation has an effect.
func (s *Slot) Release(r placement.Result) {
	if !s.released.CompareAndSwap(false, true) {
		return
	}
	s.RecordFirstToken()
	s.choice.Endpoint().Done(time.Now(), r)
	s.dispatcher.step(admission.Finished{ID: s.id})
}

// Dispatcher assigns endpoints to the calls of one instance. Set the exported
// fields before the first Submit.
type Dispatcher struct {
	Weights  placement.Weights
	Policy   placement.Policy
	MaxQueue int
	MaxWait  time.Duration
	// Seed seeds the random choices.
	Seed uint64
	// Prefixes indexes the prefixes that endpoints have cached.
	Prefixes placement.PrefixIndex

	fleet   atomic.Pointer[placement.Fleet]
	retries admission.RetryBudget
	ids     atomic.Uint64

	mu    sync.Mutex
	queue admission.Queue
	// calls are the queued calls.
	calls map[admission.ID]*Call
	rand  *rand.Rand
}

// ApplySnapshot applies a version of the configuration.
func (d *Dispatcher) ApplySnapshot(s *control.Snapshot) {
	d.fleet.Store(placement.NewFleet(s, d.Weights, d.Policy, d.fleet.Load()))
}

// Fleet returns the current endpoints; nil before the first ApplySnapshot.
func (d *Dispatcher) Fleet() *placement.Fleet { return d.fleet.Load() }

// QueueLen returns the number of queued calls.
func (d *Dispatcher) QueueLen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len()
}

// Submit queues a call, or rejects it if it cannot be served.
func (d *Dispatcher) Submit(c *Call) {
	if c.Retry && !d.retries.TryRetry() {
		c.Rejected(problem.Retry(problem.NoEndpoint, "the retry budget is exhausted", time.Second))
		return
	}
	if !c.Retry {
		d.retries.RecordFirstAttempt()
	}
	f := d.fleet.Load()
	if f == nil || len(f.Candidates(c.Request.Class)) == 0 {
		c.Rejected(problem.Retry(problem.NoEndpoint, "no endpoint in the allowed failure domains serves the request", time.Second))
		return
	}
	id := admission.ID(d.ids.Add(1))
	d.mu.Lock()
	if d.calls == nil {
		d.calls = map[admission.ID]*Call{}
		d.rand = rand.New(rand.NewPCG(d.Seed, 1))
		d.queue.MaxQueue = d.MaxQueue
		d.queue.MaxWait = d.MaxWait
	}
	d.calls[id] = c
	d.mu.Unlock()
	d.step(admission.Arrived{
		ID:              id,
		Customer:        c.Customer,
		Weight:          c.Weight,
		MaxCalls:        c.MaxCalls,
		Class:           c.Request.Class.Model + "\x00" + c.Request.Class.Service + "\x00" + c.Request.Class.Binding,
		Cost:            uint64(max(1, c.Request.PromptTokens+c.Request.OutputTokens)),
		AttainedService: c.AttainedService,
		Started:         c.Started,
	})
}

// step passes an event to the queue under the lock, and calls back after releasing it.
func (d *Dispatcher) step(e admission.Event) {
	now := time.Now()
	var callbacks []func()
	d.mu.Lock()
	if d.calls == nil {
		d.mu.Unlock()
		return
	}
	actions := d.queue.Handle(now, e)
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case admission.Try:
			callback, event := d.try(now, a.ID)
			if callback != nil {
				callbacks = append(callbacks, callback)
			}
			actions = append(actions, d.queue.Handle(now, event)...)
		case admission.Reject:
			if c := d.calls[a.ID]; c != nil {
				delete(d.calls, a.ID)
				callbacks = append(callbacks, func() { c.Rejected(a.Problem) })
			}
		}
	}
	d.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// try looks for an endpoint for a call. It returns the callback, if the call was
// placed, and the response for the queue.
func (d *Dispatcher) try(now time.Time, id admission.ID) (func(), admission.Event) {
	c := d.calls[id]
	choice, ok := d.fleet.Load().Choose(now, c.Request, d.rand)
	if !ok {
		return nil, admission.NoCapacity{ID: id}
	}
	delete(d.calls, id)
	slot := &Slot{dispatcher: d, id: id, choice: choice}
	return func() { c.Placed(slot) }, admission.Placed{ID: id}
}

// Run sends ticks to the queue until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) { d.loop(ctx) }

func (d *Dispatcher) loop(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.step(admission.Ticked{})
		}
	}
}
