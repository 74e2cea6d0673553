// SPDX-License-Identifier: MIT

package controller

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/schema/fleetpb"
)

// large is a document in which nothing repeats itself near by: it stands for a thousand
// routes.
func large(change string) string {
	var b strings.Builder
	for i := range 20000 {
		b.WriteString(string(rune('a'+i*i*i%26)) + string(rune('a'+i*7919%26)) + string(rune('A'+i/26%26)))
	}
	return b.String() + change
}

// TestNewsAndVotesAreDifferences: what a control instance sends for a change of one
// line does not grow with the document.
func TestNewsAndVotesAreDifferences(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 1, large("one"))
	c := core[0].controller
	before := c.State()
	held := &fleetpb.Held{Digests: [][]byte{before.GetConfiguration().GetDigest()}}
	put(t, core[0], 2, large("two"))
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
	for _, p := range core {
		await(t, func() bool { return string(p.controller.State().GetConfiguration().GetDocument()) == large("two") })
	}
}

// TestAPeerOfTheVersionBeforeGetsWholeStates: it tells nothing of what it holds.
func TestAPeerOfTheVersionBeforeGetsWholeStates(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 1, large("one"))
	c := core[0].controller
	reply, err := c.Watch(t.Context(), &fleetpb.WatchRequest{Sender: &fleetpb.Member{Instance: "x"}, Role: fleetpb.Role_ROLE_ENTRY, WantsNews: true})
	if err != nil || string(reply.GetState().GetConfiguration().GetDocument()) != large("one") {
		t.Errorf("news are not whole: %v", err)
	}
	core[0].list.set(&fleetpb.Endpoint{Id: "a"})
	await(t, func() bool { return len(c.Endpoints().List().GetEndpoints()) == 1 })
	for _, held := range []*fleetpb.Held{nil, {}} {
		reply, err := c.Watch(t.Context(), &fleetpb.WatchRequest{
			Sender: &fleetpb.Member{Instance: "x"}, Role: fleetpb.Role_ROLE_ENTRY, WantsNews: true, HeldLists: held,
		})
		if err != nil || (reply.GetList() == nil) != (held != nil) || (reply.GetPackedList() == nil) != (held == nil) {
			t.Errorf("list %v, packed %v, %v", reply.GetList(), reply.GetPackedList(), err)
		}
	}
	promise, err := c.Prepare(t.Context(), &fleetpb.PrepareRequest{Ballot: &fleetpb.Ballot{Round: 1 << 40}, Acceptor: c.Self.GetStorage()})
	if err != nil || string(promise.GetState().GetConfiguration().GetDocument()) != large("one") {
		t.Errorf("a promise is not whole: %v", err)
	}
}

// TestAValueThatCannotBeMadeWholeIsNotAccepted: nothing of it is stored, and the
// proposer hears why.
func TestAValueThatCannotBeMadeWholeIsNotAccepted(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 1, "one")
	c := core[0].controller
	before := c.acceptorRecord()
	two := []byte("two")
	for name, cfg := range map[string]*fleetpb.Configuration{
		"left out":           {Version: 2, Digest: document.Digest(two)},
		"against an unknown": {Version: 2, Digest: document.Digest(two), Base: document.Digest([]byte("zero")), Difference: []byte("x")},
		"another digest":     {Version: 2, Digest: document.Digest(two), Document: []byte("three")},
	} {
		reply, err := c.Accept(t.Context(), &fleetpb.AcceptRequest{
			Ballot: &fleetpb.Ballot{Round: 1 << 40}, Acceptor: c.Self.GetStorage(), State: &fleetpb.State{Number: 99, Configuration: cfg},
		})
		if err != nil || !reply.GetLacksBase() || reply.GetGranted() {
			t.Errorf("%s: %v, %v", name, reply, err)
		}
	}
	if after := c.acceptorRecord(); !proto.Equal(after.GetState(), before.GetState()) {
		t.Error("something was stored")
	}
}

// acceptorRecord returns the votes given.
func (c *Controller) acceptorRecord() *fleetpb.AcceptorRecord {
	c.voting.Lock()
	defer c.voting.Unlock()
	return c.acceptor.Record()
}
