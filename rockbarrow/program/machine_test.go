// SPDX-License-Identifier: MIT

package program

import (
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// desk keeps what a machine did; commits are applied at once.
type desk struct {
	t     *testing.T
	m     Machine
	now   time.Time
	sent  []Dispatch
	told  map[CallID][]*peerpb.DoEvent
	rest  []Action
	place bool
}

func newDesk(t *testing.T, change func(*recordpb.Created)) *desk {
	d := &desk{t: t, now: time.Unix(1000, 0), told: map[CallID][]*peerpb.DoEvent{}, place: true}
	d.do(Loaded{})
	c := &recordpb.Created{Run: "d.r", Program: "p", Customer: "c", BudgetTokens: 1000, MaxCalls: 10, MaxAnswerTokens: 50, MaxDepth: 1}
	if change != nil {
		change(c)
	}
	d.do(CreateRequested{ID: 900, Created: c})
	return d
}

func (d *desk) do(e Event) {
	actions := d.m.Handle(d.now, e)
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case Commit:
			actions = append(actions, d.m.Handle(d.now, Recorded(a))...)
		case Place:
			if d.place {
				actions = append(actions, d.m.Handle(d.now, Placed{Sequence: a.Sequence, Attempt: a.Attempt, Endpoint: "e", Domain: "d", Hold: true})...)
			}
		case Dispatch:
			d.sent = append(d.sent, a)
		case Reply:
			d.told[a.ID] = append(d.told[a.ID], a.Event)
		default:
			d.rest = append(d.rest, a)
		}
	}
}

func turn(seq uint64, id, text string) *peerpb.Turn {
	return &peerpb.Turn{Sequence: seq, RequestId: id, Messages: []*recordpb.Message{{Role: "user", Content: text}}, Repeatable: true}
}

func (d *desk) call(id CallID, t *peerpb.Turn) { d.do(CallReceived{ID: id, Customer: "c", Turn: t}) }

// answer finishes the newest attempt.
func (d *desk) answer(content string) {
	in := d.sent[len(d.sent)-1].Intent
	d.do(AttemptFinished{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Answered: &recordpb.Answered{
		Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Content: content, PromptTokens: 10, AnswerTokens: 5, Endpoint: "e",
	}})
}

func (d *desk) failed(notRun bool) {
	in := d.sent[len(d.sent)-1].Intent
	d.do(AttemptFailed{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), NotRun: notRun, Reason: "test"})
}

// last returns the last event that a caller was told.
func (d *desk) last(id CallID) *peerpb.DoEvent {
	d.t.Helper()
	if len(d.told[id]) == 0 {
		d.t.Fatalf("caller %d was told nothing", id)
	}
	return d.told[id][len(d.told[id])-1]
}

func (d *desk) wantProblem(id CallID, want problem.Type, notRun bool) {
	d.t.Helper()
	p := d.last(id).GetProblem()
	if p.GetType() != string(want) || p.GetNotRun() != notRun {
		d.t.Fatalf("caller %d was told %v, want %s with not_run %v", id, d.last(id), want, notRun)
	}
}

func (d *desk) wantAnswer(id CallID, want string) {
	d.t.Helper()
	if got := d.last(id).GetFinal().GetAnswered().GetContent(); got != want {
		d.t.Fatalf("caller %d was told %v, want the answer %q", id, d.last(id), want)
	}
}

func TestCallsRunInTheirOrder(t *testing.T) {
	d := newDesk(t, nil)
	d.call(2, turn(2, "b", "two"))
	if len(d.sent) != 0 {
		t.Fatal("the second call was sent before the first came")
	}
	d.call(1, turn(1, "a", "one"))
	if len(d.sent) != 1 || d.sent[0].Intent.GetSequence() != 1 {
		t.Fatalf("sent %v, want call 1 alone", d.sent)
	}
	d.answer("first")
	if len(d.sent) != 2 || len(d.sent[1].History) != 3 {
		t.Fatalf("%d sent, want call 2 with the history of call 1", len(d.sent))
	}
	d.answer("second")
	d.wantAnswer(1, "first")
	d.wantAnswer(2, "second")
}

