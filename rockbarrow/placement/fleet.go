// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/incarnation"
)

// Policy selects how endpoints are chosen. Cost and Spread are used in
// production; the others are baselines for comparison.
type Policy int

const (
	// Cost chooses the lowest estimated cost.
	Cost Policy = iota
	// RoundRobin rotates through the candidates.
	RoundRobin
	// LeastLoaded chooses the endpoint with the fewest calls from this instance.
	LeastLoaded
	// Sticky keeps a run on its last endpoint while that is available, and falls
	// back to LeastLoaded.
	Sticky
	// Spread keeps a run on its last endpoint while that is available and healthy,
	// and otherwise balances calls by utilization, or by expected time while the
	// measured speeds of the endpoints differ.
	Spread
)

// Weights balances latency against cache reuse in the Cost policy.
type Weights struct {
	// Latency multiplies the expected latency.
	Latency float64
	// Cache multiplies the expected time lost to recomputing and evicting cached
	// prefixes.
	Cache float64
}

// Class identifies a set of candidates: a model or service within a binding.
type Class struct {
	Model   string
	Service string
	Binding string
}

// Request is a call that needs an endpoint.
type Request struct {
	Class Class
	// PromptTokens and OutputTokens are estimates.
	PromptTokens, OutputTokens int64
	// Prefixes lists the longest cached prefix at each endpoint.
	Prefixes []CachedPrefix
	// LastEndpoint answered the run's previous call; its ID is empty if there is none.
	LastEndpoint incarnation.ID
	// NewSession is true if LastEndpoint served another session of the same program.
	NewSession bool
	// LastTokens are those of the session's last prompt and answer, which LastEndpoint has
	// cached; 0 if unknown.
	LastTokens int64
	// AvoidEndpoints have already failed the call.
	AvoidEndpoints []incarnation.ID
	// Domain is the failure domain of this instance, and AvoidDomains lists failure
	// domains that are probably unreachable. Only Spread uses them.
	Domain       string
	AvoidDomains []string
}

// CachedPrefix is the number of prompt tokens that an endpoint has cached.
type CachedPrefix struct {
	Endpoint string
	Tokens   int64
}

// Choice is an endpoint with an acquired slot.
type Choice struct {
	endpoint       *Endpoint
	uncachedTokens int64
	cachedTokens   int64
	cost           float64
	// hadFreeSlot is true if a slot was free at the endpoint before this call.
	hadFreeSlot bool
	// speeds gets the timing of the call; nil for policies other than Spread.
	speeds *serviceSpeeds
}

// Endpoint returns the chosen endpoint.
func (c Choice) Endpoint() *Endpoint { return c.endpoint }

// UncachedTokens returns the prompt tokens that the endpoint has to compute.
func (c Choice) UncachedTokens() int64 { return c.uncachedTokens }

// CachedTokens returns the prompt tokens that the endpoint is expected to have cached.
func (c Choice) CachedTokens() int64 { return c.cachedTokens }

// Done releases the slot and records the result at the endpoint and its service.
func (c Choice) Done(now time.Time, r Result) {
	c.endpoint.Done(now, r)
	if r.OK && !r.Refused && c.speeds != nil {
		c.speeds.record(c, r.Stream)
	}
}

// CostMS returns the estimated cost in milliseconds, 0 for policies other than Cost.
func (c Choice) CostMS() float64 { return c.cost }

// Fleet is an index of the endpoints of one configuration version or of one
// endpoint list.
type Fleet struct {
	weights Weights
	policy  Policy
	// endpoints is sorted by name, as are those of each class.
	endpoints  []*Endpoint
	classes    map[Class]*classEndpoints
	roundRobin *roundRobin
	// tracked is shared by successive fleets.
	tracked *trackedEndpoints
	// windowStart is the offset of this instance's window in each list of
	// endpoints, for Spread.
	windowStart uint64
}

// NewFleet indexes a snapshot. Endpoints that are unchanged since the old fleet,
// which may be nil, keep their state.
func NewFleet(s *control.Snapshot, w Weights, p Policy, old *Fleet) *Fleet {
	f := &Fleet{weights: w, policy: p, classes: map[Class]*classEndpoints{}, roundRobin: &roundRobin{}, tracked: &trackedEndpoints{}}
	for _, c := range s.Document().GetEndpoints() {
		f.endpoints = append(f.endpoints, reuseEndpoint(time.Time{}, ListedEndpoint{Config: c}, old))
	}
	f.endpoints = sortByName(f.endpoints)
	for _, b := range s.Document().GetBindings() {
		f.indexBinding(s, b.GetName())
	}
	return f
}

