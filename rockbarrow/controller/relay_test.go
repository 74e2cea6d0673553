// SPDX-License-Identifier: MIT

package controller

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/membership"
	"rockbarrow.dev/schema/fleetpb"
)

// Instances that call one control instance, and their calls at endpoints, must be known to the
// others.
func TestFollowersAreRelayed(t *testing.T) {
	cluster := startCluster(t)
	cluster[0].list.set(&fleetpb.Endpoint{Id: "x"}, &fleetpb.Endpoint{Id: "y"})
	entry := &fleetpb.WatchRequest{
		Sender: &fleetpb.Member{Instance: "entry-1", FailureDomain: "a"}, Role: fleetpb.Role_ROLE_ENTRY, Serves: true, Compact: true,
		Uses: []*fleetpb.EndpointUse{{Endpoint: "y", Running: 2, Failed: 20}},
	}
	store := &fleetpb.WatchRequest{
		Sender: &fleetpb.Member{Instance: "store-1", Storage: 9}, Role: fleetpb.Role_ROLE_STORE, CopiedEpoch: 3, Compact: true,
	}
	call := func(req *fleetpb.WatchRequest) {
		if _, err := cluster[0].controller.Watch(t.Context(), req); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range cluster[1:] {
		c := p.controller
		waitFor(t, func() bool {
			call(entry)
			call(store)
			now := time.Now()
			stores := c.presence.members(now, fleetpb.Role_ROLE_STORE, membership.LivenessTimeout)
			domains, present, _ := c.presence.entryDomains(now)
			list := c.Endpoints().Version()
			if len(stores) != 1 || stores[0].CopiedEpoch != 3 || present != 1 || domains[0].GetServing() != 1 || list == nil {
				return false
			}
			l := c.loads.forEntry(now, "entry-2", list, true)
			return len(l.GetIndex()) == 1 && l.GetRunning()[0] == 2 && l.GetFailing()[0] > 50
		})
	}
	// The others must not relay it again.
	if uses := cluster[1].controller.loads.relayedRunning(); len(uses) != 0 {
		t.Errorf("%v would be relayed twice", uses)
	}
}

// The size of loads must not depend on the length of the list.
func TestLoadsCostWhatIsUsed(t *testing.T) {
	var sizes []int
	for _, n := range []int{1000, 2000} {
		list := &fleetpb.EndpointList{Number: 1}
		for i := range n {
			list.Endpoints = append(list.Endpoints, &fleetpb.Endpoint{Id: fmt.Sprintf("e%05d", i)})
		}
		var l loads
		now := time.Unix(100, 0)
		l.record(now, "1", []*fleetpb.EndpointUse{use("e00007", 3, 0, 0), use("e00100", 0, 0, 40), use("gone", 1, 0, 0)}, true)
		got := l.forEntry(now, "2", catalog.New(list), true)
		if len(got.GetIndex()) != 2 || got.GetIndex()[0] != 7 || got.GetRunning()[0] != 3 || got.GetFailing()[1] < 50 {
			t.Errorf("%v", got)
		}
		sizes = append(sizes, proto.Size(got))
		if own := l.forEntry(now, "1", catalog.New(list), true); len(own.GetIndex()) != 1 {
			t.Errorf("%v, want no calls of the receiver itself", own)
		}
	}
	if sizes[0] != sizes[1] {
		t.Errorf("%d and %d bytes in lists of 1,000 and 2,000 endpoints", sizes[0], sizes[1])
	}
}

// Endpoints with successful calls only must not add to the cost of loads.
func TestCallsThatEndedWellCostNothing(t *testing.T) {
	list := &fleetpb.EndpointList{Number: 1}
	var l loads
	now := time.Unix(100, 0)
	for i := range 2000 {
		id := fmt.Sprintf("e%05d", i)
		list.Endpoints = append(list.Endpoints, &fleetpb.Endpoint{Id: id})
		l.record(now, "1", []*fleetpb.EndpointUse{use(id, 0, 9, 0)}, true)
	}
	version := catalog.New(list)
	if n := testing.AllocsPerRun(10, func() { l.forEntry(now, "2", version, true) }); n > 2 {
		t.Errorf("%.0f allocations without running or failed calls", n)
	}
	l.record(now, "1", []*fleetpb.EndpointUse{use("e00007", 0, 0, 1)}, true)
	if got := l.forEntry(now, "2", version, true); len(got.GetIndex()) != 1 || got.GetFailing()[0] == 0 {
		t.Errorf("%v, want the endpoint with a failed call", got)
	}
}

// A waiting control instance must be notified only by the instance at which an update originated.
func TestACallThatWaitsIsAnsweredByTheMaker(t *testing.T) {
	c := &Controller{Self: &fleetpb.Member{Instance: "control-0", Storage: 1}, DataDir: t.TempDir(), Log: discardLog()}
	if err := c.Open(); err != nil {
		t.Fatal(err)
	}
	peer := &fleetpb.WatchRequest{Role: fleetpb.Role_ROLE_CONTROL, WantsNews: true}
	entry := &fleetpb.WatchRequest{Role: fleetpb.Role_ROLE_ENTRY, WantsNews: true}
	c.watch.UpdateList(&fleetpb.EndpointList{Number: 5}, time.Now())
	if c.hasUpdateFor(peer, false) || !c.hasUpdateFor(peer, true) || !c.hasUpdateFor(entry, false) {
		t.Error("a waiting control instance is notified of what was learned from others")
	}
	c.offerList(catalog.New(&fleetpb.EndpointList{Number: 6}), time.Now())
	if !c.hasUpdateFor(peer, false) {
		t.Error("an update that originated here is not sent")
	}
	peer.ListNumber = 6
	if c.hasUpdateFor(peer, true) {
		t.Error("a known update is sent again")
	}
}

// Replies must omit what a compact sender already holds.
func TestCompactRepliesOmitKnownData(t *testing.T) {
	cluster := startCluster(t)
	c := cluster[0].controller
	cluster[0].list.set(&fleetpb.Endpoint{Id: "x"})
	waitFor(t, func() bool { return len(c.Endpoints().List().GetEndpoints()) == 1 })
	req := &fleetpb.WatchRequest{Sender: &fleetpb.Member{Instance: "e"}, Role: fleetpb.Role_ROLE_ENTRY, Compact: true, WantsNews: true}
	first, err := c.Watch(t.Context(), req)
	if err != nil || len(first.GetControl()) == 0 || len(first.GetListChange().GetWhole()) == 0 {
		t.Fatalf("%v, %v", first, err)
	}
	cluster[0].list.set(&fleetpb.Endpoint{Id: "x"}, &fleetpb.Endpoint{Id: "y"})
	waitFor(t, func() bool { return len(c.Endpoints().List().GetEndpoints()) == 2 })
	req.ControlSum, req.ListSum, req.ListNumber = c.memberSummary(time.Now()).controlChecksum, first.GetListChange().GetSum(), first.GetListNumber()
	second, err := c.Watch(t.Context(), req)
	if err != nil || len(second.GetControl()) != 0 || len(second.GetListChange().GetChanged()) != 1 || second.GetList() != nil || second.GetPackedList() != nil {
		t.Errorf("%v, %v", second, err)
	}
}