func TestWaitingIsBounded(t *testing.T) {
	d := newDesk(t, nil)
	for i := range CallID(DefaultMaxWaiting) {
		d.call(i+1, turn(uint64(i)+2, string(rune('a'+i)), "x"))
	}
	d.call(99, turn(50, "z", "x"))
	d.wantProblem(99, problem.Overloaded, true)
	d.now = d.now.Add(DefaultMaxWait)
	d.do(Ticked{})
	d.wantProblem(1, problem.PredecessorMissing, true)
}

func TestResendsGetTheStoredAnswer(t *testing.T) {
	d := newDesk(t, nil)
	d.call(1, turn(1, "a", "one"))
	d.answer("first")
	d.call(2, turn(1, "a", "one"))
	d.wantAnswer(2, "first")
	if !d.last(2).GetFinal().GetReplayed() {
		t.Fatal("the resend's answer is not marked as replayed")
	}
	d.call(3, turn(1, "a", "another body"))
	d.wantProblem(3, problem.RequestReused, true)
	d.call(4, turn(1, "b", "one"))
	d.wantProblem(4, problem.AlreadySettled, true)
	if len(d.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(d.sent))
	}
}

func TestOneSequenceHasOneRequest(t *testing.T) {
	d := newDesk(t, nil)
	d.call(1, turn(1, "a", "one"))
	d.call(2, turn(1, "b", "one"))
	d.wantProblem(2, problem.SequenceConflict, true)
	d.call(3, turn(2, "c", "two"))
	d.call(4, turn(2, "d", "two"))
	d.wantProblem(4, problem.SequenceConflict, true)
}

func TestJoiningAStreamGoesOnAtTheOffset(t *testing.T) {
	d := newDesk(t, nil)
	d.call(1, turn(1, "a", "one"))
	d.do(ChunkReceived{Sequence: 1, Attempt: 1, Content: "hello world"})
	again := turn(1, "a", "one")
	again.ResumeAttempt, again.ResumeOffset = 1, 6
	d.call(2, again)
	if got := d.last(2).GetDelta(); got.GetOffset() != 6 || got.GetContent() != "world" || got.GetRestart() {
		t.Fatalf("joined with %v, want world at 6", got)
	}
	other := turn(1, "a", "one")
	other.ResumeAttempt, other.ResumeOffset = 7, 3
	d.call(3, other)
	if got := d.last(3).GetDelta(); !got.GetRestart() || got.GetOffset() != 0 {
		t.Fatalf("joined another attempt with %v, want a restart from 0", got)
	}
}

func TestUnrepeatableBecomesUnknownAndIsNeverSentAgain(t *testing.T) {
	d := newDesk(t, nil)
	c := turn(1, "a", "book")
	c.Repeatable = false
	d.call(1, c)
	d.failed(false)
	d.wantProblem(1, problem.OutcomeUnknown, false)
	d.call(2, c)
	d.wantProblem(2, problem.OutcomeUnknown, false)
	if len(d.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(d.sent))
	}
	if d.m.State().Spent() == 0 {
		t.Fatal("the reserve of a call that may have run was given back")
	}
}

func TestNotRunIsTriedElsewhereAndThenRefusedTruly(t *testing.T) {
	d := newDesk(t, nil)
	c := turn(1, "a", "book")
	c.Repeatable = false
	d.call(1, c)
	for range DefaultMaxAttempts {
		d.failed(true)
	}
	d.wantProblem(1, problem.NoEndpoint, true)
	if len(d.sent) != DefaultMaxAttempts {
		t.Fatalf("%d attempts, want %d", len(d.sent), DefaultMaxAttempts)
	}
	if d.m.State().Spent() != 0 || d.m.State().NextSequence() != 1 {
		t.Fatal("a call that did not run left a trace")
	}
}

