// SPDX-License-Identifier: MIT

// Package host runs the stepped cores of all runs that an instance owns or
// replicates.
//
// A [Host] gives each run a mailbox. Whoever posts an event to an idle run
// steps it, so that a run is stepped by one goroutine at a time and never
// under a lock that its actions could need. The outside is reached through the
// ports [PeerClient], [Backends] and [Store] only.
//
// [Host.Do] is the entry: it finds the run's owner, here or elsewhere, and asks
// again, under the same request id, when the owner was lost on the way.
package host
