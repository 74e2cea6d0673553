// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/execution"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/configpb"
)

const (
	// reprobeDelay is the time until a second probe: an ending process may close its listener after its connections.
	reprobeDelay = 50 * time.Millisecond
	// probeTimeout bounds a probe of an endpoint that lost a response. An ended process refuses a connection within a
	// round trip; one behind a partition does not answer, which tells nothing.
	probeTimeout = 100 * time.Millisecond
	// maxLoggedParticipants bounds the requests that one log line names.
	maxLoggedParticipants = 20
)

// Prober finds out whether endpoints have ended.
type Prober interface {
	// Probe connects to the endpoint. The result is ProbeOpen if a connection that was opened before since is still open. Without
	// since, open connections tell nothing, and a new one is opened.
	Probe(ctx context.Context, e *configpb.Endpoint, i incarnation.ID, since time.Time, maxConnections int) ProbeResult
}

// ProbeResult is what a connection to an endpoint shows.
type ProbeResult int

// An endpoint that refuses connections has ended, and one with another connection that is still open (ProbeOpen) has not. One that
// accepts a connection may have started again, and one that gives no answer, or resets the connection, may have ended.
const (
	ProbeAccepted ProbeResult = iota
	ProbeRefused
	ProbeUnanswered
	ProbeOpen
)

func (r ProbeResult) String() string {
	return [...]string{"accepted", "refused", "unanswered", "open"}[r]
}

// RequestID returns the id that the client chose.
func (x *exchange) RequestID() string { return x.request.ID }

// Program returns the program that the request belongs to, or "".
func (x *exchange) Program() string { return x.request.Program }

// Route returns the name of the request's route.
func (x *exchange) Route() string { return x.route.GetName() }

// Keys identifies the request over all its attempts. It is safe for concurrent use once the body for endpoints is built.
func (x *exchange) Keys() quarantine.Keys {
	x.keysOnce.Do(func() { x.keys = quarantine.KeysOf(x.sender(), x.request.Body, x.content(x.body)) })
	return x.keys
}

func (x *exchange) sender() quarantine.Sender {
	r := x.request
	return quarantine.Sender{Customer: x.customer.GetName(), Program: r.Program, Session: r.Session, PreviousTurn: r.PreviousTurn, AffinityKey: r.AffinityKey}
}

func (x *exchange) content(body []byte) quarantine.Content {
	return quarantine.Content{Method: x.request.Method, Host: x.request.Host, Target: x.request.Target, Body: body}
}

// beginExecution records that the request is sent to the chosen endpoint.
func (x *exchange) beginExecution(now time.Time) {
	x.execution = x.entry.executions.Begin(now, x, x.endpoint)
	x.executions = append(x.executions, x.execution)
	if !x.entry.suspects.Empty() {
		x.entry.executions.SetBasis(x.execution, execution.Basis{Granted: x.onTrial, KnownEnds: x.entry.suspects.Knowledge(now, x.Keys()).Ends})
	}
}

// finishExecution records how the execution of an attempt ended. If its response was lost, it finds out whether the endpoint
// has ended.
func (x *exchange) finishExecution(ctx context.Context, o Outcome, err error) {
	if x.execution == nil {
		return
	}
	result := x.resultOf(ctx, o, err)
	current := x.execution
	x.entry.executions.Finish(time.Now(), current, result)
	x.execution = nil
	defer func() { x.onTrial, x.lossCause = false, nil }()
	p := &endProbe{entry: x.entry, endpoint: x.chosen, incarnation: x.endpoint, service: x.service.GetName(), maxConnections: x.connectionLimit()}
	if result == execution.Abandoned {
		x.abandon(p, current)
		return
	}
	silent := isSilence(x.lossCause) || isSilence(err)
	if !silent {
		p.since = x.sentAt
	}
	probed := ProbeOpen
	if result == execution.Lost {
		probed = p.probe(ctx)
	}
	switch {
	case result != execution.Lost || probed == ProbeRefused:
	case (x.onTrial || !silent && probed == ProbeAccepted) && wait.For(ctx, reprobeDelay):
		// Neither a suspect nor a retry is sent before the last execution is understood: what is not known yet is lost with this instance.
		probed = p.probe(ctx)
	case x.onTrial:
	case !silent || x.Program() == "":
		time.AfterFunc(reprobeDelay, p.run)
	}
	if probed != ProbeRefused {
		if x.onTrial && probed != ProbeOpen {
			// The trial counts until the list tells what became of the endpoint.
			x.entry.executions.SetUnresolved(current)
			x.entry.reports.add(pendingReport{finished: []finishedTrial{{keys: x.Keys(), endpoint: x.endpoint, asker: x.asker, unknown: true}}})
			return
		}
		if result == execution.Lost && (silent || probed == ProbeUnanswered) {
			x.awaitReport(ctx, x.entry.executionLost(p, current, x.lostExecution()))
		}
		x.reportOutcome(result)
		return
	}
	// While no control instance can be told, other instances know nothing of the end, and the client is kept from asking them.
	select {
	case <-p.report():
	case <-ctx.Done():
	}
}

