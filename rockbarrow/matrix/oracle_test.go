// SPDX-License-Identifier: MIT

package matrix

import (
	"fmt"

	"rockbarrow.dev/schema/recordpb"
)

// oracle records what endpoints executed and what the client was told, and checks
// that both agree.
type oracle struct {
	// executions counts the executions of each request id.
	executions map[string]int
	// refused contains the ids that the client was told did not run and that it has
	// not resent.
	refused map[string]bool
	// unknown contains the ids that the client was told may have run.
	unknown map[string]bool
	// answers are the answers that the client has received, in order.
	answers []*recordpb.Answered
	cost    uint64
}

func newOracle() oracle {
	return oracle{executions: map[string]int{}, refused: map[string]bool{}, unknown: map[string]bool{}}
}

// recordExecution records an execution and checks that it is allowed.
func (t *oracle) recordExecution(d *driver, in *recordpb.Intent, history []*recordpb.Message) {
	id := in.GetRequestId()
	t.executions[id]++
	t.cost += promptTokens + answerTokens
	if t.refused[id] {
		d.report("refusals: %s ran after the client was told that it did not", id)
	}
	if !in.GetRepeatable() && t.executions[id] > 1 {
		d.report("at most once: %s ran %d times", id, t.executions[id])
	}
	if t.cost > budget {
		d.report("budget: executions cost %d of %d", t.cost, budget)
	}
	t.checkHistory(d, in, history)
}

// checkHistory checks that a call starts with the whole history before it. A call
// that is already answered may be executed once more, with the history before
// that call.
func (t *oracle) checkHistory(d *driver, in *recordpb.Intent, history []*recordpb.Message) {
	known := d.client.history
	if len(history) == 0 {
		d.report("history: call %d started without its message", in.GetSequence())
		return
	}
	for i := range min(len(history)-1, len(known)) {
		if history[i].GetContent() != known[i].GetContent() {
			d.report("order: call %d started with a history that differs from the client's", in.GetSequence())
			return
		}
	}
	if len(history)-1 < len(known) && in.GetSequence() > uint64(len(t.answers)+len(t.unknown)) {
		d.report("history: call %d started with %d messages, the client has %d", in.GetSequence(), len(history), len(known))
	}
}

// recordRefusal records a refusal and checks that the call did not run.
func (t *oracle) recordRefusal(d *driver, id string) {
	if t.executions[id] > 0 {
		d.report("refusals: %s ran and the client was told that it did not", id)
	}
	t.refused[id] = true
}

// removeRefusal removes a refusal when the client resends the same id.
func (t *oracle) removeRefusal(id string) { delete(t.refused, id) }

// checkBudget checks that an owner does not exceed the budget.
func (d *driver) checkBudget(n *node) {
	if n.owner == nil || !n.owner.Machine.Loaded() {
		return
	}
	s := n.owner.Machine.State()
	if c := s.Created(); c != nil && s.Spent()+s.Reserved() > c.GetBudgetTokens() {
		d.report("budget: %d spent and %d reserved of %d", s.Spent(), s.Reserved(), c.GetBudgetTokens())
	}
}

// checkLoaded checks that a new owner has all answers that the client has
// received.
func (d *driver) checkLoaded(n *node) {
	s := n.owner.Machine.State()
	for _, answer := range d.oracle.answers {
		at := int(answer.GetSequence()) - 1
		if at >= len(s.Turns()) {
			d.report("history: the owner %s has %d turns, the client has received turn %d", n.name(), len(s.Turns()), at+1)
			return
		}
		if got := s.Turns()[at].Answer(); got.GetContent() != answer.GetContent() {
			d.report("history: the owner %s has another answer at turn %d", n.name(), at+1)
			return
		}
	}
}

// checkCompleted returns what is missing at the end of the run, or "".
func (d *driver) checkCompleted() string {
	if !d.client.done {
		return fmt.Sprintf("progress: the program did not complete; at call %d, outcomes %v", d.client.sequence, d.client.outcomes)
	}
	for _, e := range d.endpoints {
		if e.up && e.heldRuns[runID] {
			return fmt.Sprintf("engine memory: %s still holds the ended run", e.name)
		}
	}
	return ""
}
