// SPDX-License-Identifier: MIT

package controller

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/schema/fleetpb"
)

// largeDocument returns a document with little local repetition, the size of about a thousand
// routes.
func largeDocument(change string) string {
	var b strings.Builder
	for i := range 20000 {
		b.WriteString(string(rune('a'+i*i*i%26)) + string(rune('a'+i*7919%26)) + string(rune('A'+i/26%26)))
	}
	return b.String() + change
}

// The size of updates and promises must not depend on the size of the document.
func TestNewsAndVotesAreDifferences(t *testing.T) {
	cluster := startCluster(t)
	putConfiguration(t, cluster[0], 1, largeDocument("one"))
	c := cluster[0].controller
	before := c.State()
	held := &fleetpb.Held{Digests: [][]byte{before.GetConfiguration().GetDigest()}}
	putConfiguration(t, cluster[0], 2, largeDocument("two"))
	reply, err := c.Watch(t.Context(), &fleetpb.WatchRequest{
		Sender: &fleetpb.Member{Instance: "x"}, Role: fleetpb.Role_ROLE_ENTRY, StateNumber: before.GetNumber(), WantsNews: true, Held: held,
	})
	if err != nil {
		t.Fatal(err)
	}
	promise, err := c.Prepare(t.Context(), &fleetpb.PrepareRequest{Ballot: &fleetpb.Ballot{Round: 1 << 40}, Acceptor: c.Self.GetStorage(), Held: held})
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]*fleetpb.State{"news": reply.GetState(), "a promise": promise.GetState()} {
		if s.GetConfiguration().GetVersion() != 2 || proto.Size(s) > 1000 {
			t.Errorf("%s: version %d in %d bytes", name, s.GetConfiguration().GetVersion(), proto.Size(s))
		}
	}
	for _, p := range cluster {
		waitFor(t, func() bool {
			return string(p.controller.State().GetConfiguration().GetDocument()) == largeDocument("two")
		})
	}
}

// A peer of the previous version does not report what it holds, and must receive full states and
// lists.
func TestAPeerOfTheVersionBeforeGetsWholeStates(t *testing.T) {
	cluster := startCluster(t)
	putConfiguration(t, cluster[0], 1, largeDocument("one"))
	c := cluster[0].controller
	reply, err := c.Watch(t.Context(), &fleetpb.WatchRequest{Sender: &fleetpb.Member{Instance: "x"}, Role: fleetpb.Role_ROLE_ENTRY, WantsNews: true})
	if err != nil || string(reply.GetState().GetConfiguration().GetDocument()) != largeDocument("one") {
		t.Errorf("the update is not a full state: %v", err)
	}
	cluster[0].list.set(&fleetpb.Endpoint{Id: "a"})
	waitFor(t, func() bool { return len(c.Endpoints().List().GetEndpoints()) == 1 })
	for _, held := range []*fleetpb.Held{nil, {}} {
		reply, err := c.Watch(t.Context(), &fleetpb.WatchRequest{
			Sender: &fleetpb.Member{Instance: "x"}, Role: fleetpb.Role_ROLE_ENTRY, WantsNews: true, HeldLists: held,
		})
		if err != nil || (reply.GetList() == nil) != (held != nil) || (reply.GetPackedList() == nil) != (held == nil) {
			t.Errorf("list %v, packed %v, %v", reply.GetList(), reply.GetPackedList(), err)
		}
	}
	promise, err := c.Prepare(t.Context(), &fleetpb.PrepareRequest{Ballot: &fleetpb.Ballot{Round: 1 << 40}, Acceptor: c.Self.GetStorage()})
	if err != nil || string(promise.GetState().GetConfiguration().GetDocument()) != largeDocument("one") {
		t.Errorf("the promise does not contain the full state: %v", err)
	}
}

// A value that cannot be unpacked must be rejected without storing anything.
func TestAValueThatCannotBeMadeWholeIsNotAccepted(t *testing.T) {
	cluster := startCluster(t)
	putConfiguration(t, cluster[0], 1, "one")
	c := cluster[0].controller
	before := c.acceptorRecord()
	two := []byte("two")
	for name, cfg := range map[string]*fleetpb.Configuration{
		"no document":  {Version: 2, Digest: document.Digest(two)},
		"unknown base": {Version: 2, Digest: document.Digest(two), Base: document.Digest([]byte("zero")), Difference: []byte("x")},
		"wrong digest": {Version: 2, Digest: document.Digest(two), Document: []byte("three")},
	} {
		reply, err := c.Accept(t.Context(), &fleetpb.AcceptRequest{
			Ballot: &fleetpb.Ballot{Round: 1 << 40}, Acceptor: c.Self.GetStorage(), State: &fleetpb.State{Number: 99, Configuration: cfg},
		})
		if err != nil || !reply.GetLacksBase() || reply.GetGranted() {
			t.Errorf("%s: %v, %v", name, reply, err)
		}
	}
	if after := c.acceptorRecord(); !proto.Equal(after.GetState(), before.GetState()) {
		t.Error("the rejected value changed the record")
	}
}

// acceptorRecord returns the acceptor's record.
func (c *Controller) acceptorRecord() *fleetpb.AcceptorRecord {
	c.votingMu.Lock()
	defer c.votingMu.Unlock()
	return c.acceptor.Record()
}
