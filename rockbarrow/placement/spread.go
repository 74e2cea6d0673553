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
	// These are batched, so that each additional call slows down the others by a few
	// hundredths and balance matters more than locality. A value of 0.1 gave no gain
	// (docs/ROUNDS.md, 12).
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
// compares a few endpoints from the window and returns the least loaded one, or
// the one with the shortest expected time while the service's endpoints are known
// to differ in speed. It does not compare all of them, because the load of other
// instances is known with a delay of 0.3 s: all instances would choose the same
// endpoint.
func (f *Fleet) chooseSpread(now int64, list []*Endpoint, req Request, r *rand.Rand) (Choice, bool) {
	if len(list) == 0 {
		return Choice{}, false
	}
	speeds := f.classes[req.Class].speeds
	d := candidateDraw{now: now, req: req, localLeft: drawSize, anyLeft: drawSize, scanLeft: len(list)}
	if f.tracked.isReportFresh(now) {
		// Without the calls of other instances, all would choose the same fast endpoints.
		d.estimate, d.timed = speeds.estimate(req)
	}
	last := f.Endpoint(req.LastEndpoint.EndpointID)
	stays := last != nil && last.Life().Matches(req.LastEndpoint) && containsEndpoint(list, last) && last.canKeepRun(now, req)
	if stays && !(d.timed && req.NewSession) {
		return Choice{endpoint: last, cachedTokens: req.PromptTokens, speeds: speeds}, true
	}
	if d.timed {
		d.scanLeft = min(d.scanLeft, maxTimedCandidates)
	}
	start := int(f.windowStart%uint64(len(list))) + r.IntN(min(len(list), windowSize))
	for i := range list {
		if d.isDone() {
			break
		}
		d.consider(list[(start+i)%len(list)])
	}
	if stays {
		stayMicros := d.estimate.micros(last, d.load(last), req.uncachedAtLast())
		if d.best == nil || d.best.utilization(now) > maxMoveUtilization || d.bestScore >= moveFactor*stayMicros {
			speeds.stayed.Add(1)
			return Choice{endpoint: last, cachedTokens: req.PromptTokens, speeds: speeds}, true
		}
		speeds.moved.Add(1)
	}
	if d.best == nil {
		return Choice{}, false
	}
	return Choice{endpoint: d.best, uncachedTokens: req.PromptTokens, speeds: speeds, hadFreeSlot: d.best.utilization(now) < 1}, true
}

// canKeepRun reports whether a run may stay on its last endpoint, which has its
// prompt cached. Load is not considered here: moving the run costs a prefill that
// delays the whole batch elsewhere and evicts the cache of another run, which
// then moves too (docs/POLICY.md). Only new sessions of a program may start
// elsewhere where endpoints differ in speed, as sub-agents start several at once.
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
// reports are stale. Comparing all endpoints was no better in the one trial of it
// (docs/ROUNDS.md, 9).
const drawSize = 3

// windowSize is the number of consecutive endpoints where an instance starts its
// draws, so that it reuses connections to the same few. Windows start at
// different offsets per instance, so that all endpoints are used evenly.
const windowSize = 24

const (
	// moveFactor is the fraction of the expected time at the program's last endpoint
	// below which the expected time elsewhere moves a new session.
	moveFactor = 0.75
	// maxMoveUtilization bounds the utilization of an endpoint that a session moves
	// to. Loads are known late: if sessions move under load, they meet at the same
	// endpoints, where their prompts are computed again and evict others.
	maxMoveUtilization = 0.34
	// maxTimedCandidates bounds the endpoints whose expected time is calculated for
	// one choice, full ones included, so that a choice takes under 5 us.
	maxTimedCandidates = 32
)

// candidateDraw keeps the least loaded of the endpoints considered so far, or the
// one with the shortest expected time.
type candidateDraw struct {
	now int64
	req Request
	// localLeft is the number of endpoints still to be compared from the local
	// failure domain, and anyLeft that of further ones from any. Full,
	// unresponsive, failing and probably unreachable endpoints are not counted.
	localLeft, anyLeft int
	// scanLeft is the number of candidates still to be looked at, if one was found.
	scanLeft int
	// timed is true if endpoints are compared by the expected time from estimate.
	timed    bool
	estimate callEstimate
	best     *Endpoint
	// bestScore is the load of best, or the expected time in microseconds.
	bestScore float64
}

func (d *candidateDraw) isDone() bool {
	return d.localLeft == 0 && d.anyLeft == 0 || d.best != nil && d.scanLeft <= 0
}

func (d *candidateDraw) consider(e *Endpoint) {
	d.scanLeft--
	local := e.domain == d.req.Domain
	if d.anyLeft == 0 && !local || !e.isAvailable(d.now) || isAvoided(d.req, e) {
		return
	}
	load := d.load(e)
	score := load
	if d.timed {
		score = d.estimate.micros(e, load, d.req.PromptTokens)
	}
	if d.best == nil || score < d.bestScore {
		d.best, d.bestScore = e, score
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

// load returns an endpoint's utilization, increased by its failure domain, failures and
// unresponsiveness.
func (d *candidateDraw) load(e *Endpoint) float64 {
	load := e.utilization(d.now) + domainPenalty(e, d.req) + failureRateWeight*e.remote.failureRateAt(d.now)
	if e.isUnresponsive(d.now) {
		load += unreachableLoad
	}
	return load
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
// be rejected. The alternatives measured are the square root of the slots and as
// many as the slots (docs/POLICY.md).
const queueShare = 0.5

// queueSlots returns the number of calls that may wait at an endpoint with n slots.
func queueSlots(n int) int { return int(queueShare * float64(n)) }
