// SPDX-License-Identifier: MIT

package program

import (
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// harness drives a machine and records its actions. Commits are applied at once.
type harness struct {
	t            *testing.T
	m            Machine
	now          time.Time
	sent         []Dispatch
	events       map[CallID][]*peerpb.DoEvent
	otherActions []Action
	autoPlace    bool
}

func newHarness(t *testing.T, change func(*recordpb.Created)) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0), events: map[CallID][]*peerpb.DoEvent{}, autoPlace: true}
	h.handle(Loaded{})
	c := &recordpb.Created{Run: "d.r", Program: "p", Customer: "c", BudgetTokens: 1000, MaxCalls: 10, MaxAnswerTokens: 50, MaxDepth: 1}
	if change != nil {
		change(c)
	}
	h.handle(CreateRequested{ID: 900, Created: c})
	return h
}

func (h *harness) handle(e Event) {
	actions := h.m.Handle(h.now, e)
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case Commit:
			actions = append(actions, h.m.Handle(h.now, Recorded(a))...)
		case Place:
			if h.autoPlace {
				actions = append(actions, h.m.Handle(h.now, Placed{Sequence: a.Sequence, Attempt: a.Attempt, Endpoint: "e", Domain: "d", Hold: true})...)
			}
		case Dispatch:
			h.sent = append(h.sent, a)
		case Reply:
			h.events[a.ID] = append(h.events[a.ID], a.Event)
		default:
			h.otherActions = append(h.otherActions, a)
		}
	}
}

func newTurn(seq uint64, id, text string) *peerpb.Turn {
	return &peerpb.Turn{Sequence: seq, RequestId: id, Messages: []*recordpb.Message{{Role: "user", Content: text}}, Repeatable: true}
}

func (h *harness) call(id CallID, t *peerpb.Turn) {
	h.handle(CallReceived{ID: id, Customer: "c", Turn: t})
}

// answer finishes the newest attempt.
func (h *harness) answer(content string) {
	in := h.sent[len(h.sent)-1].Intent
	h.handle(AttemptFinished{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Answered: &recordpb.Answered{
		Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Content: content, PromptTokens: 10, AnswerTokens: 5, Endpoint: "e",
	}})
}

// fail makes the newest attempt fail.
func (h *harness) fail(notRun bool) {
	in := h.sent[len(h.sent)-1].Intent
	h.handle(AttemptFailed{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), NotRun: notRun, Reason: "test"})
}

// lastEvent returns the last event that a caller received.
func (h *harness) lastEvent(id CallID) *peerpb.DoEvent {
	h.t.Helper()
	if len(h.events[id]) == 0 {
		h.t.Fatalf("caller %d received no event", id)
	}
	return h.events[id][len(h.events[id])-1]
}

func (h *harness) wantProblem(id CallID, want problem.Type, notRun bool) {
	h.t.Helper()
	p := h.lastEvent(id).GetProblem()
	if p.GetType() != string(want) || p.GetNotRun() != notRun {
		h.t.Fatalf("caller %d received %v, want %s with not_run %v", id, h.lastEvent(id), want, notRun)
	}
}

func (h *harness) wantAnswer(id CallID, want string) {
	h.t.Helper()
	if got := h.lastEvent(id).GetFinal().GetAnswered().GetContent(); got != want {
		h.t.Fatalf("caller %d received %v, want the answer %q", id, h.lastEvent(id), want)
	}
}

func TestCallsRunInSequence(t *testing.T) {
	h := newHarness(t, nil)
	h.call(2, newTurn(2, "b", "two"))
	if len(h.sent) != 0 {
		t.Fatal("the second call was sent before the first arrived")
	}
	h.call(1, newTurn(1, "a", "one"))
	if len(h.sent) != 1 || h.sent[0].Intent.GetSequence() != 1 {
		t.Fatalf("sent %v, want only call 1", h.sent)
	}
	h.answer("first")
	if len(h.sent) != 2 || len(h.sent[1].History) != 3 {
		t.Fatalf("%d sent, want call 2 with the history of call 1", len(h.sent))
	}
	h.answer("second")
	h.wantAnswer(1, "first")
	h.wantAnswer(2, "second")
}

