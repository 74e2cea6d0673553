// SPDX-License-Identifier: MIT

// Package register is one replicated value that changes by compare and swap.
//
// Each change is a round of its own: a [Round] asks a majority of the voters to
// promise its ballot, takes the newest accepted value among the answers, applies
// a change to it and asks a majority to accept the result. There is no leader
// to lose and no log to fold: any control instance may run a round, and the
// ballot is the fencing number. This is Paxos over a register whose value is
// written whole; it fits a value of some hundred kilobytes that changes a few
// hundred times a day.
//
// The voters are part of the value. While the set changes, a majority of the
// old set and one of the new set must agree, so that a round under an outdated
// set either meets the newer value or fails. A voter is one life of a storage:
// an instance that lost its disk is another voter and never votes on what it
// forgot.
//
// Nothing here does I/O, reads a clock or starts a goroutine:
//
//	r := register.Round{Ballot: b, Known: state, Change: change}
//	for _, a := range r.Handle(register.Begin{}) {
//		switch a := a.(type) {
//		case register.Prepare:
//			// carry it to a.To and hand the reply back as register.Prepared
//		}
//	}
package register
