// SPDX-License-Identifier: MIT

package matrix

import (
	"fmt"
	"time"

	"rockbarrow.dev/rockbarrow/owner"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// promptTokens and answerTokens are the cost of one execution.
	promptTokens = 10
	answerTokens = 5
	hangTimeout  = 20 * time.Second
)

// endpoint is a fake engine.
type endpoint struct {
	name    string
	up      bool
	hanging bool
	leaving bool
	// dropsAnswers is true if answers are lost after the call ran.
	dropsAnswers bool
	heldRuns     map[string]bool
	// openAttempts are attempts that wait for a hanging endpoint.
	openAttempts []openAttempt
}

// openAttempt is an attempt at a hanging endpoint, and how it fails.
type openAttempt struct {
	since time.Time
	fail  func()
}

func (d *driver) endpoint(name string) *endpoint {
	for _, e := range d.endpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

// place chooses the first endpoint that is up, not leaving and not avoided.
func (d *driver) place(n *node, a program.Place) {
	d.reachStep(stepQueued)
	for _, e := range d.endpoints {
		avoided := false
		for _, name := range a.Avoid {
			avoided = avoided || name == e.name
		}
		if e.up && !e.leaving && !avoided {
			d.sendToOwner(n, program.Placed{Sequence: a.Sequence, Attempt: a.Attempt, Endpoint: e.name, Domain: "home", ConfigVersion: 1, Hold: true})
			return
		}
	}
	d.sendToOwner(n, program.PlacementFailed{Sequence: a.Sequence, Attempt: a.Attempt, Problem: problem.Retry(problem.NoEndpoint, "none", time.Second)})
}

// sendToOwner sends an event to the owner at a node, in its current incarnation.
func (d *driver) sendToOwner(n *node, e program.Event) {
	d.enqueue(envelope{from: n.name(), to: n.name(), deliver: func() { d.step(n, owner.ProgramEvent{Event: e}) }})
}

// dispatch sends an attempt unless its intent is older than the lease.
func (d *driver) dispatch(n *node, a program.Dispatch) {
	d.reachStep(stepIntended)
	in := a.Intent
	failed := func(notRun bool, reason string) func() {
		return func() {
			d.step(n, owner.ProgramEvent{Event: program.AttemptFailed{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), NotRun: notRun, Reason: reason}})
		}
	}
	d.enqueue(envelope{from: n.name(), to: n.name(), deliver: func() {
		if !d.now.Before(a.ProposedAt.Add(lease)) {
			failed(true, "the intent is older than the lease")()
			return
		}
		e := d.endpoint(in.GetEndpoint())
		d.reachStep(stepSent)
		d.enqueue(envelope{from: n.name(), to: e.name, deliver: func() { d.execute(n, e, a, failed) }, reliable: true})
	}})
}

// execute runs an attempt at an endpoint and records the execution.
func (d *driver) execute(n *node, e *endpoint, a program.Dispatch, failed func(bool, string) func()) {
	incarnation := n.incarnation
	back := func(act func()) {
		d.enqueue(envelope{from: e.name, to: n.name(), incarnation: incarnation, deliver: act, reliable: true})
	}
	if !e.up {
		back(failed(true, "connection refused"))
		return
	}
	in := a.Intent
	d.oracle.recordExecution(d, in, a.History)
	if in.GetHold() {
		e.heldRuns[runID] = true
	}
	if e.hanging {
		e.openAttempts = append(e.openAttempts, openAttempt{since: d.now, fail: failed(false, "no token for too long")})
		return
	}
	content := fmt.Sprintf("%016x/%d", historyKey(a.History), in.GetAttempt())
	back(func() {
		d.reachStep(stepStreaming)
		d.step(n, owner.ProgramEvent{Event: program.ChunkReceived{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Content: content[:8]}})
	})
	if e.dropsAnswers || !e.up {
		back(failed(false, "the answer was lost"))
		return
	}
	back(func() {
		if !e.up {
			failed(false, "the endpoint died")()
			return
		}
		d.reachStep(stepAnswered)
		d.step(n, owner.ProgramEvent{Event: program.AttemptFinished{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Answered: &recordpb.Answered{
			Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Content: content,
			PromptTokens: promptTokens, AnswerTokens: answerTokens, Endpoint: e.name, FinishReason: "stop",
		}}})
	})
}

// expireAttempts fails attempts at endpoints that hang or have crashed.
func (d *driver) expireAttempts() {
	for _, e := range d.endpoints {
		kept := e.openAttempts[:0:0]
		for _, o := range e.openAttempts {
			if e.up && d.now.Sub(o.since) < hangTimeout {
				kept = append(kept, o)
				continue
			}
			o.fail()
		}
		e.openAttempts = kept
	}
}

func (d *driver) release(n *node, name string) {
	e := d.endpoint(name)
	d.enqueue(envelope{from: n.name(), to: e.name, deliver: func() {
		if !e.up {
			return
		}
		delete(e.heldRuns, runID)
		d.enqueue(envelope{from: e.name, to: n.name(), incarnation: n.incarnation, deliver: func() {
			d.step(n, owner.ProgramEvent{Event: program.MemoryReleased{Endpoint: name}})
		}})
	}})
}

// historyKey returns a key that identifies a history.
func historyKey(history []*recordpb.Message) uint64 {
	b := placement.Boundaries(history)
	if len(b) == 0 {
		return 0
	}
	return b[len(b)-1].Key
}
