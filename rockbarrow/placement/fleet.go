// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/life"
)

// Policy is how endpoints are chosen. Cost and Spread are in use; the others are
// baselines to measure against.
type Policy int

// The policies.
const (
	// Cost chooses the least expected cost.
	Cost Policy = iota
	// RoundRobin takes the candidates in turn.
	RoundRobin
	// LeastLoaded takes the one with the fewest own calls.
	LeastLoaded
	// Sticky stays with the run's last endpoint while it is open.
	Sticky
	// Spread stays with the run's last endpoint while it has room, and else
	// spreads calls evenly. It needs no measured speeds.
	Spread
)

// Weights say what time and waste are worth against each other.
type Weights struct {
	// Latency multiplies the expected time to finish.
	Latency float64
	// Cache multiplies the time of computing again what some candidate holds.
	Cache float64
}

// Class is a set of candidates: a model or service within a binding.
type Class struct {
	Model   string
	Service string
	Binding string
}

// Request is a call to be placed.
type Request struct {
	Class Class
	// Prompt and Answer are expected tokens.
	PromptTokens, OutputTokens int64
	// Prefixes are what endpoints hold of the prompt, the longest for each.
	Prefixes []CachedPrefix
	// Last is the endpoint of the run's last answer, without an id if there is none.
	LastEndpoint life.Life
	// Avoid are endpoints that failed the call.
	AvoidEndpoints []life.Life
	// Domain is the own failure domain, and AvoidDomains those that are likely to
	// be out of reach, for Spread.
	Domain       string
	AvoidDomains []string
}

// Held says how many tokens of a prompt an endpoint's cache holds.
type CachedPrefix struct {
	Endpoint string
	Tokens   int64
}

// Choice is an endpoint whose seat is taken.
type Choice struct {
	endpoint *Endpoint
	lacking  int64
	cached   int64
	cost     float64
}

// Endpoint returns the chosen endpoint.
func (c Choice) Endpoint() *Endpoint { return c.endpoint }

// Lacking returns the prompt tokens that the endpoint has to compute.
func (c Choice) UncachedTokens() int64 { return c.lacking }

// Cached returns the prompt tokens that the endpoint is believed to hold.
func (c Choice) CachedTokens() int64 { return c.cached }

// CostMS returns the expected cost in milliseconds.
func (c Choice) CostMS() float64 { return c.cost }

// Fleet is the endpoints of one configuration version.
type Fleet struct {
	weights Weights
	policy  Policy
	// endpoints are ordered by name, as are those of each class.
	endpoints []*Endpoint
	classes   map[Class]*members
	turn      *turn
	// known is shared with the fleets before and after this one.
	known *known
	// first is where this instance's window begins in each list of endpoints, for
	// Spread.
	first uint64
}

// NewFleet indexes a snapshot. Endpoints that did not change since an earlier
// fleet, which may be nil, keep what is known of them.
func NewFleet(s *control.Snapshot, w Weights, p Policy, old *Fleet) *Fleet {
	f := &Fleet{weights: w, policy: p, classes: map[Class]*members{}, turn: &turn{}, known: &known{}}
	for _, c := range s.Document().GetEndpoints() {
		f.endpoints = append(f.endpoints, carry(time.Time{}, ListedEndpoint{Config: c}, old))
	}
	f.endpoints = sorted(f.endpoints)
	for _, b := range s.Document().GetBindings() {
		f.index(s, b.GetName())
	}
	return f
}

