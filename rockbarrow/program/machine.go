// SPDX-License-Identifier: MIT

package program

import (
	"time"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// DefaultMaxWaiting is the maximum number of calls that wait for a predecessor.
	DefaultMaxWaiting = 16
	// DefaultMaxWait is the maximum time that a call waits for a predecessor.
	DefaultMaxWait = 30 * time.Second
	// DefaultMaxAttempts is the maximum number of attempts of one call.
	DefaultMaxAttempts = 4
	// commitTimeout is how long callers wait for an intent to commit.
	commitTimeout = 5 * time.Second
)

// AnyCustomer is the customer of requests by operators, who may access all runs.
// It is not a valid name of a customer.
const AnyCustomer = "*"

// Machine is the state machine of a run at its owner. The exported fields are
// set before the first event; a zero value selects the default.
type Machine struct {
	MaxWaiting  int
	MaxWait     time.Duration
	MaxAttempts uint32
	// Instance is the name of the owner, shown in views.
	Instance string

	state State
	// loaded is true once the journal serves. No call starts before.
	loaded bool
	// ownershipLost is never reset.
	ownershipLost bool
	// stopping is set once the owner begins no call, and never reset. successor is the next owner, or "".
	stopping  bool
	successor string
	// open is the started call at the next sequence, or nil.
	open *call
	// waiting holds the calls that have not started, ordered by sequence, without
	// duplicates.
	waiting []*call
	// ending is the reason for the requested end of the run, or "".
	ending string
	// endProposed is true once an Ended record was proposed.
	endProposed bool
	// createWaiters wait for the Created record to commit.
	createWaiters  []CallID
	endWaiters     []CallID
	budgetRequests []budgetRequest
	// ticksSinceEnd spaces the repeated releases of resources.
	ticksSinceEnd int
}

// budgetRequest is a caller that waits for a budget change to commit.
type budgetRequest struct {
	id       CallID
	child    string
	allocate bool
}

// State returns the state of the run. It is valid until the next call of Handle.
func (m *Machine) State() *State { return &m.state }

// Loaded reports whether the machine has applied the whole journal.
func (m *Machine) Loaded() bool { return m.loaded }

// Busy reports whether a call or another request is in progress or waiting.
func (m *Machine) Busy() bool {
	return m.open != nil || len(m.waiting) > 0 || len(m.createWaiters) > 0 || len(m.budgetRequests) > 0
}

// UsesSlot reports whether the open call still uses the endpoint slot of an attempt.
func (m *Machine) UsesSlot(attempt uint32) bool {
	c := m.open
	if c == nil {
		return false
	}
	return c.stage == placing && c.attempt+1 == attempt || c.stage >= proposing && c.attempt == attempt
}

// Settled reports whether the run has ended, its resources are released and no
// request is waiting.
func (m *Machine) Settled() bool {
	s := &m.state
	return s.ended != "" && len(s.held) == 0 && (s.credited || s.created.GetParent() == "") && !m.Busy()
}

// Handle processes one event and returns the resulting actions.
func (m *Machine) Handle(now time.Time, e Event) []Action {
	if m.ownershipLost {
		return m.redirectLateCaller(e)
	}
	if a, ok := requesterOf(e); ok && m.forbids(a.customer) {
		return refuse(a.id, problem.New(problem.NotFound, "there is no such run"))
	}
	switch e := e.(type) {
	case Loaded:
		return m.load(now)
	case Recorded:
		return m.recorded(now, e.Records)
	case CreateRequested:
		return m.createRequested(now, e)
	case CallReceived:
		return m.callReceived(now, e)
	case CallerLeft:
		m.callerLeft(e.ID)
		return nil
	case ViewRequested:
		return []Action{m.replyView(e.ID, e.After, e.Limit)}
	case Placed:
		return m.placed(now, e)
	case PlacementFailed:
		return m.placementFailed(now, e)
	case ChunkReceived:
		return m.chunkReceived(e)
	case AttemptFinished:
		return m.attemptFinished(now, e)
	case AttemptFailed:
		return m.attemptFailed(now, e)
	case AllocationRequested:
		return m.allocationRequested(now, e)
	case CreditRequested:
		return m.creditRequested(now, e)
	case EndRequested:
		return m.endRequested(now, e)
	case MemoryReleased:
		return m.memoryReleased(now, e)
	case ParentCredited:
		return m.parentCredited(now)
	case Ticked:
		return m.tick(now)
	case StopBegun:
		return m.beginStop(e)
	case StopEnded:
		return m.endStop(now, e)
	case OwnershipLost:
		return m.leave(&peerpb.Redirect{Instance: e.By})
	}
	return nil
}

