// SPDX-License-Identifier: MIT

package host

import (
	"context"
	"time"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/dispatch"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/owner"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// attemptSlot is the dispatcher slot that an attempt occupies.
type attemptSlot struct {
	slot    *dispatch.Slot
	attempt uint32
	// cancel aborts the attempt; it is set and sent is true once the attempt was
	// sent.
	cancel context.CancelFunc
	sent   bool
}

// release returns a slot that was not used.
func (s *attemptSlot) release() { s.slot.Release(placement.Result{OK: true}) }

// takeUnusedSlot removes and returns the slot of an attempt that ended before
// it was sent. The caller must hold mu.
func (r *run) takeUnusedSlot() *attemptSlot {
	s := r.slot
	if s == nil || s.sent || r.owner == nil || r.owner.Machine.UsesSlot(s.attempt) {
		return nil
	}
	r.slot = nil
	return s
}

// performProgram performs an action of the program.
func (r *run) performProgram(o *owner.Owner, a program.Action) {
	switch a := a.(type) {
	case program.Reply:
		r.notifyCaller(a.ID, a.Event, a.Done)
	case program.Place:
		r.place(o, a)
	case program.Dispatch:
		r.dispatch(o, a)
	case program.Abort:
		r.abort(a)
	case program.HandOver:
		r.handOver(o, a)
	case program.ReleaseMemory:
		go (&engineRelease{run: r, endpoint: a.Endpoint}).loop()
	case program.ReturnBudget:
		go (&budgetReturn{run: r, action: a, customer: o.Machine.State().Created().GetCustomer()}).loop()
	}
}

// place submits a call to the dispatcher.
func (r *run) place(o *owner.Owner, a program.Place) {
	created := o.Machine.State().Created()
	s := r.host.Config()
	if p := r.checkConfig(s, created, a.EntryDomain); p != nil {
		r.post(owner.ProgramEvent{Event: program.PlacementFailed{Sequence: a.Sequence, Attempt: a.Attempt, Problem: p}})
		return
	}
	bounds := placement.Boundaries(a.History)
	customer, _ := s.Customer(created.GetCustomer())
	avoid := make([]incarnation.ID, 0, len(a.Avoid))
	for _, name := range a.Avoid {
		avoid = append(avoid, incarnation.ID{EndpointID: name})
	}
	job := &dispatch.Call{
		Customer: created.GetCustomer(),
		Weight:   customer.GetWeight(),
		MaxCalls: customer.GetMaxCalls(),
		Request: placement.Request{
			Class:          placementClass(created),
			PromptTokens:   promptTokens(bounds),
			OutputTokens:   int64(a.AnswerTokens),
			Prefixes:       r.host.Dispatcher.Prefixes.Find(bounds),
			LastEndpoint:   incarnation.ID{EndpointID: a.LastEndpoint},
			AvoidEndpoints: avoid,
		},
		AttainedService: a.SpentTokens,
		Started:         time.UnixMilli(o.Machine.State().CreatedMS()),
		Retry:           a.Attempt > 1,
	}
	job.Placed = func(slot *dispatch.Slot) { r.placed(a, slot, s.Version()) }
	job.Rejected = func(p *peerpb.Problem) {
		r.post(owner.ProgramEvent{Event: program.PlacementFailed{Sequence: a.Sequence, Attempt: a.Attempt, Problem: p}})
	}
	r.host.Dispatcher.Submit(job)
}

// checkConfig returns a problem if the configuration does not allow the run to
// make a call now.
func (r *run) checkConfig(s *control.Snapshot, created *recordpb.Created, entry string) *peerpb.Problem {
	if !r.host.Learned() {
		return problem.Retry(problem.NotServing, "this instance does not have the latest configuration yet", time.Second)
	}
	b, ok := s.Binding(created.GetBinding())
	if !ok {
		return problem.New(problem.NotServing, "the run's binding was removed")
	}
	if !b.Allows(r.host.Domain) {
		return problem.New(problem.NotServing, "the run's home failure domain is no longer allowed")
	}
	if b.Proto().GetForbidRelay() && entry != "" && !b.Allows(entry) {
		return problem.New(problem.PlaceForbidden, "the binding forbids calls through failure domain "+entry)
	}
	if limit := b.Proto().GetMaxStaleSeconds(); limit > 0 && r.host.ConfigAge() > time.Duration(limit)*time.Second {
		return problem.Retry(problem.Stale, "no control instance has confirmed the configuration in time", time.Second)
	}
	return nil
}

func placementClass(c *recordpb.Created) placement.Class {
	return placement.Class{Model: c.GetModel(), Service: c.GetService(), Binding: c.GetBinding()}
}

func promptTokens(bounds []placement.Boundary) int64 {
	if len(bounds) == 0 {
		return 0
	}
	return bounds[len(bounds)-1].Tokens
}

func (r *run) placed(a program.Place, slot *dispatch.Slot, version uint64) {
	s := &attemptSlot{slot: slot, attempt: a.Attempt}
	r.mu.Lock()
	old := r.slot
	r.slot = s
	r.mu.Unlock()
	if old != nil && !old.sent {
		old.release()
	}
	e := slot.Choice().Endpoint()
	r.post(owner.ProgramEvent{Event: program.Placed{
		Sequence:      a.Sequence,
		Attempt:       a.Attempt,
		Endpoint:      e.Name(),
		Domain:        e.Domain(),
		ConfigVersion: version,
		Reason:        placementReason(slot.Choice()),
		Hold:          len(e.Config().GetModels()) > 0,
	}})
}

// dispatch sends an attempt whose intent is committed.
func (r *run) dispatch(o *owner.Owner, a program.Dispatch) {
	attempt := a.Intent.GetAttempt()
	r.mu.Lock()
	s := r.slot
	if s == nil || s.attempt != attempt {
		r.mu.Unlock()
		r.post(owner.ProgramEvent{Event: program.AttemptFailed{Sequence: a.Intent.GetSequence(), Attempt: attempt, NotRun: true, Reason: "the slot was lost before the attempt was sent"}})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.host.CallTimeout)
	s.cancel = cancel
	s.sent = true
	r.mu.Unlock()
	state := o.Machine.State()
	w := &attemptSender{
		run: r, slot: s, ctx: ctx, version: a.Intent.GetConfigVersion(),
		attempt: Attempt{
			Run:              r.name,
			Created:          state.Created(),
			Intent:           a.Intent,
			History:          a.History,
			Endpoint:         s.slot.Choice().Endpoint().Config(),
			PrefixBoundaries: placement.Boundaries(a.History),
			Priority:         state.Spent(),
			Deadline:         a.ProposedAt.Add(r.host.Lease),
		},
	}
	go w.loop()
}

func (r *run) abort(a program.Abort) {
	r.mu.Lock()
	s := r.slot
	r.mu.Unlock()
	if s != nil && s.attempt == a.Attempt && s.cancel != nil {
		s.cancel()
	}
}