func TestAnAttemptThatMayHaveRunIsCharged(t *testing.T) {
	d := newDesk(t, func(c *recordpb.Created) { c.BudgetTokens = 150 })
	d.call(1, turn(1, "a", "one"))
	reserve := d.sent[0].Intent.GetReserveTokens()
	d.failed(false)
	d.failed(false)
	d.wantProblem(1, problem.EndpointFailed, false)
	if got := d.m.State().Spent(); got != 2*reserve {
		t.Fatalf("spent %d, want twice the reserve of %d", got, reserve)
	}
	d.call(2, turn(1, "b", "one"))
	d.wantProblem(2, problem.BudgetExhausted, true)
}

func TestLateAnswerIsDropped(t *testing.T) {
	d := newDesk(t, nil)
	d.call(1, turn(1, "a", "one"))
	late := d.sent[0].Intent
	d.failed(false)
	d.do(AttemptFinished{Sequence: 1, Attempt: late.GetAttempt(), Answered: &recordpb.Answered{Sequence: 1, Attempt: late.GetAttempt(), Content: "late"}})
	if len(d.told[1]) > 0 && d.last(1).GetFinal() != nil {
		t.Fatal("an answer of a given-up attempt was told")
	}
	d.answer("right")
	d.wantAnswer(1, "right")
}

func TestBudgetIsReservedBeforeSending(t *testing.T) {
	d := newDesk(t, func(c *recordpb.Created) { c.BudgetTokens = 40 })
	d.call(1, turn(1, "a", "one"))
	d.wantProblem(1, problem.BudgetExhausted, true)
	if len(d.sent) != 0 {
		t.Fatal("a call was sent that the budget does not cover")
	}
}

func TestChildSliceComesBackOnce(t *testing.T) {
	d := newDesk(t, nil)
	d.do(AllocationRequested{ID: 1, Customer: "c", Child: "k", Tokens: 400})
	d.do(AllocationRequested{ID: 2, Customer: "c", Child: "k", Tokens: 400})
	if got := d.m.State().Remaining(); got != 600 {
		t.Fatalf("%d left after the slice, want 600", got)
	}
	d.do(AllocationRequested{ID: 3, Customer: "c", Child: "l", Tokens: 601})
	d.wantProblem(3, problem.BudgetExhausted, true)
	d.do(CreditRequested{ID: 4, Customer: "c", Child: "k", Tokens: 300})
	d.do(CreditRequested{ID: 5, Customer: "c", Child: "k", Tokens: 300})
	if got := d.m.State().Remaining(); got != 900 {
		t.Fatalf("%d left after the return, want 900", got)
	}
}

func TestTwoProposalsThatTogetherExceedTheBudget(t *testing.T) {
	d := newDesk(t, func(c *recordpb.Created) { c.BudgetTokens = 100 })
	d.place = false
	d.call(1, turn(1, "a", "one"))
	d.do(AllocationRequested{ID: 2, Customer: "c", Child: "k", Tokens: 60})
	d.do(Placed{Sequence: 1, Attempt: 1, Endpoint: "e", Domain: "d"})
	d.wantProblem(1, problem.BudgetExhausted, true)
	if len(d.sent) != 0 {
		t.Fatal("the call was sent although the slice had taken its tokens")
	}
}

func TestChildReturnsUntilItsParentKnows(t *testing.T) {
	d := newDesk(t, func(c *recordpb.Created) { c.Parent = "d.p"; c.Depth = 1 })
	d.do(AllocationRequested{ID: 1, Customer: "c", Child: "k", Tokens: 1})
	d.wantProblem(1, problem.CallsExhausted, true)
	d.do(EndRequested{ID: 2, Customer: "c"})
	returns := 0
	for range 12 {
		d.do(Ticked{})
	}
	for _, a := range d.rest {
		if r, ok := a.(ReturnBudget); ok && r.Tokens == 1000 {
			returns++
		}
	}
	if returns < 3 {
		t.Fatalf("the rest was brought %d times before the parent answered, want 3 or more", returns)
	}
	d.do(ParentCredited{})
	d.rest = nil
	for range 12 {
		d.do(Ticked{})
	}
	if len(d.rest) != 0 || !d.m.Settled() {
		t.Fatalf("after the parent's answer %v, want nothing more", d.rest)
	}
}

