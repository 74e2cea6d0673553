// SPDX-License-Identifier: MIT

// Package dispatch joins admission and placement into the desk at which every
// call of an instance gets its endpoint.
//
// A call is submitted as a [Job]. The desk tells it either where it goes, with
// a [Seat] that must be given back, or why it was refused:
//
//	desk.Submit(dispatch.Job{Class: class, Placed: placed, Refused: refused})
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

// tickPeriod is how often waiting calls are looked at without an event.
const tickPeriod = 50 * time.Millisecond

// Job is a call that wants an endpoint. Exactly one of Placed and Refused is
// called, once, and not under a lock of the desk.
type Call struct {
	Customer string
	Weight   uint32
	MaxCalls uint32
	Request  placement.Request
	// Attained and Started order the calls of a customer.
	AttainedService uint64
	Started         time.Time
	// Retry is true for an attempt after the first; it needs the retry budget.
	Retry    bool
	Placed   func(*Slot)
	Rejected func(*peerpb.Problem)
}

// Seat is a taken place at an endpoint.
type Slot struct {
	desk   *Dispatcher
	id     admission.ID
	choice placement.Choice
	given  atomic.Bool
	first  atomic.Bool
}

// Choice returns the endpoint and what the choice counted on.
func (s *Slot) Choice() placement.Choice { return s.choice }

// First says that the first token came.
func (s *Slot) RecordFirstToken() {
	if s.first.CompareAndSwap(false, true) {
		s.choice.Endpoint().FirstToken(s.choice.UncachedTokens())
	}
}

// Done gives the seat back; only the first call counts.
func (s *Slot) Release(r placement.Result) {
	if !s.given.CompareAndSwap(false, true) {
		return
	}
	s.RecordFirstToken()
	s.choice.Endpoint().Done(time.Now(), r)
	s.desk.step(admission.Finished{ID: s.id})
}

// Desk is one for each instance. Set the exported fields before the first
// Submit.
type Dispatcher struct {
	Weights  placement.Weights
	Policy   placement.Policy
	MaxQueue int
	MaxWait  time.Duration
	// Seed makes the draws repeatable.
	Seed uint64
	// Prefixes is what endpoints are known to hold.
	Prefixes placement.PrefixIndex

	fleet   atomic.Pointer[placement.Fleet]
	retries admission.RetryBudget
	ids     atomic.Uint64

	mu   sync.Mutex
	gate admission.Queue
	// jobs are the calls that the gate holds.
	jobs map[admission.ID]*Call
	rand *rand.Rand
}

// Use brings a version of the configuration into force.
func (d *Dispatcher) ApplySnapshot(s *control.Snapshot) {
	d.fleet.Store(placement.NewFleet(s, d.Weights, d.Policy, d.fleet.Load()))
}

// Fleet returns the endpoints in force; nil before the first Use.
func (d *Dispatcher) Fleet() *placement.Fleet { return d.fleet.Load() }

// Queued returns how many calls wait.
func (d *Dispatcher) QueueLen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Len()
}

// Submit takes a job.
func (d *Dispatcher) Submit(j *Call) {
	if j.Retry && !d.retries.TryRetry() {
		j.Rejected(problem.Retry(problem.NoEndpoint, "the retry budget is spent", time.Second))
		return
	}
	if !j.Retry {
		d.retries.RecordFirstAttempt()
	}
	f := d.fleet.Load()
	if f == nil || len(f.Candidates(j.Request.Class)) == 0 {
		j.Rejected(problem.Retry(problem.NoEndpoint, "no endpoint in an allowed place serves it", time.Second))
		return
	}
	id := admission.ID(d.ids.Add(1))
	d.mu.Lock()
	if d.jobs == nil {
		d.jobs = map[admission.ID]*Call{}
		d.rand = rand.New(rand.NewPCG(d.Seed, 1))
		d.gate.MaxQueue = d.MaxQueue
		d.gate.MaxWait = d.MaxWait
	}
	d.jobs[id] = j
	d.mu.Unlock()
	d.step(admission.Arrived{
		ID:              id,
		Customer:        j.Customer,
		Weight:          j.Weight,
		MaxCalls:        j.MaxCalls,
		Class:           j.Request.Class.Model + "\x00" + j.Request.Class.Service + "\x00" + j.Request.Class.Binding,
		Cost:            uint64(max(1, j.Request.PromptTokens+j.Request.OutputTokens)),
		AttainedService: j.AttainedService,
		Started:         j.Started,
	})
}

// step runs the gate under the lock and calls the jobs after it.
func (d *Dispatcher) step(e admission.Event) {
	now := time.Now()
	var calls []func()
	d.mu.Lock()
	if d.jobs == nil {
		d.mu.Unlock()
		return
	}
	actions := d.gate.Handle(now, e)
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case admission.Try:
			call, next := d.try(now, a.ID)
			if call != nil {
				calls = append(calls, call)
			}
			actions = append(actions, d.gate.Handle(now, next)...)
		case admission.Reject:
			if j := d.jobs[a.ID]; j != nil {
				delete(d.jobs, a.ID)
				calls = append(calls, func() { j.Rejected(a.Problem) })
			}
		}
	}
	d.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// try looks for an endpoint and returns what to tell the job and the gate.
func (d *Dispatcher) try(now time.Time, id admission.ID) (func(), admission.Event) {
	j := d.jobs[id]
	choice, ok := d.fleet.Load().Choose(now, j.Request, d.rand)
	if !ok {
		return nil, admission.NoCapacity{ID: id}
	}
	delete(d.jobs, id)
	seat := &Slot{desk: d, id: id, choice: choice}
	return func() { j.Placed(seat) }, admission.Placed{ID: id}
}

// Run ticks until ctx ends.
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
