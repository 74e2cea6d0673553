// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"math/rand/v2"
)

const (
	// near is how close two costs are to count as equal.
	near = 1.05
	// sample is how many candidates are priced at most, besides those that hold
	// a prefix: a draw of that many finds one near the best, in bounded time.
	sample = 96
)

// held is what one candidate's cache has of a prompt.
type held struct {
	endpoint *Endpoint
	tokens   int64
}

// leastCost prices the candidates and draws among near equals, so that many
// instances with the same old reports do not all choose the same endpoint.
func (f *Fleet) leastCost(now int64, list []*Endpoint, req Request, r *rand.Rand) (Choice, bool) {
	var space [maxHolders]held
	holding := f.resolve(space[:0], list, req)
	most := int64(0)
	for _, h := range holding {
		most = max(most, h.tokens)
	}
	first, second := Choice{cost: math.Inf(1)}, Choice{cost: math.Inf(1)}
	consider := func(e *Endpoint, has int64) {
		if !e.open(now) || avoided(req, e) {
			return
		}
		c := f.price(now, e, req, has, most)
		switch {
		case c.cost < first.cost:
			first, second = c, first
		case c.cost < second.cost:
			second = c
		}
	}
	for _, h := range holding {
		consider(h.endpoint, h.tokens)
	}
	start := 0
	if len(list) > sample {
		start = r.IntN(len(list))
	}
	for i := range min(len(list), sample) {
		e := list[(start+i)%len(list)]
		if !holds(holding, e) {
			consider(e, 0)
		}
	}
	if first.endpoint == nil {
		return f.any(now, list, req)
	}
	if second.endpoint != nil && second.cost <= first.cost*near && r.IntN(2) == 0 {
		return second, true
	}
	return first, true
}

// any takes the first open candidate, when none of a draw was open.
func (f *Fleet) any(now int64, list []*Endpoint, req Request) (Choice, bool) {
	if len(list) <= sample {
		return Choice{}, false
	}
	for _, e := range list {
		if e.open(now) && !avoided(req, e) {
			return f.price(now, e, req, 0, 0), true
		}
	}
	return Choice{}, false
}

// resolve finds the allowed candidates among those that hold a prefix.
func (f *Fleet) resolve(out []held, list []*Endpoint, req Request) []held {
	for _, h := range req.Prefixes {
		e := f.Endpoint(h.Endpoint)
		if e == nil || !has(list, e) || holds(out, e) || len(out) == cap(out) {
			continue
		}
		out = append(out, held{endpoint: e, tokens: min(h.Tokens, req.PromptTokens)})
	}
	return out
}

func holds(list []held, e *Endpoint) bool {
	for _, h := range list {
		if h.endpoint == e {
			return true
		}
	}
	return false
}

// price is the expected cost of a call at an endpoint, in milliseconds.
func (f *Fleet) price(now int64, e *Endpoint, req Request, has, most int64) Choice {
	lacking := req.PromptTokens - has
	running, waiting, free := e.load(now)
	prefill := speed(&e.prefill, defaultPrefill)
	step := speed(&e.step, defaultStep)
	batch := 1 + running/float64(e.maxCalls())
	time := (waiting+float64(lacking))*prefill + float64(req.OutputTokens)*step*batch
	again := float64(max(0, most-has)) * prefill
	thrown := math.Max(0, float64(lacking)-free) * prefill
	cost := f.weights.Latency*time + f.weights.Cache*(again+thrown)
	return Choice{endpoint: e, lacking: lacking, cached: has, cost: cost / 1000}
}

// load joins own calls, which are known, with the last report, which counts
// less the older it is.
func (e *Endpoint) load(now int64) (running, waiting, free float64) {
	running = float64(e.underway.Load())
	waiting = math.Max(0, float64(e.prompt.Load()))
	free = math.Inf(1)
	rep := e.report.Load()
	if rep == nil {
		return running, waiting, free
	}
	age := now - rep.at.UnixNano()
	trust := 1 - float64(age)/float64(reportLife)
	if trust <= 0 {
		return running, waiting, free
	}
	others := math.Max(0, float64(int64(rep.running)-rep.own))
	running += trust * others
	waiting = math.Max(waiting, trust*float64(rep.waitingTokens))
	return running, waiting, float64(rep.cacheFree)
}
