// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/execution"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/schema/configpb"
)

const (
	// probeTimeout bounds a probe of an endpoint that lost a response. An ended process refuses a connection within a
	// round trip; one behind a partition does not answer, which tells nothing.
	probeTimeout = 100 * time.Millisecond
	// maxLoggedParticipants bounds the requests that one log line names.
	maxLoggedParticipants = 20
)

// Prober finds out whether endpoints have ended.
type Prober interface {
	// Refuses reports whether the endpoint's address refuses connections.
	Refuses(ctx context.Context, e *configpb.Endpoint, i incarnation.ID, maxConnections int) bool
}

// RequestID returns the id that the client chose.
func (x *exchange) RequestID() string { return x.request.ID }

// Keys identifies the request over all its attempts. It is safe for concurrent use once the body for endpoints is built.
func (x *exchange) Keys() quarantine.Keys {
	x.keysOnce.Do(func() {
		r := x.request
		x.keys = quarantine.KeysOf(
			quarantine.Sender{Customer: x.customer.GetName(), Program: r.Program, Session: r.Session, PreviousTurn: r.PreviousTurn, AffinityKey: r.AffinityKey},
			r.Body, quarantine.Content{Method: r.Method, Host: r.Host, Target: r.Target, Body: x.body},
		)
	})
	return x.keys
}

// beginExecution records that the request is sent to the chosen endpoint.
func (x *exchange) beginExecution(now time.Time) {
	x.execution = x.entry.executions.Begin(now, x, x.endpoint)
	x.executions = append(x.executions, x.execution)
}

// finishExecution records how the execution of an attempt ended. If its response was lost, it finds out whether the endpoint
// has ended.
func (x *exchange) finishExecution(ctx context.Context, o Outcome, err error) {
	if x.execution == nil {
		return
	}
	result := x.resultOf(ctx, o, err)
	x.entry.executions.Finish(time.Now(), x.execution, result)
	x.execution = nil
	if result == execution.Lost && x.refusesConnections(ctx) {
		x.entry.endpointEnded(x.endpoint.EndpointID, x.service.GetName(), nil, "it refuses connections")
	}
}

func (x *exchange) resultOf(ctx context.Context, o Outcome, err error) execution.Result {
	var notExecuted *NotExecutedError
	var unknown *OutcomeUnknownError
	switch {
	case errors.As(err, &notExecuted):
		return execution.NotExecuted
	case errors.As(err, &unknown) && unknown.Answered:
		return execution.Completed
	case ctx.Err() != nil:
		return execution.Abandoned
	case err != nil || x.bodyLost:
		return execution.Lost
	case isAborted(o):
		return execution.Abandoned
	}
	return execution.Completed
}

func isAborted(o Outcome) bool {
	_, ok := o.(Aborted)
	return ok
}

// refusesConnections probes the endpoint that lost the response.
func (x *exchange) refusesConnections(ctx context.Context) bool {
	if x.entry.Prober == nil || x.entry.isDraining(x.endpoint.EndpointID) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return x.entry.Prober.Refuses(ctx, x.chosen.Config(), x.endpoint, x.connectionLimit())
}

// isDraining reports whether an endpoint is listed as draining: its end is expected.
func (e *Entry) isDraining(endpoint string) bool {
	f := e.fleet.Load()
	i, ok := f.version().Index(endpoint)
	return ok && f.version().Proto().GetEndpoints()[i].GetDraining()
}

// endpointEnded connects the end of an endpoint's earlier incarnations with the requests that were in progress there. The
// current incarnation, if any, goes on.
func (e *Entry) endpointEnded(endpoint, service string, current *incarnation.ID, evidence string) {
	participants := e.executions.EndpointEnded(time.Now(), endpoint, current)
	if len(participants) == 0 {
		return
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
