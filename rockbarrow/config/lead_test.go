// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/peerpb"
)

// TestLearnIndexAfterChangeOfVoters checks that a change of the voters, which
// creates no new version, does not keep other instances from learning.
func TestLearnIndexAfterChangeOfVoters(t *testing.T) {
	s := newTestSource(t, nil)
	self := roster.NewPeer("a2", "a", "", false, true)
	table := &roster.Table{Self: self, Peers: []roster.Peer{self, roster.NewPeer("a3", "a", "", false, true)}, Rand: rand.New(rand.NewPCG(1, 1))}
	now := time.Unix(1000, 0)
	table.Handle(now, roster.Tick{Local: roster.NewHeartbeat("a2", 1, 0)})
	table.Handle(now, roster.HeartbeatsReceived{Heartbeats: []roster.Heartbeat{roster.NewHeartbeat("a3", 1, 0).WithCounter(1)}})
	s.View = table.View
	s.Incarnation = 1
	other := &journal.Replica{}
	l := &control.Leader{Self: s.self(), Incarnation: 1, Voters: s.voters()}
	s.leader = l
	// Messages to this instance go to its voter, all others to a replica in the
	// test.
	queue := []control.Event{control.Campaign{Round: 1}}
	for n := 0; len(queue) > 0 && n < 200; n++ {
		e := queue[0]
		queue = queue[1:]
		for _, a := range l.Handle(now, e) {
			send, ok := a.(control.Send)
			if !ok {
				continue
			}
			reply, _ := other.Handle(send.Message)
			if send.To.Is(s.self()) {
				reply = s.voter.handleMessage(send.Message)
			}
			queue = append(queue, control.ReplyReceived{From: send.To, Reply: reply})
		}
		if n == 50 || len(queue) == 0 && n < 100 {
			n = 100
			queue = append(queue, control.ReplaceVoter{New: journal.NewMember("a4", 1), Old: journal.NewMember("a3", 1)})
		}
	}
	s.step(control.Tick{})
	if got, want := s.Pull(0).GetFoldedIndex(), l.AppliedIndex(); got != want || want < 2 {
		t.Fatalf("peers can learn up to entry %d, the leader applied %d", got, want)
	}
}

// countingPeers count the pushes that have arrived.
type countingPeers struct {
	fakePeers
	arrived atomic.Int64
}

func (c *countingPeers) Push(context.Context, string, *peerpb.PullReply) error {
	c.arrived.Add(1)
	return nil
}

// TestAnOutcomeIsToldOnceOtherControlInstancesHaveIt guards against a version that takes effect late because its leader failed
// right after the reply and no other control instance had the version.
func TestAnOutcomeIsToldOnceOtherControlInstancesHaveIt(t *testing.T) {
	s := newTestSource(t, nil)
	peers := &countingPeers{}
	s.Peers = peers
	const control = 3
	for version := uint64(1); version <= 50; version++ {
		peers.arrived.Store(0)
		s.publish(&configpb.Document{Version: version}, version)
		s.awaitPropagation(t.Context())
		if got := peers.arrived.Load(); got < control {
			t.Fatalf("%d instances have version %d, want the %d control instances", got, version, control)
		}
	}
}
