// SPDX-License-Identifier: MIT

// Package program is the state machine of a run: one program under way.
//
// # State
//
// A [State] is the fold of the records in a run's journal: its budget, its
// turns with their answers, and how it ended. Any instance that holds the
// journal folds the same state.
//
// # Machine
//
// A [Machine] is the owner's side. It takes events (a call arrives, a record
// has committed, an endpoint answers) and returns actions (commit a record,
// place a call, send it, tell a caller). A call goes through these states:
//
//	received -> queued -> intended -> sent -> answered | unknown | refused
//
// Nothing is sent before its intent has committed, and no final answer goes to
// a caller before it has committed:
//
//	for _, a := range m.Handle(now, program.CallReceived{ID: 1, Turn: turn}) {
//		switch a := a.(type) {
//		case program.Commit:
//			// propose a.Records to the journal, later hand in program.Recorded
//		}
//	}
package program
