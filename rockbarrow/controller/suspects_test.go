// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"fmt"
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
	return decisionAs(t, c, keys, "a")
}

func decisionAs(t *testing.T, c *Controller, keys *fleetpb.RequestKeys, asker string) fleetpb.TrialReply_Decision {
	reply, err := c.RequestTrial(context.Background(), &fleetpb.TrialRequest{Keys: keys, Service: "s", Endpoint: "next", Asker: asker, UntilMs: 1000})
	if err != nil {
		t.Fatal(err)
	}
	return reply.GetDecision()
}

// TestSuspectsReachEntriesAtOnce guards against a next attempt that comes before other instances know: a waiting call of an entry
// instance is answered as soon as an end is reported, and again when an operator clears the suspect.
func TestSuspectsReachEntriesAtOnce(t *testing.T) {
	c := startCluster(t)[0].controller
	// A change of the majority answers a waiting call, too.
	waitFor(t, func() bool { return c.reach.Load().GetMajority() })
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

// TestAFalseEndIsWithdrawn guards against a verdict by a report that was wrong: an incarnation that is still listed long after its
// end has not ended. Without a start time, the listed one may have started after the end, which then stays.
func TestAFalseEndIsWithdrawn(t *testing.T) {
	for _, born := range []uint64{7, 0} {
		p := startSingle(t)
		p.startTimes.start("x", born)
		waitFor(t, func() bool {
			return len(p.controller.Endpoints().List().GetEndpoints()) == 2 && p.startTime("x") == born && p.startTimes.probeCount("x") > 0
		})
		c, keys := p.controller, suspectKeys()
		endUnder(t, c, keys, "gone-1", "gone-2")
		_, err := c.ReportEnds(t.Context(), &fleetpb.EndReport{Ends: []*fleetpb.EndpointEnd{{
			Endpoint: "x", BornMs: born, Service: "s", Participants: []*fleetpb.EndParticipant{{Keys: keys, ExposureMs: 50}},
		}}})
		if err != nil {
			t.Fatal(err)
		}
		if d := decisionOf(t, c, keys); d != fleetpb.TrialReply_DECISION_REFUSED {
			t.Fatalf("decision %v", d)
		}
		// The list is as new as its last reading.
		later := time.Now().Add(falseEndAge)
		c.watch.UpdateListVersion(c.watch.List().Version(), later)
		c.withdrawFalseEnds(later)
		if d := decisionOf(t, c, keys); (d == fleetpb.TrialReply_DECISION_REFUSED) != (born == 0) {
			t.Errorf("start time %d: decision %v though %s is still listed", born, d, "x")
		}
	}
}

// TestControlInstancesAgreeOnTrials guards against two control instances that are asked at a time, as one of them does not answer
// everybody, and grant an execution each. The cluster has just started, so that one end may be unknown and only one is left.
func TestControlInstancesAgreeOnTrials(t *testing.T) {
	cluster := startCluster(t)
	keys := suspectKeys()
	for _, in := range cluster {
		endUnder(t, in.controller, keys, "e-1")
		waitFor(t, func() bool { return in.controller.reach.Load().GetMajority() })
	}
	replies := make(chan fleetpb.TrialReply_Decision, len(cluster))
	for i, in := range cluster {
		go func() {
			reply, err := in.controller.RequestTrial(t.Context(), &fleetpb.TrialRequest{Keys: keys, Service: "s", Endpoint: fmt.Sprint("next-", i), Asker: fmt.Sprint(i), UntilMs: 10_000})
			if err != nil {
				t.Error(err)
			}
			replies <- reply.GetDecision()
		}()
	}
	granted := 0
	for range cluster {
		if <-replies == fleetpb.TrialReply_DECISION_GRANTED {
			granted++
		}
	}
	// If nobody had its way, each has withdrawn what the others agreed to.
	for granted == 0 {
		if decisionOf(t, cluster[0].controller, keys) == fleetpb.TrialReply_DECISION_GRANTED {
			granted++
		}
	}
	for _, in := range cluster {
		if granted > 1 || decisionAs(t, in.controller, keys, "another") == fleetpb.TrialReply_DECISION_GRANTED {
			t.Errorf("granted %d times, and once more", granted)
		}
	}
}

// TestAnAskerThatDoesNotWaitHasNoTrial guards against an execution that is granted to an instance that has given up asking: its outcome is
// never reported, and it would count like an end.
func TestAnAskerThatDoesNotWaitHasNoTrial(t *testing.T) {
	p := startSingle(t)
	keys := suspectKeys()
	waitFor(t, func() bool { return p.controller.reach.Load().GetMajority() })
	endUnder(t, p.controller, keys, "e-1")
	ctx, stop := context.WithCancel(t.Context())
	stop()
	for i := range 5 {
		_, err := p.controller.RequestTrial(ctx, &fleetpb.TrialRequest{Keys: keys, Service: "s", Endpoint: "next", Asker: fmt.Sprint(i), UntilMs: 1000})
		if err != nil {
			t.Fatal(err)
		}
	}
	if d := decisionOf(t, p.controller, keys); d != fleetpb.TrialReply_DECISION_GRANTED {
		t.Errorf("decision %v", d)
	}
}

// TestALossHidesAnEndOnlyBeforeTheFirstOne guards against a last execution that is granted though an entry instance was lost that may
// have sent the request, and against one that is not for an instance that was lost later or long before.
func TestALossHidesAnEndOnlyBeforeTheFirstOne(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		since, loss    time.Duration
		observed, lost bool
	}{
		{since: -time.Hour, loss: -time.Second, observed: true, lost: true},
		{since: -time.Hour, loss: time.Second, observed: true, lost: true},
		{since: -time.Hour, loss: lossAfter + time.Second, observed: true},
		{since: -time.Hour, loss: -lossBefore - time.Second, observed: true},
		{since: -time.Second, loss: -time.Minute},
	} {
		c := &Controller{}
		c.resetObservation(now.Add(test.since))
		c.entryLosses.add(now.Add(test.loss))
		if observed, lost := c.entriesAround(now); observed != test.observed || lost != test.lost {
			t.Errorf("%+v: observed %v, lost %v", test, observed, lost)
		}
	}
	// A short restart shows in the first call of the new process only.
	c := startCluster(t)[0].controller
	for i, process := range []uint64{0, c.processID} {
		at := time.Now()
		c.recordRequest(at, &fleetpb.WatchRequest{Sender: &fleetpb.Member{Instance: "entry"}, Role: fleetpb.Role_ROLE_ENTRY, WantsSuspects: true, SuspectProcess: process})
		if _, lost := c.entriesAround(at.Add(time.Duration(i) * time.Hour)); lost != (process == 0) {
			t.Errorf("process %d: lost %v", process, lost)
		}
	}
}

