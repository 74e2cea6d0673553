// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// reserveWithin bounds the reservation of a turn. It takes some 6 ms; a
	// change of the stores' view takes up to a few hundred.
	reserveWithin = time.Second
	// settleAtLeast bounds the settlement for a turn whose time is nearly over.
	// Else it may take what is left: an answer whose turn is not stored has
	// nothing to fall back on and is cut off.
	settleAtLeast = time.Second
	// readSize in bytes holds some events of a stream.
	readSize = 4 << 10
)

// turn serves one turn of a program.
func (x *exchange) turn(ctx context.Context) Outcome {
	t := x.reservation()
	grant, o := x.reserve(ctx, t)
	if o != nil {
		return o
	}
	body := x.prompt(grant)
	for {
		answer, done, err := x.offer(ctx, body)
		if err == nil {
			return x.stream(ctx, t, grant, answer, done)
		}
		if o := x.stop(ctx, err); o != nil {
			if x.runs == 0 {
				x.entry.Stores.Void(ctx, grant)
			}
			return o
		}
	}
}

func (x *exchange) reservation() stores.Turn {
	r := x.request
	t := stores.Turn{
		ID: r.ID, Program: r.Program, Previous: r.Previous, Most: r.Most, Budget: r.Budget,
		Retain: time.Duration(x.route.GetRetainMs()) * time.Millisecond,
	}
	if t.Program == "" {
		// A turn outside any program is a program of its own.
		t.Program = r.ID
	}
	return t
}

// reserve asks the stores, and tells what the client hears if they refuse.
func (x *exchange) reserve(ctx context.Context, t stores.Turn) (*stores.Grant, Outcome) {
	start := time.Now()
	defer func() { x.own += time.Since(start) }()
	if !x.entry.Stores.Reaches(t.Program) {
		return nil, Refused{Status: http.StatusServiceUnavailable, RetryAfter: x.entry.elsewhere(time.Now()), Reason: "most stores are out of reach"}
	}
	ctx, cancel := context.WithTimeout(ctx, reserveWithin)
	defer cancel()
	grant, err := x.entry.Stores.Reserve(ctx, t)
	var over *stores.OverBudgetError
	var unknown *stores.UnknownTurnError
	switch {
	case err == nil:
		return grant, nil
	case errors.As(err, &over):
		return nil, Refused{Status: http.StatusPaymentRequired, Reason: err.Error()}
	case errors.As(err, &unknown):
		return nil, Refused{Status: http.StatusNotFound, Reason: err.Error()}
	}
	return nil, Refused{Status: http.StatusServiceUnavailable, RetryAfter: later, Reason: err.Error()}
}

// prompt puts what was said before in front of the new input.
func (x *exchange) prompt(g *stores.Grant) []byte {
	size := len(x.request.Body)
	for _, t := range g.History() {
		size += len(t.GetInput()) + len(t.GetOutput())
	}
	body := make([]byte, 0, size)
	for _, t := range g.History() {
		body = append(body, t.GetInput()...)
		body = append(body, t.GetOutput()...)
		x.last = t.GetEndpoint()
	}
	return append(body, x.request.Body...)
}

// stream passes the events on and stores the turn before the answer ends.
func (x *exchange) stream(ctx context.Context, t stores.Turn, g *stores.Grant, a *Answer, done func(placement.Result)) Outcome {
	defer a.Body.Close()
	x.status = a.Status
	x.out.Start(a.Status, a.Header, -1)
	var events scanner
	buf := make([]byte, readSize)
	for {
		n, err := a.Body.Read(buf)
		events.scan(buf[:n])
		if n > 0 {
			if failed := x.out.Write(buf[:n]); failed != nil {
				done(placement.Result{OK: true})
				return Cut{Reason: "the client left: " + failed.Error()}
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			done(placement.Result{OK: ctx.Err() != nil})
			return Cut{Reason: "the endpoint's stream broke off: " + err.Error()}
		}
	}
	done(placement.Result{OK: a.Status < http.StatusInternalServerError})
	return x.settle(ctx, t, g, a, &events)
}

// settle stores the outcome of a stream that ended.
func (x *exchange) settle(ctx context.Context, t stores.Turn, g *stores.Grant, a *Answer, events *scanner) Outcome {
	if a.Status != http.StatusOK {
		if a.Status < http.StatusInternalServerError {
			x.entry.Stores.Void(ctx, g)
		}
		return Answered{}
	}
	if !events.whole() {
		return Cut{Reason: "the endpoint's stream ended inside an event"}
	}
	start := time.Now()
	defer func() { x.own += time.Since(start) }()
	// The client may leave now; the turn has run all the same.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(settleAtLeast, time.Until(x.deadline)))
	defer cancel()
	err := x.entry.Stores.Settle(ctx, g, x.spent(t, events), &fleetpb.Turn{
		Id: t.ID, Previous: t.Previous, Home: g.Home(), Input: x.request.Body, Output: events.output,
		Endpoint: x.endpoint, RetainMs: x.route.GetRetainMs(),
	})
	if err != nil {
		return Cut{Reason: "the turn was not stored: " + err.Error()}
	}
	return Answered{}
}

// spent is the true count of tokens.
func (x *exchange) spent(t stores.Turn, events *scanner) uint64 {
	each := uint64(x.service.GetTokensPerEvent())
	if each == 0 {
		return t.Most
	}
	return each * uint64(events.count)
}
