// SPDX-License-Identifier: MIT

package program

import (
	"time"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// at returns the open call if an event is about its newest attempt.
func (m *Machine) at(sequence uint64, attempt uint32, want stage) *call {
	c := m.open
	if c == nil || c.turn.GetSequence() != sequence || c.stage != want {
		return nil
	}
	if want == placing {
		attempt--
	}
	if c.attempt != attempt {
		return nil
	}
	return c
}

func (m *Machine) placed(now time.Time, e Placed) []Action {
	c := m.at(e.Sequence, e.Attempt, placing)
	if c == nil {
		return nil
	}
	if m.ending != "" {
		return m.withdraw(now, c, problem.New(problem.RunEnded, "the run ended: "+m.ending))
	}
	first := c.attempt == 0
	c.attempt = e.Attempt
	c.stage = proposing
	c.proposedAt = now
	c.buffer = nil
	c.intent = &recordpb.Intent{
		Sequence:        e.Sequence,
		RequestId:       c.turn.GetRequestId(),
		BodyDigest:      c.digest,
		Attempt:         e.Attempt,
		Endpoint:        e.Endpoint,
		Domain:          e.Domain,
		ConfigVersion:   e.ConfigVersion,
		Repeatable:      c.turn.GetRepeatable(),
		ReserveTokens:   c.reserve,
		MaxAnswerTokens: c.turn.GetMaxAnswerTokens(),
		Reason:          e.Reason,
		ServiceBody:     c.turn.GetServiceBody(),
		ChargedTokens:   c.charged,
		Hold:            e.Hold,
	}
	if first {
		c.intent.Messages = c.turn.GetMessages()
	}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Intent{Intent: c.intent}})}
}

// unplaced ends a call that no endpoint can take. Before its first intent it
// has left no trace; after it, a settling record has to commit first.
func (m *Machine) unplaced(now time.Time, e PlacementFailed) []Action {
	c := m.at(e.Sequence, e.Attempt, placing)
	if c == nil {
		return nil
	}
	return m.withdraw(now, c, e.Problem)
}

func (m *Machine) withdraw(now time.Time, c *call, p *peerpb.Problem) []Action {
	p = problem.Certain(p)
	if c.attempt == 0 {
		m.open = nil
		out := m.tellAll(c, problem.Event(p), true)
		return append(out, m.proceed(now)...)
	}
	if c.charged > 0 {
		return m.giveUp(now, c, p.GetDetail())
	}
	c.stage = settling
	c.refusal = p
	record := &recordpb.Cancelled{Sequence: c.turn.GetSequence(), Attempt: c.attempt, Reason: p.GetDetail()}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Cancelled{Cancelled: record}})}
}

// giveUp settles a call that may have run.
func (m *Machine) giveUp(now time.Time, c *call, reason string) []Action {
	c.stage = settling
	record := &recordpb.Unknown{Sequence: c.turn.GetSequence(), Attempt: c.attempt, Reason: reason}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Unknown{Unknown: record}})}
}

// send follows the commit of an intent.
func (m *Machine) send(in *recordpb.Intent) []Action {
	c := m.open
	if c == nil || c.stage != proposing || c.attempt != in.GetAttempt() {
		return nil
	}
	c.stage = sent
	var out []Action
	if c.attempt > 1 {
		out = m.tellAll(c, deltaEvent(c.attempt, 0, "", true), false)
	}
	return append(out, Dispatch{Intent: in, History: m.state.History(), ProposedAt: c.proposedAt})
}

func (m *Machine) streamed(e ChunkReceived) []Action {
	c := m.at(e.Sequence, e.Attempt, sent)
	if c == nil || e.Offset != uint64(len(c.buffer)) {
		return nil
	}
	c.buffer = append(c.buffer, e.Content...)
	return m.tellAll(c, deltaEvent(e.Attempt, e.Offset, e.Content, false), false)
}

// finished matches an answer by its attempt, never by its time. An answer of
// an older attempt is dropped; its cost was charged when it was given up.
func (m *Machine) finished(now time.Time, e AttemptFinished) []Action {
	c := m.at(e.Sequence, e.Attempt, sent)
	if c == nil {
		return nil
	}
	c.stage = settling
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Answered{Answered: e.Answered}})}
}

func (m *Machine) failed(now time.Time, e AttemptFailed) []Action {
	c := m.at(e.Sequence, e.Attempt, sent)
	if c == nil {
		return nil
	}
	if !e.NotRun && !c.turn.GetRepeatable() {
		return m.giveUp(now, c, e.Reason)
	}
	if e.Final && e.NotRun {
		return m.withdraw(now, c, problem.New(problem.BadRequest, e.Reason))
	}
	return m.again(now, c, e.NotRun, e.Reason)
}

// again tries elsewhere. An attempt that may have run is charged in full.
func (m *Machine) again(now time.Time, c *call, notRun bool, reason string) []Action {
	if !notRun {
		c.charged += c.reserve
	}
	if c.intent != nil {
		c.avoid = append(c.avoid, c.intent.GetEndpoint())
	}
	p := problem.Retry(problem.NoEndpoint, reason, time.Second)
	if m.ending != "" || c.attempt >= or(m.MaxAttempts, DefaultMaxAttempts) {
		return m.withdraw(now, c, p)
	}
	if c.charged+c.reserve > m.state.Remaining()+m.state.reserved {
		return m.withdraw(now, c, problem.New(problem.BudgetExhausted, reason))
	}
	return []Action{m.place(c)}
}

// settle tells the callers of the open call and lets the next one start.
func (m *Machine) settle(now time.Time, e *peerpb.DoEvent) []Action {
	c := m.open
	if c == nil {
		return nil
	}
	m.open = nil
	out := m.tellAll(c, e, true)
	return append(out, m.proceed(now)...)
}

// proceed goes on after a call: to the end that was asked for, or to the next.
func (m *Machine) proceed(now time.Time) []Action {
	if m.ending != "" {
		return m.end(now, m.ending)
	}
	return m.startNext(now)
}

func (m *Machine) unknownEvent(u *recordpb.Unknown) *peerpb.DoEvent {
	if m.open != nil && m.open.turn.GetRepeatable() {
		p := problem.New(problem.EndpointFailed, u.GetReason())
		p.RetryAfterMs = 1000
		return problem.Event(p)
	}
	return problem.Event(unknownProblem(u.GetReason()))
}

func unknownProblem(reason string) *peerpb.Problem {
	return problem.New(problem.OutcomeUnknown, "the call was sent, may have run, and is not sent again: "+reason)
}

func (m *Machine) cancelledEvent(c *recordpb.Cancelled) *peerpb.DoEvent {
	if m.open != nil && m.open.refusal != nil {
		return problem.Event(m.open.refusal)
	}
	return problem.Event(problem.Certain(problem.Retry(problem.NoEndpoint, c.GetReason(), time.Second)))
}
