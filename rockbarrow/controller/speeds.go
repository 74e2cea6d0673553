// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"math"
	"time"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

// maxReportedSpeeds limits the endpoints in a report to operators.
const maxReportedSpeeds = 1000

// Speeds reports the decoding times, calls and failures of endpoints to operators.
func (c *Controller) Speeds(context.Context, *fleetpb.SpeedsRequest) (*fleetpb.SpeedsReply, error) {
	l := c.watch.List()
	if l == nil {
		return &fleetpb.SpeedsReply{}, nil
	}
	return c.loads.speeds(time.Now(), l.Version()), nil
}

// speeds returns the state of the listed endpoints that had calls lately.
func (l *loads) speeds(now time.Time, list *catalog.List) *fleetpb.SpeedsReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &fleetpb.SpeedsReply{ListNumber: list.Number()}
	for _, p := range list.Proto().GetEndpoints() {
		s := l.speedOf(now, p)
		switch {
		case s == nil:
		case len(out.Endpoints) < maxReportedSpeeds:
			out.Endpoints = append(out.Endpoints, s)
		default:
			out.LeftOut++
		}
	}
	return out
}

// speedOf returns the state of an endpoint, or nil if it had no calls lately; the caller holds mu.
func (l *loads) speedOf(now time.Time, p *fleetpb.Endpoint) *fleetpb.EndpointSpeed {
	keys := []incarnation.ID{{EndpointID: p.GetId(), StartMS: p.GetBornMs()}}
	if p.GetBornMs() != 0 {
		// Reports from before the start time was known.
		keys = append(keys, incarnation.ID{EndpointID: p.GetId()})
	}
	var sum outcomes
	var running uint32
	for _, key := range keys {
		running += l.running[key]
		if o := l.outcomes[key]; o != nil {
			o.decay(now)
			sum.answered, sum.failed = sum.answered+o.answered, sum.failed+o.failed
			sum.tokens, sum.micros = sum.tokens+o.tokens, sum.micros+o.micros
		}
	}
	if running == 0 && sum.answered+sum.failed+sum.tokens < minOutcomeWeight {
		return nil
	}
	s := &fleetpb.EndpointSpeed{
		Endpoint: p.GetId(), Service: p.GetService(), Running: running,
		Tokens: uint32(sum.tokens), Failing: failurePercent(sum.answered, sum.failed),
	}
	if sum.tokens >= minTokens {
		s.TokenUs = uint32(math.Round(sum.micros / sum.tokens))
	}
	return s
}
