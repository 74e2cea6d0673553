// SPDX-License-Identifier: MIT

// Package roster implements gossip-based membership and failure detection.
//
// Every instance increments a heartbeat counter and, once a period, exchanges
// the heartbeats of its failure domain with a few random peers. An instance
// whose counter has not increased for a timeout is considered dead. An instance
// that the platform lists as removed gets a shorter timeout, but is never
// considered dead for that reason alone. An instance is considered leaving as
// soon as either source says so.
//
// Views may differ between instances. The members of a journal, on which all
// must agree, are recorded in the journal itself, where an instance that
// restarted without a disk is a new member. A wrong view may therefore delay
// work but cannot lose history.
//
//	t := roster.Table{Self: self, Peers: peers, Rand: r}
//	for _, a := range t.Handle(now, roster.Tick{}) {
//		// roster.Exchange: send heartbeats to a peer; roster.ViewChanged: a new View
//	}
package roster