// abandon finds out later what became of an execution without a response whose client left, or whose time was over.
func (x *exchange) abandon(p *endProbe, current *execution.Execution) {
	switch {
	case x.onTrial:
		x.entry.executions.SetUnresolved(current)
		x.entry.silent.add(p, x.lostExecution())
	case x.Program() != "" && time.Since(x.progressAt) >= minSilence:
		// The client may come again at once.
		x.entry.executionLost(p, current, x.lostExecution())
	}
}

// awaitReport waits until a control instance knows of a lost execution, up to lostReportTimeout: not all endpoints that answer nobody
// have ended, and where no control instance answers, the request may go on elsewhere.
func (x *exchange) awaitReport(ctx context.Context, reported <-chan struct{}) {
	t := time.NewTimer(lostReportTimeout)
	defer t.Stop()
	select {
	case <-reported:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (x *exchange) resultOf(ctx context.Context, o Outcome, err error) execution.Result {
	var notExecuted *NotExecutedError
	var unknown *OutcomeUnknownError
	switch {
	case errors.As(err, &notExecuted):
		return execution.NotExecuted
	case errors.As(err, &unknown) && unknown.Answered:
		return execution.Failed
	case ctx.Err() != nil:
		return execution.Abandoned
	case err != nil || x.bodyLost:
		return execution.Lost
	case isCut(o):
		return execution.Abandoned
	case x.status >= http.StatusInternalServerError:
		return execution.Failed
	}
	return execution.Completed
}

// isCut reports whether this instance ended the response of an endpoint.
func isCut(o Outcome) bool {
	switch o.(type) {
	case Aborted, Rejected:
		return true
	}
	return false
}

// endProbe finds out whether an endpoint that lost a response has ended.
type endProbe struct {
	entry       *Entry
	endpoint    *placement.Endpoint
	incarnation incarnation.ID
	service     string
	// since is when the request was sent, zero if the endpoint may have fallen silent.
	since          time.Time
	maxConnections int
}

// probe connects to the endpoint.
func (p *endProbe) probe(ctx context.Context) ProbeResult {
	if p.entry.Prober == nil {
		return ProbeAccepted
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := p.entry.Prober.Probe(ctx, p.endpoint.Config(), p.incarnation, p.since, p.maxConnections)
	p.entry.Log.WithFields(logrus.Fields{"endpoint": p.incarnation.EndpointID, "born_ms": p.incarnation.StartMS, "connection": result.String()}).
		Info("an endpoint that lost a response was probed")
	return result
}

// report reports the end.
func (p *endProbe) report() (reported <-chan struct{}) {
	return p.entry.endpointEnded(p.incarnation.EndpointID, p.service, nil, "it refuses connections")
}

// run probes once more.
func (p *endProbe) run() {
	if p.probe(context.Background()) == ProbeRefused {
		p.report()
	}
}

// endpointEnded connects the end of an endpoint's earlier incarnations with the requests that were in progress there. The
// current incarnation, if any, goes on. The returned channel is closed once a control instance knows of it.
func (e *Entry) endpointEnded(endpoint, service string, current *incarnation.ID, evidence string) (reported <-chan struct{}) {
	return e.reportEnded(endpoint, service, evidence, func() []execution.Participant {
		return e.executions.EndpointEnded(time.Now(), endpoint, current)
	})
}

// endpointDrained is endpointEnded for an endpoint that has left after draining: only requests that lost their responses met its
// end, as others may go on there.
func (e *Entry) endpointDrained(endpoint, service string) {
	e.reportEnded(endpoint, service, "it left the list after draining", func() []execution.Participant {
		return e.executions.EndpointDrained(time.Now(), endpoint)
	})
}

func (e *Entry) reportEnded(endpoint, service, evidence string, claim func() []execution.Participant) (reported <-chan struct{}) {
	// Another request may have claimed the participants, whose report must then be awaited.
	e.endsMu.Lock()
	participants := claim()
	reported = e.reportEnd(service, participants)
	e.endsMu.Unlock()
	if len(participants) == 0 {
		return reported
	}
	type request struct {
		ID         string `json:"request"`
		Key        string `json:"key"`
		ExposureMS int64  `json:"exposure_ms"`
	}
	var requests []request
	for _, p := range participants[:min(len(participants), maxLoggedParticipants)] {
		requests = append(requests, request{ID: p.RequestID, Key: p.Keys.Request.String(), ExposureMS: p.Exposure.Milliseconds()})
	}
	e.Metrics.Counter("endpoint_ends").Inc(1)
	e.Metrics.Counter("requests_at_ended_endpoints").Inc(int64(len(participants)))
	e.Log.WithFields(logrus.Fields{
		"endpoint": endpoint, "born_ms": participants[0].Endpoint.StartMS, "service": service, "evidence": evidence,
		"in_progress": len(participants), "participants": requests,
	}).Warn("an endpoint has ended with requests in progress")
	return reported
}

// logExecutions adds the executions of a request to its log fields, unless all completed.
func (x *exchange) logExecutions(fields logrus.Fields) {
	list := x.entry.executions.Summarize(x.executions)
	for _, s := range list {
		if s.Result != execution.Completed.String() {
			fields["key"], fields["executions"] = x.Keys().Request.String(), list
			return
		}
	}
}
