// SPDX-License-Identifier: MIT

// Package mailbox steps a state machine by one goroutine at a time without a
// goroutine of its own.
//
// Whoever posts to an idle [Box] steps it until no event waits; a post from
// within a step only queues. So a step may post to its own box, and to others,
// and never waits for a lock that another step holds.
package mailbox

import "sync"

// Box is the queue of one state machine. Set Step before the first Post.
type Box[E any] struct {
	// Step handles one event; it is never run twice at a time.
	Step func(E)

	mu    sync.Mutex
	queue []E
	// busy is true while a goroutine steps.
	busy bool
}

// Post queues events and, if the box is idle, steps until none waits.
func (b *Box[E]) Post(events ...E) {
	b.mu.Lock()
	b.queue = append(b.queue, events...)
	if b.busy {
		b.mu.Unlock()
		return
	}
	b.busy = true
	for len(b.queue) > 0 {
		e := b.queue[0]
		b.queue = b.queue[1:]
		b.mu.Unlock()
		b.Step(e)
		b.mu.Lock()
	}
	b.busy = false
	b.mu.Unlock()
}
