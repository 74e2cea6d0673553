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

// instanceNames returns the instance names of members.
func instanceNames(list []*fleetpb.Member) []string {
	out := make([]string, 0, len(list))
	for _, m := range list {
		out = append(out, m.GetInstance())
	}
	return out
}

// newPlanner returns a planner with stores that were just seen.
func newPlanner(stores ...*fleetpb.Member) Planner {
	now := time.Unix(100, 0)
	p := Planner{Now: now, Copies: 3, StoresStable: true, Uptime: time.Minute, Self: member("control-0", 100), LiveDomains: map[string]bool{}}
	for _, m := range stores {
		p.LiveDomains[m.GetFailureDomain()] = true
		p.Stores = append(p.Stores, Peer{Member: m, LastSeen: now})
	}
	return p
}

// withStandby adds a control instance that can keep records.
func withStandby(p Planner, m *fleetpb.Member) Planner {
	p.Standbys = append(p.Standbys, Peer{Member: m, LastSeen: p.Now, Standby: true})
	return p
}

// standby returns the record of a control instance that is a member of a view.
func standby(m *fleetpb.Member) *fleetpb.Member {
	return &fleetpb.Member{Instance: m.GetInstance(), Storage: m.GetStorage(), Standby: true}
}

// silentFor adds a store that was last seen some time ago.
func silentFor(p Planner, m *fleetpb.Member, silent time.Duration) Planner {
	p.Stores = append(p.Stores, Peer{Member: m, LastSeen: p.Now.Add(-silent)})
	return p
}

func memberNames(s *fleetpb.State) string { return fmt.Sprint(instanceNames(s.GetView().GetMembers())) }

func newState(members ...*fleetpb.Member) *fleetpb.State {
	return &fleetpb.State{
		Number: 1, Voters: []*fleetpb.Member{member("control-0", 100)},
		View: &fleetpb.View{Epoch: 1, Members: members, Copies: 3},
	}
}

func TestPlannerStores(t *testing.T) {
	a, b, c, d := member("a", 1), member("b", 2), member("c", 3), member("d", 4)
	wiped := member("a", 9)
	tests := []struct {
		name  string
		plan  Planner
		state *fleetpb.State
		// want lists the members after the step; it is "" for no step.
		want string
	}{
		{"first view", newPlanner(a, b, c, d), &fleetpb.State{Number: 1, Voters: newState().Voters}, "[a b c d]"},
		{"no change", newPlanner(a, b, c), newState(a, b, c), ""},
		{"a spare is not needed", newPlanner(a, b, c, d), newState(a, b, c), ""},
		{"a wiped disk", newPlanner(wiped, b, c), newState(a, b, c), "[a b c]"},
		{"a lost store and a spare", newPlanner(b, c, d), newState(a, b, c), "[d b c]"},
		{"a lost store and no spare", silentFor(newPlanner(b, c), a, lostTimeout+time.Second), newState(a, b, c), ""},
		{"a store that is gone and no spare", newPlanner(b, c), newState(a, b, c), "[b c]"},
		{"a store that is gone and another one silent", silentFor(newPlanner(c), b, lostTimeout), newState(a, b, c), ""},
		{"a store that is gone of more than the copies", silentFor(newPlanner(b, c, d), a, goneTimeout+time.Second), newState(a, b, c, d), ""},
		{"a store that is gone for long of more than the copies", newPlanner(b, c, d), newState(a, b, c, d), "[b c d]"},
		{"one of two lost", newPlanner(b), newState(a, b), ""},
		{"one of two lost and a standby", withStandby(newPlanner(b), d), newState(a, b), "[b d]"},
		{"both lost and standbys", withStandby(withStandby(newPlanner(), c), d), newState(a, b), ""},
		{"one of two that returned", withStandby(newPlanner(a, b), d), newState(b, standby(d)), "[b a]"},
		{"a lost standby", withStandby(newPlanner(b), c), newState(b, standby(d)), "[b c]"},
		{"a lost store beside a standby", withStandby(withStandby(newPlanner(), c), d), newState(b, standby(d)), "[d c]"},
		{"one store from the start", withStandby(newPlanner(b), d), newState(b), ""},
		{"two of three lost", newPlanner(c), newState(a, b, c), ""},
		{"too few stores and a spare", newPlanner(a, b, c), newState(a, b), "[a b c]"},
	}
	for _, test := range tests {
		next := test.plan.Next(test.state)
		got := ""
		if next != nil {
			got = memberNames(next)
		}
		if got != test.want {
			t.Errorf("%s: members %s, want %s", test.name, got, test.want)
		}
		if next != nil && test.state.GetView() != nil && len(next.GetView().GetPrior()) == 0 {
			t.Errorf("%s: the view change has no prior members", test.name)
		}
	}
}

