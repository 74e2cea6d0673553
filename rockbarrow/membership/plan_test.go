// SPDX-License-Identifier: MIT

package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/schema/fleetpb"
)

func member(name string, storage uint64) *fleetpb.Member {
	return &fleetpb.Member{Instance: name, Storage: storage}
}

// names lists instances as the tests compare them.
func names(list []*fleetpb.Member) []string {
	out := make([]string, 0, len(list))
	for _, m := range list {
		out = append(out, m.GetInstance())
	}
	return out
}

// scene is a plan with stores that were just heard.
func scene(stores ...*fleetpb.Member) Planner {
	now := time.Unix(100, 0)
	p := Planner{Now: now, Copies: 3, StoresStable: true, Uptime: time.Minute, Self: member("control-0", 100), LiveDomains: map[string]bool{}}
	for _, m := range stores {
		p.LiveDomains[m.GetFailureDomain()] = true
		p.Stores = append(p.Stores, Peer{Member: m, LastSeen: now})
	}
	return p
}

func names3(s *fleetpb.State) string { return fmt.Sprint(names(s.GetView().GetMembers())) }

func steady(members ...*fleetpb.Member) *fleetpb.State {
	return &fleetpb.State{
		Number: 1, Voters: []*fleetpb.Member{member("control-0", 100)},
		View: &fleetpb.View{Epoch: 1, Members: members, Copies: 3},
	}
}

func TestPlanOfStores(t *testing.T) {
	a, b, c, d := member("a", 1), member("b", 2), member("c", 3), member("d", 4)
	again := member("a", 9)
	tests := []struct {
		name  string
		plan  Planner
		state *fleetpb.State
		// want is the members after the step, "" for no step.
		want string
	}{
		{"first view", scene(a, b, c, d), &fleetpb.State{Number: 1, Voters: steady().Voters}, "[a b c d]"},
		{"nothing to do", scene(a, b, c), steady(a, b, c), ""},
		{"a spare waits", scene(a, b, c, d), steady(a, b, c), ""},
		{"an emptied disk", scene(again, b, c), steady(a, b, c), "[a b c]"},
		{"a lost store and a spare", scene(b, c, d), steady(a, b, c), "[d b c]"},
		{"a lost store and no spare", scene(b, c), steady(a, b, c), ""},
		{"one of two lost", scene(b), steady(a, b), "[b]"},
		{"two of three lost", scene(c), steady(a, b, c), ""},
		{"too few stores and a spare", scene(a, b, c), steady(a, b), "[a b c]"},
	}
	for _, test := range tests {
		next := test.plan.Next(test.state)
		got := ""
		if next != nil {
			got = names3(next)
		}
		if got != test.want {
			t.Errorf("%s: members %s, want %s", test.name, got, test.want)
		}
		if next != nil && test.state.GetView() != nil && len(next.GetView().GetPrior()) == 0 {
			t.Errorf("%s: the old members do not count while records are copied", test.name)
		}
	}
}

func TestSilenceIsNoLossWhileThisProcessKnowsTooLittle(t *testing.T) {
	p := scene(member("b", 2), member("c", 3), member("d", 4))
	p.Uptime = 0
	if next := p.Next(steady(member("a", 1), member("b", 2), member("c", 3))); next != nil {
		t.Errorf("members %s", names3(next))
	}
}

// five are stores in failure domains of their own, "f" is a spare in the first.
func five() (members []*fleetpb.Member, spare *fleetpb.Member) {
	for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
		members = append(members, &fleetpb.Member{Instance: name, Storage: uint64(i + 1), FailureDomain: name})
	}
	spare = members[5]
	spare.FailureDomain = "a"
	return members[:5], spare
}

// TestACutDomainIsNotReplaced: its stores come back, and moving their records meanwhile
// slows every turn. One that stays away is replaced in the end, and a store that is lost
// alone at once.
func TestACutDomainIsNotReplaced(t *testing.T) {
	members, spare := five()
	s := steady(members...)
	s.View.Copies = 5
	tests := []struct {
		name   string
		silent time.Duration
		// other is true if another instance of the domain is heard.
		other bool
		known bool
		ran   time.Duration
		want  string
	}{
		{"a cut", 8 * time.Second, false, true, time.Minute, ""},
		{"a cut that lasts", cutAtMost + time.Second, false, true, time.Minute, "[a b c d f]"},
		{"a store alone", lostAfter + time.Second, true, true, time.Minute, "[a b c d f]"},
		{"a cut from before this instance's start", 0, false, false, calmAfter + time.Second, ""},
		{"a domain that was never heard", 0, false, false, cutAtMost + time.Second, "[a b c d f]"},
	}
	for _, test := range tests {
		p := scene(append(members[:4:4], spare)...)
		p.Copies, p.Uptime = 5, test.ran
		p.LiveDomains = map[string]bool{"a": true, "b": true, "c": true, "d": true, "e": test.other}
		if test.known {
			p.Stores = append(p.Stores, Peer{Member: members[4], LastSeen: p.Now.Add(-test.silent)})
		}
		got := ""
		if next := p.Next(s); next != nil {
			got = names3(next)
		}
		if got != test.want {
			t.Errorf("%s: members %s, want %s", test.name, got, test.want)
		}
	}
}

