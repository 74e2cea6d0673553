// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// maxOffers bounds the endpoints that one request is offered to, whether they
	// run it or not. Where all are full, more offers only add load.
	maxOffers = 5
	// wholeBody in bytes is the largest answer that is read whole before its
	// first byte is passed on, so that a lost one can be asked for again.
	wholeBody = 256 << 10
	// hungAfter is how long a client must have waited for the first byte before its
	// leaving is held against the endpoint: more than the longest plain calls take.
	hungAfter = 1600 * time.Millisecond
)

// exchange is one request on its way.
type exchange struct {
	entry    *Entry
	request  *Request
	table    *routing.Table
	route    *fleetpb.Route
	service  *fleetpb.Service
	out      Out
	deadline time.Time

	// offers counts the endpoints asked, runs those that may have run it.
	offers, runs int
	avoid        []string
	// last is the endpoint that served the turn before.
	last     string
	endpoint string
	status   int
	list     uint64
	listAge  int64
	// own is the time spent here and on the stores, without the endpoints.
	own time.Duration
}

// splitKey keeps a program's turns on one service while the weights stay.
func (x *exchange) splitKey() string {
	r := x.request
	for _, key := range []string{r.Program, r.Affinity} {
		if key != "" {
			return key
		}
	}
	return r.ID
}

// choose takes a place at an endpoint.
func (x *exchange) choose() (placement.Choice, bool) {
	f := x.entry.fleet.Load()
	x.list = f.reading.List().GetNumber()
	now := time.Now()
	if current := x.entry.Watch.List(); current != nil {
		x.listAge = now.Sub(current.At()).Milliseconds()
	}
	return f.Choose(now, placement.Request{
		Class:  placement.Class{Service: x.service.GetName()},
		Prompt: int64(x.request.Prompt), Answer: int64(x.request.Most),
		Last: x.last, Avoid: x.avoid, Domain: x.entry.Domain, AvoidDomains: x.entry.domains.avoid(now),
	}, source())
}

// source returns a generator of its own for each choice: a choice draws twice.
func source() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// offer sends the request to the best endpoint. The place is given back by done.
func (x *exchange) offer(ctx context.Context, body []byte) (*Answer, func(placement.Result), error) {
	choice, ok := x.choose()
	if !ok {
		return nil, nil, &NotRunError{Endpoint: "none", Reason: "no endpoint has room", Busy: true}
	}
	p := choice.Endpoint()
	x.endpoint = p.Name()
	x.offers++
	sent := time.Now()
	answer, err := x.entry.Sender.Send(ctx, Offer{
		Request: x.request, Body: body, Endpoint: p.Config(), Deadline: x.deadline,
		Priority: x.route.GetPriority(), Connections: x.connections(),
		Stream: x.route.GetKind() == fleetpb.RouteKind_ROUTE_KIND_STREAM,
	})
	done := func(r placement.Result) { p.Done(time.Now(), r) }
	unreached := x.tell(p, err)
	if err != nil {
		var notRun *NotRunError
		// A full endpoint is not at fault; nor is one whose client left soon.
		left := ctx.Err() != nil && time.Since(sent) < hungAfter
		busy := errors.As(err, &notRun) && notRun.Busy
		done(placement.Result{OK: busy || left, Refused: busy || left, Unreached: unreached})
		x.avoid = append(x.avoid, p.Name())
		return nil, nil, err
	}
	p.Answered(time.Now())
	return answer, done, nil
}

// tell notes what an offer says of the network to the endpoint's domain, and
// reports whether nothing came back at all.
func (x *exchange) tell(p *placement.Endpoint, err error) (unreached bool) {
	if err == nil {
		x.entry.domains.clear(p.Domain())
		return false
	}
	var notRun *NotRunError
	var lost *BrokenError
	if errors.As(err, &notRun) && notRun.Silent || errors.As(err, &lost) && lost.Silent {
		x.entry.domains.suspect(p.Domain(), time.Now())
		return true
	}
	return false
}

// connections is this instance's part of the connections to one endpoint.
func (x *exchange) connections() int {
	return max(1, int(x.service.GetMaxConnections())/x.entry.Watch.Entries())
}

