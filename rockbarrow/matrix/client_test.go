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
	// calls is how many calls the program makes. unrepeatable is the sequence of the
	// one that must not be repeated.
	calls          = 4
	unrepeatable   = 3
	requestTimeout = 8 * time.Second
	budget         = 4000
	maxAnswer      = 50
)

// client makes the program's calls one after the other and resends requests that
// are not answered.
type client struct {
	driver *driver
	// created and ended are true once the owner has confirmed it.
	created, ended bool
	sequence       uint64
	attempt        int
	lastID         program.CallID
	// waiting is the request in progress, or 0.
	waiting program.CallID
	sentAt  time.Time
	// nextNode is the node for the next request, or "" for any.
	nextNode string
	// history contains the calls and the answers that the client has received.
	history []*recordpb.Message
	done    bool
	// outcomes counts the outcomes of requests by kind.
	outcomes map[string]int
}

func newClient(d *driver) *client {
	return &client{driver: d, sequence: 1, outcomes: map[string]int{}}
}

func (c *client) requestID() string { return fmt.Sprintf("r%d.%d", c.sequence, c.attempt) }

func (c *client) tick() {
	if c.done {
		return
	}
	if c.waiting != 0 && c.driver.now.Sub(c.sentAt) < requestTimeout {
		return
	}
	c.sendRequest()
}

// sendRequest sends the next request to nextNode or to a random node.
func (c *client) sendRequest() {
	d := c.driver
	n := d.findNode(c.nextNode)
	if n == nil || !n.up {
		n = d.nodes[d.rand.IntN(4)]
	}
	c.nextNode = ""
	c.lastID++
	id := c.lastID
	c.waiting = id
	c.sentAt = d.now
	d.enqueue(envelope{from: "client", to: n.name(), deliver: func() { d.handleRequest(n, id, c.nextEvent(id)) }})
}

func (c *client) nextEvent(id program.CallID) program.Event {
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

// handleRequest handles a request at a node, as the host does.
func (d *driver) handleRequest(n *node, id program.CallID, e program.Event) {
	d.reachStep(stepReceived)
	if n.owner == nil && !d.startOwnerFor(n, e) {
		to := ""
		if n.replica != nil && n.replica.Log().LastIndex() > 0 {
			v := n.table.View()
			if to = n.replica.Promised().Instance(); !v.IsWriterAlive(n.replica.Promised()) {
				m, _ := owner.Successor(n.replica.Log().Members(), v)
				to = m.Instance()
			}
		}
		d.sendReply(n, program.Reply{ID: id, Event: &peerpb.DoEvent{Body: &peerpb.DoEvent_Redirect{Redirect: &peerpb.Redirect{Instance: to}}}, Done: true})
		return
	}
	d.step(n, owner.ProgramEvent{Event: e})
}

func (d *driver) startOwnerFor(n *node, e program.Event) bool {
	v := n.table.View()
	if n.replica == nil || n.replica.Log().LastIndex() == 0 {
		_, create := e.(program.CreateRequested)
		members := owner.InitialMembers(v, runID, "home")
		return create && members.Contains(n.self()) && d.startOwner(n, true)
	}
	b := n.replica.Promised()
	if b.Instance() == n.name() && b.Incarnation() == n.incarnation {
		return d.startOwner(n, false)
	}
	if v.IsWriterAlive(b) {
		return false
	}
	m, ok := owner.Successor(n.replica.Log().Members(), v)
	return ok && m.Is(n.self()) && d.startOwner(n, false)
}

// sendReply sends an event to the client.
func (d *driver) sendReply(n *node, a program.Reply) {
	if a.Event.GetFinal() != nil {
		d.reachStep(stepCommitted)
	}
	d.enqueue(envelope{from: n.name(), to: "client", deliver: func() { d.client.replyReceived(a) }})
}

func (c *client) replyReceived(a program.Reply) {
	if a.ID != c.waiting || !a.Done {
		return
	}
	c.waiting = 0
	switch b := a.Event.GetBody().(type) {
	case *peerpb.DoEvent_Redirect:
		c.nextNode = b.Redirect.GetInstance()
	case *peerpb.DoEvent_View:
		c.viewReceived(b.View)
	case *peerpb.DoEvent_Final:
		c.answerReceived(b.Final.GetAnswered())
	case *peerpb.DoEvent_Problem:
		c.problemReceived(b.Problem)
	}
}

func (c *client) viewReceived(v *peerpb.RunView) {
	if !c.created {
		c.created = true
		return
	}
	if c.sequence > calls {
		c.ended = true
		c.done = true
	}
}

// answerReceived checks an answer and starts the next call.
func (c *client) answerReceived(a *recordpb.Answered) {
	if a.GetSequence() != c.sequence {
		c.driver.report("whole answers: received the answer of call %d for call %d", a.GetSequence(), c.sequence)
	}
	c.history = append(c.history, &recordpb.Message{Role: "user", Content: c.message()})
	want := fmt.Sprintf("%016x/%d", historyKey(c.history), a.GetAttempt())
	if a.GetContent() != want {
		c.driver.report("history: call %d was answered %q, want %q", c.sequence, a.GetContent(), want)
	}
	c.history = append(c.history, &recordpb.Message{Role: "assistant", Content: a.GetContent()})
	c.driver.oracle.answers = append(c.driver.oracle.answers, a)
	c.outcomes["answered"]++
	c.nextCall()
}

func (c *client) nextCall() {
	c.sequence++
	c.attempt = 0
	c.driver.reachStep(stepPause)
}

// problemReceived starts the next call after an unknown outcome. After a refusal
// it makes the call under a new request id half of the time, and resends
// otherwise.
func (c *client) problemReceived(p *peerpb.Problem) {
	d := c.driver
	c.outcomes[p.GetType()]++
	switch {
	case p.GetType() == string(problem.OutcomeUnknown):
		d.oracle.unknown[c.requestID()] = true
		c.history = append(c.history, &recordpb.Message{Role: "user", Content: c.message()})
		c.nextCall()
	case p.GetNotRun() && c.created && c.sequence <= calls:
		d.oracle.recordRefusal(d, c.requestID())
		if d.rand.IntN(2) == 0 {
			c.attempt++
			return
		}
		d.oracle.removeRefusal(c.requestID())
	}
}