func TestNoLossRightAfterStart(t *testing.T) {
	p := newPlanner(member("b", 2), member("c", 3), member("d", 4))
	p.Uptime = 0
	if next := p.Next(newState(member("a", 1), member("b", 2), member("c", 3))); next != nil {
		t.Errorf("members %s right after the start, want no step", memberNames(next))
	}
}

// fiveDomains returns five stores in different failure domains and a spare "f" in the first one.
func fiveDomains() (members []*fleetpb.Member, spare *fleetpb.Member) {
	for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
		members = append(members, &fleetpb.Member{Instance: name, Storage: uint64(i + 1), FailureDomain: name})
	}
	spare = members[5]
	spare.FailureDomain = "a"
	return members[:5], spare
}

// TestPartitionedFailureDomainIsNotReplaced guards against moving records while a network partition
// isolates a failure domain. A single lost store, or a domain that stays away for long,
// is replaced.
func TestPartitionedFailureDomainIsNotReplaced(t *testing.T) {
	members, spare := fiveDomains()
	s := newState(members...)
	s.View.Copies = 5
	tests := []struct {
		name   string
		silent time.Duration
		// other is true if another instance of the failure domain was seen.
		other bool
		known bool
		ran   time.Duration
		want  string
	}{
		{"a short partition", 8 * time.Second, false, true, time.Minute, ""},
		{"a long partition", domainLostTimeout + time.Second, false, true, time.Minute, "[a b c d f]"},
		{"a single lost store", lostTimeout + time.Second, true, true, time.Minute, "[a b c d f]"},
		{"a partition that began before this instance's start", 0, false, false, minUptime + time.Second, ""},
		{"a domain that was never seen", 0, false, false, domainLostTimeout + time.Second, "[a b c d f]"},
	}
	for _, test := range tests {
		p := newPlanner(append(members[:4:4], spare)...)
		p.Copies, p.Uptime = 5, test.ran
		p.LiveDomains = map[string]bool{"a": true, "b": true, "c": true, "d": true, "e": test.other}
		if test.known {
			p.Stores = append(p.Stores, Peer{Member: members[4], LastSeen: p.Now.Add(-test.silent)})
		}
		got := ""
		if next := p.Next(s); next != nil {
			got = memberNames(next)
		}
		if got != test.want {
			t.Errorf("%s: members %s, want %s", test.name, got, test.want)
		}
	}
}

// TestViewChangeEndsWithoutLostFailureDomain checks that a view change ends while one failure
// domain is silent, as every group keeps a read quorum.
func TestViewChangeEndsWithoutLostFailureDomain(t *testing.T) {
	var members []*fleetpb.Member
	for i, domain := range []string{"a", "a", "b", "b", "b", "c", "c", "d", "e"} {
		members = append(members, &fleetpb.Member{Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: domain})
	}
	s := newState(members...)
	s.View.Epoch, s.View.Prior, s.View.Copies = 2, members, 5
	p := newPlanner(append(members[:2:2], members[5:]...)...)
	p.Copies = 5
	for i := range p.Stores {
		p.Stores[i].CopiedEpoch = 2
	}
	if next := p.Next(s); next == nil || len(next.GetView().GetPrior()) > 0 {
		t.Errorf("the view change did not end: %v", next)
	}
}

// TestViewChangeIsNotAbandonedWhileMembersCopy guards against copies that begin anew, over a
// lost member that the end of the view change doesn't wait for.
func TestViewChangeIsNotAbandonedWhileMembersCopy(t *testing.T) {
	a, b, c, d, e := member("a", 1), member("b", 2), member("c", 3), member("d", 4), member("e", 5)
	s := newState(a, b, d)
	s.View.Epoch, s.View.Prior, s.View.Leaving = 2, []*fleetpb.Member{a, b, c}, []string{"c"}
	p := newPlanner(a, c, d, e)
	p.Stores[0].CopiedEpoch = 2
	p = silentFor(p, b, lostTimeout+time.Second)
	if next := p.Next(s); next != nil {
		t.Errorf("state %v, want no step while a member copies", next)
	}
	p.Stores[2].CopiedEpoch = 2
	if next := p.Next(s); next == nil || len(next.GetView().GetPrior()) > 0 {
		t.Errorf("state %v, want the end of the view change", next)
	}
}

