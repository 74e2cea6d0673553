// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/life"
	"rockbarrow.dev/schema/configpb"
)

func spreadFleet(places uint32) *Fleet {
	var list []*configpb.Endpoint
	for _, e := range []struct{ name, domain string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}} {
		list = append(list, &configpb.Endpoint{Name: e.name, Domain: e.domain, Service: "s", MaxCalls: places, Address: e.name})
	}
	return NewServiceFleet(time.Time{}, listed(list), Spread, nil)
}

// listed is a list of endpoints of which nobody told a life.
func listed(endpoints []*configpb.Endpoint) []ListedEndpoint {
	out := make([]ListedEndpoint, 0, len(endpoints))
	for _, c := range endpoints {
		out = append(out, ListedEndpoint{Config: c})
	}
	return out
}

func spreadRequest() Request { return Request{Class: Class{Service: "s"}, Domain: "a"} }

func TestSpreadStaysInTheOwnDomainWhileThereIsRoom(t *testing.T) {
	f, r, now := spreadFleet(6), rand.New(rand.NewPCG(1, 1)), time.Unix(1, 0)
	count := map[string]int{}
	for range 4 {
		c, _ := f.Choose(now, spreadRequest(), r)
		count[c.Endpoint().Domain()]++
	}
	if count["a"] != 4 {
		t.Errorf("%v, want the own domain first", count)
	}
	for range 8 {
		c, _ := f.Choose(now, spreadRequest(), r)
		count[c.Endpoint().Domain()]++
	}
	if count["b"] == 0 {
		t.Errorf("%v, want other domains before the own one is full", count)
	}
}

func TestSpreadStaysWithTheLastEndpoint(t *testing.T) {
	f, r, now := spreadFleet(10), rand.New(rand.NewPCG(1, 1)), time.Unix(1, 0)
	req := spreadRequest()
	req.LastEndpoint = life.Life{ID: "b2"}
	// Also where others have taken more than all of its places: it reads the least.
	f.Endpoint("b2").setOthers(now, 25, 0)
	for i := range 10 {
		if c, _ := f.Choose(now, req, r); c.Endpoint().Name() != "b2" {
			t.Fatalf("call %d went to %s", i, c.Endpoint().Name())
		}
	}
	if c, _ := f.Choose(now, req, r); c.Endpoint().Name() == "b2" {
		t.Error("this instance has all of the endpoint's places and sent another call")
	}
}

func TestSpreadAvoids(t *testing.T) {
	r, now := rand.New(rand.NewPCG(1, 1)), time.Unix(1, 0)
	req := spreadRequest()
	req.AvoidEndpoints, req.AvoidDomains = []life.Life{{ID: "b1"}}, []string{"a"}
	f := spreadFleet(2)
	for i, want := range []string{"b2", "b2"} {
		if c, _ := f.Choose(now, req, r); c.Endpoint().Name() != want {
			t.Errorf("call %d went to %s, want %s", i, c.Endpoint().Name(), want)
		}
	}
	// With the good ones full, a domain that may be out of reach is better than none.
	if c, ok := f.Choose(now, req, r); !ok || c.Endpoint().Domain() != "a" {
		t.Error("no endpoint was chosen")
	}
}

func TestASilentEndpointIsAvoidedUntilItAnswers(t *testing.T) {
	f, r, now := spreadFleet(20), rand.New(rand.NewPCG(1, 1)), time.Unix(1, 0)
	req := spreadRequest()
	req.LastEndpoint = life.Life{ID: "b1"}
	hung, _ := f.Choose(now, req, r)
	later := now.Add(silentAfter + time.Millisecond)
	if c, _ := f.Choose(later, req, r); c.Endpoint() == hung.Endpoint() {
		t.Error("an endpoint that answers nothing got another call")
	}
	hung.Endpoint().RecordResponse(later)
	if c, _ := f.Choose(later, req, r); c.Endpoint() != hung.Endpoint() {
		t.Error("an endpoint that answers again gets no calls")
	}
	// One without calls has nothing to answer.
	idle := f.Endpoint("b2")
	if idle.silent(later.UnixNano()) {
		t.Error("an idle endpoint counts as silent")
	}
}

func TestAnUnreachedEndpointIsTakenOutAtOnceAndOnce(t *testing.T) {
	f, r, now := spreadFleet(20), rand.New(rand.NewPCG(1, 1)), time.Unix(1, 0)
	req := spreadRequest()
	req.LastEndpoint = life.Life{ID: "b1"}
	var under []Choice
	for range 5 {
		c, _ := f.Choose(now, req, r)
		under = append(under, c)
	}
	for _, c := range under {
		c.Endpoint().Done(now, Result{Unreachable: true})
	}
	if c, _ := f.Choose(now, req, r); c.Endpoint().Name() == "b1" {
		t.Error("an endpoint that is not reached got another call")
	}
	// Five calls that failed together count as one failure.
	if c, _ := f.Choose(now.Add(firstEjection+slowStart), req, r); c.Endpoint().Name() != "b1" {
		t.Error("the endpoint is out for longer than after one failure")
	}
}
