// SPDX-License-Identifier: MIT

package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPeriod measures one period of gossip at one instance among n of its
// failure domain and 7 n elsewhere: its own tick and the two exchanges that
// others start.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{8, 25, 49} {
		b.Run(fmt.Sprintf("domain=%d", n), func(b *testing.B) {
			var peers []Peer
			for i := range 8 * n {
				peers = append(peers, NewPeer(fmt.Sprintf("i%04d", i), fmt.Sprintf("d%d", i/n), "", false, false))
			}
			t := &Table{Self: peers[0], Peers: peers, Rand: rand.New(rand.NewPCG(1, 1))}
			now := time.Unix(1000, 0)
			beats := make([]Heartbeat, n)
			count := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				count++
				now = now.Add(500 * time.Millisecond)
				for i := range beats {
					beats[i] = NewHeartbeat(peers[i].instance, 1, 0).WithCounter(count)
				}
				t.Handle(now, Tick{Local: NewHeartbeat(peers[0].instance, 1, 0)})
				t.Handle(now, HeartbeatsReceived{Heartbeats: beats})
				t.Handle(now, HeartbeatsReceived{Heartbeats: beats})
			}
		})
	}
}