// TestStandbyAvoidsLostDomain guards against a copy in the failure domain of a lost store.
func TestStandbyAvoidsLostDomain(t *testing.T) {
	in := func(m *fleetpb.Member, domain string) *fleetpb.Member {
		m.FailureDomain = domain
		return m
	}
	a, b := in(member("a", 1), "x"), in(member("b", 2), "y")
	p := newPlanner(b)
	for i, domain := range []string{"y", "x", "z"} {
		p = withStandby(p, in(member("control-"+domain, uint64(200+i)), domain))
	}
	if next := p.Next(newState(a, b)); next == nil || memberNames(next) != "[b control-z]" {
		t.Errorf("state %v, want a standby in the failure domain of no member", next)
	}
}

// TestViewChangeWaitsForMembersWithNewGroups guards against records with one copy less than
// their group has stores: a prior member was missing at the end of a view change that had
// given it groups of a store that left.
func TestViewChangeWaitsForMembersWithNewGroups(t *testing.T) {
	a, b, c, d, e := member("a", 1), member("b", 2), member("c", 3), member("d", 4), member("e", 5)
	s := newState(b, c, d, e)
	s.View.Epoch, s.View.Prior, s.View.Leaving = 2, []*fleetpb.Member{a, b, c, d}, []string{"a"}
	p := newPlanner(a, b, c, e)
	for i := range p.Stores {
		p.Stores[i].CopiedEpoch = 2
	}
	p = silentFor(p, d, LivenessTimeout+100*time.Millisecond)
	if next := p.Next(s); next != nil {
		t.Errorf("state %v, want no step while a member has not copied its new groups", next)
	}
}

