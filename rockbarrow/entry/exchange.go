// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/execution"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/membudget"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// maxDispatches bounds the endpoints that one request is sent to, whether or not they
	// execute it. If all are at capacity, more tries only add load.
	maxDispatches = 5
	// hangTimeout is how long an endpoint may take to respond before a client's disconnect
	// counts as the endpoint's failure. It exceeds the longest calls without a stream.
	hangTimeout = 1600 * time.Millisecond
)

// exchange is the state of one request.
type exchange struct {
	entry   *Entry
	request *Request
	table   *routing.Table
	route   *fleetpb.Route
	service *fleetpb.Service
	// customer is the authenticated customer, or nil.
	customer *fleetpb.Customer
	// charged is true once the request was charged to the customer's quota.
	charged bool
	// charge is the grant of the quota.
	charge quota.Granted
	// askStores is true if the request is a first turn unless the stores know its program.
	askStores bool
	// firstTurn is true once the request is known to be a first turn.
	firstTurn bool
	handling  handling
	writer    ResponseWriter
	deadline  time.Time
	// memory is charged for what the response and the history hold: the account of the request, or one of SharedMemory; nil
	// means no limit.
	memory *membudget.Account

	// grant is the reservation at the stores, or nil.
	grant *stores.Grant
	// replies are those of the stores that acknowledged the turn, or that do not have the one that it continues.
	replies stores.Replies
	// body is the body that endpoints get.
	body []byte
	// events scans the event stream of the response, across all endpoints that produced it.
	events eventScanner
	// streamCharge is what the buffers of events are charged to the memory budget, in bytes.
	streamCharge int64
	// streamStarted is true once an endpoint has begun an event stream.
	streamStarted bool
	// headWritten is true once the header of a response was forwarded, and with it the first part of the body or its end.
	headWritten bool

	// mayHaveRun is true once an endpoint may have executed the request.
	mayHaveRun bool
	// dispatches counts the endpoints that the request was sent to. failedExecutions counts
	// those that may have executed it without completing the client's response.
	dispatches, failedExecutions int
	// avoid are the endpoints that failed or rejected the request.
	avoid []incarnation.ID
	// previous is the endpoint that served the previous turn.
	previous incarnation.ID
	// newSession is true if this instance has served other sessions of the program, and not this one.
	newSession bool
	// previousTokens are those of the session's last prompt and answer, 0 if unknown.
	previousTokens uint64
	// execution is the one in progress, or nil, and executions are all of the request.
	execution  *execution.Execution
	executions []*execution.Execution
	// onTrial is true if a control instance granted the execution of a suspect, and asker identifies it there.
	onTrial bool
	asker   string
	// occupied is how many endpoints were left to other suspects.
	occupied int
	// bodyLost is true if the endpoint broke off a response that was forwarded in part.
	bodyLost bool
	// lossCause is the error that ended the response of the execution in progress, or nil.
	lossCause error
	keysOnce  sync.Once
	keys      quarantine.Keys
	// chosen and endpoint are the endpoint that the request was sent to last.
	chosen   *placement.Endpoint
	endpoint incarnation.ID
	// sentAt is when the request was sent to it, and progressAt when an event arrived since, or sentAt.
	sentAt, progressAt time.Time
	status             int
	listNumber         uint64
	listAgeMS          int64
	// ownTime is the time spent on quotas and stores, without the endpoints.
	ownTime time.Duration
	// releaseSlot releases the concurrency slot once, nil if the end of serve releases it.
	releaseSlot func()
	// waitTime is the time spent waiting for a concurrency slot.
	waitTime time.Duration
	// known is true if this instance knows an earlier turn of the request's program.
	known bool
	// passedLevel is true once the shared level has admitted the request's program.
	passedLevel bool
	details     refusalDetails
}

// splitKey returns the key that selects a service by weight, so that the turns of a program
// stay on one service.
func (x *exchange) splitKey() string {
	r := x.request
	for _, key := range []string{r.Program, r.AffinityKey} {
		if key != "" {
			return key
		}
	}
	return r.ID
}

// serve runs the steps of a request: reserve, wait for a slot, dispatch, forward and settle.
// Steps that its handling does not need do nothing.
func (x *exchange) serve(ctx context.Context) Outcome {
	if x.handling.outlivesClient() {
		var cancel context.CancelFunc
		ctx, cancel = x.withDeadline(context.WithoutCancel(ctx))
		defer cancel()
	}
	if o := x.prepare(ctx); o != nil {
		return o
	}
	start := time.Now()
	release, o := x.acquireSlot(ctx)
	x.waitTime = time.Since(start)
	if o != nil {
		return x.settle(ctx, o)
	}
	defer x.setSlot(release)()
	for {
		o, err := x.attempt(ctx)
		x.finishExecution(ctx, o, err)
		if err != nil {
			o = x.afterFailure(ctx, err)
		}
		if o != nil {
			return x.settle(ctx, o)
		}
	}
}

