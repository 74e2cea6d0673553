// SPDX-License-Identifier: MIT

// Package ledger keeps the turns and the budgets of programs on store instances.
//
// All records are facts that never change: a turn that was answered whole, a
// reservation of tokens, its settlement. So no store leads and none has to be
// asked first: a record counts once a majority of its group of stores has synced
// it, and a question has a sure answer once so many have answered it that one of
// them is in every majority. Reserving is both at once: of two turns
// that reserve at the same time, at least one sees the other.
//
// [Group] names the stores of a program. [QuorumTracker] counts their answers, in the
// old and the new group while the view changes. [StateMachine] is what one store holds.
// [ReservationSet] joins the reservations that several stores told.
package ledger
