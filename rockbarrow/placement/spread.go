// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"
	"slices"

	"rockbarrow.dev/schema/configpb"
)

const (
	// crossDomainLoad is added to the load of endpoints in other failure domains,
	// as a fraction of their slots, for calls without a prompt. The latency of
	// these does not depend on the load while slots are free, and local calls
	// survive a network partition.
	crossDomainLoad = 0.34
	// crossDomainPromptLoad replaces crossDomainLoad for calls with a prompt.
	// These are batched, so that each additional call slows down the others and
	// balance matters more than locality.
	crossDomainPromptLoad = 0.03
	// unreachableLoad is added for avoided failure domains and unresponsive
	// endpoints. It exceeds any real load.
	unreachableLoad = 2
)

// ListedEndpoint is an entry of an endpoint list.
type ListedEndpoint struct {
	Config *configpb.Endpoint
	// BornMS is when the endpoint process started, in Unix milliseconds; 0 if unknown.
	BornMS uint64
}

func randomWindowStart() uint64 { return rand.Uint64() }

// SetWindowStart sets where this instance's window begins, which is random by
// default. It makes simulations repeatable.
func (f *Fleet) SetWindowStart(start uint64) { f.windowStart = start }

// chooseSpread keeps the run on its last endpoint if possible. Otherwise it
// compares a few endpoints from the window and returns the least loaded one.
// It does not compare all of them, because the load of other instances is known
// with a delay of 0.3 s: all instances would choose the same endpoint.
func (f *Fleet) chooseSpread(now int64, list []*Endpoint, req Request, r *rand.Rand) (Choice, bool) {
	if last := f.Endpoint(req.LastEndpoint.EndpointID); last != nil && last.Life().Matches(req.LastEndpoint) && containsEndpoint(list, last) && last.canKeepRun(now, req) {
		return Choice{endpoint: last, cachedTokens: req.PromptTokens}, true
	}
	if len(list) == 0 {
		return Choice{}, false
	}
	d := candidateDraw{now: now, req: req, localLeft: drawSize, anyLeft: drawSize}
	start := int(f.windowStart%uint64(len(list))) + r.IntN(min(len(list), windowSize))
	for i := range list {
		d.consider(list[(start+i)%len(list)])
		if d.localLeft == 0 && d.anyLeft == 0 {
			break
		}
	}
	if d.best == nil {
		return Choice{}, false
	}
	return Choice{endpoint: d.best, uncachedTokens: req.PromptTokens}, true
}

// canKeepRun reports whether a run may stay on its last endpoint, which has its
// prompt cached. Load is not considered: moving the run costs a prefill that
// delays the whole batch elsewhere and evicts the cache of another run, which
// then moves too (docs/POLICY.md).
func (e *Endpoint) canKeepRun(now int64, req Request) bool {
	switch {
	case isAvoided(req, e), slices.Contains(req.AvoidDomains, e.domain):
		return false
	case !e.isAvailable(now), e.isUnresponsive(now):
		return false
	}
	return e.remote.failureRateAt(now) < maxFailureRateToStay
}

// drawSize is the number of endpoints compared from the local failure domain, and
// the number compared in addition to these from any failure domain. A larger draw
// makes better use of the reported load; a smaller one spreads calls better while
// reports are stale.
const drawSize = 3

// windowSize is the number of consecutive endpoints where an instance starts its
// draws, so that it reuses connections to the same few. Windows start at
// different offsets per instance, so that all endpoints are used evenly.
const windowSize = 24

// candidateDraw keeps the least loaded of the endpoints considered so far.
type candidateDraw struct {
	now int64
	req Request
	// localLeft is the number of endpoints still to be compared from the local
	// failure domain, and anyLeft that of further ones from any. Full,
	// unresponsive, failing and probably unreachable endpoints are not counted.
	localLeft, anyLeft int
	best               *Endpoint
	bestLoad           float64
}

func (d *candidateDraw) consider(e *Endpoint) {
	local := e.domain == d.req.Domain
	if d.anyLeft == 0 && !local || !e.isAvailable(d.now) || isAvoided(d.req, e) {
		return
	}
	load := e.utilization(d.now) + domainPenalty(e, d.req) + failureRateWeight*e.remote.failureRateAt(d.now)
	if e.isUnresponsive(d.now) {
		load += unreachableLoad
	}
	if d.best == nil || load < d.bestLoad {
		d.best, d.bestLoad = e, load
	}
	if load >= 1 {
		return
	}
	if local && d.localLeft > 0 {
		d.localLeft--
	} else if d.anyLeft > 0 {
		d.anyLeft--
	}
}

// domainPenalty returns the load added for an endpoint's failure domain.
func domainPenalty(e *Endpoint, req Request) float64 {
	switch {
	case slices.Contains(req.AvoidDomains, e.domain):
		return unreachableLoad
	case e.domain == req.Domain:
		return 0
	case req.PromptTokens > 0:
		return crossDomainPromptLoad
	}
	return crossDomainLoad
}

// utilization returns the fraction of the endpoint's slots known to be in use.
func (e *Endpoint) utilization(now int64) float64 {
	return float64(e.inFlight.Load()+e.remote.inFlightAt(now)) / float64(e.maxCalls())
}

// queueShare is the number of calls that may wait at an endpoint, as a fraction of
// its slots. Without a queue, endpoints are idle until other instances learn of
// finished calls, which takes 0.3 s; with a longer one, programs wait that should
// be rejected (docs/POLICY.md).
const queueShare = 0.5

// queueSlots returns the number of calls that may wait at an endpoint with n slots.
func queueSlots(n int) int { return int(queueShare * float64(n)) }