// attempt sends the request to one endpoint and forwards the response. It returns an error if
// the client's response is not complete.
func (x *exchange) attempt(ctx context.Context) (Outcome, error) {
	attemptCtx, cancel := x.withAttemptTimeout(ctx)
	defer cancel()
	stalls, stop := x.watchStalls(cancel)
	defer stop()
	resp, done, err := x.dispatch(ctx, attemptCtx, stalls)
	if err != nil {
		x.recordRefused(err)
		return nil, err
	}
	if err := x.limitBody(resp); err != nil {
		resp.Body.Close()
		x.recordRefused(err)
		x.recordLost(ctx)
		return nil, x.responseLost(done, placement.Result{}, err.Error())
	}
	if x.handling.streamed && resp.Status == http.StatusOK {
		return x.forwardEvents(ctx, resp, done, stalls)
	}
	return x.forwardBuffered(ctx, resp, done)
}

// withAttemptTimeout divides the time left evenly among the remaining attempts of a repeatable
// request, so that an unresponsive endpoint does not use it up. Streams have stall detection
// instead.
func (x *exchange) withAttemptTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	now := time.Now()
	left := x.endTime().Sub(now)
	d := x.attemptTime(left, x.failedExecutions)
	if d == left || !x.mayBeginAttemptAt(now.Add(d), x.failedExecutions+1) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, d)
}

// attemptTime returns the part of the time left that the next attempt may take after some failed executions.
func (x *exchange) attemptTime(left time.Duration, failedExecutions int) time.Duration {
	attemptsLeft := int(x.route.GetMaxAttempts()) - failedExecutions
	if x.handling.streamed || !x.handling.repeatable || attemptsLeft < 2 {
		return left
	}
	return left / time.Duration(attemptsLeft)
}

// choose selects an endpoint and occupies a slot there.
func (x *exchange) choose() (placement.Choice, bool) {
	f := x.entry.fleet.Load()
	x.listNumber = f.snapshot.List().GetNumber()
	now := time.Now()
	if current := x.entry.Watch.List(); current != nil {
		x.listAgeMS = now.Sub(current.ConfirmedAt()).Milliseconds()
	}
	return f.Choose(now, placement.Request{
		Class:        placement.Class{Service: x.service.GetName()},
		PromptTokens: int64(x.request.PromptTokens), OutputTokens: int64(x.request.MaxAnswerTokens),
		LastEndpoint: x.previous, LastTokens: int64(x.previousTokens), NewSession: x.newSession, AvoidEndpoints: x.avoid, Domain: x.entry.Domain, AvoidDomains: x.entry.domains.avoided(now),
	}, newRand())
}

// newRand returns a generator for a single choice, because [rand.Rand] is not safe for concurrent use.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// dispatch chooses an endpoint and sends it the request within attemptCtx. The returned
// function releases the slot there and reports the result.
func (x *exchange) dispatch(ctx, attemptCtx context.Context, stalls *stallDetector) (*Response, func(placement.Result), error) {
	if !x.entry.hasValidKey(x, time.Now()) {
		return nil, nil, &NotExecutedError{Endpoint: "none", Reason: "the key could not be confirmed lately", Busy: true, By: StepKey}
	}
	if !x.mayBeginAttempt() {
		return nil, nil, &NotExecutedError{Endpoint: "none", Reason: "the instance stops before an execution could end", Busy: true, By: StepStop}
	}
	choice, ok := x.choose()
	if !ok {
		return nil, nil, &NotExecutedError{Endpoint: "none", Reason: "no endpoint has room", Busy: true}
	}
	if x.charged && x.failedExecutions > 0 {
		x.entry.Quota.CountRetry(time.Now(), x.customer)
	}
	p := choice.Endpoint()
	if err := x.requestTrial(ctx, p); err != nil {
		choice.Done(time.Now(), placement.Result{OK: true, Refused: true})
		return nil, nil, err
	}
	stalls.setDomain(p.Domain())
	x.chosen, x.endpoint = p, p.Life()
	x.dispatches++
	x.sentAt = time.Now()
	x.progressAt = x.sentAt
	x.beginExecution(x.sentAt)
	resp, err := x.entry.Sender.Send(attemptCtx, EndpointRequest{
		Request: x.request, Body: x.body, Endpoint: p.Config(), Incarnation: x.endpoint, Deadline: x.endTime(),
		Priority: x.endpointPriority(), MaxConnections: x.connectionLimit(),
		Stream: x.handling.streamed, ResumeAfter: x.events.lastID,
		Customer: x.customer.GetName(), StripKey: x.table.CustomerCount() > 0 || x.route.GetKeyed(),
	})
	done := func(r placement.Result) { choice.Done(time.Now(), r) }
	unreached := x.recordReachability(p, err)
	if err != nil {
		var notExecuted *NotExecutedError
		// An endpoint at capacity has not failed, nor has one whose client disconnected early.
		clientLeft := ctx.Err() != nil && time.Since(x.sentAt) < hangTimeout
		busy := errors.As(err, &notExecuted) && notExecuted.Busy
		if !busy && !clientLeft {
			p.RecordConnectionLoss()
		}
		done(placement.Result{OK: busy || clientLeft, Refused: busy || clientLeft, Unreachable: unreached})
		x.avoid = append(x.avoid, x.endpoint)
		return nil, nil, err
	}
	x.mayHaveRun = true
	if resp.Reconnected {
		p.RecordConnectionLoss()
	}
	p.RecordResponse(time.Now())
	return resp, done, nil
}

