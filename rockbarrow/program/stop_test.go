// SPDX-License-Identifier: MIT

package program

import (
	"testing"

	"rockbarrow.dev/rockbarrow/problem"
)

func (h *harness) wantRedirect(id CallID, to string) {
	h.t.Helper()
	if r := h.lastEvent(id).GetRedirect(); r.GetInstance() != to || !r.GetTakeOver() {
		h.t.Fatalf("caller %d received %v, want that %s takes over", id, h.lastEvent(id), to)
	}
}

// Guards against calls that a stopping owner begins, and that are cut at its end.
func TestAStoppingOwnerBeginsNoCall(t *testing.T) {
	h := newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	h.call(2, newTurn(2, "b", "two"))
	h.handle(StopBegun{Successor: "next"})
	h.wantProblem(2, problem.NotServing, true)
	h.call(3, newTurn(2, "c", "three"))
	h.wantProblem(3, problem.NotServing, true)
	h.answer("first")
	h.wantAnswer(1, "first")
	h.call(4, newTurn(2, "c", "three"))
	h.wantProblem(4, problem.NotServing, true)
	h.call(5, newTurn(1, "a", "one"))
	h.wantAnswer(5, "first")
	if len(h.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.sent))
	}
}

// Guards against retries that a stopping owner begins, and against a next owner that takes what certainly did not run for what may have
// run.
func TestAStoppingOwnerRetriesNoCall(t *testing.T) {
	h := newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	h.handle(StopBegun{Successor: "next"})
	h.fail(true)
	h.wantProblem(1, problem.NotServing, true)
	if h.m.Busy() || len(h.sent) != 1 {
		t.Fatalf("%d attempts, busy %v", len(h.sent), h.m.Busy())
	}

	h = newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	h.handle(StopBegun{Successor: "next"})
	h.fail(false)
	h.wantRedirect(1, "next")

	h = newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	h.handle(StopBegun{})
	h.fail(false)
	h.wantProblem(1, problem.EndpointFailed, false)
}

// Guards against calls that a stop cuts without an answer, or with an answer that is not known to be true.
func TestTheEndOfAStopEndsTheOpenCall(t *testing.T) {
	h := newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	h.handle(StopEnded{Successor: "next"})
	h.wantRedirect(1, "next")
	if len(h.otherActions) != 2 || h.otherActions[0] != (Abort{Sequence: 1, Attempt: 1}) || h.otherActions[1] != (HandOver{To: "next"}) {
		t.Fatalf("actions %v, want an abort and the hand-over", h.otherActions)
	}
	h.answer("late")
	if h.lastEvent(1).GetFinal() != nil {
		t.Fatal("an answer was committed after the hand-over")
	}

	h = newHarness(t, nil)
	once := newTurn(1, "a", "one")
	once.Repeatable = false
	h.call(1, once)
	h.handle(StopEnded{})
	h.wantProblem(1, problem.OutcomeUnknown, false)

	// After a restart the same owner repeats it.
	h = newHarness(t, nil)
	h.call(1, newTurn(1, "a", "one"))
	h.handle(StopEnded{})
	if len(h.events[1]) != 0 || !h.m.Busy() {
		t.Fatalf("events %v, want the call to stay open", h.events[1])
	}

	h = newHarness(t, nil)
	h.autoPlace = false
	h.call(1, newTurn(1, "a", "one"))
	h.handle(StopEnded{Successor: "next"})
	h.wantProblem(1, problem.NotServing, true)
}
