// SPDX-License-Identifier: MIT

package owner

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/roster"
)

// TestRestartedWitnessIsAtRisk checks that a planned stop in a failure domain of
// two instances waits while the run's witness has restarted.
func TestRestartedWitnessIsAtRisk(t *testing.T) {
	peers := []roster.Peer{
		roster.NewPeer("n1", "north", "", false, false), roster.NewPeer("n2", "north", "", false, false),
		roster.NewPeer("w1", "west", "", false, false),
	}
	table := &roster.Table{Self: peers[1], Peers: peers, Rand: rand.New(rand.NewPCG(1, 1))}
	beat := func(instance string, incarnation uint64, leaving bool) roster.Heartbeat {
		return roster.NewHeartbeat(instance, incarnation, 0).WithStatus(leaving, true, 1, 0, 0).WithCounter(1)
	}
	table.Handle(time.Unix(1000, 0), roster.HeartbeatsReceived{Heartbeats: []roster.Heartbeat{beat("n1", 1, true), beat("n2", 1, false), beat("w1", 2, false)}})
	lost := journal.Members{journal.NewMember("n1", 1), journal.NewMember("n2", 1), journal.NewMember("w1", 1).WithWitness()}
	if !AtRisk(lost, table.View(), "north.r", "north") {
		t.Fatal("not at risk although the stop would leave one vote of three")
	}
	replaced := journal.Members{lost[0], lost[1], journal.NewMember("w1", 2).WithWitness()}
	if AtRisk(replaced, table.View(), "north.r", "north") {
		t.Fatal("at risk although two votes of three stay")
	}
}