// plain serves a request that belongs to no history.
func (x *exchange) plain(ctx context.Context) Outcome {
	if x.route.GetKind() == fleetpb.RouteKind_ROUTE_KIND_ONCE {
		// What may not be repeated runs to its end, also for a client that left.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), x.deadline)
		defer cancel()
	}
	for {
		answer, done, err := x.offer(ctx, x.request.Body)
		if err == nil {
			var o Outcome
			if o, err = x.pass(answer, done); o != nil {
				return o
			}
		}
		if o := x.stop(ctx, err); o != nil {
			return o
		}
	}
}

// stop says how a request ends after a failed offer, or nil if it may be offered
// again.
func (x *exchange) stop(ctx context.Context, err error) Outcome {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return x.stopNotRun(ctx, notRun)
	}
	x.runs++
	if ctx.Err() != nil {
		return Refused{Status: http.StatusGatewayTimeout, Reason: err.Error()}
	}
	repeatable := x.route.GetKind() == fleetpb.RouteKind_ROUTE_KIND_REPEATABLE
	if repeatable && x.runs < int(x.route.GetMaxAttempts()) && x.offers < maxOffers {
		return nil
	}
	return Refused{Status: http.StatusBadGateway, Reason: err.Error()}
}

func (x *exchange) stopNotRun(ctx context.Context, err *NotRunError) Outcome {
	switch {
	case x.runs > 0 && ctx.Err() != nil:
		return Refused{Status: http.StatusGatewayTimeout, Reason: err.Error()}
	case ctx.Err() != nil:
		return Refused{Status: http.StatusServiceUnavailable, Reason: err.Error()}
	case x.offers < maxOffers && err.Endpoint != "none":
		return nil
	case x.runs > 0:
		return Refused{Status: http.StatusBadGateway, Reason: err.Error()}
	}
	return Refused{Status: http.StatusServiceUnavailable, RetryAfter: later, Reason: err.Error()}
}

// pass hands an answer on. It returns no outcome if the answer was lost before
// its first byte was passed on.
func (x *exchange) pass(a *Answer, done func(placement.Result)) (Outcome, error) {
	defer a.Body.Close()
	whole, err := io.ReadAll(io.LimitReader(a.Body, wholeBody+1))
	if err != nil {
		done(placement.Result{})
		x.avoid = append(x.avoid, x.endpoint)
		return nil, &BrokenError{Endpoint: x.endpoint, Reason: err.Error()}
	}
	failed := a.Status >= http.StatusInternalServerError
	if failed && x.mayRepeat() {
		done(placement.Result{})
		x.avoid = append(x.avoid, x.endpoint)
		return nil, &BrokenError{Endpoint: x.endpoint, Reason: http.StatusText(a.Status)}
	}
	x.status = a.Status
	if len(whole) <= wholeBody {
		done(placement.Result{OK: !failed})
		x.out.Start(a.Status, a.Header, int64(len(whole)))
		return x.write(whole), nil
	}
	x.out.Start(a.Status, a.Header, a.Length)
	if o := x.write(whole); o != (Answered{}) {
		done(placement.Result{OK: true})
		return o, nil
	}
	_, err = io.Copy(writerOf(x.out), a.Body)
	done(placement.Result{OK: err == nil})
	if err != nil {
		return Cut{Reason: err.Error()}, nil
	}
	return Answered{}, nil
}

func (x *exchange) mayRepeat() bool {
	return x.route.GetKind() == fleetpb.RouteKind_ROUTE_KIND_REPEATABLE &&
		x.runs+1 < int(x.route.GetMaxAttempts()) && x.offers < maxOffers
}

func (x *exchange) write(b []byte) Outcome {
	if err := x.out.Write(b); err != nil {
		return Cut{Reason: "the client left: " + err.Error()}
	}
	return Answered{}
}

// outWriter makes an Out a writer.
type outWriter struct{ out Out }

func writerOf(out Out) io.Writer { return outWriter{out: out} }

// Write passes a part on.
func (w outWriter) Write(b []byte) (int, error) {
	if err := w.out.Write(b); err != nil {
		return 0, err
	}
	return len(b), nil
}
