// SPDX-License-Identifier: MIT

package watch

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/schema/fleetpb"
)

// newFollowingClient returns a client that knows n control instances in five
// failure domains. Its context is cancelled, so its loops end at once.
func newFollowingClient(t testing.TB, name string, n int) *Client {
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
		c.addTarget(fmt.Sprint("control-", i), &fleetpb.Member{Instance: fmt.Sprint("control-", i), FailureDomain: fmt.Sprint("domain-", i%5)})
	}
	return c
}

// followed returns the followed targets and the local ones among them.
func (c *Client) followed() (all, local []*target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		if t.wanted {
			all = append(all, t)
			if c.isLocal(t) {
				local = append(local, t)
			}
		}
	}
	return all, local
}

// TestAnInstanceCallsAFewControlInstances guards against calls that grow with the
// product of the numbers of instances and control instances.
func TestAnInstanceCallsAFewControlInstances(t *testing.T) {
	for _, n := range []int{1, 2, 3, 25, 50} {
		c := newFollowingClient(t, "entry", n)
		all, local := c.followed()
		if want := min(n, maxFollowed); len(all) != want {
			t.Errorf("%d of %d control instances are followed, want %d", len(all), n, want)
		}
		if n >= 25 && len(local) != maxFollowedLocal {
			t.Errorf("%d of them are in the client's failure domain", len(local))
		}
		c.Role = fleetpb.Role_ROLE_CONTROL
		c.mu.Lock()
		c.updateFollowed(time.Now())
		c.mu.Unlock()
		if all, _ := c.followed(); len(all) != n {
			t.Errorf("a control instance follows %d of %d others", len(all), n)
		}
	}
}

// TestFollowersAreSpreadEvenly guards against control instances with far more followers than the mean.
func TestFollowersAreSpreadEvenly(t *testing.T) {
	const instances, controls = 1000, 25
	count := map[string]int{}
	for i := range instances {
		c := newFollowingClient(t, fmt.Sprint("entry-", i), controls)
		c.Self.FailureDomain = fmt.Sprint("domain-", i%5)
		c.mu.Lock()
		c.updateFollowed(time.Now())
		c.mu.Unlock()
		all, _ := c.followed()
		for _, t := range all {
			count[t.address]++
		}
	}
	for address, n := range count {
		if mean := maxFollowed * instances / controls; n > mean*3/2 || n < mean/2 {
			t.Errorf("%s has %d followers, mean is %d", address, n, mean)
		}
	}
}

// TestUnresponsiveControlInstanceIsReplaced checks that another one is followed, and the first one tried again later.
func TestUnresponsiveControlInstanceIsReplaced(t *testing.T) {
	c := newFollowingClient(t, "entry", 25)
	now := time.Now()
	all, _ := c.followed()
	unresponsive := all[0]
	c.mu.Lock()
	unresponsive.lastAnswer = now.Add(-2 * unreachableAfter)
	c.mu.Unlock()
	unresponsive.handleFailure(context.DeadlineExceeded)
	if again, _ := c.followed(); len(again) != maxFollowed || unresponsive.wanted {
		t.Fatalf("%d are followed, the unresponsive one: %v", len(again), unresponsive.wanted)
	}
	c.mu.Lock()
	c.updateFollowed(now.Add(minBackoff + time.Second))
	c.mu.Unlock()
	if !unresponsive.wanted {
		t.Error("it is not followed again")
	}
	// With all local instances in backoff, the others are followed instead.
	c.mu.Lock()
	for _, o := range c.targets {
		if c.isLocal(o) {
			o.backoffUntil = now.Add(time.Hour)
		}
	}
	c.updateFollowed(now)
	c.mu.Unlock()
	if again, local := c.followed(); len(again) != maxFollowed || len(local) != 0 {
		t.Errorf("%d are followed, %d of them in backoff", len(again), len(local))
	}
}

// TestAllAreFollowedWhileOneDoesNotRelay guards against an older control instance
// that takes stores for lost because it hears only its own followers. Quotas also
// require following all.
func TestAllAreFollowedWhileOneDoesNotRelay(t *testing.T) {
	c := newFollowingClient(t, "entry", 25)
	answer := func(reach *fleetpb.Reach) int {
		all, _ := c.followed()
		c.recordAnswer(time.Now(), all[0], &fleetpb.WatchReply{Responder: all[0].member, Reach: reach}, time.Now())
		all, _ = c.followed()
		return len(all)
	}
	if n := answer(&fleetpb.Reach{AllRelay: true}); n != maxFollowed {
		t.Errorf("%d are followed where all relay", n)
	}
	if n := answer(&fleetpb.Reach{}); n != 25 {
		t.Errorf("%d are followed where one does not relay", n)
	}
	c = newFollowingClient(t, "entry", 25)
	if n := answer(nil); n != 25 {
		t.Errorf("%d are followed where the responder does not relay", n)
	}
	c = newFollowingClient(t, "entry", 25)
	c.FollowAll = func() bool { return true }
	if n := answer(&fleetpb.Reach{AllRelay: true}); n != 25 {
		t.Errorf("%d are followed where quotas exist", n)
	}
}