// carry keeps an endpoint's knowledge over a change of its limits, but not of its life or
// its address, behind which another back end stands.
func carry(now time.Time, l ListedEndpoint, old *Fleet) *Endpoint {
	o := l.known(old)
	if o == nil {
		return newEndpoint(l)
	}
	if !o.Life().Same(life.Life{ID: o.name, BornMS: l.BornMS}) {
		// It has started again.
		e := newEndpoint(l)
		e.returned.Store(now.UnixNano())
		return e
	}
	if l.BornMS != 0 {
		o.born.Store(l.BornMS)
	}
	c := l.Config
	if o.config.GetMaxCalls() == c.GetMaxCalls() && o.config.GetDraining() == c.GetDraining() {
		return o
	}
	e := newEndpoint(l)
	e.born.Store(o.born.Load())
	e.leaving.Store(o.leaving.Load())
	e.prefill.Store(o.prefill.Load())
	e.step.Store(o.step.Load())
	e.best.Store(o.best.Load())
	return e
}

// known returns what an earlier fleet, which may be nil, knows of the id with the same service behind the same address,
// or nil.
func (l ListedEndpoint) known(old *Fleet) *Endpoint {
	if old == nil {
		return nil
	}
	o := old.Endpoint(l.Config.GetName())
	if o == nil || o.config.GetAddress() != l.Config.GetAddress() || o.domain != l.Config.GetDomain() || o.config.GetService() != l.Config.GetService() {
		return nil
	}
	return o
}

func (f *Fleet) index(s *control.Snapshot, binding string) {
	b, _ := s.Binding(binding)
	for _, e := range f.endpoints {
		if !b.Allows(e.domain) || fenced(s, e) {
			continue
		}
		for _, m := range e.config.GetModels() {
			f.put(Class{Model: m, Binding: binding}, e)
		}
		if v := e.config.GetService(); v != "" {
			f.put(Class{Service: v, Binding: binding}, e)
		}
	}
}

func fenced(s *control.Snapshot, e *Endpoint) bool {
	_, byDomain := s.Withdrawn(e.domain)
	_, byName := s.Withdrawn(e.name)
	return byDomain || byName
}

// Endpoint returns an endpoint by name, or nil.
func (f *Fleet) Endpoint(name string) *Endpoint {
	if i, ok := find(f.endpoints, name); ok {
		return f.endpoints[i]
	}
	return nil
}

// find searches a list that is ordered by name.
func find(list []*Endpoint, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(e *Endpoint, name string) int { return strings.Compare(e.name, name) })
}

// Endpoints returns all endpoints, ordered by name. The list must not be changed.
func (f *Fleet) Endpoints() []*Endpoint { return f.endpoints }

// Candidates returns the allowed endpoints of a class, ordered by name.
func (f *Fleet) Candidates(c Class) []*Endpoint { return f.classes[c].candidates() }

// Choose takes a seat at the best endpoint. It reports false when no allowed
// endpoint has room.
func (f *Fleet) Choose(now time.Time, req Request, r *rand.Rand) (Choice, bool) {
	list := f.Candidates(req.Class)
	at := now.UnixNano()
	// A lost race for the last seat is tried again, each time with one fewer.
	for range len(list) {
		c, ok := f.best(at, list, req, r)
		if !ok {
			return Choice{}, false
		}
		if c.endpoint.enter(at, c.lacking) {
			f.known.use(c.endpoint)
			return c, true
		}
	}
	return Choice{}, false
}

func (f *Fleet) best(now int64, list []*Endpoint, req Request, r *rand.Rand) (Choice, bool) {
	switch f.policy {
	case RoundRobin:
		return f.inTurn(now, list, req)
	case LeastLoaded:
		return f.leastLoaded(now, list, req)
	case Sticky:
		return f.sticky(now, list, req)
	case Spread:
		return f.spread(now, list, req, r)
	}
	return f.leastCost(now, list, req, r)
}

// has searches a list that is ordered by name.
func has(list []*Endpoint, e *Endpoint) bool {
	i, ok := find(list, e.name)
	return ok && list[i] == e
}

// avoided reports whether a call must not go to an endpoint that has failed it.
func avoided(req Request, e *Endpoint) bool {
	for _, a := range req.AvoidEndpoints {
		if a.Same(e.Life()) {
			return true
		}
	}
	return false
}