func TestWaitingCallsAreLimited(t *testing.T) {
	h := newHarness(t, nil)
	for i := range CallID(DefaultMaxWaiting) {
		h.call(i+1, newTurn(uint64(i)+2, string(rune('a'+i)), "x"))
	}
	h.call(99, newTurn(50, "z", "x"))
	h.wantProblem(99, problem.Overloaded, true)
	h.now = h.now.Add(DefaultMaxWait)
	h.handle(Ticked{})
	h.wantProblem(1, problem.PredecessorMissing, true)
}

func TestResendReturnsStoredAnswer(t *testing.T) {
	h := newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	h.answer("first")
	h.call(2, newTurn(1, "a", "one"))
	h.wantAnswer(2, "first")
	if !h.lastEvent(2).GetFinal().GetReplayed() {
		t.Fatal("the resend's answer is not marked as replayed")
	}
	h.call(3, newTurn(1, "a", "another body"))
	h.wantProblem(3, problem.RequestReused, true)
	h.call(4, newTurn(1, "b", "one"))
	h.wantProblem(4, problem.AlreadySettled, true)
	if len(h.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.sent))
	}
}

func TestSequenceConflict(t *testing.T) {
	h := newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	h.call(2, newTurn(1, "b", "one"))
	h.wantProblem(2, problem.SequenceConflict, true)
	h.call(3, newTurn(2, "c", "two"))
	h.call(4, newTurn(2, "d", "two"))
	h.wantProblem(4, problem.SequenceConflict, true)
}

func TestJoinedStreamResumesAtOffset(t *testing.T) {
	h := newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	h.handle(ChunkReceived{Sequence: 1, Attempt: 1, Content: "hello world"})
	again := newTurn(1, "a", "one")
	again.ResumeAttempt, again.ResumeOffset = 1, 6
	h.call(2, again)
	if got := h.lastEvent(2).GetDelta(); got.GetOffset() != 6 || got.GetContent() != "world" || got.GetRestart() {
		t.Fatalf("joined with %v, want world at 6", got)
	}
	other := newTurn(1, "a", "one")
	other.ResumeAttempt, other.ResumeOffset = 7, 3
	h.call(3, other)
	if got := h.lastEvent(3).GetDelta(); !got.GetRestart() || got.GetOffset() != 0 {
		t.Fatalf("joined another attempt with %v, want a restart from 0", got)
	}
}

func TestUnrepeatableCallIsNotRetried(t *testing.T) {
	h := newHarness(t, nil)
	c := newTurn(1, "a", "book")
	c.Repeatable = false
	h.call(1, c)
	h.fail(false)
	h.wantProblem(1, problem.OutcomeUnknown, false)
	h.call(2, c)
	h.wantProblem(2, problem.OutcomeUnknown, false)
	if len(h.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.sent))
	}
	if h.m.State().Spent() == 0 {
		t.Fatal("the reservation of a call that may have run was released")
	}
}

func TestNotRunCallIsRetriedThenRefused(t *testing.T) {
	h := newHarness(t, nil)
	c := newTurn(1, "a", "book")
	c.Repeatable = false
	h.call(1, c)
	for range DefaultMaxAttempts {
		h.fail(true)
	}
	h.wantProblem(1, problem.NoEndpoint, true)
	if len(h.sent) != DefaultMaxAttempts {
		t.Fatalf("%d attempts, want %d", len(h.sent), DefaultMaxAttempts)
	}
	if h.m.State().Spent() != 0 || h.m.State().NextSequence() != 1 {
		t.Fatal("a call that did not run changed the state")
	}
}

func TestAttemptThatMayHaveRunIsCharged(t *testing.T) {
	h := newHarness(t, func(c *recordpb.Created) { c.BudgetTokens = 150 })
	h.call(1, newTurn(1, "a", "one"))
	reserve := h.sent[0].Intent.GetReserveTokens()
	h.fail(false)
	h.fail(false)
	h.wantProblem(1, problem.EndpointFailed, false)
	if got := h.m.State().Spent(); got != 2*reserve {
		t.Fatalf("spent %d, want twice the reservation of %d", got, reserve)
	}
	h.call(2, newTurn(1, "b", "one"))
	h.wantProblem(2, problem.BudgetExhausted, true)
}

