// SPDX-License-Identifier: MIT

package program

import (
	"time"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// DefaultMaxWaiting bounds calls that wait for a predecessor.
	DefaultMaxWaiting = 16
	// DefaultMaxWait bounds how long they wait.
	DefaultMaxWait = 30 * time.Second
	// DefaultMaxAttempts bounds how often one call is sent.
	DefaultMaxAttempts = 4
	// commitWait is how long callers wait for an intent to commit.
	commitWait = 5 * time.Second
)

// AnyCustomer stands for operators, who may read all runs. No customer can have
// this name.
const AnyCustomer = "*"

// Machine is the owner's side of a run. Set the exported fields before the
// first event; zero takes the defaults.
type Machine struct {
	MaxWaiting  int
	MaxWait     time.Duration
	MaxAttempts uint32
	// Instance is the owner's name, for views.
	Instance string

	state State
	// loaded is false until the journal serves; nothing is decided before.
	loaded bool
	// deposed is final.
	deposed bool
	// open is the call at the next sequence, if it has been started.
	open *call
	// waiting are calls behind it, in order of sequence, each sequence once.
	waiting []*call
	// ending is why the run is to end once the open call is settled.
	ending string
	// endAsked is true once an Ended record was proposed.
	endAsked bool
	// creators wait for the Created record to commit.
	creators []CallID
	enders   []CallID
	asked    []ask
	// repeat counts ticks so that releases repeat slowly.
	repeat int
}

// ask is a budget change that waits for its record to commit.
type ask struct {
	id    CallID
	child string
	carve bool
}

// State returns the folded journal; the caller must not keep it over a Handle.
func (m *Machine) State() *State { return &m.state }

// Loaded reports whether the machine has the whole journal and decides.
func (m *Machine) Loaded() bool { return m.loaded }

// Busy reports whether a call is under way or waits.
func (m *Machine) Busy() bool {
	return m.open != nil || len(m.waiting) > 0 || len(m.creators) > 0 || len(m.asked) > 0
}

// UsesSlot reports whether the open call still uses the endpoint slot of an attempt.
func (m *Machine) UsesSlot(attempt uint32) bool {
	c := m.open
	if c == nil {
		return false
	}
	return c.stage == placing && c.attempt+1 == attempt || c.stage >= proposing && c.attempt == attempt
}

// Settled reports whether an ended run owes nothing to anyone.
func (m *Machine) Settled() bool {
	s := &m.state
	return s.ended != "" && len(s.held) == 0 && (s.credited || s.created.GetParent() == "") && !m.Busy()
}

// Handle takes one event.
func (m *Machine) Handle(now time.Time, e Event) []Action {
	if m.deposed {
		return m.refuseAsDeposed(e)
	}
	if a, ok := askedBy(e); ok && m.strange(a.customer) {
		return refuse(a.id, problem.New(problem.NotFound, "there is no such run"))
	}
	switch e := e.(type) {
	case Loaded:
		return m.load(now)
	case Recorded:
		return m.recorded(now, e.Records)
	case CreateRequested:
		return m.creating(now, e)
	case CallReceived:
		return m.called(now, e)
	case CallerLeft:
		m.left(e.ID)
		return nil
	case ViewRequested:
		return []Action{m.tellView(e.ID, e.After, e.Limit)}
	case Placed:
		return m.placed(now, e)
	case PlacementFailed:
		return m.unplaced(now, e)
	case ChunkReceived:
		return m.streamed(e)
	case AttemptFinished:
		return m.finished(now, e)
	case AttemptFailed:
		return m.failed(now, e)
	case AllocationRequested:
		return m.carving(now, e)
	case CreditRequested:
		return m.crediting(now, e)
	case EndRequested:
		return m.endAskedBy(now, e)
	case MemoryReleased:
		return m.freed(now, e)
	case ParentCredited:
		return m.creditedByParent(now)
	case Ticked:
		return m.tick(now)
	case OwnershipLost:
		return m.depose(e)
	}
	return nil
}

// load settles what an earlier owner left open.
func (m *Machine) load(now time.Time) []Action {
	m.loaded = true
	out := m.afterEnd()
	t := m.state.OpenTurn()
	if t == nil {
		return out
	}
	m.open = reopen(t)
	if !t.intent.GetRepeatable() {
		return append(out, m.giveUp(now, m.open, "the owner was lost after the call may have been sent")...)
	}
	return append(out, m.again(now, m.open, false, "the owner was lost")...)
}

func (m *Machine) recorded(now time.Time, records []*recordpb.Record) []Action {
	var out []Action
	for _, r := range records {
		if err := m.state.Apply(r); err != nil {
			// Every replica skips it alike: two proposals that each fitted the budget
			// may not fit together.
			if m.loaded {
				out = append(out, m.skipped(now, r, err)...)
			}
			continue
		}
		if m.loaded {
			out = append(out, m.applied(now, r)...)
		}
	}
	return out
}

// applied acts on a record that this owner proposed.
func (m *Machine) applied(now time.Time, r *recordpb.Record) []Action {
	switch b := r.GetBody().(type) {
	case *recordpb.Record_Created:
		return m.tellCreated()
	case *recordpb.Record_Intent:
		return m.send(b.Intent)
	case *recordpb.Record_Answered:
		return m.settle(now, finalEvent(b.Answered, false))
	case *recordpb.Record_Unknown:
		return m.settle(now, m.unknownEvent(b.Unknown))
	case *recordpb.Record_Cancelled:
		return m.settle(now, m.cancelledEvent(b.Cancelled))
	case *recordpb.Record_Carved:
		return m.tellAsked(b.Carved.GetChild(), true)
	case *recordpb.Record_Returned:
		return m.tellAsked(b.Returned.GetChild(), false)
	case *recordpb.Record_Ended:
		return m.tellEnded()
	}
	return nil
}

