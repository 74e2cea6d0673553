// SPDX-License-Identifier: MIT

// Package roster tells which instances live, leave or are dead.
//
// Every instance raises a counter of its own and gossips what it knows of its
// failure domain with a few peers each period. An instance whose counter stands
// still is dead here; the platform's list makes that judgement sooner but never
// alone. A word of leaving counts at once from either source.
//
// The roster is advice, not agreement. What must agree, the members of each
// journal, is part of that journal, where an instance that restarted without a
// disk is another member. So a wrong roster costs time and never history:
//
//	t := roster.Table{Self: self, Peers: peers, Rand: r}
//	for _, a := range t.Handle(now, roster.Tick{}) {
//		// roster.Exchange: send heartbeats to a peer; roster.ViewChanged: a new View
//	}
package roster
