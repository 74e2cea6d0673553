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

// attemptSender sends an attempt and reports its result.
type attemptSender struct {
	run     *run
	slot    *attemptSlot
	ctx     context.Context
	attempt Attempt
	version uint64
}

// loop sends the attempt, passes its stream to the run and releases the slot.
func (w *attemptSender) loop() {
	defer w.slot.cancel()
	in := w.attempt.Intent
	if reason := w.checkBeforeSend(); reason != "" {
		w.slot.release()
		w.post(program.AttemptFailed{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), NotRun: true, Reason: reason})
		return
	}
	w.run.host.Metrics.Counter("attempts").Inc(1)
	out := w.run.host.Backends.Call(w.ctx, w.attempt, w.emit)
	w.slot.slot.Release(w.placementResult(out))
	log := w.run.host.Log.WithField("run", w.run.name).WithField("call", in.GetSequence()).WithField("attempt", in.GetAttempt()).WithField("endpoint", in.GetEndpoint())
	if out.Answer == nil {
		log.WithField("not_run", out.NotExecuted).WithField("reason", out.Reason).Info("attempt failed")
		w.run.host.Metrics.Counter("attempts_failed").Inc(1)
		w.post(program.AttemptFailed{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), NotRun: out.NotExecuted, Reason: out.Reason, Final: out.Permanent})
		return
	}
	log.WithField("first_token_ms", out.TimeToFirstToken.Milliseconds()).Debug("attempt succeeded")
	w.recordPrefixes(out.Answer)
	w.run.host.Metrics.Counter("prompt_tokens").Inc(int64(out.Answer.GetPromptTokens()))
	w.run.host.Metrics.Counter("cached_tokens").Inc(int64(out.Answer.GetCachedTokens()))
	w.run.host.Metrics.Timer("first_token").Record(out.TimeToFirstToken)
	w.post(program.AttemptFinished{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Answered: out.Answer})
}

// checkBeforeSend repeats the checks of the placement right before sending,
// because the configuration may have changed since.
func (w *attemptSender) checkBeforeSend() string {
	s := w.run.host.Config()
	e, ok := s.Endpoint(w.attempt.Endpoint.GetName())
	if !ok || e.GetAddress() != w.attempt.Endpoint.GetAddress() {
		return "the endpoint was removed"
	}
	b, ok := s.Binding(w.attempt.Created.GetBinding())
	if !ok || !b.Allows(e.GetDomain()) {
		return "the endpoint's failure domain is no longer allowed"
	}
	if !time.Now().Before(w.attempt.Deadline) {
		return "the intent is older than the lease"
	}
	return ""
}

func (w *attemptSender) emit(offset uint64, content string) {
	w.slot.slot.RecordFirstToken()
	in := w.attempt.Intent
	w.post(program.ChunkReceived{Sequence: in.GetSequence(), Attempt: in.GetAttempt(), Offset: offset, Content: content})
}

func (w *attemptSender) post(e program.Event) { w.run.post(owner.ProgramEvent{Event: e}) }

func (w *attemptSender) placementResult(out Result) placement.Result {
	a := out.Answer
	return placement.Result{
		OK:               a != nil || out.NotExecuted && out.Permanent || w.ctx.Err() == context.Canceled,
		ComputedTokens:   int64(a.GetPromptTokens()) - int64(a.GetCachedTokens()),
		TimeToFirstToken: out.TimeToFirstToken,
		Duration:         out.Duration,
		OutputTokens:     int64(a.GetAnswerTokens()),
	}
}

// recordPrefixes records which prefixes the engine's cache now holds.
func (w *attemptSender) recordPrefixes(a *recordpb.Answered) {
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

func placementReason(c placement.Choice) string {
	return fmt.Sprintf("expected %.1f ms, %d prompt tokens cached there, %d to compute", c.CostMS(), c.CachedTokens(), c.UncachedTokens())
}

// engineRelease frees the resources that an engine holds for an ended run.
type engineRelease struct {
	run      *run
	endpoint string
}

func (r *engineRelease) loop() {
	e, ok := r.run.host.Config().Endpoint(r.endpoint)
	if ok {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if err := r.run.host.Backends.Release(ctx, e, r.run.name); err != nil {
			return
		}
	}
	r.run.post(owner.ProgramEvent{Event: program.MemoryReleased{Endpoint: r.endpoint}})
}

// budgetReturn returns the remaining budget of an ended run to its parent.
type budgetReturn struct {
	run      *run
	action   program.ReturnBudget
	customer string
}

func (b *budgetReturn) loop() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*peerTimeout)
	defer cancel()
	req := &peerpb.DoRequest{
		Run:      b.action.Parent,
		Customer: b.customer,
		Body:     &peerpb.DoRequest_Credit{Credit: &peerpb.Credit{Child: b.action.Child, Tokens: b.action.Tokens}},
	}
	credited := false
	_ = b.run.host.Do(ctx, req, func(e *peerpb.DoEvent) error {
		credited = credited || e.GetView() != nil
		return nil
	})
	if credited {
		b.run.post(owner.ProgramEvent{Event: program.ParentCredited{}})
	}
}
