// SPDX-License-Identifier: MIT

package watch

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/schema/fleetpb"
)

// follower is a client that knows n control instances in five failure domains, each of which has answered or not. Its
// loops end at once.
func follower(t testing.TB, name string, n int) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	c := &Client{
		Self: &fleetpb.Member{Instance: name, FailureDomain: "domain-2"}, Role: fleetpb.Role_ROLE_ENTRY,
		Pool: pool, Log: logrus.NewEntry(log), ctx: ctx,
	}
	for i := range n {
		c.add(fmt.Sprint("control-", i), &fleetpb.Member{Instance: fmt.Sprint("control-", i), FailureDomain: fmt.Sprint("domain-", i%5)})
	}
	return c
}

// followed returns whom a client follows.
func (c *Client) followed() (all, near []*target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		if t.wanted {
			all = append(all, t)
			if c.isNear(t) {
				near = append(near, t)
			}
		}
	}
	return all, near
}

// TestAnInstanceCallsAFewControlInstances: each entry and store instance called every control instance several times a
// second, which grew with the product of their numbers.
func TestAnInstanceCallsAFewControlInstances(t *testing.T) {
	for _, n := range []int{1, 2, 3, 25, 50} {
		c := follower(t, "entry", n)
		all, near := c.followed()
		if want := min(n, followed); len(all) != want {
			t.Errorf("%d of %d control instances are called, want %d", len(all), n, want)
		}
		if n >= 25 && len(near) != followedNear {
			t.Errorf("%d of them are in the own failure domain", len(near))
		}
		c.Role = fleetpb.Role_ROLE_CONTROL
		c.mu.Lock()
		c.follow(time.Now())
		c.mu.Unlock()
		if all, _ := c.followed(); len(all) != n {
			t.Errorf("a control instance calls %d of %d others", len(all), n)
		}
	}
}

// TestFollowersAreSpread over the control instances: none has many more than its part.
func TestFollowersAreSpread(t *testing.T) {
	const instances, controls = 1000, 25
	count := map[string]int{}
	for i := range instances {
		c := follower(t, fmt.Sprint("entry-", i), controls)
		c.Self.FailureDomain = fmt.Sprint("domain-", i%5)
		c.mu.Lock()
		c.follow(time.Now())
		c.mu.Unlock()
		all, _ := c.followed()
		for _, t := range all {
			count[t.address]++
		}
	}
	for address, n := range count {
		if mean := followed * instances / controls; n > mean*3/2 || n < mean/2 {
			t.Errorf("%s has %d followers, and the mean is %d", address, n, mean)
		}
	}
}

// TestAControlInstanceThatDoesNotAnswerGivesWay to others, and is tried again.
func TestAControlInstanceThatDoesNotAnswerGivesWay(t *testing.T) {
	c := follower(t, "entry", 25)
	now := time.Now()
	all, _ := c.followed()
	lost := all[0]
	c.mu.Lock()
	lost.lastAnswer = now.Add(-2 * silentAfter)
	c.mu.Unlock()
	lost.failed(context.DeadlineExceeded)
	if again, _ := c.followed(); len(again) != followed || lost.wanted {
		t.Fatalf("%d are called, the lost one: %v", len(again), lost.wanted)
	}
	c.mu.Lock()
	c.follow(now.Add(firstAvoidance + time.Second))
	c.mu.Unlock()
	if !lost.wanted {
		t.Error("it is never called again")
	}
	// All of the own failure domain are lost: the others are called instead.
	c.mu.Lock()
	for _, o := range c.targets {
		if c.isNear(o) {
			o.avoidUntil = now.Add(time.Hour)
		}
	}
	c.follow(now)
	c.mu.Unlock()
	if again, near := c.followed(); len(again) != followed || len(near) != 0 {
		t.Errorf("%d are called, %d of them lost", len(again), len(near))
	}
}

// TestAllAreCalledWhileOneDoesNotRelay: a control instance of the version before knows only who calls it, and would take
// stores for lost that call others. Quotas are counted at every control instance.
func TestAllAreCalledWhileOneDoesNotRelay(t *testing.T) {
	c := follower(t, "entry", 25)
	answer := func(reach *fleetpb.Reach) int {
		all, _ := c.followed()
		c.answered(all[0], &fleetpb.WatchReply{Responder: all[0].member, Reach: reach}, time.Now())
		all, _ = c.followed()
		return len(all)
	}
	if n := answer(&fleetpb.Reach{AllRelay: true}); n != followed {
		t.Errorf("%d are called where all relay", n)
	}
	if n := answer(&fleetpb.Reach{}); n != 25 {
		t.Errorf("%d are called where one does not relay", n)
	}
	c = follower(t, "entry", 25)
	if n := answer(nil); n != 25 {
		t.Errorf("%d are called where the responder does not relay", n)
	}
	c = follower(t, "entry", 25)
	c.FollowAll = func() bool { return true }
	if n := answer(&fleetpb.Reach{AllRelay: true}); n != 25 {
		t.Errorf("%d are called where there are quotas", n)
	}
}

