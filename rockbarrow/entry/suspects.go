// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/execution"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// trialPollInterval is how often a suspect asks again while another attempt of it is in progress, and maxTrialWait how
	// long it does: a few times the duration of most executions.
	trialPollInterval = 30 * time.Millisecond
	maxTrialWait      = 300 * time.Millisecond
	// reportRetryInterval is how often news are reported again that no control instance was told of, and maxUnreported bounds those
	// of each kind.
	reportRetryInterval = 200 * time.Millisecond
	maxUnreported       = 256
	// maxOccupied is how many endpoints a suspect leaves to other suspects.
	maxOccupied = 2
)

// SuspectControl are the calls to control instances about suspects.
type SuspectControl interface {
	// ReportEnds returns what control instances know of the reported requests afterwards.
	ReportEnds(ctx context.Context, report *fleetpb.EndReport) ([]*fleetpb.Suspect, error)
	RequestTrial(ctx context.Context, req *fleetpb.TrialRequest) (*fleetpb.TrialReply, error)
}

// RefusedError reports that a request is not sent any more because endpoints ended under it.
type RefusedError struct {
	Key       quarantine.Key
	Endpoints []incarnation.ID
}

func (e *RefusedError) Error() string {
	names := make([]string, len(e.Endpoints))
	for i, id := range e.Endpoints {
		names[i] = id.EndpointID
	}
	return fmt.Sprintf("entry: %d endpoints ended while they executed this request, which is not sent any more: %s; key %s", len(names), strings.Join(names, ", "), e.Key)
}

// HeldError reports that a request is not sent because as many endpoints ended under it as may, which may be chance, or may have
// ended. In that case, more is known after RetryAfter; otherwise it is zero, and the request is not sent any more.
type HeldError struct{ RetryAfter time.Duration }

func (e *HeldError) Error() string {
	if e.RetryAfter > 0 {
		return "entry: endpoints ended, or may have ended, while they executed this request, which is not sent until it is known how many"
	}
	return "entry: endpoints ended while they executed this request, which may be chance, but it is not sent any more"
}

// ReceiveSuspects applies what control instances know of suspects.
func (e *Entry) ReceiveSuspects(list []*fleetpb.Suspect) { e.suspects.Merge(time.Now(), list, true) }

// KnownSuspects returns the suspects known here, and the requests that lost executions here.
func (e *Entry) KnownSuspects() []*fleetpb.Suspect {
	return append(e.suspects.List(time.Now()), e.silent.suspects()...)
}

// checkRefused refuses a request that is known to end endpoints, before anything is spent on it.
func (x *exchange) checkRefused() Outcome {
	if x.entry.suspects.Empty() {
		return nil
	}
	// The content is known only once earlier turns are.
	keys := quarantine.KeysOf(x.sender(), x.request.Body, x.content(nil))
	now := time.Now()
	switch d := x.entry.suspects.Lookup(now, keys).(type) {
	case quarantine.Refused:
		x.recordSuspicion(now, keys)
		return x.refuse(&RefusedError{Key: d.Key, Endpoints: d.Endpoints})
	case quarantine.Held:
		x.recordSuspicion(now, keys)
		return x.hold(&HeldError{RetryAfter: d.RetryAfter})
	}
	return nil
}

// hold returns the outcome of a request that is not sent for some time.
func (x *exchange) hold(err *HeldError) Outcome {
	x.entry.Metrics.Counter("requests_held").Inc(1)
	switch {
	case x.headWritten:
		return Aborted{Reason: err.Error()}
	case x.failedExecutions > 0 || err.RetryAfter == 0:
		// Nothing tells the client to come again for what is not sent any more.
		return Rejected{Status: http.StatusBadGateway, Reason: err.Error(), By: StepSuspects}
	}
	return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: err.RetryAfter, Reason: err.Error(), By: StepSuspects}
}

// refuse returns the outcome of a request that ends endpoints. The client must not send it again.
func (x *exchange) refuse(err *RefusedError) Outcome {
	x.entry.Metrics.Counter("requests_quarantined").Inc(1)
	if x.headWritten {
		return Aborted{Reason: err.Error()}
	}
	return Rejected{Status: http.StatusBadRequest, Reason: err.Error(), By: StepSuspects}
}

