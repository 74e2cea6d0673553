// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/configpb"
)

func spreadFleet(maxCalls uint32) *Fleet {
	var list []*configpb.Endpoint
	for _, e := range []struct{ name, domain string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}} {
		list = append(list, &configpb.Endpoint{Name: e.name, Domain: e.domain, Service: "s", MaxCalls: maxCalls, Address: e.name})
	}
	return NewServiceFleet(time.Time{}, listed(list), Spread, nil)
}

// listed returns list entries with unknown start times.
func listed(endpoints []*configpb.Endpoint) []ListedEndpoint {
	out := make([]ListedEndpoint, 0, len(endpoints))
	for _, c := range endpoints {
		out = append(out, ListedEndpoint{Config: c})
	}
	return out
}

func spreadRequest() Request { return Request{Class: Class{Service: "s"}, Domain: "a"} }

func TestSpreadPrefersTheLocalDomain(t *testing.T) {
	f, r, now := spreadFleet(6), rand.New(rand.NewPCG(1, 1)), time.Unix(1, 0)
	count := map[string]int{}
	for range 4 {
		c, _ := f.Choose(now, spreadRequest(), r)
		count[c.Endpoint().Domain()]++
	}
	if count["a"] != 4 {
		t.Errorf("%v, want the local failure domain first", count)
	}
	for range 8 {
		c, _ := f.Choose(now, spreadRequest(), r)
		count[c.Endpoint().Domain()]++
	}
	if count["b"] == 0 {
		t.Errorf("%v, want calls in other failure domains before the local one is full", count)
	}
}

func TestSpreadKeepsTheLastEndpoint(t *testing.T) {
	f, r, now := spreadFleet(10), rand.New(rand.NewPCG(1, 1)), time.Unix(1, 0)
	req := spreadRequest()
	req.LastEndpoint = incarnation.ID{EndpointID: "b2"}
	// Calls of other instances beyond the endpoint's capacity do not move the run.
	f.Endpoint("b2").setRemoteLoad(now, 25, 0)
	for i := range 10 {
		if c, _ := f.Choose(now, req, r); c.Endpoint().Name() != "b2" {
			t.Fatalf("call %d went to %s", i, c.Endpoint().Name())
		}
	}
	if c, _ := f.Choose(now, req, r); c.Endpoint().Name() == "b2" {
		t.Error("this instance exceeded the endpoint's limit")
	}
}

func TestSpreadAvoidsEndpointsAndDomains(t *testing.T) {
	r, now := rand.New(rand.NewPCG(1, 1)), time.Unix(1, 0)
	req := spreadRequest()
	req.AvoidEndpoints, req.AvoidDomains = []incarnation.ID{{EndpointID: "b1"}}, []string{"a"}
	f := spreadFleet(2)
	for i, want := range []string{"b2", "b2"} {
		if c, _ := f.Choose(now, req, r); c.Endpoint().Name() != want {
			t.Errorf("call %d went to %s, want %s", i, c.Endpoint().Name(), want)
		}
	}
	// With the others full, a failure domain that may be unreachable is still used.
	if c, ok := f.Choose(now, req, r); !ok || c.Endpoint().Domain() != "a" {
		t.Error("no endpoint was chosen")
	}
}

// TestARequestIsNoAnswer guards against an endpoint that counts as answering because a request is sent to it.
func TestARequestIsNoAnswer(t *testing.T) {
	f, now := spreadFleet(20), time.Unix(1000, 0)
	c, _ := f.Choose(now, spreadRequest(), rand.New(rand.NewPCG(1, 1)))
	if at := c.Endpoint().LastAnswer(); !at.Before(now) {
		t.Errorf("an answer at %v", at)
	}
	c.Endpoint().RecordResponse(now)
	if at := c.Endpoint().LastAnswer(); !at.Equal(now) {
		t.Errorf("the last answer at %v", at)
	}
}

func TestUnresponsiveEndpointIsAvoided(t *testing.T) {
	f, r, now := spreadFleet(20), rand.New(rand.NewPCG(1, 1)), time.Unix(1, 0)
	req := spreadRequest()
	req.LastEndpoint = incarnation.ID{EndpointID: "b1"}
	hung, _ := f.Choose(now, req, r)
	later := now.Add(unresponsiveAfter + time.Millisecond)
	if c, _ := f.Choose(later, req, r); c.Endpoint() == hung.Endpoint() {
		t.Error("an unresponsive endpoint was chosen")
	}
	hung.Endpoint().RecordResponse(later)
	if c, _ := f.Choose(later, req, r); c.Endpoint() != hung.Endpoint() {
		t.Error("an endpoint that responds again was not chosen")
	}
	idle := f.Endpoint("b2")
	if idle.isUnresponsive(later.UnixNano()) {
		t.Error("an endpoint without calls is unresponsive")
	}
}

func TestUnreachableEndpointIsEjectedOnce(t *testing.T) {
	f, r, now := spreadFleet(20), rand.New(rand.NewPCG(1, 1)), time.Unix(1, 0)
	req := spreadRequest()
	req.LastEndpoint = incarnation.ID{EndpointID: "b1"}
	var inFlight []Choice
	for range 5 {
		c, _ := f.Choose(now, req, r)
		inFlight = append(inFlight, c)
	}
	for _, c := range inFlight {
		c.Endpoint().Done(now, Result{Unreachable: true})
	}
	if c, _ := f.Choose(now, req, r); c.Endpoint().Name() == "b1" {
		t.Error("an unreachable endpoint was chosen")
	}
	// Five concurrent failures count as one.
	if c, _ := f.Choose(now.Add(firstEjection+slowStartPeriod), req, r); c.Endpoint().Name() != "b1" {
		t.Error("the endpoint is ejected for longer than after one failure")
	}
}
