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
// The first value is voted on at the seeds' addresses, which every instance is told alike at the very first
// start. Two groups of instances that can't hear each other must never both choose one, also when one of
// them has lost its disk. What holds:
//
//   - A founder is a storage whose first start was that very first one: it remembers all votes that were
//     ever given at its address. A majority of the seeds, all of them founders, is enough, as any two such
//     majorities share a founder.
//   - A storage that came later, as its disk was lost or its process ended before it had an identity, can't
//     know what was voted before it. It counts only where someone votes at every address, and only if the
//     tolerated losses are fewer than a majority of the seeds: then a founder that had voted for a first value
//     is among them and shows it.
//   - A storage that has heard of a deployment never votes for a first value again, also after a restart.
//     So a loss counts against the tolerated ones until the instance has heard of the deployment.
//   - The first value holds the seeds as its prior voters, so that a majority of them counts with its voters
//     until it is chosen; and a move of voters is only ever made from a value that was chosen.
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
