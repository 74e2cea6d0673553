// SPDX-License-Identifier: MIT

package placement

import "sync/atomic"

// turn counts round-robin choices.
type turn struct{ n atomic.Uint64 }

// inTurn takes the next open candidate.
func (f *Fleet) inTurn(now int64, list []*Endpoint, req Request) (Choice, bool) {
	start := f.turn.n.Add(1)
	for i := range uint64(len(list)) {
		e := list[(start+i)%uint64(len(list))]
		if e.open(now) && !avoided(req, e) {
			return Choice{endpoint: e, lacking: req.PromptTokens}, true
		}
	}
	return Choice{}, false
}

// leastLoaded takes the open candidate with the fewest own calls, in turn among
// equals.
func (f *Fleet) leastLoaded(now int64, list []*Endpoint, req Request) (Choice, bool) {
	start := f.turn.n.Add(1)
	var best *Endpoint
	for i := range uint64(len(list)) {
		e := list[(start+i)%uint64(len(list))]
		if !e.open(now) || avoided(req, e) {
			continue
		}
		if best == nil || e.underway.Load() < best.underway.Load() {
			best = e
		}
	}
	return Choice{endpoint: best, lacking: req.PromptTokens}, best != nil
}

// sticky stays with the run's last endpoint, or takes the least loaded.
func (f *Fleet) sticky(now int64, list []*Endpoint, req Request) (Choice, bool) {
	if e := f.Endpoint(req.LastEndpoint.ID); e != nil && e.Life().Same(req.LastEndpoint) && e.open(now) && !avoided(req, e) {
		for _, o := range list {
			if o == e {
				return Choice{endpoint: e, lacking: req.PromptTokens}, true
			}
		}
	}
	return f.leastLoaded(now, list, req)
}
