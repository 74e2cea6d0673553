// SPDX-License-Identifier: MIT

package program

import (
	"rockbarrow.dev/schema/recordpb"
)

// TurnState is the progress of a turn.
type TurnState int

// The states of a turn, as recorded in the journal.
const (
	// Intended means that an attempt may have been sent.
	Intended TurnState = iota
	// Answered means that the whole answer is stored.
	Answered
	// OutcomeUnknown means that the call may have run. It is never sent again.
	OutcomeUnknown
)

// String returns the name of the state as shown in views of the run.
func (s TurnState) String() string {
	return [...]string{"intended", "answered", "unknown"}[s]
}

// Turn is one call of a run and its outcome.
type Turn struct {
	intent   *recordpb.Intent
	answered *recordpb.Answered
	state    TurnState
	// messages are what the call adds to the history. Intents of retries omit them.
	messages      []*recordpb.Message
	failureReason string
}

// Intent returns the newest attempt.
func (t *Turn) Intent() *recordpb.Intent { return t.intent }

// Answer returns the stored answer, or nil.
func (t *Turn) Answer() *recordpb.Answered { return t.answered }

// State returns the progress of the turn.
func (t *Turn) State() TurnState { return t.state }

// Messages returns the messages that the call added to the history.
func (t *Turn) Messages() []*recordpb.Message { return t.messages }

// Reason returns why the turn failed, or else why its endpoint was chosen.
func (t *Turn) Reason() string {
	if t.failureReason != "" {
		return t.failureReason
	}
	return t.intent.GetReason()
}

// allocation is a part of the budget that is given to a child run.
type allocation struct {
	child    string
	tokens   uint64
	returned bool
}

// State is the state of a run as recorded in its journal. The zero value is a
// run that has not been created.
type State struct {
	created *recordpb.Created
	// turns have consecutive sequences from 1. Only the last may be Intended.
	turns []*Turn
	// spent decreases only when a child returns unspent tokens.
	spent uint64
	// reserved is the most that the Intended turn may cost, or 0 without one.
	reserved    uint64
	allocations []allocation
	// held lists the endpoints that may hold memory for the run, without duplicates.
	held         []string
	ended        string
	credited     bool
	lastActiveMS int64
	createdMS    int64
	calls        uint32
}

// Created returns the parameters of the run, or nil before its creation.
func (s *State) Created() *recordpb.Created { return s.created }

// Turns returns all turns in order.
func (s *State) Turns() []*Turn { return s.turns }

// Spent returns the tokens that calls and children have used.
func (s *State) Spent() uint64 { return s.spent }

// Reserved returns the tokens reserved for the call in progress.
func (s *State) Reserved() uint64 { return s.reserved }

// Ended returns why the run ended, or "" if it has not.
func (s *State) Ended() string { return s.ended }

// CreatedMS returns the creation time in milliseconds since 1970.
func (s *State) CreatedMS() int64 { return s.createdMS }

// HeldEndpoints returns the endpoints that may hold memory for the run.
func (s *State) HeldEndpoints() []string { return s.held }

// Remaining returns the tokens that are neither spent nor reserved.
func (s *State) Remaining() uint64 {
	used := s.spent + s.reserved
	if s.created == nil || used >= s.created.GetBudgetTokens() {
		return 0
	}
	return s.created.GetBudgetTokens() - used
}

// NextSequence returns the sequence of the first call that is not settled.
func (s *State) NextSequence() uint64 {
	n := uint64(len(s.turns))
	if n > 0 && s.turns[n-1].state == Intended {
		return n
	}
	return n + 1
}

// OpenTurn returns the Intended turn, or nil.
func (s *State) OpenTurn() *Turn {
	if n := len(s.turns); n > 0 && s.turns[n-1].state == Intended {
		return s.turns[n-1]
	}
	return nil
}

// FindTurn returns the turn with a request id, or nil.
func (s *State) FindTurn(requestID string) *Turn {
	for _, t := range s.turns {
		if t.intent.GetRequestId() == requestID {
			return t
		}
	}
	return nil
}

// History returns all messages and answers in order.
func (s *State) History() []*recordpb.Message {
	var out []*recordpb.Message
	for _, t := range s.turns {
		out = append(out, t.messages...)
		if t.state == Answered {
			out = append(out, &recordpb.Message{Role: "assistant", Content: t.answered.GetContent()})
		}
	}
	return out
}

// Apply applies one record. It returns an [OrderError], and changes nothing, if
// the record is not valid in the current state.
func (s *State) Apply(r *recordpb.Record) error {
	if s.created == nil {
		return s.applyCreated(r)
	}
	if err := s.applyStep(r); err != nil {
		return err
	}
	s.lastActiveMS = max(s.lastActiveMS, r.GetAtMs())
	return nil
}

func (s *State) applyCreated(r *recordpb.Record) error {
	b, ok := r.GetBody().(*recordpb.Record_Created)
	if !ok {
		return &OrderError{Record: r, Reason: "the run has not been created"}
	}
	s.created = b.Created
	s.createdMS = r.GetAtMs()
	s.lastActiveMS = r.GetAtMs()
	return nil
}

