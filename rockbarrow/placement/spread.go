// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"
	"slices"
	"strings"

	"rockbarrow.dev/schema/configpb"
)

const (
	// crowded is the share of its places that the run's last endpoint may have
	// taken before another one is better: reading the prompt again costs less
	// than a full batch.
	crowded = 0.9
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

// NewServiceFleet indexes endpoints by their service alone, where every
// configured endpoint is allowed. Endpoints that did not change since an earlier
// fleet, which may be nil, keep what is known of them.
func NewServiceFleet(endpoints []*configpb.Endpoint, p Policy, old *Fleet) *Fleet {
	f := &Fleet{policy: p, endpoints: map[string]*Endpoint{}, classes: map[Class][]*Endpoint{}, turn: &turn{}}
	for _, c := range endpoints {
		e := carry(c, old)
		f.endpoints[c.GetName()] = e
		class := Class{Service: c.GetService()}
		f.classes[class] = append(f.classes[class], e)
	}
	for _, list := range f.classes {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.name, b.name) })
	}
	return f
}

// spread stays with the run's last endpoint while it has room, and else takes
// the one with the smallest share of its places taken, the own failure domain
// first among near equals. Ties are drawn, so that instances which see the same
// idle endpoints do not all choose the same one.
func (f *Fleet) spread(now int64, list []*Endpoint, req Request, r *rand.Rand) (Choice, bool) {
	if last := f.endpoints[req.Last]; last != nil && has(list, last) && !avoided(req, last.name) &&
		last.open(now) && last.taken() < crowded && !last.silent(now) && !slices.Contains(req.AvoidDomains, last.domain) {
		return Choice{endpoint: last, cached: req.Prompt}, true
	}
	var best *Endpoint
	least := 0.0
	start := 0
	if len(list) > 0 {
		start = r.IntN(len(list))
	}
	for i := range list {
		e := list[(start+i)%len(list)]
		if !e.open(now) || avoided(req, e.name) {
			continue
		}
		load := e.taken() + distance(e, req)
		if e.silent(now) {
			load += outOfReach
		}
		if best == nil || load < least {
			best, least = e, load
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{endpoint: best, lacking: req.Prompt}, true
}

// distance is what an endpoint's failure domain adds to its load.
func distance(e *Endpoint, req Request) float64 {
	switch {
	case slices.Contains(req.AvoidDomains, e.domain):
		return outOfReach
	case e.domain == req.Domain:
		return 0
	case req.Prompt > 0:
		return fartherPrompt
	}
	return farther
}

// taken is the share of the endpoint's places that own calls have taken.
func (e *Endpoint) taken() float64 {
	return float64(e.underway.Load()) / float64(e.maxCalls())
}
