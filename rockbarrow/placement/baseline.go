// SPDX-License-Identifier: MIT

package placement

import "sync/atomic"

// roundRobin is a rotating start index.
type roundRobin struct{ next atomic.Uint64 }

// chooseRoundRobin returns the next available candidate.
func (f *Fleet) chooseRoundRobin(now int64, list []*Endpoint, req Request) (Choice, bool) {
	start := f.roundRobin.next.Add(1)
	for i := range uint64(len(list)) {
		e := list[(start+i)%uint64(len(list))]
		if e.isAvailable(now) && !isAvoided(req, e) {
			return Choice{endpoint: e, uncachedTokens: req.PromptTokens}, true
		}
	}
	return Choice{}, false
}

// chooseLeastLoaded returns the available candidate with the fewest calls in
// flight from this instance. Ties are broken by rotation.
func (f *Fleet) chooseLeastLoaded(now int64, list []*Endpoint, req Request) (Choice, bool) {
	start := f.roundRobin.next.Add(1)
	var best *Endpoint
	for i := range uint64(len(list)) {
		e := list[(start+i)%uint64(len(list))]
		if !e.isAvailable(now) || isAvoided(req, e) {
			continue
		}
		if best == nil || e.inFlight.Load() < best.inFlight.Load() {
			best = e
		}
	}
	return Choice{endpoint: best, uncachedTokens: req.PromptTokens}, best != nil
}

// chooseSticky returns the run's last endpoint if it is available, and the
// least loaded one otherwise.
func (f *Fleet) chooseSticky(now int64, list []*Endpoint, req Request) (Choice, bool) {
	if e := f.Endpoint(req.LastEndpoint.EndpointID); e != nil && e.Life().Matches(req.LastEndpoint) && e.isAvailable(now) && !isAvoided(req, e) {
		for _, o := range list {
			if o == e {
				return Choice{endpoint: e, uncachedTokens: req.PromptTokens}, true
			}
		}
	}
	return f.chooseLeastLoaded(now, list, req)
}
