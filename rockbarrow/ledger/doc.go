// SPDX-License-Identifier: MIT

// Package ledger implements the replication of turns and token budgets on store
// instances.
//
// All records are immutable facts: a completed turn, a reservation of tokens,
// its settlement. Replication therefore needs no leader: a record is durable once
// a write quorum of its group of stores has synced it, and a missing record is
// known to be absent once a read quorum, which intersects every write quorum, has
// answered without it. A reservation is a write and a read at once: of two
// concurrent reservations, at least one sees the other.
//
// [Group] selects the stores of a program. [QuorumTracker] counts their answers,
// in the old and the new group during a view change. [StateMachine] is the state
// of one store. [ReservationSet] merges the reservations returned by several
// stores.
package ledger