func TestViewChangeEndsAfterCopy(t *testing.T) {
	a, b, c, d := member("a", 1), member("b", 2), member("c", 3), member("d", 4)
	s := newState(d, b, c)
	s.View.Epoch, s.View.Prior, s.View.Leaving = 2, []*fleetpb.Member{a, b, c}, []string{"a"}
	p := newPlanner(a, b, c, d)
	if p.Next(s) != nil {
		t.Fatal("the view change ended before the records were copied")
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
	// The retired store is still present and must not be used as a spare.
	p.Stores[3].LastSeen = p.Now.Add(-lostTimeout - time.Second)
	if more := p.Next(next); more != nil {
		t.Errorf("members %s after the view change, want no step", memberNames(more))
	}
}

func TestSpareIsRetiredImmediately(t *testing.T) {
	a, b, c, d := member("a", 1), member("b", 2), member("c", 3), member("d", 4)
	s := newState(a, b, c)
	s.View.Leaving = []string{"d"}
	next := newPlanner(a, b, c, d).Next(s)
	if next == nil || fmt.Sprint(next.GetRetired()) != "[d]" || len(next.GetView().GetLeaving()) > 0 || next.GetView().GetEpoch() != 1 {
		t.Errorf("state %v", next)
	}
}

func TestCheckRetire(t *testing.T) {
	a, b, c, d := member("a", 1), member("b", 2), member("c", 3), member("d", 4)
	var few *TooFewStoresError
	var unknown *UnknownStoreError
	s := newState(a, b, c)
	if err := newPlanner(a, b, c).CheckRetire(s, "x"); !errors.As(err, &unknown) {
		t.Errorf("%v for an unknown store, want an UnknownStoreError", err)
	}
	if err := newPlanner(a, b, c, d).CheckRetire(s, "a"); err != nil {
		t.Errorf("%v with a spare, want none", err)
	}
	if err := newPlanner(a, b, c).CheckRetire(s, "a"); err != nil {
		t.Errorf("%v when two stores would remain, want none", err)
	}
	s.View.Leaving = []string{"b"}
	if err := newPlanner(a, b, c).CheckRetire(s, "a"); !errors.As(err, &few) || few.Remaining != 1 {
		t.Errorf("%v when one store would remain, want a TooFewStoresError", err)
	}
	if err := newPlanner(a, b, c).CheckRetire(s, "b"); err != nil {
		t.Errorf("%v for a repeated request, want none", err)
	}
}

// TestRetirementKeepsTheTolerance guards against retirements after which a write quorum is
// no larger than the losses to be survived.
func TestRetirementKeepsTheTolerance(t *testing.T) {
	a, b, c, d, e := member("a", 1), member("b", 2), member("c", 3), member("d", 4), member("e", 5)
	p := newPlanner(a, b, c, d)
	p.Copies = 5
	var few *TooFewStoresError
	if err := p.CheckRetire(newState(a, b, c, d), "a"); !errors.As(err, &few) || few.Needed != 4 {
		t.Errorf("%v when three stores would remain for two losses, want a TooFewStoresError", err)
	}
	p = newPlanner(a, b, c, d, e)
	p.Copies = 5
	if err := p.CheckRetire(newState(a, b, c, d, e), "a"); err != nil {
		t.Errorf("%v when four stores would remain for two losses, want none", err)
	}
}

// TestRetirementCountsOnlyStoresThatArePresent guards against the loss of all records: a
// retirement was granted with one store left, since a member that was gone and a store
// that was retired already counted as remaining.
func TestRetirementCountsOnlyStoresThatArePresent(t *testing.T) {
	a, b, c, d := member("a", 1), member("b", 2), member("c", 3), member("d", 4)
	gone := silentFor(newPlanner(b, d), a, time.Minute)
	var few *TooFewStoresError
	if err := gone.CheckRetire(newState(a, b, d), "b"); !errors.As(err, &few) || few.Remaining != 1 {
		t.Errorf("%v with a member that is gone, want a TooFewStoresError", err)
	}
	s := newState(a, b)
	s.Retired = []string{"c"}
	if err := newPlanner(a, b, c).CheckRetire(s, "a"); !errors.As(err, &few) || few.Remaining != 1 {
		t.Errorf("%v with a store that is retired, want a TooFewStoresError", err)
	}
	started := newPlanner()
	started.Uptime = time.Second
	if err := started.CheckRetire(newState(a, b, c), "a"); err != nil {
		t.Errorf("%v right after the start of this control instance, want none", err)
	}
}

// TestAStartingControlInstanceRefusesNoRetirement guards against an operator's order that is refused for good by a control instance
// that has not heard the stores yet.
func TestAStartingControlInstanceRefusesNoRetirement(t *testing.T) {
	a, b, c := member("a", 1), member("b", 2), member("c", 3)
	p := newPlanner(a, b)
	p.Uptime = minUptime
	var starting *StartingError
	if err := p.CheckRetire(newState(a, b), "c"); !errors.As(err, &starting) {
		t.Errorf("%v for a store that was not heard, want a StartingError", err)
	}
	if err := p.CheckRetire(newState(a, b), "a"); !errors.As(err, &starting) {
		t.Errorf("%v while a store was not heard, want a StartingError", err)
	}
	p = newPlanner(a, b, c)
	if err := p.CheckRetire(newState(a, b), "a"); err != nil {
		t.Errorf("%v once it was, want none", err)
	}
}

func TestPlannerVoters(t *testing.T) {
	now := time.Unix(100, 0)
	seen := func(m *fleetpb.Member, ago time.Duration) Peer {
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
		{"all present", []Peer{seen(b, 0), seen(c, 0)}, "[control-0 control-1 control-2]"},
		{"a spare is not needed", []Peer{seen(b, 0), seen(c, 0), seen(d, 0)}, "[control-0 control-1 control-2]"},
		{"a short silence", []Peer{seen(b, 0), seen(c, time.Second), seen(d, 0)}, "[control-0 control-1 control-2]"},
		{"a lost voter", []Peer{seen(b, 0), seen(c, time.Minute), seen(d, 0)}, "[control-0 control-1 control-3]"},
		{"a wiped disk", []Peer{seen(b, 0), seen(member("control-2", 200), 0)}, "[control-0 control-1 control-2]"},
	}
	for _, test := range tests {
		p := base
		p.Control = test.control
		if got := fmt.Sprint(instanceNames(p.targetVoters(voters))); got != test.want {
			t.Errorf("%s: voters %s, want %s", test.name, got, test.want)
		}
	}
}

// TestMemberAtAnotherAddressIsFollowed guards against a store or voter that can't be reached
// for good: it returned with its disk at another address.
func TestMemberAtAnotherAddressIsFollowed(t *testing.T) {
	at := func(name string, storage uint64, address string) *fleetpb.Member {
		return &fleetpb.Member{Instance: name, Storage: storage, Address: address}
	}
	s := newState(at("a", 1, "x:1"), at("b", 2, "y:1"))
	s.Voters = []*fleetpb.Member{at("control-1", 101, "z:1")}
	p := newPlanner(at("a", 1, "w:1"), at("b", 2, "y:1"))
	p.Control = []Peer{{Member: at("control-1", 101, "z:2"), LastSeen: p.Now}}
	next := p.Next(s)
	if next == nil || next.GetView().GetEpoch() != 1 || next.GetView().GetMembers()[0].GetAddress() != "w:1" || next.GetVoters()[0].GetAddress() != "z:2" {
		t.Errorf("state %v, want the new addresses under the same epoch", next)
	}
}
