// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// reserveTimeout bounds the reservation of a turn, which takes about 6 ms. It leaves
	// time for a change of the stores' view, which takes up to a few hundred milliseconds.
	reserveTimeout = time.Second
	// minSettleTimeout is the least time for settling a turn, even if its deadline is near,
	// because the response fails if the turn is not stored.
	minSettleTimeout = time.Second
	// maxOverrun is how long after the route's time limit a response may end for that: less than the half second after which
	// the platform counts it as unanswered.
	maxOverrun = 400 * time.Millisecond
)

// prepare reserves tokens and builds the body for endpoints.
func (x *exchange) prepare(ctx context.Context) Outcome {
	x.body = x.request.Body
	if !x.handling.reserved {
		return nil
	}
	grant, o := x.reserve(ctx, x.turnToReserve())
	if o != nil {
		return o
	}
	x.grant = grant
	x.newSession = x.entry.sessions.isNewSession(x.request.Program, x.request.Session)
	if x.handling.history {
		if o := x.chargeHistory(ctx, grant); o != nil {
			return x.settle(ctx, o)
		}
		x.body = x.buildPrompt(grant)
	} else {
		x.previous, x.previousTokens = x.entry.sessions.lookup(x.request.Program, x.request.Session, grant.Endpoint())
	}
	// A program that the level refuses must not hold a part of its customer's limit.
	if o := x.checkLevel(); o != nil {
		return x.settle(ctx, o)
	}
	if o := x.checkNewProgram(ctx); o != nil {
		return x.settle(ctx, o)
	}
	return nil
}

// turnToReserve returns the turn as the stores need it for a reservation.
func (x *exchange) turnToReserve() stores.Turn {
	r := x.request
	t := stores.Turn{
		ID: r.ID, Program: r.Program, Customer: x.customer.GetName(), Previous: r.PreviousTurn, MaxTokens: r.MaxAnswerTokens, Budget: r.BudgetTokens,
		Retention: time.Duration(x.route.GetRetainMs()) * time.Millisecond,
	}
	if t.Program == "" {
		// A turn without a program is treated as a program with one turn.
		t.Program = r.ID
	}
	if !x.handling.history {
		t.Previous = ""
	}
	return t
}