// TestACutIsToldByRelays: an instance that calls three of 25 control instances can't count voters itself.
func TestACutIsToldByRelays(t *testing.T) {
	c := follower(t, "entry", 25)
	var voters []*fleetpb.Member
	for i := range 5 {
		voters = append(voters, &fleetpb.Member{Instance: fmt.Sprint("control-", i)})
	}
	c.UpdateState(&fleetpb.State{Number: 1, Voters: voters})
	if !c.CutOff() || c.ReachesDomain("domain-4") {
		t.Error("nobody has answered, and others are reached")
	}
	_, near := c.followed()
	reply := &fleetpb.WatchReply{Responder: near[0].member, Reach: &fleetpb.Reach{AllRelay: true, Majority: true, FailureDomains: []string{"domain-4"}}}
	c.answered(near[0], reply, time.Now())
	if c.CutOff() || !c.ReachesDomain("domain-4") || c.ReachesDomain("domain-9") {
		t.Error("a control instance that reaches a majority of the voters answers")
	}
	reply.Reach = &fleetpb.Reach{AllRelay: true}
	c.answered(near[0], reply, time.Now())
	if !c.CutOff() || c.ReachesDomain("domain-4") {
		t.Error("the only control instance that answers is cut off itself")
	}
}

// TestKnownControlInstancesAreNotToldAgain: 25 of them came with each answer, several times a second.
func TestKnownControlInstancesAreNotToldAgain(t *testing.T) {
	c, control := newTableClient(t), &teller{}
	target := c.serve(t, control)
	control.reply = &fleetpb.WatchReply{ControlSum: 7, Control: []*fleetpb.Member{{Instance: "o", Address: "o"}}}
	for _, want := range []uint64{0, 7} {
		if err := target.watch(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := control.asked.GetControlSum(); got != want || !control.asked.GetCompact() {
			t.Errorf("sum %d is told, want %d", got, want)
		}
		control.reply = &fleetpb.WatchReply{ControlSum: 7}
	}
	if len(target.control) != 1 {
		t.Error("what was told before is forgotten")
	}
}

// TestAWrongListIsAskedForWhole: of another base than the one that was told, or damaged.
func TestAWrongListIsAskedForWhole(t *testing.T) {
	known := &fleetpb.EndpointList{Number: 1, Endpoints: []*fleetpb.Endpoint{{Id: "a"}}}
	next := catalog.New(&fleetpb.EndpointList{Number: 2, Endpoints: []*fleetpb.Endpoint{{Id: "a"}, {Id: "b"}}})
	for name, wrong := range map[string]func(*fleetpb.ListChange){
		"base":   func(c *fleetpb.ListChange) { c.BaseSum++ },
		"result": func(c *fleetpb.ListChange) { c.Sum++ },
	} {
		c, control := newTableClient(t), &teller{}
		target := c.serve(t, control)
		c.UpdateList(known, time.Now())
		change := catalog.Change(c.List().Version(), next)
		wrong(change)
		control.reply = &fleetpb.WatchReply{ListKnown: true, ListNumber: 2, ListChange: change}
		if err := target.watch(t.Context()); err == nil || c.List().Version().Number() != 1 {
			t.Errorf("%s: list %d after a wrong change, %v", name, c.List().Version().Number(), err)
		}
		if control.asked.GetListSum() == 0 {
			t.Errorf("%s: the list that is held was not told", name)
		}
		whole, err := catalog.Whole(next)
		if err != nil {
			t.Fatal(err)
		}
		control.reply.ListChange = whole
		if err := target.watch(t.Context()); err != nil || c.List().Version().Number() != 2 || control.asked.GetListSum() != 0 {
			t.Errorf("%s: list %d, %v", name, c.List().Version().Number(), err)
		}
	}
}

// TestCallsAreReportedToOneControlInstance: it relays them, so that the others would count them twice.
func TestCallsAreReportedToOneControlInstance(t *testing.T) {
	c, near, far := newTableClient(t), &teller{reply: &fleetpb.WatchReply{}}, &teller{reply: &fleetpb.WatchReply{}}
	c.EndpointUses = func() []EndpointUse { return []EndpointUse{{Running: 1, Answered: 5}} }
	first, second := c.serve(t, near), c.serve(t, far)
	second.member = &fleetpb.Member{FailureDomain: "b"}
	near.reply.Responder, far.reply.Responder = first.member, second.member
	for _, target := range []*target{first, second} {
		if err := target.watch(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if len(near.asked.GetUses()) != 1 || !near.asked.GetWantsLoads() || len(far.asked.GetUses()) != 0 || far.asked.GetWantsLoads() {
		t.Errorf("%v and %v", near.asked, far.asked)
	}
	// The next one is told of what is new only.
	first.answered = false
	if err := second.watch(t.Context()); err != nil {
		t.Fatal(err)
	}
	if uses := far.asked.GetUses(); len(uses) != 1 || uses[0].GetRunning() != 1 || uses[0].GetAnswered() != 0 {
		t.Errorf("%v", uses)
	}
}

// TestControlInstancesThatAreGoneAreForgotten: neither they nor others tell of them any more. Seeds may come back.
func TestControlInstancesThatAreGoneAreForgotten(t *testing.T) {
	c := follower(t, "control", 5)
	c.Role = fleetpb.Role_ROLE_CONTROL
	c.Seeds = []string{"control-1"}
	later := time.Now().Add(forgetAfter + time.Second)
	c.mu.Lock()
	c.follow(time.Now())
	gone := c.targets["control-2"]
	c.targets["control-3"].lastAnswer, c.targets["control-4"].listed = later, later
	c.forget(later)
	n := len(c.targets)
	c.mu.Unlock()
	if n != 3 || gone.isFollowed() {
		t.Errorf("%d control instances are known, want the seed and two that are heard or told of", n)
	}
}
