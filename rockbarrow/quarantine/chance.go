// SPDX-License-Identifier: MIT

package quarantine

import (
	"maps"
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
)

const (
	// coincidence is how far apart ends with one cause are noticed: the loss of a machine or a failure domain.
	coincidence = 100 * time.Millisecond
	// rateWindow is the time over which the rate of ends is measured.
	rateWindow = 10 * time.Second
	// minChance is the least probability that one end is chance, however rare ends are: one in some minutes of execution.
	minChance = 0.001
	// explainedChance is the probability of being in progress at an end for which another request is refused.
	explainedChance = 0.1
	// maxChance is the probability that all ends under a request are chance, up to which it is refused. A deployment executes some
	// thousand requests in a minute.
	maxChance = 5e-5
	// minExposure is the least time at an endpoint that counts, about that of a whole execution: those that met an end early are
	// no less likely to have met it by chance.
	minExposure = 500 * time.Millisecond
	// minUnexplained is how many of the ends no other refused request may explain.
	minUnexplained = MaxEnds - 1
	// maxCulprits is how many requests at a time may explain ends before they are refused. Where more have met several
	// ends, these are chance.
	maxCulprits = 4
)

// judge refuses a suspect if its ends are unlikely to be chance and no other suspect explains them as well. It returns false
// if there is nothing to decide. The caller holds mu.
func (r *Registry) judge(now time.Time, s *suspect) (Verdict, bool) {
	if r.Follower || !s.refusedAt.IsZero() || r.suspects[s.key] != s || s.count() < MaxEnds || s.content && s.senders() < minSenders {
		return Verdict{}, false
	}
	v := Verdict{Key: s.key, Chance: r.chance(s), Rival: r.hasRival(s), Unexplained: s.unexplained()}
	v.Refused = v.Unexplained >= minUnexplained && v.Chance <= maxChance && !v.Rival
	if v.Refused {
		s.refusedAt = now
		r.touch(now, s)
		r.exonerate(s)
	}
	return v, true
}

// unexplained returns how many ends no other refused request explains.
func (s *suspect) unexplained() int {
	n := 0
	for _, e := range s.evidence {
		if !e.explained {
			n++
		}
	}
	return n
}

// judgeAll judges suspects, and all others again once one of them is refused, as that explains ends. The caller holds mu.
func (r *Registry) judgeAll(now time.Time, list []*suspect) (out []Verdict) {
	for refused := true; refused; list = slices.Collect(maps.Values(r.suspects)) {
		refused = false
		for _, s := range list {
			v, ok := r.judge(now, s)
			if ok {
				out = append(out, v)
			}
			refused = refused || v.Refused
		}
	}
	return out
}

// chance returns the probability that all endpoints that ended under a suspect did so without it.
func (r *Registry) chance(s *suspect) float64 {
	culprits := r.culprits()
	p := 1.0
	for _, e := range s.evidence {
		if e.explained {
			p *= explainedChance
			continue
		}
		p *= r.chanceOf(s, e, culprits)
	}
	return p
}

// culprits returns the requests that met several ends, none if they are too many.
func (r *Registry) culprits() map[Key]bool {
	out := map[Key]bool{}
	for key, s := range r.suspects {
		if !s.content && s.refusedAt.IsZero() && s.unexplained() >= MaxEnds-1 {
			out[key] = true
		}
	}
	if len(out) > maxCulprits {
		return nil
	}
	return out
}

