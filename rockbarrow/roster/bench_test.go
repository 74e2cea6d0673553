// SPDX-License-Identifier: MIT

package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPeriod measures one gossip period of an instance with n instances in
// its failure domain and 7n in others: its own tick and two received exchanges.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{8, 25, 49} {
		b.Run(fmt.Sprintf("domain=%d", n), func(b *testing.B) {
			var peers []Peer
			for i := range 8 * n {
				peers = append(peers, NewPeer(fmt.Sprintf("i%04d", i), fmt.Sprintf("d%d", i/n), "", false, false))
			}
			t := &Table{Self: peers[0], Peers: peers, Rand: rand.New(rand.NewPCG(1, 1))}
			now := time.Unix(1000, 0)
			heartbeats := make([]Heartbeat, n)
			counter := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				counter++
				now = now.Add(500 * time.Millisecond)
				for i := range heartbeats {
					heartbeats[i] = NewHeartbeat(peers[i].instance, 1, 0).WithCounter(counter)
				}
				t.Handle(now, Tick{Local: NewHeartbeat(peers[0].instance, 1, 0)})
				t.Handle(now, HeartbeatsReceived{Heartbeats: heartbeats})
				t.Handle(now, HeartbeatsReceived{Heartbeats: heartbeats})
			}
		})
	}
}
