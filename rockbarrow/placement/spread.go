// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"
	"slices"

	"rockbarrow.dev/schema/configpb"
)

const (
	// farther is what another failure domain adds to a load, as a share of an
	// endpoint's places, for calls without a prompt: their time does not depend on
	// the load while places are free, and what stays inside is not lost in a cut.
	farther = 0.34
	// fartherPrompt is the same for calls with a prompt, which batch: each call
	// more slows the others down by some hundredths. Measured against 0.1 in
	// docs/ROUNDS.md.
	fartherPrompt = 0.03
	// outOfReach is what a domain to be avoided or a silent endpoint adds: more than
	// any load.
	outOfReach = 2
)

// Listed is an endpoint of a list.
type ListedEndpoint struct {
	Config *configpb.Endpoint
	// BornMS tells its life, 0 if that is not known.
	BornMS uint64
}

// drawFirst draws where draws begin.
func drawFirst() uint64 { return rand.Uint64() }

// DrawFrom sets where draws begin in each list of endpoints, which is else drawn by lot: for
// runs that repeat.
func (f *Fleet) SetWindowStart(first uint64) { f.first = first }

// spread stays with the run's last endpoint while it has room, and else takes the
// one with the smallest load of a few that are drawn, half of them in the own failure
// domain. What others told is some 0.3 s old: were all endpoints compared, all
// instances would choose the same one until they hear of each other.
func (f *Fleet) spread(now int64, list []*Endpoint, req Request, r *rand.Rand) (Choice, bool) {
	if last := f.Endpoint(req.LastEndpoint.ID); last != nil && last.Life().Same(req.LastEndpoint) && has(list, last) && last.mayKeep(now, req) {
		return Choice{endpoint: last, cached: req.PromptTokens}, true
	}
	if len(list) == 0 {
		return Choice{}, false
	}
	d := draw{now: now, req: req, near: draws, any: draws}
	start := int(f.first%uint64(len(list))) + r.IntN(min(len(list), window))
	for i := range list {
		d.consider(list[(start+i)%len(list)])
		if d.near == 0 && d.any == 0 {
			break
		}
	}
	if d.best == nil {
		return Choice{}, false
	}
	return Choice{endpoint: d.best, lacking: req.PromptTokens}, true
}

// mayKeep reports whether a run's last endpoint is good enough to keep the run, so that
// no other one has to read its prompt. Its load is no reason to leave: a prompt that is
// read elsewhere holds up every call of the batch there, and the cache that it fills
// belonged to another run, which then moves too (docs/POLICY.md).
func (e *Endpoint) mayKeep(now int64, req Request) bool {
	switch {
	case avoided(req, e), slices.Contains(req.AvoidDomains, e.domain):
		return false
	case !e.open(now), e.silent(now):
		return false
	}
	return e.others.failingAt(now) < failingLeave
}

// draws is how many open endpoints of the own domain, and how many of all, are
// compared. More find a better one in what was told, fewer spread better what was
// not told yet. Comparing all of them was no better on the one day where it was tried
// (docs/ROUNDS.md, 9); other numbers were not.
const draws = 3

// window is how many endpoints in a row an instance draws from first. Where there are
// many, each instance so goes back to the same few, over connections that it has;
// instances begin at different places, so that all endpoints are used evenly.
const window = 24

// draw compares endpoints in the order in which they are considered.
type draw struct {
	now int64
	req Request
	// near and any are how many endpoints of the own domain and of all domains are
	// still wanted. Those that are silent, failing or likely out of reach do not count.
	near, any int
	best      *Endpoint
	least     float64
}

func (d *draw) consider(e *Endpoint) {
	own := e.domain == d.req.Domain
	if d.any == 0 && !own || !e.open(d.now) || avoided(d.req, e) {
		return
	}
	load := e.taken(d.now) + distance(e, d.req) + failingWeight*e.others.failingAt(d.now)
	if e.silent(d.now) {
		load += outOfReach
	}
	if d.best == nil || load < d.least {
		d.best, d.least = e, load
	}
	if load >= 1 {
		return
	}
	if own && d.near > 0 {
		d.near--
	} else if d.any > 0 {
		d.any--
	}
}

// distance is what an endpoint's failure domain adds to its load.
func distance(e *Endpoint, req Request) float64 {
	switch {
	case slices.Contains(req.AvoidDomains, e.domain):
		return outOfReach
	case e.domain == req.Domain:
		return 0
	case req.PromptTokens > 0:
		return fartherPrompt
	}
	return farther
}

// taken is the share of the endpoint's places that are known to be taken.
func (e *Endpoint) taken(now int64) float64 {
	return float64(e.underway.Load()+e.others.runningAt(now)) / float64(e.maxCalls())
}

// queuedShare is how many calls may wait at an endpoint, as a share of those that it
// runs. Without any, endpoints stand idle whose calls have ended, as news of others' calls
// is 0.3 s old; with as many as it runs, programs wait there that should have been
// refused. Measured against the root of the slots and all of them in docs/POLICY.md.
const queuedShare = 0.5

// queued is how many calls may wait at an endpoint that runs n.
func queued(n int) int { return int(queuedShare * float64(n)) }