// recordReachability updates the health of the endpoint's failure domain after a dispatch. It
// reports whether the network gave no response.
func (x *exchange) recordReachability(p *placement.Endpoint, err error) (unreached bool) {
	if err == nil {
		x.entry.domains.clearSuspicion(p.Domain())
		return false
	}
	var notExecuted *NotExecutedError
	var lost *OutcomeUnknownError
	if errors.As(err, &notExecuted) && notExecuted.NoResponse || errors.As(err, &lost) && lost.NoResponse {
		x.entry.domains.suspect(p.Domain(), time.Now())
		return true
	}
	return false
}

// connectionLimit returns this instance's share of the connections to one endpoint.
func (x *exchange) connectionLimit() int {
	return max(1, int(x.service.GetMaxConnections())/x.entry.Watch.EntryCount())
}

// afterFailure returns the outcome after a failed attempt, or nil if the request may be sent
// again.
func (x *exchange) afterFailure(ctx context.Context, err error) Outcome {
	var refused *RefusedError
	if errors.As(err, &refused) {
		x.recordSuspicion(time.Now(), x.Keys())
		return x.refuse(refused)
	}
	var held *HeldError
	if errors.As(err, &held) {
		x.recordSuspicion(time.Now(), x.Keys())
		return x.hold(held)
	}
	var notExecuted *NotExecutedError
	if errors.As(err, &notExecuted) {
		return x.afterNotExecuted(ctx, notExecuted)
	}
	x.mayHaveRun = true
	x.failedExecutions++
	if d, ok := x.entry.suspects.Lookup(time.Now(), x.Keys()).(quarantine.Refused); ok {
		x.recordSuspicion(time.Now(), x.Keys())
		return x.refuse(&RefusedError{Key: d.Key, Endpoints: d.Endpoints})
	}
	switch {
	case ctx.Err() == nil && x.canRetry():
		return nil
	case x.headWritten:
		return Aborted{Reason: err.Error()}
	case ctx.Err() != nil:
		return Rejected{Status: http.StatusGatewayTimeout, Reason: err.Error(), By: x.endedBy()}
	}
	return Rejected{Status: http.StatusBadGateway, Reason: err.Error(), By: StepEndpoints}
}

// afterNotExecuted is afterFailure for a request that the endpoint did not execute.
func (x *exchange) afterNotExecuted(ctx context.Context, err *NotExecutedError) Outcome {
	if ctx.Err() == nil && x.dispatches < maxDispatches && err.Endpoint != "none" {
		return nil
	}
	if err.By == StepSuspects {
		x.recordSuspicion(time.Now(), x.Keys())
	}
	switch {
	case x.headWritten:
		return Aborted{Reason: err.Error()}
	case x.failedExecutions > 0 && ctx.Err() != nil:
		return Rejected{Status: http.StatusGatewayTimeout, Reason: err.Error(), By: x.endedBy()}
	case x.failedExecutions > 0:
		return Rejected{Status: http.StatusBadGateway, Reason: err.Error(), By: err.step()}
	case ctx.Err() != nil:
		return Rejected{Status: http.StatusServiceUnavailable, Reason: err.Error(), By: x.endedBy()}
	}
	return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: longRetryAfter, Reason: err.Error(), By: err.step()}
}

// canRetry reports whether a request that may have been executed may be sent again.
func (x *exchange) canRetry() bool {
	allowed := x.handling.resumable || x.handling.repeatable && !x.headWritten
	return allowed && x.failedExecutions < int(x.route.GetMaxAttempts()) && x.dispatches < maxDispatches && x.mayBeginAttempt()
}