// load settles or retries the call that an earlier owner left open.
func (m *Machine) load(now time.Time) []Action {
	m.loaded = true
	out := m.releaseResources()
	t := m.state.OpenTurn()
	if t == nil {
		return out
	}
	m.open = restoreCall(t)
	if !t.intent.GetRepeatable() {
		return append(out, m.settleUnknown(now, m.open, "the owner was lost after the call may have been sent")...)
	}
	return append(out, m.retry(now, m.open, false, "the owner was lost")...)
}

func (m *Machine) recorded(now time.Time, records []*recordpb.Record) []Action {
	var out []Action
	for _, r := range records {
		if err := m.state.Apply(r); err != nil {
			// Two proposals that each fit the budget may exceed it together. Every
			// replica then skips the second one.
			if m.loaded {
				out = append(out, m.recordSkipped(now, r, err)...)
			}
			continue
		}
		if m.loaded {
			out = append(out, m.recordApplied(now, r)...)
		}
	}
	return out
}

// recordApplied acts on a committed record that this owner proposed.
func (m *Machine) recordApplied(now time.Time, r *recordpb.Record) []Action {
	switch b := r.GetBody().(type) {
	case *recordpb.Record_Created:
		return m.replyCreated()
	case *recordpb.Record_Intent:
		return m.send(b.Intent)
	case *recordpb.Record_Answered:
		return m.settle(now, finalEvent(b.Answered, false))
	case *recordpb.Record_Unknown:
		return m.settle(now, m.unknownEvent(b.Unknown))
	case *recordpb.Record_Cancelled:
		return m.settle(now, m.cancelledEvent(b.Cancelled))
	case *recordpb.Record_Carved:
		return m.replyBudgetRequests(b.Carved.GetChild(), true)
	case *recordpb.Record_Returned:
		return m.replyBudgetRequests(b.Returned.GetChild(), false)
	case *recordpb.Record_Ended:
		return m.replyEnded()
	}
	return nil
}

// recordSkipped replies to the callers that wait for a record that was rejected.
func (m *Machine) recordSkipped(now time.Time, r *recordpb.Record, err error) []Action {
	switch b := r.GetBody().(type) {
	case *recordpb.Record_Intent:
		c := m.open
		if c == nil || c.stage != proposing || c.attempt != b.Intent.GetAttempt() {
			return nil
		}
		c.attempt--
		return m.cancelCall(now, c, problem.New(problem.BudgetExhausted, err.Error()))
	case *recordpb.Record_Carved:
		return m.refuseAllocations(b.Carved.GetChild(), problem.New(problem.BudgetExhausted, err.Error()))
	}
	return nil
}

func (m *Machine) createRequested(now time.Time, e CreateRequested) []Action {
	if c := m.state.created; c != nil {
		if c.GetProgram() != e.Created.GetProgram() || c.GetCustomer() != e.Created.GetCustomer() {
			return refuse(e.ID, problem.New(problem.RequestReused, "the run was created with other values"))
		}
		return []Action{m.replyView(e.ID, 0, 0)}
	}
	m.createWaiters = append(m.createWaiters, e.ID)
	if len(m.createWaiters) > 1 {
		return nil
	}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Created{Created: e.Created}})}
}

func (m *Machine) replyCreated() []Action {
	var out []Action
	for _, id := range m.createWaiters {
		out = append(out, m.replyView(id, 0, 0))
	}
	m.createWaiters = nil
	return out
}

func (m *Machine) replyView(id CallID, after uint64, limit uint32) Action {
	view := m.state.View(m.Instance, after, limit)
	return Reply{ID: id, Event: &peerpb.DoEvent{Body: &peerpb.DoEvent_View{View: view}}, Done: true}
}

// forbids reports whether a customer has no access to the run.
func (m *Machine) forbids(customer string) bool {
	if m.state.created == nil {
		return true
	}
	return customer != AnyCustomer && m.state.created.GetCustomer() != customer
}

