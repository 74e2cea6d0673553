// SPDX-License-Identifier: MIT

package limiter

import "time"

// ID is the caller's name for a request.
type ID uint64

// Event is what a [Limiter] handles: [Arrived], [Finished], [Withdrawn] or [Resized].
type Event interface{ event() }

// Arrived is a request that wants a place.
type Arrived struct {
	ID ID
	// Underway is true if a turn of its program was served before.
	InProgress bool
	// Left is the time until its program should be over, where Timed says that it is
	// known.
	Remaining   time.Duration
	HasDeadline bool
	// Patience is how long it may wait if it is the first turn of a new program, or a
	// turn of a program that is late.
	MaxWait time.Duration
	// Wait is how long its client waits for an answer; zero is no bound.
	ClientTimeout time.Duration
	// Priority 0 is the most urgent.
	Priority uint32
	// Customer is whose request it is, or "", and Weight its part of the places, 0 for one part.
	Customer string
	Weight   float64
}

// Finished is a request that has given its place back.
type Finished struct{ ID ID }

// Withdrawn is a request that no longer waits: its client left or its time is over.
type Cancelled struct{ ID ID }

// Resized tells how many places there are for this instance.
type Resized struct{ Slots int }

func (Arrived) event()   {}
func (Finished) event()  {}
func (Cancelled) event() {}
func (Resized) event()   {}

// Action is what a [Limiter] wants done: [Start] or [Reject].
type Action interface{ action() }

// Start gives a request its place.
type Start struct{ ID ID }

// Reject tells a client that its request did not run.
type Reject struct {
	ID ID
	// RetryAfter is when there is likely to be a place.
	RetryAfter time.Duration
}

func (Start) action()  {}
func (Reject) action() {}
