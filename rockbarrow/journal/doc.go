// SPDX-License-Identifier: MIT

// Package journal implements a replicated log with a single fenced writer.
//
// # Ballots
//
// Every writer has a [Ballot]. Ballots are totally ordered, even within one
// round, so no two writers have equal ballots. A [Replica] that has promised a
// ballot refuses every older one, so the ballot is the fencing token of the
// journal.
//
// # Writing
//
// A [Writer] asks the members to promise its ballot. With a majority of
// promises it adopts the log whose last entry has the newest ballot, or the
// longest of several such logs. It then appends an opening entry and serves once
// that entry has committed. An entry is committed when a majority of the members
// has acknowledged it and it is durable: in one synced copy if a member has a
// disk, and otherwise in two copies in memory.
//
// # Members
//
// The set of members is part of the log. A [Member] is an instance together with
// the incarnation of its storage. An instance that restarts without a disk is a
// different member, as it has lost its promises and entries. The set changes by
// one member at a time, and a new member copies the log before it is added.
//
// # Stepping
//
// The package does no I/O, reads no clock and starts no goroutines:
//
//	w := journal.Writer{Self: self, Initial: members}
//	for _, a := range w.Handle(journal.Campaign{}) {
//		switch a := a.(type) {
//		case journal.Send:
//			// send a.Message to a.To and handle the reply as a journal.Replied
//		}
//	}
package journal