func TestLateAnswerIsDropped(t *testing.T) {
	h := newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	late := h.sent[0].Intent
	h.fail(false)
	h.handle(AttemptFinished{Sequence: 1, Attempt: late.GetAttempt(), Answered: &recordpb.Answered{Sequence: 1, Attempt: late.GetAttempt(), Content: "late"}})
	if len(h.events[1]) > 0 && h.lastEvent(1).GetFinal() != nil {
		t.Fatal("the caller received the answer of an older attempt")
	}
	h.answer("right")
	h.wantAnswer(1, "right")
}

func TestBudgetIsReservedBeforeSending(t *testing.T) {
	h := newHarness(t, func(c *recordpb.Created) { c.BudgetTokens = 40 })
	h.call(1, newTurn(1, "a", "one"))
	h.wantProblem(1, problem.BudgetExhausted, true)
	if len(h.sent) != 0 {
		t.Fatal("a call was sent that the budget does not cover")
	}
}

func TestChildAllocationIsCreditedOnce(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(AllocationRequested{ID: 1, Customer: "c", Child: "k", Tokens: 400})
	h.handle(AllocationRequested{ID: 2, Customer: "c", Child: "k", Tokens: 400})
	if got := h.m.State().Remaining(); got != 600 {
		t.Fatalf("%d tokens remain after the allocation, want 600", got)
	}
	h.handle(AllocationRequested{ID: 3, Customer: "c", Child: "l", Tokens: 601})
	h.wantProblem(3, problem.BudgetExhausted, true)
	h.handle(CreditRequested{ID: 4, Customer: "c", Child: "k", Tokens: 300})
	h.handle(CreditRequested{ID: 5, Customer: "c", Child: "k", Tokens: 300})
	if got := h.m.State().Remaining(); got != 900 {
		t.Fatalf("%d tokens remain after the credit, want 900", got)
	}
}

func TestConcurrentProposalsExceedBudget(t *testing.T) {
	h := newHarness(t, func(c *recordpb.Created) { c.BudgetTokens = 100 })
	h.autoPlace = false
	h.call(1, newTurn(1, "a", "one"))
	h.handle(AllocationRequested{ID: 2, Customer: "c", Child: "k", Tokens: 60})
	h.handle(Placed{Sequence: 1, Attempt: 1, Endpoint: "e", Domain: "d"})
	h.wantProblem(1, problem.BudgetExhausted, true)
	if len(h.sent) != 0 {
		t.Fatal("the call was sent although the allocation had used its tokens")
	}
}

func TestChildReturnsBudgetUntilAcknowledged(t *testing.T) {
	h := newHarness(t, func(c *recordpb.Created) { c.Parent = "d.p"; c.Depth = 1 })
	h.handle(AllocationRequested{ID: 1, Customer: "c", Child: "k", Tokens: 1})
	h.wantProblem(1, problem.CallsExhausted, true)
	h.handle(EndRequested{ID: 2, Customer: "c"})
	returns := 0
	for range 12 {
		h.handle(Ticked{})
	}
	for _, a := range h.otherActions {
		if r, ok := a.(ReturnBudget); ok && r.Tokens == 1000 {
			returns++
		}
	}
	if returns < 3 {
		t.Fatalf("the budget was returned %d times before the acknowledgement, want 3 or more", returns)
	}
	h.handle(ParentCredited{})
	h.otherActions = nil
	for range 12 {
		h.handle(Ticked{})
	}
	if len(h.otherActions) != 0 || !h.m.Settled() {
		t.Fatalf("actions %v after the acknowledgement, want none", h.otherActions)
	}
}

func TestCallLimitAndIdleTimeout(t *testing.T) {
	h := newHarness(t, func(c *recordpb.Created) { c.MaxCalls = 1; c.IdleMs = 1000; c.WallMs = 10_000 })
	h.call(1, newTurn(1, "a", "one"))
	h.answer("first")
	h.call(2, newTurn(2, "b", "two"))
	h.wantProblem(2, problem.CallsExhausted, true)
	h.now = h.now.Add(2 * time.Second)
	h.handle(Ticked{})
	if h.m.State().Ended() != "idle" {
		t.Fatalf("ended %q, want idle", h.m.State().Ended())
	}
	h.call(3, newTurn(1, "a", "one"))
	h.wantAnswer(3, "first")
	h.call(4, newTurn(2, "c", "two"))
	h.wantProblem(4, problem.RunEnded, true)
}