// reuseEndpoint returns the endpoint of the old fleet for a list entry. If its
// limits have changed, it returns a new one with the measured speeds; if the
// process has restarted or the address has changed, a new one without state.
func reuseEndpoint(now time.Time, l ListedEndpoint, old *Fleet) *Endpoint {
	prev := l.findIn(old)
	if prev == nil {
		return newEndpoint(l)
	}
	if !prev.Life().Matches(incarnation.ID{EndpointID: prev.name, StartMS: l.BornMS}) {
		// The process has restarted: its cache is empty.
		e := newEndpoint(l)
		e.rampStart.Store(now.UnixNano())
		return e
	}
	if l.BornMS != 0 {
		prev.born.Store(l.BornMS)
	}
	c := l.Config
	if prev.config.GetMaxCalls() == c.GetMaxCalls() && prev.config.GetDraining() == c.GetDraining() {
		return prev
	}
	e := newEndpoint(l)
	e.born.Store(prev.born.Load())
	e.draining.Store(prev.draining.Load())
	e.prefillMicros.Store(prev.prefillMicros.Load())
	e.stepMicros.Store(prev.stepMicros.Load())
	e.bestStep.Store(prev.bestStep.Load())
	e.tokens.copyFrom(&prev.tokens)
	return e
}

// findIn returns the endpoint of the same name, address, failure domain and
// service in the old fleet, which may be nil, or nil if there is none.
func (l ListedEndpoint) findIn(old *Fleet) *Endpoint {
	if old == nil {
		return nil
	}
	e := old.Endpoint(l.Config.GetName())
	if e == nil || e.config.GetAddress() != l.Config.GetAddress() || e.domain != l.Config.GetDomain() || e.config.GetService() != l.Config.GetService() {
		return nil
	}
	return e
}

func (f *Fleet) indexBinding(s *control.Snapshot, binding string) {
	b, _ := s.Binding(binding)
	for _, e := range f.endpoints {
		if !b.Allows(e.domain) || isWithdrawn(s, e) {
			continue
		}
		for _, m := range e.config.GetModels() {
			f.addToClass(Class{Model: m, Binding: binding}, e)
		}
		if v := e.config.GetService(); v != "" {
			f.addToClass(Class{Service: v, Binding: binding}, e)
		}
	}
}

func isWithdrawn(s *control.Snapshot, e *Endpoint) bool {
	_, byDomain := s.Withdrawn(e.domain)
	_, byName := s.Withdrawn(e.name)
	return byDomain || byName
}

// Endpoint returns an endpoint by name, or nil.
func (f *Fleet) Endpoint(name string) *Endpoint {
	if i, ok := search(f.endpoints, name); ok {
		return f.endpoints[i]
	}
	return nil
}

// search finds a name in a list that is sorted by name.
func search(list []*Endpoint, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(e *Endpoint, name string) int { return strings.Compare(e.name, name) })
}

// Endpoints returns all endpoints, sorted by name. The list must not be changed.
func (f *Fleet) Endpoints() []*Endpoint { return f.endpoints }

// Candidates returns the endpoints of a class, sorted by name. The list must not
// be changed.
func (f *Fleet) Candidates(c Class) []*Endpoint { return f.classes[c].candidates() }

// Choose acquires a slot at the best endpoint according to the policy. It
// reports false if no candidate is available.
func (f *Fleet) Choose(now time.Time, req Request, r *rand.Rand) (Choice, bool) {
	list := f.Candidates(req.Class)
	at := now.UnixNano()
	// Another call may take the last slot between choose and tryAcquire. Each
	// retry then has one candidate fewer.
	for range len(list) {
		c, ok := f.choose(at, list, req, r)
		if !ok {
			return Choice{}, false
		}
		if c.endpoint.tryAcquire(at, c.uncachedTokens) {
			f.tracked.markUsed(c.endpoint)
			return c, true
		}
	}
	return Choice{}, false
}

func (f *Fleet) choose(now int64, list []*Endpoint, req Request, r *rand.Rand) (Choice, bool) {
	switch f.policy {
	case RoundRobin:
		return f.chooseRoundRobin(now, list, req)
	case LeastLoaded:
		return f.chooseLeastLoaded(now, list, req)
	case Sticky:
		return f.chooseSticky(now, list, req)
	case Spread:
		return f.chooseSpread(now, list, req, r)
	}
	return f.chooseLeastCost(now, list, req, r)
}

// containsEndpoint reports whether a list that is sorted by name contains e.
func containsEndpoint(list []*Endpoint, e *Endpoint) bool {
	i, ok := search(list, e.name)
	return ok && list[i] == e
}

// isAvoided reports whether the endpoint has already failed the request.
func isAvoided(req Request, e *Endpoint) bool {
	for _, a := range req.AvoidEndpoints {
		if a.Matches(e.Life()) {
			return true
		}
	}
	return false
}
