// SPDX-License-Identifier: MIT

// Package incarnation identifies single starts of endpoints.
//
// A restarted endpoint keeps its id but loses its state, so state about an endpoint is kept per [ID]: the
// endpoint's id and its start time.
//
// Start times only tell incarnations apart. They are not ordered, because the clock may be set back between two
// starts: a [Tracker] takes the start time that it sees first as the newer one and ignores ended incarnations.
// The counters of an endpoint don't tell incarnations apart either: lower counters with the same start time are an
// older report of the same incarnation.
package incarnation

import (
	"slices"
	"time"
)

// ID identifies one start of an endpoint. It is comparable.
type ID struct {
	// EndpointID is the endpoint's id.
	EndpointID string
	// StartMS is the start time by the endpoint's clock, in milliseconds since 1970. It is 0 if unknown.
	StartMS uint64
}

// Matches reports whether both may identify the same incarnation. An unknown start time matches any.
func (i ID) Matches(o ID) bool {
	return i.EndpointID == o.EndpointID && (i.StartMS == o.StartMS || i.StartMS == 0 || o.StartMS == 0)
}

const (
	// maxEnded bounds the ended incarnations that are remembered for each endpoint. A report that is late by
	// more restarts would be many seconds old.
	maxEnded = 16
	// expireAfter is how long an endpoint is remembered after its last observation. Delayed reports are at
	// most a few seconds old.
	expireAfter = time.Minute
)

// Tracker holds the current incarnation of each endpoint. The zero value is ready to use. It is not safe for
// concurrent use.
type Tracker struct {
	byEndpoint map[string]*history
}

// history holds the incarnations of one endpoint.
type history struct {
	// current is the start time of the current incarnation, 0 until one is known. It is never in ended.
	current  uint64
	ended    []uint64
	lastSeen time.Time
}

// Observe records a reported incarnation and returns the current one. Restarted is true if the report replaced a
// known incarnation. A report without a start time, or of an ended incarnation, changes nothing.
func (t *Tracker) Observe(now time.Time, reported ID) (current ID, restarted bool) {
	if t.byEndpoint == nil {
		t.byEndpoint = map[string]*history{}
	}
	known := t.byEndpoint[reported.EndpointID]
	if known == nil {
		known = &history{}
		t.byEndpoint[reported.EndpointID] = known
	}
	known.lastSeen = now
	if reported.StartMS != 0 && reported.StartMS != known.current && !slices.Contains(known.ended, reported.StartMS) {
		restarted = known.current != 0
		known.start(reported.StartMS)
	}
	return ID{EndpointID: reported.EndpointID, StartMS: known.current}, restarted
}

func (h *history) start(startMS uint64) {
	if h.current != 0 {
		h.ended = append(h.ended, h.current)
		h.ended = h.ended[max(0, len(h.ended)-maxEnded):]
	}
	h.current = startMS
}

// Expire drops the endpoints that have not been observed lately.
func (t *Tracker) Expire(now time.Time) {
	for id, known := range t.byEndpoint {
		if now.Sub(known.lastSeen) > expireAfter {
			delete(t.byEndpoint, id)
		}
	}
}
