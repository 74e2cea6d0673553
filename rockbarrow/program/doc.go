// SPDX-License-Identifier: MIT

// Package program implements the state machine of a run, which is one execution
// of a program.
//
// # State
//
// A [State] is computed from the records in a run's journal: the budget, the
// turns with their answers, and how the run ended. Every instance that holds the
// journal computes the same state.
//
// # Machine
//
// A [Machine] runs at the owner. It handles events (a call arrives, a record
// has committed, an endpoint answers) and returns actions (commit a record,
// place a call, send it, reply to a caller). A call passes through these states:
//
//	received -> queued -> intended -> sent -> answered | unknown | refused
//
// An attempt is sent only after its intent has committed, and a final answer is
// returned to a caller only after it has committed:
//
//	for _, a := range m.Handle(now, program.CallReceived{ID: 1, Turn: turn}) {
//		switch a := a.(type) {
//		case program.Commit:
//			// propose a.Records to the journal, deliver program.Recorded once committed
//		}
//	}
package program
