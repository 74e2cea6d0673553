// SPDX-License-Identifier: MIT

package matrix

import (
	"fmt"

	"rockbarrow.dev/schema/recordpb"
)

// truth is what really happened, as endpoints and the client know it.
type truth struct {
	// executions counts runs of each request id.
	executions map[string]int
	// refused are ids whose caller was told that they did not run and who gave
	// them up.
	refused map[string]bool
	// unknown are ids whose caller was told that they may have run.
	unknown map[string]bool
	// told are answers that the caller has, in order.
	told []*recordpb.Answered
	cost uint64
}

func newTruth() truth {
	return truth{executions: map[string]int{}, refused: map[string]bool{}, unknown: map[string]bool{}}
}

// ran records an execution and checks what must hold when one begins.
func (t *truth) ran(w *world, in *recordpb.Intent, history []*recordpb.Message) {
	id := in.GetRequestId()
	t.executions[id]++
	t.cost += promptTokens + answerTokens
	if t.refused[id] {
		w.fail("refusals: %s ran after its caller was told that it did not", id)
	}
	if !in.GetRepeatable() && t.executions[id] > 1 {
		w.fail("at most once: %s ran %d times", id, t.executions[id])
	}
	if t.cost > budget {
		w.fail("budget: executions cost %d of %d", t.cost, budget)
	}
	t.ordered(w, in, history)
}

// ordered checks that a call begins with the whole history before it. A call
// that the caller has already been answered may run once more, late and in
// vain; then its own place in the history counts.
func (t *truth) ordered(w *world, in *recordpb.Intent, history []*recordpb.Message) {
	known := w.client.history
	if len(history) == 0 {
		w.fail("history: call %d began without its message", in.GetSequence())
		return
	}
	for i := range min(len(history)-1, len(known)) {
		if history[i].GetContent() != known[i].GetContent() {
			w.fail("order: call %d began with another history than its caller knows", in.GetSequence())
			return
		}
	}
	if len(history)-1 < len(known) && in.GetSequence() > uint64(len(t.told)+len(t.unknown)) {
		w.fail("history: call %d began with %d messages, its caller knows %d", in.GetSequence(), len(history), len(known))
	}
}

// refuse records a refusal and checks that it is true.
func (t *truth) refuse(w *world, id string) {
	if t.executions[id] > 0 {
		w.fail("refusals: %s ran and its caller was told that it did not", id)
	}
	t.refused[id] = true
}

// resent takes a refusal back when the caller asks again under the same id.
func (t *truth) resent(id string) { delete(t.refused, id) }

// checkBudget holds an owner's books against the budget.
func (w *world) checkBudget(n *node) {
	if n.owner == nil || !n.owner.Machine.Loaded() {
		return
	}
	s := n.owner.Machine.State()
	if c := s.Created(); c != nil && s.Spent()+s.Reserved() > c.GetBudgetTokens() {
		w.fail("budget: %d spent and %d reserved of %d", s.Spent(), s.Reserved(), c.GetBudgetTokens())
	}
}

// checkLoaded holds a new owner's history against what the caller knows. One
// that was an owner before and has not noticed its end may know less, but may
// not tell.
func (w *world) checkLoaded(n *node) {
	s := n.owner.Machine.State()
	for _, told := range w.truth.told {
		at := int(told.GetSequence()) - 1
		if at >= len(s.Turns()) {
			w.fail("history: the owner %s has %d turns, its caller was told turn %d", n.name(), len(s.Turns()), at+1)
			return
		}
		if got := s.Turns()[at].Answer(); got.GetContent() != told.GetContent() {
			w.fail("history: the owner %s has another answer at turn %d", n.name(), at+1)
			return
		}
	}
}

// unfinished tells what should have come about by the end and has not.
func (w *world) unfinished() string {
	if !w.client.done {
		return fmt.Sprintf("progress: the program did not come to its end; at call %d, outcomes %v", w.client.sequence, w.client.settled)
	}
	for _, e := range w.endpoints {
		if e.up && e.holds[runID] {
			return fmt.Sprintf("engine memory: %s still holds the ended run", e.name)
		}
	}
	return ""
}
