// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// reserveWithin bounds the reservation of a turn. It takes some 6 ms; a
	// change of the stores' view takes up to a few hundred.
	reserveTimeout = time.Second
	// settleAtLeast bounds the settlement for a turn whose time is nearly over.
	// Else it may take what is left: an answer whose turn is not stored has
	// nothing to fall back on and is cut off.
	minSettleTimeout = time.Second
)

// prepare makes ready what is offered: tokens are reserved, and the prompt is made.
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
	if x.handling.history {
		x.body = x.buildPrompt(grant)
	} else {
		x.previous = x.entry.sessions.lookup(x.request.Program, x.request.Session, grant.Endpoint())
	}
	return nil
}

func (x *exchange) turnToReserve() stores.Turn {
	r := x.request
	t := stores.Turn{
		ID: r.ID, Program: r.Program, Customer: x.customer.GetName(), Previous: r.PreviousTurn, MaxTokens: r.MaxAnswerTokens, Budget: r.BudgetTokens,
		Retention: time.Duration(x.route.GetRetainMs()) * time.Millisecond,
	}
	if t.Program == "" {
		// A turn outside any program is a program of its own.
		t.Program = r.ID
	}
	if !x.handling.history {
		t.Previous = ""
	}
	return t
}

// reserve asks the stores, and tells what the client hears if they refuse.
func (x *exchange) reserve(ctx context.Context, t stores.Turn) (*stores.Grant, Outcome) {
	start := time.Now()
	defer func() { x.ownTime += time.Since(start) }()
	if !x.entry.Stores.ProgramReachable(t.Program) {
		return nil, Rejected{Status: http.StatusServiceUnavailable, RetryAfter: x.entry.retryElsewhere(time.Now()), Reason: "most stores are out of reach"}
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
		return nil, Rejected{Status: http.StatusPaymentRequired, Reason: err.Error()}
	case errors.As(err, &unknown):
		return nil, Rejected{Status: http.StatusNotFound, Reason: err.Error()}
	}
	return nil, Rejected{Status: http.StatusServiceUnavailable, RetryAfter: longRetryAfter, Reason: err.Error()}
}

// prompt puts what was said before in front of the new input.
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

// settle ends a reservation as the request has ended. A turn whose history is kept is
// stored before its answer ends; what only counts tokens is settled in the background,
// since a reservation that is not settled counts at its most.
func (x *exchange) settle(ctx context.Context, o Outcome) Outcome {
	if x.grant == nil {
		return o
	}
	_, answered := o.(Completed)
	switch {
	case !x.mayHaveRun:
		x.entry.Stores.Release(ctx, x.grant)
	case x.headSent && answered && x.handling.history:
		return x.storeTurn(ctx)
	case x.headSent || answered:
		x.entry.sessions.record(x.request.Program, x.request.Session, x.endpoint)
		x.entry.Stores.SettleAsync(ctx, x.grant, x.spentTokens(answered), x.endpoint)
	}
	return o
}

// keep stores a turn that was answered whole.
func (x *exchange) storeTurn(ctx context.Context) Outcome {
	start := time.Now()
	defer func() { x.ownTime += time.Since(start) }()
	// The client may leave now; the turn has run all the same.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(minSettleTimeout, time.Until(x.deadline)))
	defer cancel()
	err := x.entry.Stores.Settle(ctx, x.grant, x.spentTokens(true), &fleetpb.Turn{
		Id: x.request.ID, Previous: x.request.PreviousTurn, Home: x.grant.Home(), Input: x.request.Body, Output: x.events.output,
		Endpoint: x.endpoint.EndpointID, BornMs: x.endpoint.StartMS, RetainMs: x.route.GetRetainMs(), Customer: x.customer.GetName(),
	})
	if err != nil {
		return Aborted{Reason: "the turn was not stored: " + err.Error()}
	}
	return Completed{}
}

// spent is the count of tokens: those of the events that came, and of one more that was
// under way where a stream broke off. An answer that is not events has none unless it
// is a success, of which only the most is known.
func (x *exchange) spentTokens(whole bool) uint64 {
	most := x.request.MaxAnswerTokens
	each := uint64(x.service.GetTokensPerEvent())
	switch {
	case !x.headSent && x.status >= http.StatusBadRequest:
		return 0
	case !x.headSent || each == 0:
		return most
	case whole:
		return each * uint64(x.events.count)
	}
	return min(most, each*uint64(x.events.count+1))
}
