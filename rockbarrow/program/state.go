// SPDX-License-Identifier: MIT

package program

import (
	"rockbarrow.dev/schema/recordpb"
)

// TurnState tells how far a turn has come.
type TurnState int

// The states of a turn as its journal knows them.
const (
	// Intended means that an attempt may have been sent.
	Intended TurnState = iota
	// Answered means that the whole answer is stored.
	Answered
	// OutcomeUnknown means that the call may have run and is never sent again.
	OutcomeUnknown
)

// String returns the state's name in own formats.
func (s TurnState) String() string {
	return [...]string{"intended", "answered", "unknown"}[s]
}

// Turn is one call of a run with what became of it.
type Turn struct {
	intent   *recordpb.Intent
	answered *recordpb.Answered
	state    TurnState
	// messages are what the call adds to the history; retries do not repeat them.
	messages []*recordpb.Message
	why      string
}

// Intent returns the newest attempt.
func (t *Turn) Intent() *recordpb.Intent { return t.intent }

// Answer returns the stored answer, or nil.
func (t *Turn) Answer() *recordpb.Answered { return t.answered }

// State returns how far the turn has come.
func (t *Turn) State() TurnState { return t.state }

// Messages returns what the call added to the history.
func (t *Turn) Messages() []*recordpb.Message { return t.messages }

// Reason tells why the endpoint was chosen or the turn failed.
func (t *Turn) Reason() string {
	if t.why != "" {
		return t.why
	}
	return t.intent.GetReason()
}

// slice is a part of the budget given to a child run.
type slice struct {
	child    string
	tokens   uint64
	returned bool
}

// State is a run as its journal tells it. The zero value is a run that has not
// been created.
type State struct {
	created *recordpb.Created
	// turns are consecutive from sequence 1; only the last may be Intended.
	turns []*Turn
	// spent never shrinks but by a child's return.
	spent uint64
	// reserved covers the Intended turn and is 0 without one.
	reserved uint64
	slices   []slice
	// held lists endpoints that may hold memory for the run, each once.
	held     []string
	ended    string
	credited bool
	activeMS int64
	madeMS   int64
	calls    uint32
}

// Created returns what the run was created with, or nil.
func (s *State) Created() *recordpb.Created { return s.created }

// Turns returns all turns in order.
func (s *State) Turns() []*Turn { return s.turns }

// Spent returns the tokens that are gone for good.
func (s *State) Spent() uint64 { return s.spent }

// Reserved returns the tokens set aside for the call under way.
func (s *State) Reserved() uint64 { return s.reserved }

// Ended returns why the run ended, or "".
func (s *State) Ended() string { return s.ended }

// CreatedMS returns the creation time in milliseconds since 1970.
func (s *State) CreatedMS() int64 { return s.madeMS }

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

// NextSequence returns the sequence of the next call that is not settled.
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

// FindTurn returns the turn of a request id, or nil.
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

// Apply folds one record. It fails, and changes nothing, on a record that no
// correct owner writes at this place.
func (s *State) Apply(r *recordpb.Record) error {
	if s.created == nil {
		return s.applyCreated(r)
	}
	if err := s.applyStep(r); err != nil {
		return err
	}
	s.activeMS = max(s.activeMS, r.GetAtMs())
	return nil
}

func (s *State) applyCreated(r *recordpb.Record) error {
	b, ok := r.GetBody().(*recordpb.Record_Created)
	if !ok {
		return &OrderError{Record: r, Reason: "the run is not created"}
	}
	s.created = b.Created
	s.madeMS = r.GetAtMs()
	s.activeMS = r.GetAtMs()
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
		return s.applyCarved(r, b.Carved)
	case *recordpb.Record_Returned:
		s.applyReturned(b.Returned)
		return nil
	case *recordpb.Record_Released:
		s.release(b.Released.GetEndpoint())
		return nil
	case *recordpb.Record_Ended:
		return s.applyEnded(r, b.Ended)
	}
	return &OrderError{Record: r, Reason: "a record of this kind has no place here"}
}

func (s *State) applyIntent(r *recordpb.Record, in *recordpb.Intent) error {
	open := s.OpenTurn()
	switch {
	case s.ended != "":
		return &OrderError{Record: r, Reason: "the run has ended"}
	case in.GetSequence() != s.NextSequence():
		return &OrderError{Record: r, Reason: "the sequence is not the next"}
	case open != nil && in.GetAttempt() <= open.intent.GetAttempt():
		return &OrderError{Record: r, Reason: "the attempt is not newer"}
	case open != nil && in.GetRequestId() != open.intent.GetRequestId():
		return &OrderError{Record: r, Reason: "another request holds the sequence"}
	case !s.covers(in.GetChargedTokens(), in.GetReserveTokens()):
		return &OrderError{Record: r, Reason: "the budget does not cover the reserve"}
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

// covers reports whether the budget covers two amounts besides what is spent,
// however large they are.
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

// applyUnknown spends the whole reserve. A repeatable call leaves its place in
// the order, so that the caller may make it again.
func (s *State) applyUnknown(r *recordpb.Record, u *recordpb.Unknown) error {
	open := s.OpenTurn()
	if open == nil || open.intent.GetSequence() != u.GetSequence() {
		return &OrderError{Record: r, Reason: "no such call is open"}
	}
	s.spent += s.reserved
	s.reserved = 0
	if open.intent.GetRepeatable() {
		s.dropOpen()
		return nil
	}
	open.state = OutcomeUnknown
	open.why = u.GetReason()
	return nil
}

// applyCancelled frees the place of a call that certainly did not run.
func (s *State) applyCancelled(r *recordpb.Record, c *recordpb.Cancelled) error {
	open := s.OpenTurn()
	if open == nil || open.intent.GetSequence() != c.GetSequence() {
		return &OrderError{Record: r, Reason: "no such call is open"}
	}
	s.reserved = 0
	s.dropOpen()
	return nil
}

// dropOpen takes the open turn out, so that its sequence is free again.
func (s *State) dropOpen() {
	s.turns = s.turns[:len(s.turns)-1]
	s.calls--
}

func (s *State) applyCarved(r *recordpb.Record, c *recordpb.Carved) error {
	if s.ended != "" || c.GetTokens() > s.Remaining() {
		return &OrderError{Record: r, Reason: "the budget does not cover the slice"}
	}
	if s.slice(c.GetChild()) != nil {
		return &OrderError{Record: r, Reason: "the child has its slice"}
	}
	s.slices = append(s.slices, slice{child: c.GetChild(), tokens: c.GetTokens()})
	s.spent += c.GetTokens()
	return nil
}

// applyReturned credits a child's rest once. A run's own name marks that its
// parent has credited it.
func (s *State) applyReturned(c *recordpb.Returned) {
	if c.GetChild() == s.created.GetRun() {
		s.credited = true
		return
	}
	if sl := s.slice(c.GetChild()); sl != nil && !sl.returned {
		sl.returned = true
		s.spent -= min(sl.tokens, c.GetTokens())
	}
}

func (s *State) applyEnded(r *recordpb.Record, e *recordpb.Ended) error {
	if s.OpenTurn() != nil {
		return &OrderError{Record: r, Reason: "a call is under way"}
	}
	if s.ended == "" {
		s.ended = e.GetReason()
	}
	return nil
}

func (s *State) slice(child string) *slice {
	for i := range s.slices {
		if s.slices[i].child == child {
			return &s.slices[i]
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