func (s *State) applyStep(r *recordpb.Record) error {
	switch b := r.GetBody().(type) {
	case *recordpb.Record_Intent:
		return s.applyIntent(r, b.Intent)
	case *recordpb.Record_Answered:
		return s.applyAnswered(r, b.Answered)
	case *recordpb.Record_Unknown:
		return s.applyUnknown(r, b.Unknown)
	case *recordpb.Record_Cancelled:
		return s.applyCancelled(r, b.Cancelled)
	case *recordpb.Record_Carved:
		return s.applyAllocation(r, b.Carved)
	case *recordpb.Record_Returned:
		s.applyCredit(b.Returned)
		return nil
	case *recordpb.Record_Released:
		s.release(b.Released.GetEndpoint())
		return nil
	case *recordpb.Record_Ended:
		return s.applyEnded(r, b.Ended)
	}
	return &OrderError{Record: r, Reason: "unexpected kind of record"}
}

func (s *State) applyIntent(r *recordpb.Record, in *recordpb.Intent) error {
	open := s.OpenTurn()
	switch {
	case s.ended != "":
		return &OrderError{Record: r, Reason: "the run has ended"}
	case in.GetSequence() != s.NextSequence():
		return &OrderError{Record: r, Reason: "the sequence is out of order"}
	case open != nil && in.GetAttempt() <= open.intent.GetAttempt():
		return &OrderError{Record: r, Reason: "the attempt is not newer than the open one"}
	case open != nil && in.GetRequestId() != open.intent.GetRequestId():
		return &OrderError{Record: r, Reason: "another request uses the sequence"}
	case !s.covers(in.GetChargedTokens(), in.GetReserveTokens()):
		return &OrderError{Record: r, Reason: "the budget does not cover the reservation"}
	}
	if open == nil {
		open = &Turn{messages: in.GetMessages()}
		s.turns = append(s.turns, open)
		s.calls++
	}
	open.intent = in
	s.reserved = in.GetChargedTokens() + in.GetReserveTokens()
	if in.GetHold() {
		s.hold(in.GetEndpoint())
	}
	return nil
}

// covers reports whether the unspent budget covers the sum of two amounts. The
// sum may overflow and is not computed.
func (s *State) covers(a, b uint64) bool {
	budget := s.created.GetBudgetTokens()
	if s.spent > budget || a > budget-s.spent {
		return false
	}
	return b <= budget-s.spent-a
}

func (s *State) applyAnswered(r *recordpb.Record, a *recordpb.Answered) error {
	open := s.OpenTurn()
	if open == nil || open.intent.GetSequence() != a.GetSequence() || open.intent.GetAttempt() != a.GetAttempt() {
		return &OrderError{Record: r, Reason: "no such attempt is open"}
	}
	open.state = Answered
	open.answered = a
	s.spent += open.intent.GetChargedTokens() + a.GetPromptTokens() + a.GetAnswerTokens()
	s.reserved = 0
	return nil
}

// applyUnknown charges the whole reservation. A repeatable call frees its
// sequence, so that the caller may make the call again.
func (s *State) applyUnknown(r *recordpb.Record, u *recordpb.Unknown) error {
	open := s.OpenTurn()
	if open == nil || open.intent.GetSequence() != u.GetSequence() {
		return &OrderError{Record: r, Reason: "no such call is open"}
	}
	s.spent += s.reserved
	s.reserved = 0
	if open.intent.GetRepeatable() {
		s.removeOpenTurn()
		return nil
	}
	open.state = OutcomeUnknown
	open.failureReason = u.GetReason()
	return nil
}

// applyCancelled frees the sequence of a call that certainly did not run.
func (s *State) applyCancelled(r *recordpb.Record, c *recordpb.Cancelled) error {
	open := s.OpenTurn()
	if open == nil || open.intent.GetSequence() != c.GetSequence() {
		return &OrderError{Record: r, Reason: "no such call is open"}
	}
	s.reserved = 0
	s.removeOpenTurn()
	return nil
}

// removeOpenTurn removes the open turn and frees its sequence.
func (s *State) removeOpenTurn() {
	s.turns = s.turns[:len(s.turns)-1]
	s.calls--
}

func (s *State) applyAllocation(r *recordpb.Record, c *recordpb.Carved) error {
	if s.ended != "" || c.GetTokens() > s.Remaining() {
		return &OrderError{Record: r, Reason: "the budget does not cover the allocation"}
	}
	if s.allocation(c.GetChild()) != nil {
		return &OrderError{Record: r, Reason: "the child already has an allocation"}
	}
	s.allocations = append(s.allocations, allocation{child: c.GetChild(), tokens: c.GetTokens()})
	s.spent += c.GetTokens()
	return nil
}

// applyCredit credits the unspent tokens of a child, once per child. A record
// with the run's own name means that its parent has credited it.
func (s *State) applyCredit(c *recordpb.Returned) {
	if c.GetChild() == s.created.GetRun() {
		s.credited = true
		return
	}
	if alloc := s.allocation(c.GetChild()); alloc != nil && !alloc.returned {
		alloc.returned = true
		s.spent -= min(alloc.tokens, c.GetTokens())
	}
}

func (s *State) applyEnded(r *recordpb.Record, e *recordpb.Ended) error {
	if s.OpenTurn() != nil {
		return &OrderError{Record: r, Reason: "a call is in progress"}
	}
	if s.ended == "" {
		s.ended = e.GetReason()
	}
	return nil
}

func (s *State) allocation(child string) *allocation {
	for i := range s.allocations {
		if s.allocations[i].child == child {
			return &s.allocations[i]
		}
	}
	return nil
}

func (s *State) hold(endpoint string) {
	for _, e := range s.held {
		if e == endpoint {
			return
		}
	}
	s.held = append(s.held, endpoint)
}

func (s *State) release(endpoint string) {
	kept := s.held[:0:0]
	for _, e := range s.held {
		if e != endpoint {
			kept = append(kept, e)
		}
	}
	s.held = kept
}