// TestAMoveEndsWithoutALostDomain: three stores are silent, but no group holds more than
// one of them.
func TestAMoveEndsWithoutALostDomain(t *testing.T) {
	var members []*fleetpb.Member
	for i, domain := range []string{"a", "a", "b", "b", "b", "c", "c", "d", "e"} {
		members = append(members, &fleetpb.Member{Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: domain})
	}
	s := steady(members...)
	s.View.Epoch, s.View.Prior, s.View.Copies = 2, members, 5
	p := scene(append(members[:2:2], members[5:]...)...)
	p.Copies = 5
	for i := range p.Stores {
		p.Stores[i].CopiedEpoch = 2
	}
	if next := p.Next(s); next == nil || len(next.GetView().GetPrior()) > 0 {
		t.Errorf("the move goes on: %v", next)
	}
}

func TestAMoveEndsOnceRecordsAreCopied(t *testing.T) {
	a, b, c, d := member("a", 1), member("b", 2), member("c", 3), member("d", 4)
	s := steady(d, b, c)
	s.View.Epoch, s.View.Prior, s.View.Leaving = 2, []*fleetpb.Member{a, b, c}, []string{"a"}
	p := scene(a, b, c, d)
	if p.Next(s) != nil {
		t.Fatal("the move ended before anything was copied")
	}
	for i := range p.Stores[1:] {
		p.Stores[i+1].CopiedEpoch = 2
	}
	next := p.Next(s)
	if next == nil || len(next.GetView().GetPrior()) != 0 || next.GetView().GetEpoch() != 3 {
		t.Fatalf("state %v", next)
	}
	if len(next.GetRetired()) != 1 || len(next.GetView().GetLeaving()) != 0 {
		t.Errorf("retired %v, leaving %v", next.GetRetired(), next.GetView().GetLeaving())
	}
	// The emptied store is still there for a moment and is no spare.
	p.Stores = p.Stores[:3]
	if more := p.Next(next); more != nil {
		t.Errorf("members %s after the move", names3(more))
	}
}

func TestASpareIsEmptiedAtOnce(t *testing.T) {
	a, b, c, d := member("a", 1), member("b", 2), member("c", 3), member("d", 4)
	s := steady(a, b, c)
	s.View.Leaving = []string{"d"}
	next := scene(a, b, c, d).Next(s)
	if next == nil || fmt.Sprint(next.GetRetired()) != "[d]" || len(next.GetView().GetLeaving()) > 0 || next.GetView().GetEpoch() != 1 {
		t.Errorf("state %v", next)
	}
}

func TestWhichStoresMayBeEmptied(t *testing.T) {
	a, b, c, d := member("a", 1), member("b", 2), member("c", 3), member("d", 4)
	var few *TooFewStoresError
	var unknown *UnknownStoreError
	s := steady(a, b, c)
	if err := CheckRetire(s, scene(a, b, c).Stores, "x", 2); !errors.As(err, &unknown) {
		t.Errorf("%v for a store that is not known", err)
	}
	if err := CheckRetire(s, scene(a, b, c, d).Stores, "a", 2); err != nil {
		t.Errorf("%v with a spare", err)
	}
	if err := CheckRetire(s, scene(a, b, c).Stores, "a", 2); err != nil {
		t.Errorf("%v when two would be left", err)
	}
	s.View.Leaving = []string{"b"}
	if err := CheckRetire(s, scene(a, b, c).Stores, "a", 2); !errors.As(err, &few) || few.Remaining != 1 {
		t.Errorf("%v when one store would be left", err)
	}
	if err := CheckRetire(s, scene(a, b, c).Stores, "b", 2); err != nil {
		t.Errorf("%v for a repeated order", err)
	}
}

func TestPlanOfVoters(t *testing.T) {
	now := time.Unix(100, 0)
	heard := func(m *fleetpb.Member, ago time.Duration) Peer {
		return Peer{Member: m, LastSeen: now.Add(-ago)}
	}
	own, b, c, d := member("control-0", 100), member("control-1", 101), member("control-2", 102), member("control-3", 103)
	base := Planner{Now: now, Copies: 3, Uptime: time.Minute, Self: own}
	voters := []*fleetpb.Member{own, b, c}
	tests := []struct {
		name    string
		control []Peer
		want    string
	}{
		{"all there", []Peer{heard(b, 0), heard(c, 0)}, "[control-0 control-1 control-2]"},
		{"a spare waits", []Peer{heard(b, 0), heard(c, 0), heard(d, 0)}, "[control-0 control-1 control-2]"},
		{"a short silence", []Peer{heard(b, 0), heard(c, time.Second), heard(d, 0)}, "[control-0 control-1 control-2]"},
		{"a lost voter", []Peer{heard(b, 0), heard(c, time.Minute), heard(d, 0)}, "[control-0 control-1 control-3]"},
		{"an emptied disk", []Peer{heard(b, 0), heard(member("control-2", 200), 0)}, "[control-0 control-1 control-2]"},
	}
	for _, test := range tests {
		p := base
		p.Control = test.control
		if got := fmt.Sprint(names(p.wantedVoters(voters))); got != test.want {
			t.Errorf("%s: voters %s, want %s", test.name, got, test.want)
		}
	}
}