func TestLoopsAndIdleRunsEnd(t *testing.T) {
	d := newDesk(t, func(c *recordpb.Created) { c.MaxCalls = 1; c.IdleMs = 1000; c.WallMs = 10_000 })
	d.call(1, turn(1, "a", "one"))
	d.answer("first")
	d.call(2, turn(2, "b", "two"))
	d.wantProblem(2, problem.CallsExhausted, true)
	d.now = d.now.Add(2 * time.Second)
	d.do(Ticked{})
	if d.m.State().Ended() != "idle" {
		t.Fatalf("ended %q, want idle", d.m.State().Ended())
	}
	d.call(3, turn(1, "a", "one"))
	d.wantAnswer(3, "first")
	d.call(4, turn(2, "c", "two"))
	d.wantProblem(4, problem.RunEnded, true)
}

func TestWallTimeAbortsTheCallUnderWay(t *testing.T) {
	d := newDesk(t, func(c *recordpb.Created) { c.WallMs = 10_000 })
	d.call(1, turn(1, "a", "one"))
	d.now = d.now.Add(11 * time.Second)
	d.do(Ticked{})
	if len(d.rest) != 1 || d.rest[0] != (Abort{Sequence: 1, Attempt: 1}) {
		t.Fatalf("actions %v, want an abort", d.rest)
	}
	d.failed(false)
	d.wantProblem(1, problem.EndpointFailed, false)
	if d.m.State().Ended() != "wall_time" || d.m.State().HeldEndpoints() == nil {
		t.Fatalf("ended %q holding %v, want wall_time with a release due", d.m.State().Ended(), d.m.State().HeldEndpoints())
	}
}

func TestMemoryIsReleasedUntilAcknowledged(t *testing.T) {
	d := newDesk(t, nil)
	d.call(1, turn(1, "a", "one"))
	d.answer("first")
	d.do(EndRequested{ID: 2, Customer: "c"})
	d.do(Ticked{})
	for range 8 {
		d.do(Ticked{})
	}
	if len(d.rest) < 3 || d.rest[0] != (ReleaseMemory{Endpoint: "e"}) {
		t.Fatalf("actions %v, want releases that repeat", d.rest)
	}
	d.do(MemoryReleased{Endpoint: "e"})
	d.rest = nil
	for range 8 {
		d.do(Ticked{})
	}
	if len(d.rest) != 0 || !d.m.Settled() {
		t.Fatalf("after the acknowledgement %v, want nothing more", d.rest)
	}
}

func TestStrangersSeeNothing(t *testing.T) {
	d := newDesk(t, nil)
	d.do(CallReceived{ID: 1, Customer: "other", Turn: turn(1, "a", "one")})
	d.wantProblem(1, problem.NotFound, true)
	d.do(ViewRequested{ID: 2, Customer: "other"})
	d.wantProblem(2, problem.NotFound, true)
	d.do(EndRequested{ID: 3, Customer: "other"})
	d.wantProblem(3, problem.NotFound, true)
}

func TestWholeHistoryMustContinueTheStoredOne(t *testing.T) {
	d := newDesk(t, nil)
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
	d.call(1, whole("a", "one"))
	d.answer("first")
	d.call(2, whole("b", "one", "forged", "two"))
	d.wantProblem(2, problem.HistoryMismatch, true)
	d.call(3, whole("c", "one", "first", "two"))
	d.answer("second")
	d.wantAnswer(3, "second")
	if n := len(d.m.State().Turns()[1].Messages()); n != 1 {
		t.Fatalf("the second turn stores %d messages, want the new one only", n)
	}
}

func TestNewOwnerSettlesWhatWasOpen(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		d := newDesk(t, nil)
		c := turn(1, "a", "one")
		c.Repeatable = repeatable
		d.call(1, c)
		next := &desk{t: t, now: d.now, told: map[CallID][]*peerpb.DoEvent{}, place: true}
		next.m.Handle(next.now, Recorded{Records: []*recordpb.Record{
			{Body: &recordpb.Record_Created{Created: d.m.State().Created()}},
			{Body: &recordpb.Record_Intent{Intent: d.sent[0].Intent}},
		}})
		next.do(Loaded{})
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
