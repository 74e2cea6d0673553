// SPDX-License-Identifier: MIT

package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// behaviour is what a version of the configuration says of a path. The zero value is that it is not routed.
type behaviour struct {
	// services are those that requests may go to.
	services []string
	// slow is true if these answer after slowService only, and limited if the time limit is shorter than that.
	slow, limited bool
	// tight is true if requests have bodies larger than the limit.
	tight bool
	// contested is true if one of two configurations of the version has the path, and the other has not.
	contested bool
}

const (
	// slowService is the time that endpoints of the service "slow" take, and shortLimit and longLimit are the time limits of its
	// routes, one well below and one well above it.
	slowService = 600 * time.Millisecond
	shortLimit  = 150
	longLimit   = 5000
)

// answer is the response to a probe; the status is zero if there was none.
type answer struct {
	status  int
	service string
	took    time.Duration
}

// tells reports whether an answer tells anything of the version in force: others are due to faults.
func (a answer) tells() bool {
	switch a.status {
	case http.StatusOK, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return true
	case http.StatusGatewayTimeout:
		return a.took < slowService
	}
	return false
}

// allows reports whether an answer that tells something may come of this behaviour.
func (b behaviour) allows(a answer) bool {
	routed := len(b.services) > 0
	switch a.status {
	case http.StatusNotFound:
		return !routed || b.contested
	case http.StatusRequestEntityTooLarge:
		return routed && b.tight
	case http.StatusGatewayTimeout:
		// Only endpoints of the slow service take longer than a time limit.
		return routed && (b.limited || !b.slow)
	}
	return routed && !b.limited && !b.tight && slices.Contains(b.services, a.service)
}

// step is the behaviour of a path from a version on.
type step struct {
	version uint64
	behaviour
}

// place is a path with its behaviours, in the order of their versions.
type place struct {
	path  string
	steps []step
}

// matches returns the steps that an answer may come of.
func (p place) matches(a answer) []interval {
	var out []interval
	if (behaviour{}).allows(a) && p.steps[0].version > 0 {
		out = append(out, interval{to: p.steps[0].version})
	}
	for i, s := range p.steps {
		if !s.allows(a) {
			continue
		}
		in := interval{from: s.version, to: ^uint64(0)}
		if i+1 < len(p.steps) {
			in.to = p.steps[i+1].version
		}
		out = append(out, in)
	}
	return out
}

// last returns the newest behaviour.
func (p place) last() step { return p.steps[len(p.steps)-1] }

// interval is a range of versions, without to.
type interval struct{ from, to uint64 }

// firstAfter returns the lowest version of some intervals from which one may be in force that is at least the given one.
func firstAfter(list []interval, version uint64) (from uint64, ok bool) {
	for _, in := range list {
		if in.to > version {
			return max(in.from, version), true
		}
	}
	return 0, false
}

// history holds the configurations that were sent, what they changed, and when they were acknowledged.
type history struct {
	mu sync.Mutex
	// places holds all paths; changed holds those that each version changed, slow ones apart.
	places        map[string]*place
	changed, slow [][]string
	// acknowledged is ordered by time.
	acknowledged []acknowledgement
	// winners holds the path of each contested version that was served.
	winners map[uint64]string
}

type acknowledgement struct {
	version uint64
	at      time.Time
}

// send records what a version changes, before it is sent.
func (h *history) send(version uint64, changes map[string]behaviour) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.places == nil {
		h.places, h.winners = map[string]*place{}, map[uint64]string{}
	}
	var changed, slow []string
	for path, b := range changes {
		if h.places[path] == nil {
			h.places[path] = &place{path: path}
		}
		h.places[path].steps = append(h.places[path].steps, step{version: version, behaviour: b})
		if b.slow {
			slow = append(slow, path)
		} else {
			changed = append(changed, path)
		}
	}
	slices.Sort(changed)
	slices.Sort(slow)
	h.changed = append(h.changed, changed)
	if len(slow) > 0 {
		h.slow = append(h.slow, slow)
	}
}

func (h *history) acknowledge(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acknowledged = append(h.acknowledged, acknowledgement{version: version, at: time.Now()})
}

// draw returns a path that one of the newest versions changed.
func (h *history) draw(r *rand.Rand, slow bool) (path string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	of := h.changed
	if slow {
		of = h.slow
	}
	if len(of) == 0 {
		return "", false
	}
	recent := recentChanges
	if r.IntN(2) == 0 {
		// Those of the newest few may all be younger than applyWithin.
		recent = earlierChanges
	}
	changed := of[max(0, len(of)-1-r.IntN(recent))]
	if len(changed) == 0 {
		return "", false
	}
	return changed[r.IntN(len(changed))], true
}

// drawAdded returns a path that one of the newest versions routes and that must be routed at a time, with small bodies to fast endpoints.
func (h *history) drawAdded(r *rand.Rand, at time.Time) (path string, ok bool) {
	due := h.due(at)
	h.mu.Lock()
	defer h.mu.Unlock()
	for range drawAttempts {
		if len(h.changed) == 0 {
			return "", false
		}
		changed := h.changed[max(0, len(h.changed)-1-r.IntN(earlierChanges))]
		if len(changed) == 0 {
			continue
		}
		path := changed[r.IntN(len(changed))]
		if last := h.places[path].last(); last.version <= due && last.isPlain() {
			return path, true
		}
	}
	return "", false
}

// drawAttempts bounds the search for a path that fits.
const drawAttempts = 50

// isPlain reports whether requests for a path are answered at once whenever an endpoint is there.
func (b behaviour) isPlain() bool {
	return len(b.services) > 0 && !b.slow && !b.contested && !b.tight
}

// state returns the current state of a place.
func (h *history) state(path string) place {
	h.mu.Lock()
	defer h.mu.Unlock()
	return place{path: path, steps: slices.Clone(h.places[path].steps)}
}

// due returns the version that must be in force at a time: the newest that was acknowledged applyWithin before.
func (h *history) due(at time.Time) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := uint64(0)
	for _, a := range h.acknowledged {
		if at.Sub(a.at) > applyWithin {
			version = max(version, a.version)
		}
	}
	return version
}

// newest returns the newest version that was acknowledged, zero if none was.
func (h *history) newest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := uint64(0)
	for _, a := range h.acknowledged {
		version = max(version, a.version)
	}
	return version
}

// win records that a path of a contested version was served, and returns another one that was served before, if any.
func (h *history) win(version uint64, path string) (other string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w, ok := h.winners[version]; ok && w != path {
		return w
	}
	h.winners[version] = path
	return ""
}

// lag returns how long before a time the first version was acknowledged that answers from some intervals can't come of, zero if there
// is none.
func (h *history) lag(list []interval, at time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	longest := time.Duration(0)
	for _, a := range h.acknowledged {
		if _, ok := firstAfter(list, a.version); !ok {
			longest = max(longest, at.Sub(a.at))
		}
	}
	return longest
}
