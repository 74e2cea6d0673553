// SPDX-License-Identifier: MIT

package program

import (
	"time"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// findAttempt returns the open call if its newest attempt and its stage match, or
// nil. While a call is placed, attempt is the number of the next attempt.
func (m *Machine) findAttempt(sequence uint64, attempt uint32, want stage) *call {
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
	c := m.findAttempt(e.Sequence, e.Attempt, placing)
	if c == nil {
		return nil
	}
	if m.ending != "" {
		return m.cancelCall(now, c, problem.New(problem.RunEnded, "the run ended: "+m.ending))
	}
	first := c.attempt == 0
	c.attempt = e.Attempt
	c.stage = proposing
	c.proposedAt = now
	c.partialAnswer = nil
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

// placementFailed ends a call that no endpoint can accept.
func (m *Machine) placementFailed(now time.Time, e PlacementFailed) []Action {
	c := m.findAttempt(e.Sequence, e.Attempt, placing)
	if c == nil {
		return nil
	}
	return m.cancelCall(now, c, e.Problem)
}

// cancelCall refuses a call that will not be sent. Without an earlier intent there
// is nothing to settle in the journal; otherwise a settling record commits first.
func (m *Machine) cancelCall(now time.Time, c *call, p *peerpb.Problem) []Action {
	p = problem.Certain(p)
	if c.attempt == 0 {
		m.open = nil
		out := m.notifyListeners(c, problem.Event(p), true)
		return append(out, m.startNextOrEnd(now)...)
	}
	if c.charged > 0 {
		return m.settleUnknown(now, c, p.GetDetail())
	}
	c.stage = settling
	c.refusal = p
	record := &recordpb.Cancelled{Sequence: c.turn.GetSequence(), Attempt: c.attempt, Reason: p.GetDetail()}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Cancelled{Cancelled: record}})}
}

// settleUnknown settles a call that may have run.
func (m *Machine) settleUnknown(now time.Time, c *call, reason string) []Action {
	c.stage = settling
	record := &recordpb.Unknown{Sequence: c.turn.GetSequence(), Attempt: c.attempt, Reason: reason}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Unknown{Unknown: record}})}
}

// send dispatches the open call after its intent has committed.
func (m *Machine) send(in *recordpb.Intent) []Action {
	c := m.open
	if c == nil || c.stage != proposing || c.attempt != in.GetAttempt() {
		return nil
	}
	c.stage = sent
	var out []Action
	if c.attempt > 1 {
		out = m.notifyListeners(c, deltaEvent(c.attempt, 0, "", true), false)
	}
	return append(out, Dispatch{Intent: in, History: m.state.History(), ProposedAt: c.proposedAt})
}

func (m *Machine) chunkReceived(e ChunkReceived) []Action {
	c := m.findAttempt(e.Sequence, e.Attempt, sent)
	if c == nil || e.Offset != uint64(len(c.partialAnswer)) {
		return nil
	}
	c.partialAnswer = append(c.partialAnswer, e.Content...)
	return m.notifyListeners(c, deltaEvent(e.Attempt, e.Offset, e.Content, false), false)
}

// attemptFinished commits the answer of the newest attempt. The answer of an
// older attempt is dropped; its cost was charged when the call was retried.
func (m *Machine) attemptFinished(now time.Time, e AttemptFinished) []Action {
	c := m.findAttempt(e.Sequence, e.Attempt, sent)
	if c == nil {
		return nil
	}
	c.stage = settling
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Answered{Answered: e.Answered}})}
}

func (m *Machine) attemptFailed(now time.Time, e AttemptFailed) []Action {
	c := m.findAttempt(e.Sequence, e.Attempt, sent)
	if c == nil {
		return nil
	}
	if !e.NotRun && !c.turn.GetRepeatable() {
		return m.settleUnknown(now, c, e.Reason)
	}
	if e.Final && e.NotRun {
		return m.cancelCall(now, c, problem.New(problem.BadRequest, e.Reason))
	}
	return m.retry(now, c, e.NotRun, e.Reason)
}

// retry places the call on another endpoint. An attempt that may have run is
// charged in full.
func (m *Machine) retry(now time.Time, c *call, notRun bool, reason string) []Action {
	if !notRun {
		c.charged += c.reserve
	}
	if c.intent != nil {
		c.avoid = append(c.avoid, c.intent.GetEndpoint())
	}
	p := problem.Retry(problem.NoEndpoint, reason, time.Second)
	if m.ending != "" || c.attempt >= orDefault(m.MaxAttempts, DefaultMaxAttempts) {
		return m.cancelCall(now, c, p)
	}
	if c.charged+c.reserve > m.state.Remaining()+m.state.reserved {
		return m.cancelCall(now, c, problem.New(problem.BudgetExhausted, reason))
	}
	switch {
	case m.stopping && c.charged == 0:
		// The next owner can take it as a new call.
		return m.cancelCall(now, c, stopRefusal())
	case m.stopping && m.successor != "":
		return m.handOver()
	case m.stopping:
		return m.cancelCall(now, c, p)
	}
	return []Action{m.place(c)}
}

// settle replies to the callers of the open call and starts the next call.
func (m *Machine) settle(now time.Time, e *peerpb.DoEvent) []Action {
	c := m.open
	if c == nil {
		return nil
	}
	m.open = nil
	out := m.notifyListeners(c, e, true)
	return append(out, m.startNextOrEnd(now)...)
}

// startNextOrEnd ends the run if its end was requested, and otherwise starts the
// next call.
func (m *Machine) startNextOrEnd(now time.Time) []Action {
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