// requestTrial asks whether a suspect may be sent to an endpoint. It returns nil for other requests, at the cost of a look-up.
func (x *exchange) requestTrial(ctx context.Context, p *placement.Endpoint) error {
	e := x.entry
	if e.suspects.Empty() {
		return nil
	}
	switch d := e.suspects.Lookup(time.Now(), x.Keys()).(type) {
	case quarantine.Free:
		return nil
	case quarantine.Refused:
		return &RefusedError{Key: d.Key, Endpoints: d.Endpoints}
	case quarantine.Held:
		return &HeldError{RetryAfter: d.RetryAfter}
	}
	x.asker = x.nextAsker()
	for start := time.Now(); ; {
		switch d := x.ask(ctx, p).(type) {
		case quarantine.Free:
			return nil
		case quarantine.Granted:
			x.onTrial = true
			return nil
		case quarantine.Refused:
			return &RefusedError{Key: d.Key, Endpoints: d.Endpoints}
		case quarantine.Held:
			return &HeldError{RetryAfter: d.RetryAfter}
		case quarantine.Occupied:
			x.occupied++
			x.avoid = append(x.avoid, p.Life())
			return &NotExecutedError{Endpoint: p.Life().EndpointID, Reason: "another request is being tried there", Busy: true, By: StepSuspects}
		}
		if time.Since(start) > maxTrialWait || !wait.For(ctx, trialPollInterval) {
			return &NotExecutedError{Endpoint: "none", Reason: "another attempt of the request is in progress, and endpoints ended under it", Busy: true, By: StepSuspects}
		}
	}
}

// nextAsker identifies the next execution of the attempt in trials: one whose outcome is unknown must not be taken for it.
func (x *exchange) nextAsker() string {
	return fmt.Sprintf("%s/%s/%d", x.entry.Watch.Self.GetInstance(), x.request.ID, x.dispatches)
}

// ask asks a control instance about a suspect. If none answers, the suspect is not sent: other instances may send it, too. Where all
// are of an earlier version, it is sent like other requests.
func (x *exchange) ask(ctx context.Context, p *placement.Endpoint) quarantine.Decision {
	now, keys, e := time.Now(), x.Keys(), x.entry
	q := quarantine.Question{Keys: keys, Endpoint: p.Life(), Asker: x.asker, Insist: x.occupied >= maxOccupied, Until: x.endTime()}
	reply, err := e.SuspectControl.RequestTrial(ctx, &fleetpb.TrialRequest{
		Keys: keys.Proto(), Service: x.service.GetName(), Endpoint: q.Endpoint.EndpointID, BornMs: q.Endpoint.StartMS,
		Asker: q.Asker, UntilMs: uint64(max(0, q.Until.Sub(now).Milliseconds())), Known: e.suspects.Of(now, keys), Insist: q.Insist,
	})
	var unsupported *watch.UnsupportedError
	if errors.As(err, &unsupported) {
		return quarantine.Free{}
	}
	if err != nil {
		e.Log.WithError(err).WithField("key", keys.Request.String()).Warn("no control instance decides on a suspect")
		return quarantine.Held{RetryAfter: longRetryAfter}
	}
	e.suspects.Merge(now, reply.GetSuspects(), true)
	switch reply.GetDecision() {
	case fleetpb.TrialReply_DECISION_FREE:
		return quarantine.Free{}
	case fleetpb.TrialReply_DECISION_GRANTED:
		return quarantine.Granted{}
	case fleetpb.TrialReply_DECISION_OCCUPIED:
		return quarantine.Occupied{}
	case fleetpb.TrialReply_DECISION_HELD:
		return quarantine.Held{RetryAfter: time.Duration(reply.GetRetryAfterMs()) * time.Millisecond}
	case fleetpb.TrialReply_DECISION_REFUSED:
		return e.suspects.Lookup(now, keys)
	}
	return quarantine.Busy{}
}

// reportOutcome reports how a suspect fared that was not in progress at an endpoint that ended.
func (x *exchange) reportOutcome(result execution.Result) {
	e := x.entry
	if e.suspects.Empty() || e.SuspectControl == nil {
		return
	}
	keys := x.Keys()
	switch {
	case result == execution.Completed && e.suspects.Suspects(time.Now(), keys):
		e.suspects.Completed(time.Now(), keys)
		e.reports.add(pendingReport{completed: []quarantine.Keys{keys}})
	case x.onTrial:
		e.finishTrial(finishedTrial{keys: keys, endpoint: x.endpoint, asker: x.asker})
	}
}

// finishTrial reports that an execution of a suspect is over and told nothing.
func (e *Entry) finishTrial(t finishedTrial) {
	e.suspects.Finish(time.Now(), t.keys, t.endpoint, t.asker)
	e.reports.add(pendingReport{finished: []finishedTrial{t}})
}

// pendingReport is what control instances have to be told.
type pendingReport struct {
	ends      []quarantine.End
	completed []quarantine.Keys
	finished  []finishedTrial
	lost      []quarantine.LostExecution
	// done are closed once it was told.
	done []chan struct{}
}

func (p *pendingReport) len() int {
	return len(p.ends) + len(p.completed) + len(p.finished) + len(p.lost)
}