// reserve reserves tokens at the stores. It returns a non-nil outcome on failure.
func (x *exchange) reserve(ctx context.Context, t stores.Turn) (*stores.Grant, Outcome) {
	start := time.Now()
	defer func() { x.ownTime += time.Since(start) }()
	if !x.entry.Stores.ProgramReachable(t.Program) {
		x.details.unavailable = x.entry.Stores.UnreachableError(t.Program)
		return nil, Rejected{Status: http.StatusServiceUnavailable, RetryAfter: x.entry.retryElsewhere(time.Now()), Reason: "most stores are out of reach", By: StepStores}
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	grant, err := x.entry.Stores.Reserve(ctx, t)
	var over *stores.OverBudgetError
	var unknown *stores.UnknownTurnError
	switch {
	case err == nil:
		return grant, nil
	case errors.As(err, &over):
		x.details.overBudget = over
		return nil, Rejected{Status: http.StatusPaymentRequired, Reason: err.Error(), By: StepBudget}
	case errors.As(err, &unknown):
		x.replies = unknown.Replies
		return nil, Rejected{Status: http.StatusNotFound, Reason: err.Error(), By: StepStores}
	}
	x.recordStoreError(err)
	return nil, Rejected{Status: http.StatusServiceUnavailable, RetryAfter: longRetryAfter, Reason: err.Error(), By: StepStores}
}

// buildPrompt returns the program's history followed by the request's body.
func (x *exchange) buildPrompt(g *stores.Grant) []byte {
	size := len(x.request.Body)
	for _, t := range g.History() {
		size += len(t.GetInput()) + len(t.GetOutput())
	}
	body := make([]byte, 0, size)
	for _, t := range g.History() {
		body = append(body, t.GetInput()...)
		body = append(body, t.GetOutput()...)
		x.previous = incarnation.ID{EndpointID: t.GetEndpoint(), StartMS: t.GetBornMs()}
	}
	return append(body, x.request.Body...)
}

// settle settles the reservation according to the outcome. A turn with history is stored
// before its response ends. Others only count tokens and are settled in the background: an
// unsettled reservation counts in full.
func (x *exchange) settle(ctx context.Context, o Outcome) Outcome {
	_, completed := o.(Completed)
	if x.grant == nil {
		if x.streamStarted && x.customer != nil {
			// The stores do not know this program.
			x.entry.sessions.record(x.request.Program, x.request.Session, x.endpoint, x.request.PromptTokens+x.spentTokens(completed))
		}
		return o
	}
	switch {
	case !x.mayHaveRun:
		x.entry.Stores.Release(ctx, x.grant)
	case x.streamStarted && completed && x.handling.history:
		return x.storeTurn(ctx)
	case x.streamStarted || completed:
		x.entry.sessions.record(x.request.Program, x.request.Session, x.endpoint, x.request.PromptTokens+x.spentTokens(completed))
		x.entry.Stores.SettleAsync(ctx, x.grant, x.spentTokens(completed), x.endpoint)
	}
	return o
}

// storeTurn stores and settles a completed turn.
func (x *exchange) storeTurn(ctx context.Context) Outcome {
	start := time.Now()
	defer func() { x.ownTime += time.Since(start) }()
	// A disconnect of the client must not prevent this, because the turn was executed.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.settleDeadline(start))
	defer cancel()
	err := x.entry.Stores.Settle(ctx, x.grant, x.spentTokens(true), &fleetpb.Turn{
		Id: x.request.ID, Previous: x.request.PreviousTurn, Home: x.grant.Home(), Input: x.request.Body, Output: x.events.output,
		Endpoint: x.endpoint.EndpointID, BornMs: x.endpoint.StartMS, RetainMs: x.route.GetRetainMs(), Customer: x.customer.GetName(),
	})
	if err != nil {
		x.recordStoreError(err)
		return Aborted{Reason: "the turn was not stored: " + err.Error()}
	}
	x.replies = x.grant.StoredBy()
	x.entry.sessions.record(x.request.Program, x.request.Session, x.endpoint, x.request.PromptTokens+x.spentTokens(true))
	return Completed{}
}

// logReplies adds to the log fields of a request which stores acknowledged its turn, or which do not have the turn that it continues.
func (x *exchange) logReplies(fields logrus.Fields) {
	if x.replies.Epoch() == 0 {
		return
	}
	fields["stores"], fields["view"] = x.replies.Stores(), x.replies.Epoch()
	if x.replies.IsChanging() {
		fields["view_change"] = true
	}
	if len(x.replies.Incomplete()) > 0 {
		fields["incomplete"] = x.replies.Incomplete()
	}
}

// settleDeadline returns when settling a turn is given up. A client may set an earlier deadline than the route, which must not
// prevent it. A stop of the instance does.
func (x *exchange) settleDeadline(now time.Time) time.Time {
	limit := x.request.Arrived.Add(time.Duration(x.route.GetTimeoutMs())*time.Millisecond + maxOverrun)
	least := now.Add(minSettleTimeout)
	if least.After(limit) {
		least = limit
	}
	if least.Before(x.deadline) {
		least = x.deadline
	}
	if s := x.entry.stop.Load(); s != nil && s.End.Add(stopSettleTime).Before(least) {
		return s.End.Add(stopSettleTime)
	}
	return least
}

// spentTokens returns the tokens to charge. A stream counts its received events, and one more
// if it is incomplete. Any other response counts its maximum, or nothing if it is an error.
func (x *exchange) spentTokens(complete bool) uint64 {
	limit := x.request.MaxAnswerTokens
	perEvent := uint64(x.service.GetTokensPerEvent())
	switch {
	case !x.streamStarted && x.status >= http.StatusBadRequest:
		return 0
	case !x.streamStarted || perEvent == 0:
		return limit
	case complete:
		return perEvent * uint64(x.events.count)
	}
	return min(limit, perEvent*uint64(x.events.count+1))
}
