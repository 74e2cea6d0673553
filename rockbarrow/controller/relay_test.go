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

// TestAllKnowTheFollowersOfOne: an instance calls one of three control instances; the others take it for present, and
// hear of its calls at endpoints.
func TestAllKnowTheFollowersOfOne(t *testing.T) {
	core := newCore(t)
	core[0].list.set(&fleetpb.Endpoint{Id: "x"}, &fleetpb.Endpoint{Id: "y"})
	entry := &fleetpb.WatchRequest{
		Sender: &fleetpb.Member{Instance: "entry-1", FailureDomain: "a"}, Role: fleetpb.Role_ROLE_ENTRY, Serves: true, Compact: true,
		Uses: []*fleetpb.EndpointUse{{Endpoint: "y", Running: 2, Failed: 20}},
	}
	store := &fleetpb.WatchRequest{
		Sender: &fleetpb.Member{Instance: "store-1", Storage: 9}, Role: fleetpb.Role_ROLE_STORE, CopiedEpoch: 3, Compact: true,
	}
	call := func(req *fleetpb.WatchRequest) {
		if _, err := core[0].controller.Watch(t.Context(), req); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range core[1:] {
		c := p.controller
		await(t, func() bool {
			call(entry)
			call(store)
			now := time.Now()
			stores := c.presence.members(now, fleetpb.Role_ROLE_STORE, membership.PresentWithin)
			domains, present := c.presence.entryDomains(now)
			list := c.Endpoints().Version()
			if len(stores) != 1 || stores[0].Copied != 3 || present != 1 || domains[0].GetServing() != 1 || list == nil {
				return false
			}
			l := c.loads.of(now, "entry-2", list, true)
			return len(l.GetIndex()) == 1 && l.GetRunning()[0] == 2 && l.GetFailing()[0] > 50
		})
	}
	// The others do not pass it on a second time.
	if uses := core[1].controller.loads.direct(); len(uses) != 0 {
		t.Errorf("%v would be counted twice", uses)
	}
}

// TestLoadsCostWhatIsUsed: each entry instance got a table of all endpoints several times a second.
func TestLoadsCostWhatIsUsed(t *testing.T) {
	var sizes []int
	for _, n := range []int{1000, 2000} {
		list := &fleetpb.EndpointList{Number: 1}
		for i := range n {
			list.Endpoints = append(list.Endpoints, &fleetpb.Endpoint{Id: fmt.Sprintf("e%05d", i)})
		}
		var l loads
		now := time.Unix(100, 0)
		l.receive(now, "1", []*fleetpb.EndpointUse{use("e00007", 3, 0, 0), use("e00100", 0, 0, 40), use("gone", 1, 0, 0)}, true)
		got := l.of(now, "2", catalog.New(list), true)
		if len(got.GetIndex()) != 2 || got.GetIndex()[0] != 7 || got.GetRunning()[0] != 3 || got.GetFailing()[1] < 50 {
			t.Errorf("%v", got)
		}
		sizes = append(sizes, proto.Size(got))
		if own := l.of(now, "1", catalog.New(list), true); len(own.GetIndex()) != 1 {
			t.Errorf("%v, want no own calls", own)
		}
	}
	if sizes[0] != sizes[1] {
		t.Errorf("%d and %d bytes in lists of 1,000 and 2,000 endpoints", sizes[0], sizes[1])
	}
}

// TestCallsThatEndedWellCostNothing: each answer looked up all endpoints that had been called lately.
func TestCallsThatEndedWellCostNothing(t *testing.T) {
	list := &fleetpb.EndpointList{Number: 1}
	var l loads
	now := time.Unix(100, 0)
	for i := range 2000 {
		id := fmt.Sprintf("e%05d", i)
		list.Endpoints = append(list.Endpoints, &fleetpb.Endpoint{Id: id})
		l.receive(now, "1", []*fleetpb.EndpointUse{use(id, 0, 9, 0)}, true)
	}
	version := catalog.New(list)
	if n := testing.AllocsPerRun(10, func() { l.of(now, "2", version, true) }); n > 2 {
		t.Errorf("%.0f allocations where nothing is under way or fails", n)
	}
	l.receive(now, "1", []*fleetpb.EndpointUse{use("e00007", 0, 0, 1)}, true)
	if got := l.of(now, "2", version, true); len(got.GetIndex()) != 1 || got.GetFailing()[0] == 0 {
		t.Errorf("%v, want the one that failed a call", got)
	}
}

// TestACallThatWaitsIsAnsweredByTheMaker: every control instance told every other of each new list, each time whole.
func TestACallThatWaitsIsAnsweredByTheMaker(t *testing.T) {
	c := &Controller{Self: &fleetpb.Member{Instance: "control-0", Storage: 1}, DataDir: t.TempDir(), Log: quietLog()}
	if err := c.Open(); err != nil {
		t.Fatal(err)
	}
	peer := &fleetpb.WatchRequest{Role: fleetpb.Role_ROLE_CONTROL, WantsNews: true}
	entry := &fleetpb.WatchRequest{Role: fleetpb.Role_ROLE_ENTRY, WantsNews: true}
	c.watch.UpdateList(&fleetpb.EndpointList{Number: 5}, time.Now())
	if c.hasUpdate(peer, false) || !c.hasUpdate(peer, true) || !c.hasUpdate(entry, false) {
		t.Error("what was learned from others is told to a control instance whose call waits")
	}
	c.offerList(catalog.New(&fleetpb.EndpointList{Number: 6}), time.Now())
	if !c.hasUpdate(peer, false) {
		t.Error("what was made here is not told")
	}
	peer.ListNumber = 6
	if c.hasUpdate(peer, true) {
		t.Error("what is known is told")
	}
}

// TestReplies leave out what a compact sender knows.
func TestRepliesLeaveOutWhatIsKnown(t *testing.T) {
	core := newCore(t)
	c := core[0].controller
	core[0].list.set(&fleetpb.Endpoint{Id: "x"})
	await(t, func() bool { return len(c.Endpoints().List().GetEndpoints()) == 1 })
	req := &fleetpb.WatchRequest{Sender: &fleetpb.Member{Instance: "e"}, Role: fleetpb.Role_ROLE_ENTRY, Compact: true, WantsNews: true}
	first, err := c.Watch(t.Context(), req)
	if err != nil || len(first.GetControl()) == 0 || len(first.GetListChange().GetWhole()) == 0 {
		t.Fatalf("%v, %v", first, err)
	}
	core[0].list.set(&fleetpb.Endpoint{Id: "x"}, &fleetpb.Endpoint{Id: "y"})
	await(t, func() bool { return len(c.Endpoints().List().GetEndpoints()) == 2 })
	req.ControlSum, req.ListSum, req.ListNumber = c.headcount(time.Now()).controlSum, first.GetListChange().GetSum(), first.GetListNumber()
	second, err := c.Watch(t.Context(), req)
	if err != nil || len(second.GetControl()) != 0 || len(second.GetListChange().GetChanged()) != 1 || second.GetList() != nil || second.GetPackedList() != nil {
		t.Errorf("%v, %v", second, err)
	}
}