// add appends another report.
func (p *pendingReport) add(o pendingReport) {
	p.ends, p.completed = append(p.ends, o.ends...), append(p.completed, o.completed...)
	p.finished, p.done = append(p.finished, o.finished...), append(p.done, o.done...)
	p.lost = append(p.lost, o.lost...)
}

// trim drops the oldest news of each kind beyond a number.
func (p *pendingReport) trim(n int) {
	p.ends = p.ends[max(0, len(p.ends)-n):]
	p.completed = p.completed[max(0, len(p.completed)-n):]
	p.finished = p.finished[max(0, len(p.finished)-n):]
	p.lost = p.lost[max(0, len(p.lost)-n):]
}

// finishedTrial is a suspect's execution whose outcome says nothing, or is unknown.
type finishedTrial struct {
	keys     quarantine.Keys
	endpoint incarnation.ID
	asker    string
	unknown  bool
}

// suspectReports collects reports, so that those that come together are sent together. The zero value is ready to use.
type suspectReports struct {
	mu      sync.Mutex
	pending pendingReport
	ready   chan struct{}
}

func (r *suspectReports) init() { r.ready = make(chan struct{}, 1) }

// add adds a report. The returned channel is closed once it, and all before it, was told to a control instance.
func (r *suspectReports) add(p pendingReport) <-chan struct{} {
	done := make(chan struct{})
	p.done = append(p.done, done)
	r.mu.Lock()
	r.pending.add(p)
	r.mu.Unlock()
	select {
	case r.ready <- struct{}{}:
	default:
	}
	return done
}

func (r *suspectReports) take() pendingReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.pending
	r.pending = pendingReport{}
	return out
}

// runSuspectReports tells control instances of ends and outcomes until ctx ends.
func (e *Entry) runSuspectReports(ctx context.Context) {
	retry := time.NewTicker(reportRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-e.reports.ready:
			e.sendReport(ctx, e.reports.take())
		case <-retry.C:
			if e.unreported.len() > 0 {
				e.sendReport(ctx, pendingReport{})
			}
		case <-ctx.Done():
			return
		}
	}
}

// sendReport tells control instances what is unreported, and then p.
func (e *Entry) sendReport(ctx context.Context, p pendingReport) {
	hasNews := p.len() > 0
	e.unreported.add(p)
	if e.unreported.len() > 0 {
		if err := e.tellControl(ctx, e.unreported); err != nil {
			if hasNews {
				e.Log.WithError(err).WithField("ends", len(p.ends)).Warn("no control instance was told of endpoints that ended")
			}
			e.unreported.trim(maxUnreported)
			return
		}
	}
	for _, done := range e.unreported.done {
		close(done)
	}
	e.unreported = pendingReport{}
}

// tellControl returns nil if a control instance was told, or all are of an earlier version.
func (e *Entry) tellControl(ctx context.Context, p pendingReport) error {
	now := time.Now()
	report := &fleetpb.EndReport{}
	for _, end := range p.ends {
		report.Ends = append(report.Ends, end.Proto(now))
	}
	for _, k := range p.completed {
		report.Completed = append(report.Completed, k.Proto())
	}
	for _, f := range p.finished {
		report.Finished = append(report.Finished, &fleetpb.FinishedTrial{Keys: f.keys.Proto(), Endpoint: f.endpoint.EndpointID, BornMs: f.endpoint.StartMS, Asker: f.asker, Unknown: f.unknown})
	}
	for _, l := range p.lost {
		report.Lost = append(report.Lost, l.Proto())
	}
	suspects, err := e.SuspectControl.ReportEnds(ctx, report)
	var unsupported *watch.UnsupportedError
	if errors.As(err, &unsupported) {
		return nil
	}
	if err == nil {
		e.suspects.Merge(time.Now(), suspects, true)
	}
	return err
}

// reportEnd records an end and tells control instances of it. The returned channel is closed once one of them knows of this end and
// of those reported before: the client's next attempt, at whichever instance, is then decided on with this knowledge.
func (e *Entry) reportEnd(service string, participants []execution.Participant) (reported <-chan struct{}) {
	if e.SuspectControl == nil {
		return closedChan
	}
	now := time.Now()
	byEndpoint := map[incarnation.ID]*quarantine.End{}
	for _, p := range participants {
		end := byEndpoint[p.Endpoint]
		if end == nil {
			end = &quarantine.End{Endpoint: p.Endpoint, Service: service, At: now}
			byEndpoint[p.Endpoint] = end
		}
		if p.End.Before(end.At) {
			end.At = p.End
		}
		end.Participants = append(end.Participants, quarantine.Participant{Keys: p.Keys, Exposure: p.Exposure, Program: p.Program, Route: p.Route})
	}
	var report pendingReport
	for _, end := range byEndpoint {
		e.suspects.RecordEnd(now, *end)
		report.ends = append(report.ends, *end)
	}
	return e.reports.add(report)
}

// closedChan is closed.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
