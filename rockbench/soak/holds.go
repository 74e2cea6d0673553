// SPDX-License-Identifier: MIT

package soak

import (
	"slices"
	"sync"
	"time"
)

// contact is how long an instance must have been undisturbed for rules with a time bound to apply to it.
const contact = 3 * time.Second

// holds is the lock that a fault takes on an instance. It records when it was held.
type holds struct {
	lock sync.Mutex

	mu    sync.Mutex
	spans []span
}

// span is one hold; to is zero while it lasts. Planned work, which may cost no request, has planned set.
type span struct {
	from, to time.Time
	planned  bool
}

// Lock waits for the instance.
func (h *holds) Lock() {
	h.lock.Lock()
	h.begin(false)
}

// TryLock reports whether the instance was free.
func (h *holds) TryLock() bool { return h.try(false) }

// TryLockPlanned is TryLock for planned work.
func (h *holds) TryLockPlanned() bool { return h.try(true) }

func (h *holds) try(planned bool) bool {
	if !h.lock.TryLock() {
		return false
	}
	h.begin(planned)
	return true
}

func (h *holds) begin(planned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, span{from: time.Now(), planned: planned})
}

// Unlock gives the instance back.
func (h *holds) Unlock() {
	h.mu.Lock()
	h.spans[len(h.spans)-1].to = time.Now()
	h.mu.Unlock()
	h.lock.Unlock()
}

// freeSince reports whether the instance has been undisturbed since contact before a time.
func (h *holds) freeSince(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.spans) == 0 {
		return true
	}
	last := h.spans[len(h.spans)-1]
	return !last.to.IsZero() && last.to.Before(at.Add(-contact))
}

// hasFault reports whether a fault held the instance at any time between two, other than planned work.
func (h *holds) hasFault(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.spans, func(s span) bool {
		return !s.planned && !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
	})
}

// plannedSince returns when the planned work began that held the instance at a time, false if there was none.
func (h *holds) plannedSince(at time.Time) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.spans {
		if s.planned && !s.from.After(at) && (s.to.IsZero() || !s.to.Before(at)) {
			return s.from, true
		}
	}
	return time.Time{}, false
}
