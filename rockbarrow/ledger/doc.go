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
//
// # View changes
//
// A view names the members among which groups are selected. A change from one set of
// members to another takes two steps, each with an epoch of its own: a view with the prior
// members, during which the new ones copy records, and one without them. A store refuses
// calls under epochs older than the newest one it has seen. The following holds throughout,
// whoever is silent, as long as no more disks are lost than tolerated:
//
//   - A confirmed record is found by each later read. A read quorum consists of a read
//     quorum of the prior group, whose stores must be complete, and a write quorum of the
//     new one. Outside of a change the members are both.
//   - A read under an older view proves nothing once a write under a newer one counts: the
//     write has been answered by a read quorum of the prior group, and the read needs a
//     write quorum of it.
//   - A change ends only when each record is on as many disks as before. If a member is
//     lost before it has copied, the change goes to other members. The members of the
//     attempt are then asked as well, since records were written to them, unless any two
//     read quorums of a prior group intersect: each of those records has reached one.
//   - A store is complete for a view if it copied records for the change that led to the
//     view, or for one later.
//
// The rules for absence and for writes are enumerated over small views in viewchange_test.go.
package ledger
