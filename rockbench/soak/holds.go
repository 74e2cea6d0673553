// SPDX-License-Identifier: MIT

package soak

import (
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

// span is one hold; to is zero while it lasts.
type span struct{ from, to time.Time }

// Lock waits for the instance.
func (h *holds) Lock() {
	h.lock.Lock()
	h.begin()
}

// TryLock reports whether the instance was free.
func (h *holds) TryLock() bool {
	if !h.lock.TryLock() {
		return false
	}
	h.begin()
	return true
}

func (h *holds) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, span{from: time.Now()})
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
