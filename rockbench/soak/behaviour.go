// SPDX-License-Identifier: MIT

package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rockbarrow.dev/rockbench/confighistory"
)

const (
	// slowService is the time that endpoints of the service "slow" take, and shortLimit and longLimit are the time limits of its
	// routes in ms, one well below and one well above it.
	slowService = 600 * time.Millisecond
	shortLimit  = 150
	longLimit   = 5000
)

// history draws from the paths that configurations changed.
type history struct {
	changes *confighistory.Changes

	mu sync.Mutex
	// changed holds the paths that each version changed, slow ones apart.
	changed, slow [][]string
}

// send records what a version changes, before it is sent.
func (h *history) send(version uint64, changes map[string]confighistory.Behaviour) {
	h.changes.Send(version, changes)
	h.mu.Lock()
	defer h.mu.Unlock()
	var changed, slow []string
	for path, b := range changes {
		if b.IsSlow() {
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
		// Those of the newest few may all be younger than ApplyWithin.
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
	due := h.changes.Due(at)
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
		if last := h.changes.Place(path).Last(); last.Version <= due && last.IsPlain() {
			return path, true
		}
	}
	return "", false
}

// drawAttempts bounds the search for a path that fits.
const drawAttempts = 50
