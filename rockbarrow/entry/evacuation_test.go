// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/schema/fleetpb"
)

// twoDomainList returns a list of endpoints in failure domains a and b.
func twoDomainList(number uint64, inB ...string) *fleetpb.EndpointList {
	l := endpointList(number)
	for _, id := range inB {
		l.Endpoints = append(l.Endpoints, &fleetpb.Endpoint{Id: id, Service: "s", Address: "127.0.0.1:2", FailureDomain: "b", Slots: 4})
	}
	return l
}

// evacuate applies a state with evacuated failure domains.
func (e *Entry) evacuate(number uint64, domains ...string) {
	s := &fleetpb.State{Number: number, Configuration: &fleetpb.Configuration{Version: 1}, View: &fleetpb.View{Epoch: 1, Copies: 3}}
	for _, d := range domains {
		s.Evacuations = append(s.Evacuations, &fleetpb.Evacuation{FailureDomain: d})
	}
	e.Watch.UpdateState(s)
	e.refresh()
}

// TestEvacuatedDomainGetsNoRequests guards against an evacuation that has no effect on routing.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	s := &fakeSender{}
	e := newEntry(t, s)
	e.applyList(twoDomainList(2, "p", "q"))
	domains := func() map[string]int {
		out := map[string]int{}
		s.requests = nil
		for i := range 40 {
			s.responses = append(s.responses, respond(200, "ok"))
			e.Serve(t.Context(), newRequest(fmt.Sprint("/once/", i)), &fakeWriter{})
		}
		for _, r := range s.requests {
			out[r.Endpoint.GetDomain()]++
		}
		return out
	}
	slots := func() int { return e.fleet.Load().Slots(time.Now(), placement.Class{Service: "s"}, 1) }
	all := slots()
	if got := domains(); got["a"] == 0 {
		t.Fatalf("%v", got)
	}
	e.evacuate(2, "a")
	if got := domains(); got["a"] != 0 || got["b"] != 40 {
		t.Errorf("%v after the evacuation of a", got)
	}
	if slots() >= all {
		t.Errorf("%d of %d slots are left", slots(), all)
	}
	// Changes of the list during the evacuation.
	l := twoDomainList(3, "p", "q")
	l.Endpoints = append(l.Endpoints, &fleetpb.Endpoint{Id: "new", Service: "s", Address: "127.0.0.1:3", FailureDomain: "a", Slots: 4})
	l.Endpoints[0].Draining = true
	e.applyList(l)
	if got := domains(); got["a"] != 0 {
		t.Errorf("%v with a new endpoint in a", got)
	}
	e.evacuate(3)
	if got := domains(); got["a"] == 0 {
		t.Errorf("%v after the end of the evacuation", got)
	}
	if f := e.fleet.Load(); f.Endpoint("x") != nil || f.Endpoint("new") == nil {
		t.Error("the draining endpoint gets requests again, or the new one gets none")
	}
}

// TestRefusalWhenAllDomainsAreEvacuated checks that the rejection has a retry time.
func TestRefusalWhenAllDomainsAreEvacuated(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	e.evacuate(2, "a")
	refused, ok := e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{}).(Rejected)
	if !ok || refused.Status != 503 || refused.RetryAfter == 0 {
		t.Errorf("%+v", refused)
	}
}
