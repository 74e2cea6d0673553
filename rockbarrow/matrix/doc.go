// SPDX-License-Identifier: MIT

// Package matrix contains the fault matrix. A deterministic driver steps the
// state machines of a run (owners, replicas, rosters) with fake endpoints and a
// fake client, injects every fault at every step of a call, and checks the
// guarantees to callers after each event.
//
// The driver delivers messages between the state machines and advances a virtual
// clock. A cell of the matrix is one fault injected at one step of a call, or a
// pair of faults at a pair of steps. docs/FAULTS.md shows the cells. A failing cell
// prints its seed:
//
//	go test ./rockbarrow/matrix -run TestMatrix -matrix.seeds 200
package matrix
