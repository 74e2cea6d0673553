// SPDX-License-Identifier: MIT

package program

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// stage is the progress of a call that is not settled.
type stage int

const (
	queued stage = iota
	placing
	proposing
	sent
	settling
)

// call is a call that is not settled.
type call struct {
	turn      *peerpb.Turn
	digest    []byte
	listeners []CallID
	arrivedAt time.Time
	stage     stage
	// attempt is the newest attempt; 0 before the first intent.
	attempt uint32
	// charged is the sum of the reservations of earlier attempts that may have run.
	charged uint64
	reserve uint64
	avoid   []string
	// partialAnswer is what the newest attempt has streamed.
	partialAnswer []byte
	proposedAt    time.Time
	intent        *recordpb.Intent
	// refusal is the reply to the caller once the settling record has committed.
	refusal *peerpb.Problem
}

// restoreCall returns the call of an intent that an earlier owner did not settle.
func restoreCall(t *Turn) *call {
	in := t.intent
	return &call{
		turn: &peerpb.Turn{
			Sequence:        in.GetSequence(),
			RequestId:       in.GetRequestId(),
			Messages:        t.messages,
			MaxAnswerTokens: in.GetMaxAnswerTokens(),
			Repeatable:      in.GetRepeatable(),
			ServiceBody:     in.GetServiceBody(),
		},
		digest:  in.GetBodyDigest(),
		stage:   sent,
		attempt: in.GetAttempt(),
		charged: in.GetChargedTokens(),
		reserve: in.GetReserveTokens(),
		intent:  in,
	}
}

// BodyDigest returns the digest of a turn's body. It distinguishes a resend from
// another request under the same id.
func BodyDigest(t *peerpb.Turn) []byte {
	h := sha256.New()
	writeString := func(s string) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	for _, msg := range t.GetMessages() {
		writeString(msg.GetRole())
		writeString(msg.GetContent())
	}
	writeString(string(t.GetServiceBody()))
	writeString(fmt.Sprint(t.GetMaxAnswerTokens(), t.GetRepeatable(), t.GetWholeHistory()))
	return h.Sum(nil)
}

func (m *Machine) callReceived(now time.Time, e CallReceived) []Action {
	c := &call{turn: e.Turn, digest: BodyDigest(e.Turn), listeners: []CallID{e.ID}, arrivedAt: now}
	if out, done := m.handleResend(e, c); done {
		return out
	}
	if m.state.ended != "" || m.ending != "" {
		return refuse(e.ID, problem.New(problem.RunEnded, "the run ended: "+orDefault(m.state.ended, m.ending)))
	}
	if p := m.assignSequence(c); p != nil {
		return refuse(e.ID, problem.Certain(p))
	}
	if m.stopping {
		return refuse(e.ID, stopRefusal())
	}
	return m.enqueue(now, c)
}

// handleResend handles a call whose request id is known. It returns false if the
// id is new.
func (m *Machine) handleResend(e CallReceived, c *call) ([]Action, bool) {
	id := e.Turn.GetRequestId()
	if o := m.pending(id); o != nil {
		if !bytes.Equal(o.digest, c.digest) {
			return refuse(e.ID, requestReused()), true
		}
		o.listeners = append(o.listeners, e.ID)
		return m.resumeStream(o, e), true
	}
	t := m.state.FindTurn(id)
	if t == nil {
		return nil, false
	}
	if !bytes.Equal(t.intent.GetBodyDigest(), c.digest) {
		return refuse(e.ID, requestReused()), true
	}
	if t.state == Answered {
		return []Action{Reply{ID: e.ID, Event: finalEvent(t.answered, true), Done: true}}, true
	}
	return refuse(e.ID, unknownProblem(t.failureReason)), true
}

func requestReused() *peerpb.Problem {
	return problem.New(problem.RequestReused, "the request id came before with another body")
}

// pending returns the unsettled call with a request id, or nil.
func (m *Machine) pending(requestID string) *call {
	if m.open != nil && m.open.turn.GetRequestId() == requestID {
		return m.open
	}
	for _, c := range m.waiting {
		if c.turn.GetRequestId() == requestID {
			return c
		}
	}
	return nil
}