// TestNoTrialWithoutAMajority guards against both sides of a partition that grant executions.
func TestNoTrialWithoutAMajority(t *testing.T) {
	cluster := startCluster(t)
	keys := suspectKeys()
	endUnder(t, cluster[0].controller, keys, "e-1")
	waitFor(t, func() bool { return cluster[0].controller.reach.Load().GetMajority() })
	cluster[1].stop()
	cluster[2].stop()
	waitFor(t, func() bool { return !cluster[0].controller.reach.Load().GetMajority() })
	if d := decisionOf(t, cluster[0].controller, keys); d != fleetpb.TrialReply_DECISION_HELD {
		t.Errorf("decision %v", d)
	}
}

// TestTrialsOutliveALossOfAllProcesses guards against an execution that nobody can tell the outcome of, as it was in progress when all
// processes ended: it counts like an end.
func TestTrialsOutliveALossOfAllProcesses(t *testing.T) {
	p := startSingle(t)
	keys := suspectKeys()
	waitFor(t, func() bool { return p.controller.reach.Load().GetMajority() })
	endUnder(t, p.controller, keys, "e-1")
	if d := decisionOf(t, p.controller, keys); d != fleetpb.TrialReply_DECISION_GRANTED {
		t.Fatalf("decision %v", d)
	}
	p.stop()
	p.start(nil)
	waitFor(t, func() bool { return p.controller.reach.Load().GetMajority() })
	if d := decisionAs(t, p.controller, keys, "another"); d != fleetpb.TrialReply_DECISION_HELD {
		t.Errorf("decision %v", d)
	}
}

// TestSuspectsOutliveALossOfAllProcesses guards against a count that is kept in memory alone: a request is sent to three endpoints
// again after control and entry instances have ended.
func TestSuspectsOutliveALossOfAllProcesses(t *testing.T) {
	cluster := startCluster(t)
	keys := suspectKeys()
	for _, in := range cluster {
		endUnder(t, in.controller, keys, "e-1", "e-2", "e-3")
	}
	for _, in := range cluster {
		in.stop()
	}
	for _, in := range cluster {
		in.start(nil)
		if d := decisionOf(t, in.controller, keys); d != fleetpb.TrialReply_DECISION_REFUSED {
			t.Errorf("%s: decision %v", in.member.GetInstance(), d)
		}
	}
}