// skipped answers those who waited for a record that came too late.
func (m *Machine) skipped(now time.Time, r *recordpb.Record, err error) []Action {
	switch b := r.GetBody().(type) {
	case *recordpb.Record_Intent:
		c := m.open
		if c == nil || c.stage != proposing || c.attempt != b.Intent.GetAttempt() {
			return nil
		}
		c.attempt--
		return m.withdraw(now, c, problem.New(problem.BudgetExhausted, err.Error()))
	case *recordpb.Record_Carved:
		return m.refuseAsked(b.Carved.GetChild(), problem.New(problem.BudgetExhausted, err.Error()))
	}
	return nil
}

func (m *Machine) creating(now time.Time, e CreateRequested) []Action {
	if c := m.state.created; c != nil {
		if c.GetProgram() != e.Created.GetProgram() || c.GetCustomer() != e.Created.GetCustomer() {
			return refuse(e.ID, problem.New(problem.RequestReused, "the run was created with other values"))
		}
		return []Action{m.tellView(e.ID, 0, 0)}
	}
	m.creators = append(m.creators, e.ID)
	if len(m.creators) > 1 {
		return nil
	}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Created{Created: e.Created}})}
}

func (m *Machine) tellCreated() []Action {
	var out []Action
	for _, id := range m.creators {
		out = append(out, m.tellView(id, 0, 0))
	}
	m.creators = nil
	return out
}

func (m *Machine) tellView(id CallID, after uint64, limit uint32) Action {
	view := m.state.View(m.Instance, after, limit)
	return Reply{ID: id, Event: &peerpb.DoEvent{Body: &peerpb.DoEvent_View{View: view}}, Done: true}
}

// strange reports whether a customer may not know of the run.
func (m *Machine) strange(customer string) bool {
	if m.state.created == nil {
		return true
	}
	return customer != AnyCustomer && m.state.created.GetCustomer() != customer
}

func (m *Machine) tick(now time.Time) []Action {
	out := append(m.expireWaiting(now), m.undetermined(now)...)
	if m.state.created == nil || !m.loaded {
		return out
	}
	if m.state.ended != "" {
		m.repeat++
		if m.repeat%4 == 0 {
			out = append(out, m.afterEnd()...)
		}
		return out
	}
	c := m.state.created
	switch {
	case c.GetWallMs() > 0 && now.UnixMilli()-m.state.madeMS > c.GetWallMs():
		out = append(out, m.end(now, "wall_time")...)
	case c.GetIdleMs() > 0 && !m.Busy() && now.UnixMilli()-m.state.activeMS > c.GetIdleMs():
		out = append(out, m.end(now, "idle")...)
	}
	return out
}

// undetermined tells callers of an intent that finds no majority to come back;
// the call stays, as the intent may still commit.
func (m *Machine) undetermined(now time.Time) []Action {
	c := m.open
	if c == nil || c.stage != proposing || now.Sub(c.proposedAt) < commitWait {
		return nil
	}
	p := problem.Retry(problem.Undetermined, "too few replicas of the run answer; resend under the same request id", time.Second)
	return m.tellAll(c, problem.Event(p), true)
}

// depose sends every waiting caller on to the next owner, where a resend under
// the same request id finds what became of the call.
func (m *Machine) depose(e OwnershipLost) []Action {
	m.deposed = true
	redirect := &peerpb.DoEvent{Body: &peerpb.DoEvent_Redirect{Redirect: &peerpb.Redirect{Instance: e.By}}}
	var out []Action
	for _, id := range m.listeners() {
		out = append(out, Reply{ID: id, Event: redirect, Done: true})
	}
	if c := m.open; c != nil && c.stage == sent {
		out = append(out, Abort{Sequence: c.turn.GetSequence(), Attempt: c.attempt})
	}
	m.open = nil
	m.waiting = nil
	m.creators = nil
	m.enders = nil
	m.asked = nil
	return out
}

// refuseAsDeposed answers callers that were late for the end of the ownership.
func (m *Machine) refuseAsDeposed(e Event) []Action {
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
	a, ok := askedBy(e)
	return a.id, ok
}

// asker is who waits for an event's answer.
type asker struct {
	id       CallID
	customer string
}

// askedBy returns who asks about a run that should exist.
func askedBy(e Event) (asker, bool) {
	switch e := e.(type) {
	case CallReceived:
		return asker{e.ID, e.Customer}, true
	case ViewRequested:
		return asker{e.ID, e.Customer}, true
	case AllocationRequested:
		return asker{e.ID, e.Customer}, true
	case CreditRequested:
		return asker{e.ID, e.Customer}, true
	case EndRequested:
		return asker{e.ID, e.Customer}, true
	}
	return asker{}, false
}

func (m *Machine) listeners() []CallID {
	var out []CallID
	if m.open != nil {
		out = append(out, m.open.listeners...)
	}
	for _, c := range m.waiting {
		out = append(out, c.listeners...)
	}
	out = append(out, m.creators...)
	out = append(out, m.enders...)
	for _, a := range m.asked {
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

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