// resumeStream sends a caller that joins a call the part of the stream that it
// lacks.
func (m *Machine) resumeStream(c *call, e CallReceived) []Action {
	if c.stage != sent || len(c.partialAnswer) == 0 {
		return nil
	}
	from := uint64(0)
	restart := false
	if attempt := e.Turn.GetResumeAttempt(); attempt != 0 {
		if attempt == c.attempt && e.Turn.GetResumeOffset() <= uint64(len(c.partialAnswer)) {
			from = e.Turn.GetResumeOffset()
		} else {
			restart = true
		}
	}
	return []Action{Reply{ID: e.ID, Event: deltaEvent(c.attempt, from, string(c.partialAnswer[from:]), restart)}}
}

func deltaEvent(attempt uint32, offset uint64, content string, restart bool) *peerpb.DoEvent {
	d := &peerpb.Delta{Attempt: attempt, Offset: offset, Content: content, Restart: restart}
	return &peerpb.DoEvent{Body: &peerpb.DoEvent_Delta{Delta: d}}
}

// assignSequence checks the call's sequence, and sets it if the call carries the
// whole history.
func (m *Machine) assignSequence(c *call) *peerpb.Problem {
	if c.turn.GetWholeHistory() {
		if m.Busy() {
			return problem.New(problem.SequenceConflict, "another call of the run is in progress")
		}
		added, ok := m.newMessages(c.turn.GetMessages())
		if !ok {
			return problem.New(problem.HistoryMismatch, "the messages before the new ones differ from the stored history")
		}
		c.turn = cloneTurn(c.turn)
		c.turn.Messages = added
		c.turn.Sequence = orDefault(c.turn.GetSequence(), m.state.NextSequence())
	}
	seq := c.turn.GetSequence()
	switch {
	case seq == 0:
		return problem.New(problem.BadRequest, "sequence: must be 1 or more")
	case seq < m.state.NextSequence():
		return problem.New(problem.AlreadySettled, fmt.Sprintf("the next sequence is %d", m.state.NextSequence()))
	case m.open != nil && seq == m.open.turn.GetSequence():
		return problem.New(problem.SequenceConflict, "another request id holds the sequence")
	case len(m.waiting) >= orDefault(m.MaxWaiting, DefaultMaxWaiting):
		return problem.Retry(problem.Overloaded, "too many calls wait for their predecessors", time.Second)
	}
	for _, o := range m.waiting {
		if o.turn.GetSequence() == seq {
			return problem.New(problem.SequenceConflict, "another request id waits for the sequence")
		}
	}
	return nil
}

func cloneTurn(t *peerpb.Turn) *peerpb.Turn {
	return &peerpb.Turn{
		Sequence:        t.GetSequence(),
		RequestId:       t.GetRequestId(),
		Messages:        t.GetMessages(),
		MaxAnswerTokens: t.GetMaxAnswerTokens(),
		Repeatable:      t.GetRepeatable(),
		ServiceBody:     t.GetServiceBody(),
		EntryDomain:     t.GetEntryDomain(),
	}
}

// newMessages returns the messages that follow the stored history, or false if
// the messages do not extend it.
func (m *Machine) newMessages(messages []*recordpb.Message) ([]*recordpb.Message, bool) {
	stored := m.state.History()
	if len(messages) <= len(stored) {
		return nil, false
	}
	for i, s := range stored {
		if s.GetRole() != messages[i].GetRole() || s.GetContent() != messages[i].GetContent() {
			return nil, false
		}
	}
	return messages[len(stored):], true
}

func (m *Machine) enqueue(now time.Time, c *call) []Action {
	at, _ := slices.BinarySearchFunc(m.waiting, c.turn.GetSequence(), func(o *call, seq uint64) int {
		return int(int64(o.turn.GetSequence()) - int64(seq))
	})
	m.waiting = slices.Insert(m.waiting, at, c)
	return m.startNext(now)
}

// startNext starts the waiting call with the next sequence, if there is one.
func (m *Machine) startNext(now time.Time) []Action {
	if m.open != nil || !m.loaded || len(m.waiting) == 0 {
		return nil
	}
	c := m.waiting[0]
	if c.turn.GetSequence() != m.state.NextSequence() {
		return nil
	}
	m.waiting = m.waiting[1:]
	if p := m.reserveBudget(c); p != nil {
		out := m.notifyListeners(c, problem.Event(p), true)
		return append(out, m.startNext(now)...)
	}
	m.open = c
	return []Action{m.place(c)}
}

