// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"math/rand/v2"
)

const (
	// nearEqualFactor is the largest ratio of two costs that are treated as equal.
	nearEqualFactor = 1.05
	// maxPricedCandidates bounds the time of a choice: larger classes are
	// sampled, and a sample of this size finds a candidate near the best.
	// Candidates with a cached prefix are always priced.
	maxPricedCandidates = 96
)

// cachedCandidate is a candidate with a cached prefix of the prompt.
type cachedCandidate struct {
	endpoint *Endpoint
	tokens   int64
}

// chooseLeastCost returns the candidate with the lowest cost, or randomly the
// second one if their costs are nearly equal: instances with the same stale load
// reports would otherwise all choose the same endpoint.
func (f *Fleet) chooseLeastCost(now int64, list []*Endpoint, req Request, r *rand.Rand) (Choice, bool) {
	var buf [maxEndpointsPerPrefix]cachedCandidate
	cached := f.cachedCandidates(buf[:0], list, req)
	longest := int64(0)
	for _, c := range cached {
		longest = max(longest, c.tokens)
	}
	first, second := Choice{cost: math.Inf(1)}, Choice{cost: math.Inf(1)}
	consider := func(e *Endpoint, cachedTokens int64) {
		if !e.isAvailable(now) || isAvoided(req, e) {
			return
		}
		c := f.price(now, e, req, cachedTokens, longest)
		switch {
		case c.cost < first.cost:
			first, second = c, first
		case c.cost < second.cost:
			second = c
		}
	}
	for _, c := range cached {
		consider(c.endpoint, c.tokens)
	}
	start := 0
	if len(list) > maxPricedCandidates {
		start = r.IntN(len(list))
	}
	for i := range min(len(list), maxPricedCandidates) {
		e := list[(start+i)%len(list)]
		if !hasCandidate(cached, e) {
			consider(e, 0)
		}
	}
	if first.endpoint == nil {
		return f.chooseFirstAvailable(now, list, req)
	}
	if second.endpoint != nil && second.cost <= first.cost*nearEqualFactor && r.IntN(2) == 0 {
		return second, true
	}
	return first, true
}

// chooseFirstAvailable returns the first available candidate of a class that is
// too large to price whole. It is used when no sampled candidate is available.
func (f *Fleet) chooseFirstAvailable(now int64, list []*Endpoint, req Request) (Choice, bool) {
	if len(list) <= maxPricedCandidates {
		return Choice{}, false
	}
	for _, e := range list {
		if e.isAvailable(now) && !isAvoided(req, e) {
			return f.price(now, e, req, 0, 0), true
		}
	}
	return Choice{}, false
}

// cachedCandidates appends the candidates in the list that have a cached prefix
// of the request, up to the capacity of out.
func (f *Fleet) cachedCandidates(out []cachedCandidate, list []*Endpoint, req Request) []cachedCandidate {
	for _, h := range req.Prefixes {
		e := f.Endpoint(h.Endpoint)
		if e == nil || !containsEndpoint(list, e) || hasCandidate(out, e) || len(out) == cap(out) {
			continue
		}
		out = append(out, cachedCandidate{endpoint: e, tokens: min(h.Tokens, req.PromptTokens)})
	}
	return out
}

func hasCandidate(list []cachedCandidate, e *Endpoint) bool {
	for _, h := range list {
		if h.endpoint == e {
			return true
		}
	}
	return false
}

// price estimates the cost of a call at an endpoint, in milliseconds. Of the
// prompt, cached tokens are in the endpoint's cache; longest is the longest
// cached prefix at any candidate.
func (f *Fleet) price(now int64, e *Endpoint, req Request, cached, longest int64) Choice {
	uncached := req.PromptTokens - cached
	running, waiting, free := e.estimateLoad(now)
	prefill := loadOr(&e.prefillMicros, defaultPrefillMicros)
	step := loadOr(&e.stepMicros, defaultStepMicros)
	batch := 1 + running/float64(e.maxCalls())
	latency := (waiting+float64(uncached))*prefill + float64(req.OutputTokens)*step*batch
	recomputed := float64(max(0, longest-cached)) * prefill
	evicted := math.Max(0, float64(uncached)-free) * prefill
	cost := f.weights.Latency*latency + f.weights.Cache*(recomputed+evicted)
	return Choice{endpoint: e, uncachedTokens: uncached, cachedTokens: cached, cost: cost / 1000}
}

// estimateLoad combines the calls of this instance with the last load report,
// whose weight falls linearly with its age.
func (e *Endpoint) estimateLoad(now int64) (running, waiting, free float64) {
	running = float64(e.inFlight.Load())
	waiting = math.Max(0, float64(e.pendingPrompt.Load()))
	free = math.Inf(1)
	report := e.report.Load()
	if report == nil {
		return running, waiting, free
	}
	age := now - report.receivedAt.UnixNano()
	weight := 1 - float64(age)/float64(reportTTL)
	if weight <= 0 {
		return running, waiting, free
	}
	remote := math.Max(0, float64(int64(report.running)-report.inFlightAtReport))
	running += weight * remote
	waiting = math.Max(waiting, weight*float64(report.waitingTokens))
	return running, waiting, float64(report.freeCacheTokens)
}