func (m *Machine) tick(now time.Time) []Action {
	out := append(m.expireWaitingCalls(now), m.expireProposal(now)...)
	if m.state.created == nil || !m.loaded {
		return out
	}
	if m.state.ended != "" {
		m.ticksSinceEnd++
		if m.ticksSinceEnd%4 == 0 {
			out = append(out, m.releaseResources()...)
		}
		return out
	}
	c := m.state.created
	switch {
	case c.GetWallMs() > 0 && now.UnixMilli()-m.state.createdMS > c.GetWallMs():
		out = append(out, m.end(now, "wall_time")...)
	case c.GetIdleMs() > 0 && !m.Busy() && now.UnixMilli()-m.state.lastActiveMS > c.GetIdleMs():
		out = append(out, m.end(now, "idle")...)
	}
	return out
}

// expireProposal tells the callers to retry if the intent of the open call does
// not commit in time. The call stays open, as the intent may still commit.
func (m *Machine) expireProposal(now time.Time) []Action {
	c := m.open
	if c == nil || c.stage != proposing || now.Sub(c.proposedAt) < commitTimeout {
		return nil
	}
	p := problem.Retry(problem.Undetermined, "too few replicas of the run answer; resend under the same request id", time.Second)
	return m.notifyListeners(c, problem.Event(p), true)
}

// leave redirects every waiting caller to the next owner, where a resend under
// the same request id returns the outcome of the call.
func (m *Machine) leave(to *peerpb.Redirect) []Action {
	m.ownershipLost = true
	redirect := &peerpb.DoEvent{Body: &peerpb.DoEvent_Redirect{Redirect: to}}
	var out []Action
	for _, id := range m.listeners() {
		out = append(out, Reply{ID: id, Event: redirect, Done: true})
	}
	if c := m.open; c != nil && c.stage == sent {
		out = append(out, Abort{Sequence: c.turn.GetSequence(), Attempt: c.attempt})
	}
	m.open = nil
	m.waiting = nil
	m.createWaiters = nil
	m.endWaiters = nil
	m.budgetRequests = nil
	return out
}

// redirectLateCaller redirects a caller whose event arrives after the loss of the
// ownership.
func (m *Machine) redirectLateCaller(e Event) []Action {
	id, ok := CallerOf(e)
	if !ok {
		return nil
	}
	redirect := &peerpb.DoEvent{Body: &peerpb.DoEvent_Redirect{Redirect: &peerpb.Redirect{}}}
	return []Action{Reply{ID: id, Event: redirect, Done: true}}
}

// CallerOf returns the caller that waits for a reply to an event, if there is one.
func CallerOf(e Event) (CallID, bool) {
	if c, ok := e.(CreateRequested); ok {
		return c.ID, true
	}
	a, ok := requesterOf(e)
	return a.id, ok
}

// requester is the caller that waits for a reply to an event, and its customer.
type requester struct {
	id       CallID
	customer string
}

// requesterOf returns the requester of an event that requires an existing run.
func requesterOf(e Event) (requester, bool) {
	switch e := e.(type) {
	case CallReceived:
		return requester{e.ID, e.Customer}, true
	case ViewRequested:
		return requester{e.ID, e.Customer}, true
	case AllocationRequested:
		return requester{e.ID, e.Customer}, true
	case CreditRequested:
		return requester{e.ID, e.Customer}, true
	case EndRequested:
		return requester{e.ID, e.Customer}, true
	}
	return requester{}, false
}

func (m *Machine) listeners() []CallID {
	var out []CallID
	if m.open != nil {
		out = append(out, m.open.listeners...)
	}
	for _, c := range m.waiting {
		out = append(out, c.listeners...)
	}
	out = append(out, m.createWaiters...)
	out = append(out, m.endWaiters...)
	for _, a := range m.budgetRequests {
		out = append(out, a.id)
	}
	return out
}

func (m *Machine) commit(now time.Time, records ...*recordpb.Record) Action {
	for _, r := range records {
		r.AtMs = now.UnixMilli()
	}
	return Commit{Records: records}
}

func refuse(id CallID, p *peerpb.Problem) []Action {
	return []Action{Reply{ID: id, Event: problem.Event(p), Done: true}}
}

func finalEvent(a *recordpb.Answered, replayed bool) *peerpb.DoEvent {
	return &peerpb.DoEvent{Body: &peerpb.DoEvent_Final{Final: &peerpb.Final{Answered: a, Replayed: replayed}}}
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
