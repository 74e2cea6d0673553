// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/operatorpb"
	"rockbarrow.dev/schema/peerpb"
)

// fakePeers replies to pulls from a map; missing instances are unreachable.
type fakePeers map[string]*peerpb.PullReply

func (f fakePeers) Pull(_ context.Context, instance string, _ uint64) (*peerpb.PullReply, error) {
	if r := f[instance]; r != nil {
		return r, nil
	}
	return nil, errors.New("unreachable")
}

func (f fakePeers) Journal(context.Context, string, journal.Member, journal.Message) (journal.Reply, error) {
	return nil, errors.New("unreachable")
}

func (f fakePeers) Push(context.Context, string, *peerpb.PullReply) error { return nil }

func (f fakePeers) Command(context.Context, string, *peerpb.CommandRequest) (*operatorpb.ApplyReply, error) {
	return nil, &UnavailableError{Reason: "test"}
}

// newTestSource returns the source of instance a2 in failure domain a. The control
// instances are a1, b1 and c1.
func newTestSource(t *testing.T, peers fakePeers) *Source {
	t.Helper()
	s, _ := newTestSourceAndTable(t, peers)
	return s
}

// newTestSourceAndTable also returns the table of its peers.
func newTestSourceAndTable(t *testing.T, peers fakePeers) (*Source, *roster.Table) {
	t.Helper()
	all := []roster.Peer{
		roster.NewPeer("a1", "a", "", false, true), roster.NewPeer("a2", "a", "", false, false), roster.NewPeer("a3", "a", "", false, false),
		roster.NewPeer("b1", "b", "", false, true), roster.NewPeer("c1", "c", "", false, true),
	}
	table := &roster.Table{Self: all[1], Peers: all, Rand: rand.New(rand.NewPCG(1, 1))}
	table.Handle(time.Unix(1000, 0), roster.HeartbeatsReceived{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Source{
		Instance: "a2", Domain: "a", Peers: peers, View: table.View,
		OnChange: func(*control.Snapshot) {}, Log: logrus.NewEntry(log), Metrics: tally.NoopScope,
	}
	if err := s.Start(nil, nil); err != nil {
		t.Fatal(err)
	}
	return s, table
}

func pullReply(version, appliedIndex, index uint64, isControl, learned bool) *peerpb.PullReply {
	return &peerpb.PullReply{
		Version: version, FoldedIndex: appliedIndex, ControlIndex: index, Control: isControl, Learned: learned,
		Document: &configpb.Document{Version: version},
	}
}

func TestVersionsOnlyRise(t *testing.T) {
	s := newTestSource(t, nil)
	s.Update(&configpb.Document{Version: 7}, 9)
	if s.Update(&configpb.Document{Version: 6}, 20) || s.Snapshot().Version() != 7 {
		t.Fatalf("version %d after an update to an older one, want 7", s.Snapshot().Version())
	}
}

func TestLearnFromControlMajority(t *testing.T) {
	s := newTestSource(t, fakePeers{"a1": pullReply(3, 4, 4, true, true), "b1": pullReply(2, 3, 3, true, true)})
	s.learn(context.Background())
	if !s.Learned() || s.Snapshot().Version() != 3 || s.ControlUnreachable() {
		t.Fatalf("learned %v, version %d, control unreachable %v; want true, 3, false", s.Learned(), s.Snapshot().Version(), s.ControlUnreachable())
	}
}

func TestLearnWaitsForNewerControlEntry(t *testing.T) {
	s := newTestSource(t, fakePeers{"a1": pullReply(3, 4, 4, true, true), "b1": pullReply(3, 4, 5, true, true)})
	s.learn(context.Background())
	if s.Learned() {
		t.Fatal("learned although a voter has a newer entry")
	}
}

func TestOneControlInstanceIsNotEnough(t *testing.T) {
	s := newTestSource(t, fakePeers{"a1": pullReply(3, 4, 4, true, false)})
	s.learn(context.Background())
	if s.Learned() {
		t.Fatal("learned from a minority of the control instances")
	}
}

func TestLearnFromDomainWhenControlIsUnreachable(t *testing.T) {
	s := newTestSource(t, fakePeers{"a1": pullReply(3, 4, 4, true, true), "a3": pullReply(5, 6, 0, false, true)})
	s.learn(context.Background())
	if !s.Learned() || !s.ControlUnreachable() || s.Snapshot().Version() != 5 {
		t.Fatalf("learned %v, control unreachable %v, version %d; want true, true, 5", s.Learned(), s.ControlUnreachable(), s.Snapshot().Version())
	}
}

func TestLearnIgnoresPeersThatHaveNotLearned(t *testing.T) {
	s := newTestSource(t, fakePeers{"a1": pullReply(3, 4, 4, true, false), "a3": pullReply(5, 6, 0, false, false)})
	s.learn(context.Background())
	if s.Learned() {
		t.Fatal("learned from peers that have not learned the configuration")
	}
}

// TestWhoIsCutOffConfirmsNothing guards against a configuration that counts as confirmed, so that calls are made by it that must not be
// made by a stale one, while a majority of the control instances may have a newer one: the confirmation came from a control instance
// without a majority, from a push, or from the lack of any peer to ask.
func TestWhoIsCutOffConfirmsNothing(t *testing.T) {
	tests := map[string]func(s *Source, table *roster.Table){
		"a control instance alone": func(s *Source, _ *roster.Table) { (&pull{source: s, instance: "a1"}).run() },
		"a push":                   func(s *Source, _ *roster.Table) { s.Push(pullReply(3, 4, 4, true, true)) },
		"no peer": func(s *Source, table *roster.Table) {
			for i := range 100 {
				table.Handle(time.Unix(1001+int64(i), 0), roster.Tick{})
			}
			s.pullFromRandomPeer(t.Context())
		},
	}
	for name, ask := range tests {
		t.Run(name, func(t *testing.T) {
			peers := fakePeers{"a1": pullReply(3, 4, 4, true, true), "b1": pullReply(3, 4, 4, true, true)}
			s, table := newTestSourceAndTable(t, peers)
			s.learn(t.Context())
			if !s.Learned() {
				t.Fatal("not learned from a majority")
			}
			delete(peers, "b1")
			before := s.confirmedAt.Load()
			ask(s, table)
			if s.confirmedAt.Load() != before {
				t.Error("the configuration is confirmed")
			}
		})
	}
}

// TestAPeerPassesOnTheAgeOfItsConfirmation guards against a configuration that counts as newer than the majority that confirmed it.
func TestAPeerPassesOnTheAgeOfItsConfirmation(t *testing.T) {
	const age = 5 * time.Second
	reply := pullReply(3, 4, 0, false, true)
	reply.ConfirmedAgeMs = proto.Uint64(uint64(age.Milliseconds()))
	s := newTestSource(t, fakePeers{"a3": reply})
	before := time.Now()
	(&pull{source: s, instance: "a3"}).run()
	confirmed := time.Unix(0, s.confirmedAt.Load())
	if confirmed.Before(before.Add(-age)) || confirmed.After(time.Now().Add(-age)) {
		t.Fatalf("confirmed %v before now, want %v", time.Since(confirmed), age)
	}
	if got := s.Pull(3).GetConfirmedAgeMs(); got < uint64(age.Milliseconds()) {
		t.Errorf("passed on as %d ms", got)
	}
	s.confirm(before)
	(&pull{source: s, instance: "a3"}).run()
	if s.confirmedAt.Load() != before.UnixNano() {
		t.Error("an older confirmation replaces a newer one")
	}
}

// TestAControlInstanceIsConfirmedByAMajority guards against control instances that confirm to others what a majority has not confirmed
// to them, or never confirm.
func TestAControlInstanceIsConfirmedByAMajority(t *testing.T) {
	tests := map[string]struct {
		peers fakePeers
		want  bool
	}{
		"a majority":                 {fakePeers{"b1": pullReply(3, 4, 4, true, true)}, true},
		"one that has a newer entry": {fakePeers{"b1": pullReply(3, 4, 5, true, true)}, false},
		"alone":                      {fakePeers{"a2": pullReply(3, 4, 4, false, true), "a3": pullReply(3, 4, 4, false, true)}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestSource(t, test.peers)
			s.Instance = "a1"
			s.pullFromControl()
			if got := s.Pull(3).ConfirmedAgeMs != nil; got != test.want {
				t.Errorf("confirmed: %v, want %v", got, test.want)
			}
		})
	}
}