// TestAFollowerOfOneSideFindsTheOther guards against an instance that keeps following control instances without a majority of the
// voters while others, which it could reach, have one.
func TestAFollowerOfOneSideFindsTheOther(t *testing.T) {
	// The control instances with a majority are the first two, as of three voters.
	majority := func(t *target) bool { return t.address == "control-0" || t.address == "control-1" }
	for _, n := range []int{4, 5, 6, 8, 25} {
		found, passes := 0, 0
		const followers = 200
		for i := range followers {
			c := newFollowingClient(t, fmt.Sprint("entry-", i), n)
			now := time.Now()
			for pass := 0; ; pass++ {
				all, _ := c.followed()
				if slices.ContainsFunc(all, majority) {
					found, passes = found+1, max(passes, pass)
					break
				}
				if now = now.Add(rotateInterval); pass > n {
					break
				}
				for _, a := range all {
					c.recordAnswer(now, a, &fleetpb.WatchReply{Responder: a.member, Reach: &fleetpb.Reach{AllRelay: true, Majority: majority(a)}}, now)
				}
			}
		}
		if found != followers {
			t.Errorf("%d control instances: %d of %d followers found one with a majority", n, found, followers)
		}
		if most := (n + maxFollowed - 1) / maxFollowed; passes > most {
			t.Errorf("%d control instances: a follower looked %d times, want %d at the most", n, passes, most)
		}
	}
}

// TestFollowersSettleWhereTheMajorityIs guards against instances that go on changing whom they follow, while control is cut or lost or
// after it, and against an update that is requested from a control instance without a majority.
func TestFollowersSettleWhereTheMajorityIs(t *testing.T) {
	c := newFollowingClient(t, "entry", 8)
	now := time.Now()
	inMajority := func(t *target) bool { return t.member.GetFailureDomain() != "domain-2" }
	answer := func(has func(*target) bool) (changed bool) {
		before, _ := c.followed()
		for _, a := range before {
			c.recordAnswer(now, a, &fleetpb.WatchReply{Responder: a.member, Reach: &fleetpb.Reach{AllRelay: true, Majority: has(a)}}, now)
		}
		after, _ := c.followed()
		return slices.ContainsFunc(after, func(t *target) bool { return !slices.Contains(before, t) })
	}
	answer(func(*target) bool { return true })
	if all, local := c.followed(); len(all) != maxFollowed || len(local) != maxFollowedLocal {
		t.Fatalf("%d are followed, %d of them local", len(all), len(local))
	}
	for range 4 {
		now = now.Add(longPollTimeout)
		answer(inMajority)
	}
	if answer(inMajority) {
		t.Error("others are followed although a majority is")
	}
	if p := c.primary(now); p == nil || !inMajority(p) {
		t.Errorf("the primary %v has no majority", p)
	}
	now = now.Add(minorityMemory + time.Second)
	c.mu.Lock()
	c.updateFollowed(now)
	c.mu.Unlock()
	answer(func(*target) bool { return true })
	if all, local := c.followed(); len(all) != maxFollowed || len(local) != maxFollowedLocal {
		t.Errorf("%d are followed after the cut, %d of them local", len(all), len(local))
	}
}

// TestCutOffIsDerivedFromReach checks that the voters are counted through the followed control instances.
func TestCutOffIsDerivedFromReach(t *testing.T) {
	c := newFollowingClient(t, "entry", 25)
	var voters []*fleetpb.Member
	for i := range 5 {
		voters = append(voters, &fleetpb.Member{Instance: fmt.Sprint("control-", i)})
	}
	c.UpdateState(&fleetpb.State{Number: 1, Voters: voters})
	if !c.CutOff() || c.ReachesDomain("domain-4") {
		t.Error("not cut off although no control instance has answered")
	}
	_, local := c.followed()
	reply := &fleetpb.WatchReply{Responder: local[0].member, Reach: &fleetpb.Reach{AllRelay: true, Majority: true, FailureDomains: []string{"domain-4"}}}
	c.recordAnswer(time.Now(), local[0], reply, time.Now())
	if c.CutOff() || !c.ReachesDomain("domain-4") || c.ReachesDomain("domain-9") {
		t.Error("cut off although a control instance reaches a majority of the voters")
	}
	reply.Reach = &fleetpb.Reach{AllRelay: true}
	c.recordAnswer(time.Now(), local[0], reply, time.Now())
	if !c.CutOff() || c.ReachesDomain("domain-4") {
		t.Error("not cut off although the only control instance that answers is")
	}
}

