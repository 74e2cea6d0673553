// SPDX-License-Identifier: MIT

// Package owner joins the two halves of owning a run: the writer of its journal
// and its [program.Machine], and keeps the journal's replicas whole.
//
// An [Owner] is stepped like its halves:
//
//	o := owner.Owner{Run: id, Self: member, InitialMembers: owner.InitialMembers(view, id, domain)}
//	for _, a := range o.Handle(now, owner.Start{Round: 1}) {
//		switch a := a.(type) {
//		case owner.Send:
//			// to a replica; the reply is handled as owner.Replied
//		case owner.ProgramAction:
//			// a.Action is an action of the program, never a Commit
//		}
//	}
package owner