// reserveBudget reserves the most that the call may cost.
func (m *Machine) reserveBudget(c *call) *peerpb.Problem {
	created := m.state.created
	if limit := created.GetMaxCalls(); limit > 0 && m.state.calls >= limit {
		return problem.New(problem.CallsExhausted, fmt.Sprintf("the run may make %d calls", limit))
	}
	answer := created.GetMaxAnswerTokens()
	if requested := c.turn.GetMaxAnswerTokens(); requested > 0 && (answer == 0 || requested < answer) {
		answer = requested
	}
	c.turn = cloneTurn(c.turn)
	c.turn.MaxAnswerTokens = answer
	c.reserve = m.promptTokens(c) + uint64(answer)
	if created.GetService() != "" {
		c.reserve = 0
	}
	if c.charged+c.reserve > m.state.Remaining()+m.state.reserved {
		detail := fmt.Sprintf("%d tokens are left, the call may cost %d", m.state.Remaining(), c.reserve)
		return problem.New(problem.BudgetExhausted, detail)
	}
	return nil
}

// promptTokens returns an upper bound for the size of the prompt: the size that
// the engine reported up to the last answer, plus an estimate for that answer and
// all later messages. Engines refuse a longer prompt.
func (m *Machine) promptTokens(c *call) uint64 {
	tokens := uint64(0)
	from := 0
	for i, t := range m.state.turns {
		if t.state == Answered {
			answer := []*recordpb.Message{{Role: "assistant", Content: t.answered.GetContent()}}
			tokens = t.answered.GetPromptTokens() + max(t.answered.GetAnswerTokens(), EstimateTokens(answer))
			from = i + 1
		}
	}
	for _, t := range m.state.turns[from:] {
		if t.state != Intended {
			tokens += EstimateTokens(t.messages)
		}
	}
	return tokens + EstimateTokens(c.turn.GetMessages())
}

// EstimateTokens returns an upper bound for the tokens of messages of ordinary
// text: one for every three bytes and eight for each message.
func EstimateTokens(messages []*recordpb.Message) uint64 {
	n := uint64(0)
	for _, msg := range messages {
		n += uint64(len(msg.GetRole())+len(msg.GetContent()))/3 + 8
	}
	return n
}

func (m *Machine) place(c *call) Action {
	c.stage = placing
	history := m.historyFor(c)
	p := Place{
		Sequence:     c.turn.GetSequence(),
		Attempt:      c.attempt + 1,
		PromptTokens: c.reserve - min(c.reserve, uint64(c.turn.GetMaxAnswerTokens())),
		AnswerTokens: c.turn.GetMaxAnswerTokens(),
		Repeatable:   c.turn.GetRepeatable(),
		Avoid:        slices.Clone(c.avoid),
		SpentTokens:  m.state.spent,
		History:      history,
		EntryDomain:  c.turn.GetEntryDomain(),
	}
	if n := len(m.state.turns); n > 0 {
		p.LastEndpoint = m.state.turns[n-1].answered.GetEndpoint()
	}
	return p
}

// historyFor returns the prompt for the engine: all earlier messages and answers,
// and the messages of the call.
func (m *Machine) historyFor(c *call) []*recordpb.Message {
	history := m.state.History()
	if m.state.OpenTurn() != nil {
		return history
	}
	return append(history, c.turn.GetMessages()...)
}

func (m *Machine) expireWaitingCalls(now time.Time) []Action {
	var out []Action
	kept := m.waiting[:0:0]
	for _, c := range m.waiting {
		if now.Sub(c.arrivedAt) < orDefault(m.MaxWait, DefaultMaxWait) {
			kept = append(kept, c)
			continue
		}
		detail := fmt.Sprintf("the next sequence is %d", m.state.NextSequence())
		out = append(out, m.notifyListeners(c, problem.Event(problem.New(problem.PredecessorMissing, detail)), true)...)
	}
	m.waiting = kept
	return out
}

func (m *Machine) callerLeft(id CallID) {
	for _, c := range append(slices.Clone(m.waiting), m.open) {
		if c == nil {
			continue
		}
		c.listeners = slices.DeleteFunc(c.listeners, func(o CallID) bool { return o == id })
	}
}

func (m *Machine) notifyListeners(c *call, e *peerpb.DoEvent, done bool) []Action {
	out := make([]Action, 0, len(c.listeners))
	for _, id := range c.listeners {
		out = append(out, Reply{ID: id, Event: e, Done: done})
	}
	if done {
		c.listeners = nil
	}
	return out
}