// TestKnownControlInstancesAreNotToldAgain guards against replies that repeat the known control instances.
func TestKnownControlInstancesAreNotToldAgain(t *testing.T) {
	c, control := newTestClient(t), &recordingControl{}
	target := c.serve(t, control)
	control.reply = &fleetpb.WatchReply{ControlSum: 7, Control: []*fleetpb.Member{{Instance: "o", Address: "o"}}}
	for _, want := range []uint64{0, 7} {
		if err := target.poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := control.lastRequest.GetControlSum(); got != want || !control.lastRequest.GetCompact() {
			t.Errorf("request has checksum %d, want %d", got, want)
		}
		control.reply = &fleetpb.WatchReply{ControlSum: 7}
	}
	if len(target.knownControl) != 1 {
		t.Error("the known control instances were dropped")
	}
}

// TestMismatchedListChangeIsRequestedWhole covers changes with a wrong base or a wrong result.
func TestMismatchedListChangeIsRequestedWhole(t *testing.T) {
	known := &fleetpb.EndpointList{Number: 1, Endpoints: []*fleetpb.Endpoint{{Id: "a"}}}
	next := catalog.New(&fleetpb.EndpointList{Number: 2, Endpoints: []*fleetpb.Endpoint{{Id: "a"}, {Id: "b"}}})
	for name, wrong := range map[string]func(*fleetpb.ListChange){
		"base":   func(c *fleetpb.ListChange) { c.BaseSum++ },
		"result": func(c *fleetpb.ListChange) { c.Sum++ },
	} {
		c, control := newTestClient(t), &recordingControl{}
		target := c.serve(t, control)
		c.UpdateList(known, time.Now())
		change := catalog.Diff(c.List().Version(), next)
		wrong(change)
		control.reply = &fleetpb.WatchReply{ListKnown: true, ListNumber: 2, ListChange: change}
		if err := target.poll(t.Context()); err == nil || c.List().Version().Number() != 1 {
			t.Errorf("%s: list %d after a wrong change, %v", name, c.List().Version().Number(), err)
		}
		if control.lastRequest.GetListSum() == 0 {
			t.Errorf("%s: the request does not name the held list", name)
		}
		whole, err := catalog.Snapshot(next)
		if err != nil {
			t.Fatal(err)
		}
		control.reply.ListChange = whole
		if err := target.poll(t.Context()); err != nil || c.List().Version().Number() != 2 || control.lastRequest.GetListSum() != 0 {
			t.Errorf("%s: list %d, %v", name, c.List().Version().Number(), err)
		}
	}
}

// TestEndpointUsesAreReportedToOneControlInstance guards against uses that are counted twice through relays.
func TestEndpointUsesAreReportedToOneControlInstance(t *testing.T) {
	c, primary, secondary := newTestClient(t), &recordingControl{reply: &fleetpb.WatchReply{}}, &recordingControl{reply: &fleetpb.WatchReply{}}
	c.EndpointUses = func() []EndpointUse { return []EndpointUse{{Running: 1, Answered: 5}} }
	first, second := c.serve(t, primary), c.serve(t, secondary)
	second.member = &fleetpb.Member{FailureDomain: "b"}
	primary.reply.Responder, secondary.reply.Responder = first.member, second.member
	for _, target := range []*target{first, second} {
		if err := target.poll(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if len(primary.lastRequest.GetUses()) != 1 || !primary.lastRequest.GetWantsLoads() || len(secondary.lastRequest.GetUses()) != 0 || secondary.lastRequest.GetWantsLoads() {
		t.Errorf("requests %v and %v", primary.lastRequest, secondary.lastRequest)
	}
	// The next instance receives only what is new.
	first.answered = false
	if err := second.poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if uses := secondary.lastRequest.GetUses(); len(uses) != 1 || uses[0].GetRunning() != 1 || uses[0].GetAnswered() != 0 {
		t.Errorf("uses %v", uses)
	}
}

// TestRemovedControlInstancesExpire checks that only seeds and recently heard or listed instances stay known.
func TestRemovedControlInstancesExpire(t *testing.T) {
	c := newFollowingClient(t, "control", 5)
	c.Role = fleetpb.Role_ROLE_CONTROL
	c.Seeds = []string{"control-1"}
	later := time.Now().Add(expireAfter + time.Second)
	c.mu.Lock()
	c.updateFollowed(time.Now())
	gone := c.targets["control-2"]
	c.targets["control-3"].lastAnswer, c.targets["control-4"].lastListed = later, later
	c.expireTargets(later)
	n := len(c.targets)
	c.mu.Unlock()
	if n != 3 || gone.shouldContinue() {
		t.Errorf("%d control instances are known, want the seed and two that are heard or listed", n)
	}
}