// chanceOf returns the probability that one end is chance. It is the largest one of three: that of being among endpoints that
// end together, that of an end by itself while a request is executed, and that of an end under another request during
// this one's time there.
func (r *Registry) chanceOf(s *suspect, e evidence, culprits map[Key]bool) float64 {
	together, lately, underOthers, endpoints := 0, 0, 0, 1
	for _, list := range r.ends {
		for _, other := range list {
			if other.service != s.service {
				continue
			}
			endpoints = max(endpoints, other.serviceEndpoints)
			distance := e.at.Sub(other.at).Abs()
			if other.participants[s.key] || distance > rateWindow {
				continue
			}
			if other.isExplainedBy(culprits) {
				underOthers++
				continue
			}
			lately++
			if distance <= coincidence {
				together++
			}
		}
	}
	n := float64(endpoints)
	perSecond := func(ends int) float64 { return float64(ends) / (n * rateWindow.Seconds()) }
	return min(1, max(
		minChance, float64(together)/n, perSecond(lately)*max(e.exposure, minExposure).Seconds(), perSecond(underOthers)*e.exposure.Seconds(),
	))
}

// isExplainedBy reports whether a refused request, or one of the culprits, was in progress at an endpoint that ended.
func (e *ended) isExplainedBy(culprits map[Key]bool) bool {
	if e.explained {
		return true
	}
	for key := range culprits {
		if e.participants[key] {
			return true
		}
	}
	return false
}

// hasRival reports whether another request was in progress at all endpoints that ended under a suspect. A trial without
// others settles it.
func (r *Registry) hasRival(s *suspect) bool {
	if s.evidence[len(s.evidence)-1].alone {
		return false
	}
	for key, other := range r.suspects {
		if key != s.key && other.content == s.content && other.covers(s) {
			return true
		}
	}
	return false
}

// covers reports whether all ends under another suspect were also under this one.
func (s *suspect) covers(other *suspect) bool {
	for _, e := range other.evidence {
		if !s.hasEvidence(e) {
			return false
		}
	}
	return true
}

func (s *suspect) hasEvidence(e evidence) bool {
	for _, known := range s.evidence {
		if known.endpoint.Matches(e.endpoint) {
			return true
		}
	}
	return false
}

// exonerate marks the ends under a refused request as explained in the evidence against others. These still count as ends
// until a suspect completes: two requests may end one endpoint. The caller holds mu.
func (r *Registry) exonerate(refused *suspect) {
	for _, list := range r.ends {
		for _, e := range list {
			if refused.hasEvidence(evidence{endpoint: e.id}) {
				e.causedBy, e.explained = refused.key, true
			}
		}
	}
	for key, s := range r.suspects {
		if key == refused.key || !s.refusedAt.IsZero() {
			continue
		}
		for i, e := range s.evidence {
			if refused.hasEvidence(e) && !(s.content && e.sender == refused.key.sender()) {
				s.evidence[i].explained = true
			}
		}
	}
}

// removeEvidence removes evidence against a suspect, which is cleared if none is left; the caller holds mu.
func (r *Registry) removeEvidence(now time.Time, s *suspect, drop func(evidence) bool) {
	n := len(s.evidence)
	s.evidence = slices.DeleteFunc(s.evidence, drop)
	switch len(s.evidence) {
	case n:
	case 0:
		r.clear(now, s.key)
	default:
		r.touch(now, s)
	}
}

// Withdraw removes an end that turned out to be none, and what followed from it.
func (r *Registry) Withdraw(now time.Time, id incarnation.ID) {
	r.mu.Lock()
	defer r.unlock()
	for _, e := range r.ends[id.EndpointID] {
		if e.id.Matches(id) {
			e.explained, e.causedBy = true, Key{}
		}
	}
	for _, s := range r.suspects {
		r.removeEvidence(now, s, func(e evidence) bool { return e.endpoint.Matches(id) })
		if s.count() < MaxEnds && !s.refusedAt.IsZero() {
			r.clear(now, s.key)
		}
	}
}

// isWithdrawn reports whether the end turned out to be none.
func (e *ended) isWithdrawn() bool { return e.explained && e.causedBy == Key{} }

// EndedBefore returns the incarnations that are known to have ended before some time.
func (r *Registry) EndedBefore(t time.Time) []incarnation.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []incarnation.ID
	for _, list := range r.ends {
		for _, e := range list {
			if e.at.Before(t) && !e.isWithdrawn() {
				out = append(out, e.id)
			}
		}
	}
	return out
}
