// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

func suspectKeys() *fleetpb.RequestKeys {
	return quarantine.KeysOf(quarantine.Sender{Program: "p"}, nil, quarantine.Content{Method: "GET", Host: "h", Target: "/t"}).Proto()
}

// endUnder reports that endpoints ended under a request, one after the other.
func endUnder(t *testing.T, c *Controller, keys *fleetpb.RequestKeys, endpoints ...string) {
	for i, id := range endpoints {
		_, err := c.ReportEnds(context.Background(), &fleetpb.EndReport{Ends: []*fleetpb.EndpointEnd{{
			Endpoint: id, Service: "s", AgeMs: uint64(1000 * (len(endpoints) - i)), Participants: []*fleetpb.EndParticipant{{Keys: keys, ExposureMs: 50, Program: "p", Route: "r"}},
		}}})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func decisionOf(t *testing.T, c *Controller, keys *fleetpb.RequestKeys) fleetpb.TrialReply_Decision {
	reply, err := c.RequestTrial(context.Background(), &fleetpb.TrialRequest{Keys: keys, Service: "s", Endpoint: "next", Asker: "a", UntilMs: 1000})
	if err != nil {
		t.Fatal(err)
	}
	return reply.GetDecision()
}

// TestSuspectsReachEntriesAtOnce guards against a next attempt that comes before other instances know: a waiting call of an entry
// instance is answered as soon as an end is reported, and again when an operator clears the suspect.
func TestSuspectsReachEntriesAtOnce(t *testing.T) {
	c := startCluster(t)[0].controller
	var process, sequence uint64
	watch := func() []*fleetpb.Suspect {
		reply, err := c.Watch(t.Context(), &fleetpb.WatchRequest{
			Sender: &fleetpb.Member{Instance: "entry"}, Role: fleetpb.Role_ROLE_ENTRY, WaitMs: 20_000, WantsSuspects: true,
			SuspectProcess: process, SuspectSequence: sequence, StateNumber: 1 << 40, ListNumber: 1 << 40,
		})
		if err != nil || reply.GetSuspects() == nil {
			t.Fatalf("%v, %v", reply, err)
		}
		process, sequence = reply.GetSuspects().GetProcess(), reply.GetSuspects().GetSequence()
		return reply.GetSuspects().GetSuspects()
	}
	if got := watch(); len(got) != 0 {
		t.Fatalf("suspects before any end: %v", got)
	}
	keys := suspectKeys()
	reported := make(chan struct{})
	go func() { defer close(reported); endUnder(t, c, keys, "e-1", "e-2", "e-3") }()
	refused := false
	for !refused {
		for _, s := range watch() {
			refused = refused || s.GetRefused() && string(s.GetKey()) == string(keys.GetRequest())
		}
	}
	<-reported
	if d := decisionOf(t, c, keys); d != fleetpb.TrialReply_DECISION_REFUSED {
		t.Errorf("decision %v", d)
	}
	if _, err := c.ClearSuspect(t.Context(), &fleetpb.ClearSuspectRequest{Key: keys.GetRequest()}); err != nil {
		t.Fatal(err)
	}
	if got := watch(); len(got) != 1 || !got[0].GetCleared() {
		t.Errorf("after the operator's call: %v", got)
	}
	if d := decisionOf(t, c, keys); d != fleetpb.TrialReply_DECISION_FREE {
		t.Errorf("decision %v after the operator's call", d)
	}
	_, err := c.ClearSuspect(t.Context(), &fleetpb.ClearSuspectRequest{Key: keys.GetRequest()})
	if status.Code(err) != codes.NotFound {
		t.Errorf("an unknown key: %v", err)
	}
}

// TestControlInstancesShareSuspects guards against a control instance that has just started, or was cut off, and grants what
// others refuse.
func TestControlInstancesShareSuspects(t *testing.T) {
	cluster := startCluster(t)
	keys := suspectKeys()
	endUnder(t, cluster[0].controller, keys, "e-1", "e-2", "e-3")
	for _, in := range cluster[1:] {
		for decisionOf(t, in.controller, keys) != fleetpb.TrialReply_DECISION_REFUSED {
			// The next poll between control instances brings it.
			if !wait.For(t.Context(), 10*time.Millisecond) {
				t.Fatal("not refused everywhere")
			}
		}
	}
}

// TestAFalseEndIsWithdrawn guards against a verdict by a report that was wrong: an endpoint that is still listed long after its
// end has not ended.
func TestAFalseEndIsWithdrawn(t *testing.T) {
	p := startSingle(t)
	waitFor(t, func() bool { return len(p.controller.Endpoints().List().GetEndpoints()) == 2 })
	c, keys := p.controller, suspectKeys()
	endUnder(t, c, keys, "x", "gone-1", "gone-2")
	if d := decisionOf(t, c, keys); d != fleetpb.TrialReply_DECISION_REFUSED {
		t.Fatalf("decision %v", d)
	}
	// The list is as new as its last reading.
	later := time.Now().Add(falseEndAge)
	c.watch.UpdateListVersion(c.watch.List().Version(), later)
	c.withdrawFalseEnds(later)
	if d := decisionOf(t, c, keys); d == fleetpb.TrialReply_DECISION_REFUSED {
		t.Errorf("decision %v though %s is still listed", d, "x")
	}
}
