// SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"strconv"

	"rockbarrow.dev/schema/fleetpb"
)

// handling holds the properties that decide how a request is served. Each step of an
// exchange checks the property that it depends on.
type handling struct {
	// streamed is true if the response is a stream of events, which are forwarded as they
	// arrive. Other responses are buffered.
	streamed bool
	// reserved is true if tokens are reserved at the stores before the request is sent and
	// settled afterwards.
	reserved bool
	// history is true if the prompt is prefixed with earlier turns and the turn is stored
	// before its response ends.
	history bool
	// repeatable is true if the request may be executed again while nothing of the response
	// was forwarded.
	repeatable bool
	// resumable is true if another endpoint may continue the stream after the last forwarded
	// event. It implies repeatable.
	resumable bool
}

func handlingOf(r *fleetpb.Route, req *Request) handling {
	streamed := r.GetKind() == fleetpb.RouteKind_ROUTE_KIND_STREAM
	h := handling{streamed: streamed, history: streamed && r.GetHistory(), resumable: streamed && r.GetResumable()}
	h.reserved = h.history || req.BudgetTokens > 0
	h.repeatable = h.resumable || r.GetKind() == fleetpb.RouteKind_ROUTE_KIND_REPEATABLE
	return h
}

// outlivesClient reports whether the request continues after its client disconnects, because
// it can't be repeated.
func (h handling) outlivesClient() bool { return !h.streamed && !h.repeatable }

// prepareResumption makes the stream continue after the client's last event. It returns a
// non-nil outcome if that is not possible.
func (x *exchange) prepareResumption() Outcome {
	lastID := x.request.LastEventID
	if lastID == "" || !x.handling.streamed {
		return nil
	}
	if _, err := strconv.ParseUint(lastID, 10, 63); err != nil {
		return Rejected{Status: http.StatusBadRequest, Reason: "the last event id is not a number"}
	}
	if x.handling.history {
		// A turn is stored as a whole only, and its earlier events were not stored.
		return Rejected{Status: http.StatusBadRequest, Reason: "a turn with stored history can't be resumed after an event"}
	}
	if x.handling.resumable {
		x.events.lastID = lastID
	}
	return nil
}
