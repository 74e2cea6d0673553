// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// maxOffers bounds the endpoints that one request is offered to, whether they
	// run it or not. Where all are full, more offers only add load.
	maxDispatches = 5
	// hungAfter is how long a client must have waited for the first byte before its
	// leaving is held against the endpoint: more than the longest plain calls take.
	hangTimeout = 1600 * time.Millisecond
)

// exchange is one request on its way.
type exchange struct {
	entry   *Entry
	request *Request
	table   *routing.Table
	route   *fleetpb.Route
	service *fleetpb.Service
	// customer is whose request it is, or nil.
	customer *fleetpb.Customer
	// counted is true once the request was counted against the customer's quota.
	charged  bool
	handling handling
	writer   ResponseWriter
	deadline time.Time

	// grant is what the stores have set aside, or nil.
	grant *stores.Grant
	// body is what endpoints get.
	body []byte
	// events are those of the answer, over all endpoints that had a part in it.
	events eventScanner
	// started is true once the head of an answer was passed on.
	headSent bool

	// ran is true once an endpoint has or may have run it.
	mayHaveRun bool
	// offers counts the endpoints asked, runs those that may have run it and whose
	// answer did not become the client's whole answer.
	dispatches, executions int
	avoid                  []incarnation.ID
	// last is the endpoint that served the turn before.
	previous incarnation.ID
	// place is at the endpoint that was offered the request last, which is endpoint.
	chosen     *placement.Endpoint
	endpoint   incarnation.ID
	status     int
	listNumber uint64
	listAgeMS  int64
	// own is the time spent here and on the stores, without the endpoints.
	ownTime time.Duration
	// waited is the time spent waiting for a place.
	waitTime time.Duration
}

// splitKey keeps a program's turns on one service while the weights stay.
func (x *exchange) splitKey() string {
	r := x.request
	for _, key := range []string{r.Program, r.AffinityKey} {
		if key != "" {
			return key
		}
	}
	return r.ID
}

// serve takes the steps of a request: reserve, offer, pass on, settle. A step that the
// request's way does not need does nothing.
func (x *exchange) serve(ctx context.Context) Outcome {
	if x.handling.outlivesClient() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), x.deadline)
		defer cancel()
	}
	if o := x.prepare(ctx); o != nil {
		return o
	}
	begun := time.Now()
	leave, o := x.acquireSlot(ctx)
	x.waitTime = time.Since(begun)
	if o != nil {
		return x.settle(ctx, o)
	}
	defer leave()
	for {
		o, err := x.attempt(ctx)
		if err != nil {
			o = x.afterFailure(ctx, err)
		}
		if o != nil {
			return x.settle(ctx, o)
		}
	}
}

// attempt offers the request to one endpoint and passes its answer on. It returns an
// error if the client has no whole answer yet.
func (x *exchange) attempt(ctx context.Context) (Outcome, error) {
	try, cancel := x.withAttemptTimeout(ctx)
	defer cancel()
	pauses, stop := x.watchStalls(cancel)
	defer stop()
	answer, done, err := x.dispatch(ctx, try, pauses)
	if err != nil {
		return nil, err
	}
	if x.handling.streamed && answer.Status == http.StatusOK {
		return x.forwardEvents(ctx, answer, done, pauses)
	}
	return x.forwardBuffered(ctx, answer, done)
}

// within bounds an attempt of a request that may run again: each of those that are left
// gets an even part of the time, so that an endpoint or a connection that has fallen
// silent does not take all of it. Streams show by their pauses that they stand still.
func (x *exchange) withAttemptTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	left := int(x.route.GetMaxAttempts()) - x.executions
	if x.handling.streamed || !x.handling.repeatable || left < 2 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(x.deadline)/time.Duration(left))
}

// choose takes a place at an endpoint.
func (x *exchange) choose() (placement.Choice, bool) {
	f := x.entry.fleet.Load()
	x.listNumber = f.reading.List().GetNumber()
	now := time.Now()
	if current := x.entry.Watch.List(); current != nil {
		x.listAgeMS = now.Sub(current.ConfirmedAt()).Milliseconds()
	}
	return f.Choose(now, placement.Request{
		Class:        placement.Class{Service: x.service.GetName()},
		PromptTokens: int64(x.request.PromptTokens), OutputTokens: int64(x.request.MaxAnswerTokens),
		LastEndpoint: x.previous, AvoidEndpoints: x.avoid, Domain: x.entry.Domain, AvoidDomains: x.entry.domains.avoided(now),
	}, newRand())
}

