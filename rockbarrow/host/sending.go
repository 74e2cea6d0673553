// SPDX-License-Identifier: MIT

package host

import (
	"context"
	"fmt"
	"time"

	"rockbarrow.dev/rockbarrow/owner"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// sending is an attempt under way.
type sending struct {
	run     *run
	seat    *seated
	ctx     context.Context
	attempt Attempt
	version uint64
}

// loop sends the attempt, hands its stream to the run, and gives the seat back.
func (w *sending) loop() {
	defer w.seat.cancel()
	in := w.attempt.Intent
	if reason := w.forbidden(); reason != "" {
		w.seat.release()
		w.post(program.AttemptFailed{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), NotRun: true, Reason: reason})
		return
	}
	w.run.host.Metrics.Counter("attempts").Inc(1)
	out := w.run.host.Backends.Call(w.ctx, w.attempt, w.emit)
	w.seat.seat.Release(w.result(out))
	log := w.run.host.Log.WithField("run", w.run.name).WithField("call", in.GetSequence()).WithField("attempt", in.GetAttempt()).WithField("endpoint", in.GetEndpoint())
	if out.Answer == nil {
		log.WithField("not_run", out.NotExecuted).WithField("reason", out.Reason).Info("an attempt failed")
		w.run.host.Metrics.Counter("attempts_failed").Inc(1)
		w.post(program.AttemptFailed{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), NotRun: out.NotExecuted, Reason: out.Reason, Final: out.Permanent})
		return
	}
	log.WithField("first_token_ms", out.TimeToFirstToken.Milliseconds()).Debug("an attempt was answered")
	w.remember(out.Answer)
	w.run.host.Metrics.Counter("prompt_tokens").Inc(int64(out.Answer.GetPromptTokens()))
	w.run.host.Metrics.Counter("cached_tokens").Inc(int64(out.Answer.GetCachedTokens()))
	w.run.host.Metrics.Timer("first_token").Record(out.TimeToFirstToken)
	w.post(program.AttemptFinished{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Answered: out.Answer})
}

// forbidden checks the place once more right before sending, as the
// configuration may have changed since the choice.
func (w *sending) forbidden() string {
	s := w.run.host.Config()
	e, ok := s.Endpoint(w.attempt.Endpoint.GetName())
	if !ok || e.GetAddress() != w.attempt.Endpoint.GetAddress() {
		return "the endpoint was removed"
	}
	b, ok := s.Binding(w.attempt.Created.GetBinding())
	if !ok || !b.Allows(e.GetDomain()) {
		return "the endpoint's place is no longer allowed"
	}
	if !time.Now().Before(w.attempt.Deadline) {
		return "the intent is older than the lease"
	}
	return ""
}

func (w *sending) emit(offset uint64, content string) {
	w.seat.seat.RecordFirstToken()
	in := w.attempt.Intent
	w.post(program.ChunkReceived{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Offset: offset, Content: content})
}

func (w *sending) post(e program.Event) { w.run.post(owner.ProgramEvent{Event: e}) }

func (w *sending) result(out Result) placement.Result {
	a := out.Answer
	return placement.Result{
		OK:               a != nil || out.NotExecuted && out.Permanent || w.ctx.Err() == context.Canceled,
		ComputedTokens:   int64(a.GetPromptTokens()) - int64(a.GetCachedTokens()),
		TimeToFirstToken: out.TimeToFirstToken,
		Duration:         out.Duration,
		OutputTokens:     int64(a.GetAnswerTokens()),
	}
}

// remember notes which prefixes the engine's cache now holds.
func (w *sending) remember(a *recordpb.Answered) {
	if w.attempt.Created.GetService() != "" {
		return
	}
	p := &w.run.host.Dispatcher.Prefixes
	name := w.attempt.Endpoint.GetName()
	bounds := placement.Boundaries(append(w.attempt.History[:len(w.attempt.History):len(w.attempt.History)],
		&recordpb.Message{Role: "assistant", Content: a.GetContent()}))
	for i, b := range bounds {
		if i == 0 || i >= len(bounds)-3 {
			p.Add(b.Key, name)
		}
	}
}

func reasonOf(c placement.Choice) string {
	return fmt.Sprintf("expected %.1f ms, %d prompt tokens held there, %d to compute", c.CostMS(), c.CachedTokens(), c.UncachedTokens())
}

// release frees the memory that an engine holds for an ended run.
type release struct {
	run      *run
	endpoint string
}

func (c *release) loop() {
	e, ok := c.run.host.Config().Endpoint(c.endpoint)
	if ok {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if err := c.run.host.Backends.Release(ctx, e, c.run.name); err != nil {
			return
		}
	}
	c.run.post(owner.ProgramEvent{Event: program.MemoryReleased{Endpoint: c.endpoint}})
}

// credit brings the rest of an ended run's budget to its parent.
type credit struct {
	run      *run
	action   program.ReturnBudget
	customer string
}

func (c *credit) loop() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*peerTimeout)
	defer cancel()
	req := &peerpb.DoRequest{
		Run:      c.action.Parent,
		Customer: c.customer,
		Body:     &peerpb.DoRequest_Credit{Credit: &peerpb.Credit{Child: c.action.Child, Tokens: c.action.Tokens}},
	}
	credited := false
	_ = c.run.host.Do(ctx, req, func(e *peerpb.DoEvent) error {
		credited = credited || e.GetView() != nil
		return nil
	})
	if credited {
		c.run.post(owner.ProgramEvent{Event: program.ParentCredited{}})
	}
}
