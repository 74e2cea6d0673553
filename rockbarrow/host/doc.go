// SPDX-License-Identifier: MIT

// Package host runs the runs that an instance owns or replicates.
//
// Each run is a state machine with a mailbox. The goroutine that posts an event
// to an idle run processes it, so that a run is stepped by one goroutine at a
// time, and its actions are performed without holding a lock. The package
// reaches other components only through the interfaces [PeerClient], [Backends]
// and [Store].
//
// [Host.Do] handles a request: it locates the run's owner, here or on another
// instance, and retries under the same request id if the owner fails.
package host
