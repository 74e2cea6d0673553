// SPDX-License-Identifier: MIT

package matrix

import (
	"fmt"
	"time"

	"rockbarrow.dev/rockbarrow/owner"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// calls is how many calls the program makes; unrepeatable is one of them.
	calls        = 4
	unrepeatable = 3
	patience     = 8 * time.Second
	budget       = 4000
	maxAnswer    = 50
)

// client makes the program's calls, one after the other, and resends.
type client struct {
	world *world
	// created and ended are true once the owner has said so.
	created, ended bool
	sequence       uint64
	try            int
	ids            program.CallID
	// waiting is the request under way; 0 when none is.
	waiting program.CallID
	since   time.Time
	// at is the node to ask next.
	at string
	// history is what the client knows to be answered.
	history []*recordpb.Message
	done    bool
	// settled counts outcomes by kind.
	settled map[string]int
}

func newClient(w *world) *client {
	return &client{world: w, sequence: 1, settled: map[string]int{}}
}

func (c *client) requestID() string { return fmt.Sprintf("r%d.%d", c.sequence, c.try) }

func (c *client) tick() {
	if c.done {
		return
	}
	if c.waiting != 0 && c.world.now.Sub(c.since) < patience {
		return
	}
	c.ask()
}

// ask sends the request that is next, to the named node or any.
func (c *client) ask() {
	w := c.world
	n := w.find(c.at)
	if n == nil || !n.up {
		n = w.nodes[w.rand.IntN(4)]
	}
	c.at = ""
	c.ids++
	id := c.ids
	c.waiting = id
	c.since = w.now
	w.post(letter{from: "client", to: n.name(), act: func() { w.serve(n, id, c.event(id)) }})
}

func (c *client) event(id program.CallID) program.Event {
	switch {
	case !c.created:
		return program.CreateRequested{ID: id, Created: &recordpb.Created{
			Run: runID, Program: "p", Customer: "c", Binding: "b", Model: "m", BudgetTokens: budget, MaxCalls: 32, MaxAnswerTokens: maxAnswer,
		}}
	case c.sequence > calls:
		return program.EndRequested{ID: id, Customer: "c", Reason: "asked"}
	}
	return program.CallReceived{ID: id, Customer: "c", Turn: &peerpb.Turn{
		Sequence:   c.sequence,
		RequestId:  c.requestID(),
		Messages:   []*recordpb.Message{{Role: "user", Content: c.message()}},
		Repeatable: c.sequence != unrepeatable,
	}}
}

func (c *client) message() string { return fmt.Sprintf("call %d", c.sequence) }

// serve takes a request at a node, as the host does.
func (w *world) serve(n *node, id program.CallID, e program.Event) {
	w.reach(stepReceived)
	if n.owner == nil && !w.seize(n, e) {
		to := ""
		if n.replica != nil && n.replica.Log().LastIndex() > 0 {
			v := n.table.View()
			if to = n.replica.Promised().Instance(); !v.Writes(n.replica.Promised()) {
				m, _ := owner.Successor(n.replica.Log().Members(), v)
				to = m.Instance()
			}
		}
		w.tell(n, program.Reply{ID: id, Event: &peerpb.DoEvent{Body: &peerpb.DoEvent_Redirect{Redirect: &peerpb.Redirect{Instance: to}}}, Done: true})
		return
	}
	w.step(n, owner.ProgramEvent{Event: e})
}

func (w *world) seize(n *node, e program.Event) bool {
	v := n.table.View()
	if n.replica == nil || n.replica.Log().LastIndex() == 0 {
		_, create := e.(program.CreateRequested)
		members := owner.InitialMembers(v, runID, "home")
		return create && members.Contains(n.self()) && w.claim(n, true)
	}
	b := n.replica.Promised()
	if b.Instance() == n.name() && b.Incarnation() == n.life {
		return w.claim(n, false)
	}
	if v.Writes(b) {
		return false
	}
	m, ok := owner.Successor(n.replica.Log().Members(), v)
	return ok && m.Is(n.self()) && w.claim(n, false)
}

// tell carries an event to the client.
func (w *world) tell(n *node, a program.Reply) {
	if a.Event.GetFinal() != nil {
		w.reach(stepCommitted)
	}
	w.post(letter{from: n.name(), to: "client", act: func() { w.client.heard(a) }})
}

func (c *client) heard(a program.Reply) {
	if a.ID != c.waiting || !a.Done {
		return
	}
	c.waiting = 0
	switch b := a.Event.GetBody().(type) {
	case *peerpb.DoEvent_Redirect:
		c.at = b.Redirect.GetInstance()
	case *peerpb.DoEvent_View:
		c.viewed(b.View)
	case *peerpb.DoEvent_Final:
		c.answered(b.Final.GetAnswered())
	case *peerpb.DoEvent_Problem:
		c.refused(b.Problem)
	}
}

func (c *client) viewed(v *peerpb.RunView) {
	if !c.created {
		c.created = true
		return
	}
	if c.sequence > calls {
		c.ended = true
		c.done = true
	}
}

// answered checks the answer and goes on.
func (c *client) answered(a *recordpb.Answered) {
	if a.GetSequence() != c.sequence {
		c.world.fail("whole answers: the answer of call %d came for call %d", a.GetSequence(), c.sequence)
	}
	c.history = append(c.history, &recordpb.Message{Role: "user", Content: c.message()})
	want := fmt.Sprintf("%016x/%d", boundary(c.history), a.GetAttempt())
	if a.GetContent() != want {
		c.world.fail("history: call %d was answered %q, want %q", c.sequence, a.GetContent(), want)
	}
	c.history = append(c.history, &recordpb.Message{Role: "assistant", Content: a.GetContent()})
	c.world.truth.told = append(c.world.truth.told, a)
	c.settled["answered"]++
	c.nextCall()
}

func (c *client) nextCall() {
	c.sequence++
	c.try = 0
	c.world.reach(stepPause)
}

// refused goes on after an unknown outcome, gives a refused id up half of the
// time, and resends otherwise.
func (c *client) refused(p *peerpb.Problem) {
	w := c.world
	c.settled[p.GetType()]++
	switch {
	case p.GetType() == string(problem.OutcomeUnknown):
		w.truth.unknown[c.requestID()] = true
		c.history = append(c.history, &recordpb.Message{Role: "user", Content: c.message()})
		c.nextCall()
	case p.GetNotRun() && c.created && c.sequence <= calls:
		w.truth.refuse(w, c.requestID())
		if w.rand.IntN(2) == 0 {
			c.try++
			return
		}
		w.truth.resent(c.requestID())
	}
}