func TestWallTimeAbortsOpenCall(t *testing.T) {
	h := newHarness(t, func(c *recordpb.Created) { c.WallMs = 10_000 })
	h.call(1, newTurn(1, "a", "one"))
	h.now = h.now.Add(11 * time.Second)
	h.handle(Ticked{})
	if len(h.otherActions) != 1 || h.otherActions[0] != (Abort{Sequence: 1, Attempt: 1}) {
		t.Fatalf("actions %v, want an abort", h.otherActions)
	}
	h.fail(false)
	h.wantProblem(1, problem.EndpointFailed, false)
	if h.m.State().Ended() != "wall_time" || h.m.State().HeldEndpoints() == nil {
		t.Fatalf("ended %q holding %v, want wall_time with a held endpoint", h.m.State().Ended(), h.m.State().HeldEndpoints())
	}
}

func TestMemoryIsReleasedUntilAcknowledged(t *testing.T) {
	h := newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	h.answer("first")
	h.handle(EndRequested{ID: 2, Customer: "c"})
	h.handle(Ticked{})
	for range 8 {
		h.handle(Ticked{})
	}
	if len(h.otherActions) < 3 || h.otherActions[0] != (ReleaseMemory{Endpoint: "e"}) {
		t.Fatalf("actions %v, want repeated releases", h.otherActions)
	}
	h.handle(MemoryReleased{Endpoint: "e"})
	h.otherActions = nil
	for range 8 {
		h.handle(Ticked{})
	}
	if len(h.otherActions) != 0 || !h.m.Settled() {
		t.Fatalf("actions %v after the acknowledgement, want none", h.otherActions)
	}
}

func TestOtherCustomersHaveNoAccess(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(CallReceived{ID: 1, Customer: "other", Turn: newTurn(1, "a", "one")})
	h.wantProblem(1, problem.NotFound, true)
	h.handle(ViewRequested{ID: 2, Customer: "other"})
	h.wantProblem(2, problem.NotFound, true)
	h.handle(EndRequested{ID: 3, Customer: "other"})
	h.wantProblem(3, problem.NotFound, true)
}

func TestWholeHistoryMustExtendStored(t *testing.T) {
	h := newHarness(t, nil)
	whole := func(id string, texts ...string) *peerpb.Turn {
		out := &peerpb.Turn{RequestId: id, WholeHistory: true, Repeatable: true}
		for i, text := range texts {
			role := "user"
			if i%2 == 1 {
				role = "assistant"
			}
			out.Messages = append(out.Messages, &recordpb.Message{Role: role, Content: text})
		}
		return out
	}
	h.call(1, whole("a", "one"))
	h.answer("first")
	h.call(2, whole("b", "one", "forged", "two"))
	h.wantProblem(2, problem.HistoryMismatch, true)
	h.call(3, whole("c", "one", "first", "two"))
	h.answer("second")
	h.wantAnswer(3, "second")
	if n := len(h.m.State().Turns()[1].Messages()); n != 1 {
		t.Fatalf("the second turn stores %d messages, want 1", n)
	}
}

func TestNewOwnerSettlesOpenCall(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		h := newHarness(t, nil)
		c := newTurn(1, "a", "one")
		c.Repeatable = repeatable
		h.call(1, c)
		next := &harness{t: t, now: h.now, events: map[CallID][]*peerpb.DoEvent{}, autoPlace: true}
		next.m.Handle(next.now, Recorded{Records: []*recordpb.Record{
			{Body: &recordpb.Record_Created{Created: h.m.State().Created()}},
			{Body: &recordpb.Record_Intent{Intent: h.sent[0].Intent}},
		}})
		next.handle(Loaded{})
		next.call(2, c)
		if repeatable {
			if len(next.sent) != 1 || next.sent[0].Intent.GetAttempt() != 2 {
				t.Fatalf("sent %v, want attempt 2", next.sent)
			}
			continue
		}
		next.wantProblem(2, problem.OutcomeUnknown, false)
	}
}