// source returns a generator of its own for each choice: a choice draws twice.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// offer sends the request to the best endpoint, which has until the end of try. The
// place is given back by done.
func (x *exchange) dispatch(ctx, try context.Context, pauses *stallDetector) (*Response, func(placement.Result), error) {
	if !x.entry.hasValidKey(x, time.Now()) {
		return nil, nil, &NotExecutedError{Endpoint: "none", Reason: "the key could not be confirmed lately", Busy: true}
	}
	choice, ok := x.choose()
	if !ok {
		return nil, nil, &NotExecutedError{Endpoint: "none", Reason: "no endpoint has room", Busy: true}
	}
	if x.charged && x.executions > 0 {
		x.entry.Quota.CountRetry(time.Now(), x.customer)
	}
	p := choice.Endpoint()
	pauses.setDomain(p.Domain())
	x.chosen, x.endpoint = p, p.Life()
	x.dispatches++
	sent := time.Now()
	answer, err := x.entry.Sender.Send(try, EndpointRequest{
		Request: x.request, Body: x.body, Endpoint: p.Config(), Incarnation: x.endpoint, Deadline: x.deadline,
		Priority: x.endpointPriority(), MaxConnections: x.connectionLimit(),
		Stream: x.handling.streamed, ResumeAfter: x.events.lastID,
		Customer: x.customer.GetName(), StripKey: x.table.CustomerCount() > 0 || x.route.GetKeyed(),
	})
	done := func(r placement.Result) { p.Done(time.Now(), r) }
	unreached := x.recordReachability(p, err)
	if err != nil {
		var notRun *NotExecutedError
		// A full endpoint is not at fault; nor is one whose client left soon.
		left := ctx.Err() != nil && time.Since(sent) < hangTimeout
		busy := errors.As(err, &notRun) && notRun.Busy
		if !busy && !left {
			p.RecordConnectionLoss()
		}
		done(placement.Result{OK: busy || left, Refused: busy || left, Unreachable: unreached})
		x.avoid = append(x.avoid, x.endpoint)
		return nil, nil, err
	}
	x.mayHaveRun = true
	if answer.Reconnected {
		p.RecordConnectionLoss()
	}
	p.RecordResponse(time.Now())
	return answer, done, nil
}

// tell notes what an offer says of the network to the endpoint's domain, and
// reports whether nothing came back at all.
func (x *exchange) recordReachability(p *placement.Endpoint, err error) (unreached bool) {
	if err == nil {
		x.entry.domains.clearSuspicion(p.Domain())
		return false
	}
	var notRun *NotExecutedError
	var lost *OutcomeUnknownError
	if errors.As(err, &notRun) && notRun.NoResponse || errors.As(err, &lost) && lost.NoResponse {
		x.entry.domains.suspect(p.Domain(), time.Now())
		return true
	}
	return false
}

// connections is this instance's part of the connections to one endpoint.
func (x *exchange) connectionLimit() int {
	return max(1, int(x.service.GetMaxConnections())/x.entry.Watch.EntryCount())
}

// stop says how a request ends after a failed attempt, or nil if it may be offered
// again.
func (x *exchange) afterFailure(ctx context.Context, err error) Outcome {
	var notRun *NotExecutedError
	if errors.As(err, &notRun) {
		return x.afterNotExecuted(ctx, notRun)
	}
	x.mayHaveRun = true
	x.executions++
	switch {
	case ctx.Err() == nil && x.canRetry():
		return nil
	case x.headSent:
		return Aborted{Reason: err.Error()}
	case ctx.Err() != nil:
		return Rejected{Status: http.StatusGatewayTimeout, Reason: err.Error()}
	}
	return Rejected{Status: http.StatusBadGateway, Reason: err.Error()}
}

// stopNotRun is stop for an offer that the endpoint certainly did not run.
func (x *exchange) afterNotExecuted(ctx context.Context, err *NotExecutedError) Outcome {
	switch {
	case ctx.Err() == nil && x.dispatches < maxDispatches && err.Endpoint != "none":
		return nil
	case x.headSent:
		return Aborted{Reason: err.Error()}
	case x.executions > 0 && ctx.Err() != nil:
		return Rejected{Status: http.StatusGatewayTimeout, Reason: err.Error()}
	case x.executions > 0:
		return Rejected{Status: http.StatusBadGateway, Reason: err.Error()}
	case ctx.Err() != nil:
		return Rejected{Status: http.StatusServiceUnavailable, Reason: err.Error()}
	}
	return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: longRetryAfter, Reason: err.Error()}
}

// canRetry reports whether a request that may have run may be offered again.
func (x *exchange) canRetry() bool {
	may := x.handling.resumable || x.handling.repeatable && !x.headSent
	return may && x.executions < int(x.route.GetMaxAttempts()) && x.dispatches < maxDispatches
}
