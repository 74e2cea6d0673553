// SPDX-License-Identifier: MIT

// Package owner combines the writer of a run's journal with its
// [program.Machine], and maintains the replicas of the journal.
//
// An [Owner] handles events and returns actions:
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
