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

// answerTokens and promptTokens are the cost of one execution.
const (
	promptTokens = 10
	answerTokens = 5
	hangTime     = 20 * time.Second
)

// endpoint is a fake engine.
type endpoint struct {
	name    string
	up      bool
	hanging bool
	leaving bool
	// mute loses answers after the call ran.
	mute  bool
	holds map[string]bool
	// open are attempts that wait for a hanging endpoint.
	open []openAttempt
}

type openAttempt struct {
	since time.Time
	end   func()
}

func (w *world) endpoint(name string) *endpoint {
	for _, e := range w.endpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

// place takes the first endpoint that is up, not leaving and not avoided.
func (w *world) place(n *node, a program.Place) {
	w.reach(stepQueued)
	for _, e := range w.endpoints {
		avoided := false
		for _, name := range a.Avoid {
			avoided = avoided || name == e.name
		}
		if e.up && !e.leaving && !avoided {
			w.local(n, program.Placed{Sequence: a.Sequence, Attempt: a.Attempt, Endpoint: e.name, Domain: "home", ConfigVersion: 1, Hold: true})
			return
		}
	}
	w.local(n, program.PlacementFailed{Sequence: a.Sequence, Attempt: a.Attempt, Problem: problem.Retry(problem.NoEndpoint, "none", time.Second)})
}

// local hands an event to a node's own owner, in its present life.
func (w *world) local(n *node, e program.Event) {
	w.post(letter{from: n.name(), to: n.name(), act: func() { w.step(n, owner.ProgramEvent{Event: e}) }})
}

// dispatch sends an attempt; a process that was paused sends nothing.
func (w *world) dispatch(n *node, a program.Dispatch) {
	w.reach(stepIntended)
	in := a.Intent
	failed := func(notRun bool, reason string) func() {
		return func() {
			w.step(n, owner.ProgramEvent{Event: program.AttemptFailed{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), NotRun: notRun, Reason: reason}})
		}
	}
	w.post(letter{from: n.name(), to: n.name(), act: func() {
		if !w.now.Before(a.ProposedAt.Add(lease)) {
			failed(true, "the intent is older than the lease")()
			return
		}
		e := w.endpoint(in.GetEndpoint())
		w.reach(stepSent)
		w.post(letter{from: n.name(), to: e.name, act: func() { w.execute(n, e, a, failed) }, sure: true})
	}})
}

// execute runs an attempt at an endpoint, which counts it.
func (w *world) execute(n *node, e *endpoint, a program.Dispatch, failed func(bool, string) func()) {
	life := n.life
	back := func(act func()) {
		w.post(letter{from: e.name, to: n.name(), life: life, act: act, sure: true})
	}
	if !e.up {
		back(failed(true, "connection refused"))
		return
	}
	in := a.Intent
	w.truth.ran(w, in, a.History)
	if in.GetHold() {
		e.holds[runID] = true
	}
	if e.hanging {
		e.open = append(e.open, openAttempt{since: w.now, end: failed(false, "no token for too long")})
		return
	}
	content := fmt.Sprintf("%016x/%d", boundary(a.History), in.GetAttempt())
	back(func() {
		w.reach(stepStreaming)
		w.step(n, owner.ProgramEvent{Event: program.ChunkReceived{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Content: content[:8]}})
	})
	if e.mute || !e.up {
		back(failed(false, "the answer was lost"))
		return
	}
	back(func() {
		if !e.up {
			failed(false, "the endpoint died")()
			return
		}
		w.reach(stepAnswered)
		w.step(n, owner.ProgramEvent{Event: program.AttemptFinished{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Answered: &recordpb.Answered{
			Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Content: content,
			PromptTokens: promptTokens, AnswerTokens: answerTokens, Endpoint: e.name, FinishReason: "stop",
		}}})
	})
}

// expireAttempts ends attempts at endpoints that hang or have died.
func (w *world) expireAttempts() {
	for _, e := range w.endpoints {
		kept := e.open[:0:0]
		for _, o := range e.open {
			if e.up && w.now.Sub(o.since) < hangTime {
				kept = append(kept, o)
				continue
			}
			o.end()
		}
		e.open = kept
	}
}

func (w *world) release(n *node, name string) {
	e := w.endpoint(name)
	w.post(letter{from: n.name(), to: e.name, act: func() {
		if !e.up {
			return
		}
		delete(e.holds, runID)
		w.post(letter{from: e.name, to: n.name(), life: n.life, act: func() {
			w.step(n, owner.ProgramEvent{Event: program.MemoryReleased{Endpoint: name}})
		}})
	}})
}

// boundary names a history.
func boundary(history []*recordpb.Message) uint64 {
	b := placement.Boundaries(history)
	if len(b) == 0 {
		return 0
	}
	return b[len(b)-1].Key
}
