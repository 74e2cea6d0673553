// SPDX-License-Identifier: MIT

// Package journal is a replicated log with one fenced writer.
//
// # Ballots
//
// A writer owns a [Ballot]. Ballots are totally ordered, also within one
// round, so that two writers never tie. A [Replica] that has promised a ballot
// refuses every older one, which makes the ballot the fencing number of the
// journal.
//
// # Writing
//
// A [Writer] asks the members to promise its ballot. With a majority of
// promises it adopts the log whose last entry has the highest ballot and then
// the greatest length, appends one entry of its own, and serves once that entry
// has committed. An entry is committed by the [Members] rule: a majority of
// votes, and one synced copy where the members include an instance with a disk,
// or else two copies in memory.
//
// # Members
//
// The set of members is part of the log. A member is one life of an instance's
// storage: an instance that restarts without a disk is another member, so that
// it never votes on what it forgot. The set changes by one member at a time,
// and a new member has copied the log before it counts.
//
// # Stepping
//
// Nothing here does I/O, reads a clock or starts a goroutine:
//
//	w := journal.Writer{Self: self, Initial: members}
//	for _, a := range w.Handle(journal.Campaign{}) {
//		switch a := a.(type) {
//		case journal.Send:
//			// carry a.Message to a.To, and the reply back as a journal.Replied
//		}
//	}
package journal
