// SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"strconv"

	"rockbarrow.dev/schema/fleetpb"
)

// way is the facts that decide how a request is served. They hold independently of each
// other: each step of an exchange asks for the one that it needs.
type handling struct {
	// streamed: the answer is events, which are passed on as they come. Else it is
	// passed on once it is whole.
	streamed bool
	// reserved: tokens are set aside at the stores before the request is offered and
	// settled after it.
	reserved bool
	// history: the prompt begins with earlier turns, and the turn is kept at the stores
	// before its answer ends.
	history bool
	// repeatable: it may run again from its start while nothing was passed on.
	repeatable bool
	// resumable: it may go on at another endpoint after the last event that was passed
	// on. What is resumable is also repeatable.
	resumable bool
}

// wayOf returns the way of a request on a route.
func handlingOf(r *fleetpb.Route, req *Request) handling {
	streamed := r.GetKind() == fleetpb.RouteKind_ROUTE_KIND_STREAM
	w := handling{streamed: streamed, history: streamed && r.GetHistory(), resumable: streamed && r.GetResumable()}
	w.reserved = w.history || req.BudgetTokens > 0
	w.repeatable = w.resumable || r.GetKind() == fleetpb.RouteKind_ROUTE_KIND_REPEATABLE
	return w
}

// outlives reports whether the request runs to its end when its client has left: it may
// not be repeated, and nobody else ends it.
func (w handling) outlivesClient() bool { return !w.streamed && !w.repeatable }

// resumption takes up where a client's earlier stream broke off. It returns what the
// client hears if that can't be.
func (x *exchange) checkResumption() Outcome {
	after := x.request.LastEventID
	if after == "" || !x.handling.streamed {
		return nil
	}
	if _, err := strconv.ParseUint(after, 10, 63); err != nil {
		return Rejected{Status: http.StatusBadRequest, Reason: "the last event id is not a number"}
	}
	if x.handling.history {
		// Its earlier events were not stored, and the turn is kept only as a whole.
		return Rejected{Status: http.StatusBadRequest, Reason: "a turn whose history is kept starts anew and not after an event"}
	}
	if x.handling.resumable {
		x.events.lastID = after
	}
	return nil
}
