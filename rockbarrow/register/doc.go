// SPDX-License-Identifier: MIT

// Package register implements a single replicated value that changes by compare-and-swap, using
// Paxos.
//
// Each change is a separate [Round]: it asks a majority of the voters to promise its ballot, takes
// the newest accepted value among the replies, applies a change to it and asks a majority to accept
// the result. There is no leader and no log. Any control instance may run a round, and the ballot
// acts as a fencing token. The value is always written as a whole, which suits a value of some
// hundred kilobytes that changes a few hundred times a day.
//
// The voters are part of the value. While the set of voters changes, a majority of the old set and
// one of the new set must agree, so that a round based on an outdated set either encounters the
// newer value or fails. A voter is one incarnation of a storage: an instance that lost its disk is
// a different voter and never votes on behalf of the earlier one.
//
// The initial value is voted on at the addresses of the seeds, which all instances are given at the
// first start of the deployment. Two partitions must never both choose an initial value, even if
// one of them has lost a disk. This is ensured as follows:
//
//   - A founder is a storage that was first started at the first start of the deployment, and hence
//     knows all votes ever cast at its address. A majority of the seeds suffices if all of them are
//     founders, since any two such majorities share a founder.
//   - Any other storage, such as one whose disk was lost or whose process ended before it had an
//     identity, may lack earlier votes. It counts only if every seed address votes, and only if the
//     tolerated losses are fewer than a majority of the seeds. A founder that voted for an initial
//     value is then among the voters and reports it.
//   - A storage that knows of a deployment never votes on an initial value again, not even after a
//     restart. A loss therefore counts against the tolerated ones until the instance has learned of
//     the deployment.
//   - The initial value has the seeds as its prior voters, so that a majority of them is required
//     in addition to its voters until it is chosen. Voters are only changed based on a chosen value.
//
// The package performs no I/O, reads no clock and starts no goroutines:
//
//	r := register.Round{Ballot: b, Known: state, Change: change}
//	for _, a := range r.Handle(register.Begin{}) {
//		switch a := a.(type) {
//		case register.Prepare:
//			// Send a.Request to a.To and pass the reply to Handle as register.Prepared.
//		}
//	}
package register
