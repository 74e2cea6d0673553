// SPDX-License-Identifier: MIT

package limiter

import "time"

// ID identifies a request. It is assigned by the caller.
type ID uint64

// Event is an input of a [Limiter]: [Arrived], [Finished], [Cancelled] or [Resized].
type Event interface{ event() }

// Arrived reports a request that needs a slot.
type Arrived struct {
	ID ID
	// InProgress is true if an earlier turn of the program has been served.
	InProgress bool
	// Remaining is the time until the program's deadline, if HasDeadline is true.
	Remaining   time.Duration
	HasDeadline bool
	// MaxWait bounds the time in the queue for the first turn of a new program and for
	// turns of programs past their deadline.
	MaxWait time.Duration
	// ClientTimeout is how long the client waits for a response; zero is no limit.
	ClientTimeout time.Duration
	// Priority orders new programs; 0 is the highest.
	Priority uint32
	// Customer, which may be empty, shares slots with others by Weight; 0 counts as 1.
	Customer string
	Weight   float64
	// Program is a hash of the program's id, which is the same at all instances, and RoutePriority the priority
	// of its route, without that of the customer. Both decide whether a new program is within the shared level.
	Program       uint64
	RoutePriority uint32
	// Admitted is true if [Limiter.Admit] has admitted the program, or if the shared level does not apply to it.
	Admitted bool
}

// Finished reports that a request has released its slot.
type Finished struct{ ID ID }

// Cancelled reports that a queued request is no longer wanted.
type Cancelled struct{ ID ID }

// Resized sets the number of slots of this instance and the use of those of all instances.
type Resized struct {
	Slots  int
	Shared Shared
}

func (Arrived) event()   {}
func (Finished) event()  {}
func (Cancelled) event() {}
func (Resized) event()   {}

// Action is an output of a [Limiter]: [Start] or [Reject].
type Action interface{ action() }

// Start grants a slot to a request.
type Start struct{ ID ID }

// Reject refuses a request, which has not run.
type Reject struct {
	ID ID
	// RetryAfter is the time until a slot is expected to be free.
	RetryAfter time.Duration
	// ByLevel is true if the endpoints of all instances have too few free slots for a new program.
	ByLevel bool
}

func (Start) action()  {}
func (Reject) action() {}
