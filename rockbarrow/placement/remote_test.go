// SPDX-License-Identifier: MIT

package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/configpb"
)

// An endpoint that is full or failing according to other instances is not chosen.
// Expired reports are ignored.
func TestRemoteLoadIsConsidered(t *testing.T) {
	tests := []struct {
		name             string
		running, failing uint32
	}{{"full", 6, 0}, {"failing", 0, 60}}
	for _, test := range tests {
		f, r, now := spreadFleet(6), rand.New(rand.NewPCG(1, 1)), time.Unix(100, 0)
		f.Endpoint("a1").setRemoteLoad(now, test.running, test.failing)
		for range 4 {
			if c, _ := f.Choose(now, spreadRequest(), r); c.Endpoint().Name() == "a1" {
				t.Errorf("%s: a1 was chosen", test.name)
			}
		}
		later, count := now.Add(remoteStateTTL), 0
		for range 20 {
			c, ok := f.Choose(later, spreadRequest(), r)
			if ok && c.Endpoint().Name() == "a1" {
				count++
			}
		}
		if count == 0 {
			t.Errorf("%s: a1 is not chosen because of an expired report", test.name)
		}
	}
}

func TestProgramLeavesAFailingEndpoint(t *testing.T) {
	f, r, now := spreadFleet(20), rand.New(rand.NewPCG(1, 1)), time.Unix(100, 0)
	req := spreadRequest()
	req.LastEndpoint = incarnation.ID{EndpointID: "b1"}
	f.Endpoint("b1").setRemoteLoad(now, 0, 10)
	if c, _ := f.Choose(now, req, r); c.Endpoint().Name() != "b1" {
		t.Error("a program left its endpoint at a failure rate of 10%")
	}
	f.Endpoint("b1").setRemoteLoad(now, 0, 40)
	if c, _ := f.Choose(now, req, r); c.Endpoint().Name() == "b1" {
		t.Error("a program stays on an endpoint with a failure rate of 40%")
	}
}

// Fifty instances that choose by the same report must not all choose the least
// loaded endpoint.
func TestStaleLoadCausesNoHerding(t *testing.T) {
	now := time.Unix(100, 0)
	count, highest := map[string]int{}, 0
	for i := range 50 {
		var list []*configpb.Endpoint
		for k := range 24 {
			name := fmt.Sprintf("e%02d", k)
			list = append(list, &configpb.Endpoint{Name: name, Domain: "a", Service: "s", MaxCalls: 6, Address: name})
		}
		f := NewServiceFleet(time.Time{}, listed(list), Spread, nil)
		f.windowStart = uint64(i)
		for _, e := range f.Endpoints() {
			e.setRemoteLoad(now, 2, 0)
		}
		f.Endpoint("e00").setRemoteLoad(now, 0, 0)
		c, _ := f.Choose(now, spreadRequest(), rand.New(rand.NewPCG(uint64(i), 1)))
		count[c.Endpoint().Name()]++
		highest = max(highest, count[c.Endpoint().Name()])
	}
	if count["e00"] == 0 || highest > 20 {
		t.Errorf("calls %v, want at least one at e00 and at most 20 at any endpoint", count)
	}
}

func TestUsageCountsOutcomes(t *testing.T) {
	f, r, now := spreadFleet(6), rand.New(rand.NewPCG(1, 1)), time.Unix(100, 0)
	req := spreadRequest()
	req.LastEndpoint = incarnation.ID{EndpointID: "a1"}
	for _, result := range []Result{{OK: true}, {}, {OK: true, Refused: true}} {
		c, _ := f.Choose(now, req, r)
		c.Endpoint().Done(now, result)
	}
	f.Choose(now, req, r)
	if got, want := f.Endpoint("a1").Usage(), (Usage{Running: 1, Answered: 1, Failed: 1}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Each instance uses a few of many endpoints, so that connections are reused. All
// instances together use most of them, and a new list does not move the window.
func TestAnInstanceUsesASubsetOfEndpoints(t *testing.T) {
	now := time.Unix(100, 0)
	used := map[string]bool{}
	for i := range 40 {
		var list []*configpb.Endpoint
		for k := range 200 {
			name := fmt.Sprintf("e%03d", k)
			list = append(list, &configpb.Endpoint{Name: name, Domain: "a", Service: "s", MaxCalls: 6, Address: name})
		}
		f, own := NewServiceFleet(time.Time{}, listed(list), Spread, nil), map[string]bool{}
		f.windowStart = uint64(i) * 37
		r := rand.New(rand.NewPCG(uint64(i), 1))
		for range 400 {
			c, _ := f.Choose(now, spreadRequest(), r)
			c.Endpoint().Done(now, Result{OK: true})
			own[c.Endpoint().Name()], used[c.Endpoint().Name()] = true, true
		}
		if len(own) > windowSize+drawSize {
			t.Fatalf("an instance uses %d endpoints, want at most %d", len(own), windowSize+drawSize)
		}
		if again := NewServiceFleet(time.Time{}, listed(list), Spread, f); again.windowStart != f.windowStart {
			t.Fatal("a new list moved the window")
		}
	}
	if len(used) < 150 {
		t.Errorf("all instances use %d of 200 endpoints, want at least 150", len(used))
	}
}

// Reports list only endpoints with calls, so one that is missing from the next report has none.
func TestEndpointsMissingFromAReportHaveNoRemoteLoad(t *testing.T) {
	f, now := spreadFleet(6), time.Unix(100, 0)
	a1, b1 := f.Endpoint("a1"), f.Endpoint("b1")
	f.SetRemoteLoads(now, []RemoteLoad{{Endpoint: a1, Running: 6, FailingPercent: 50}, {Endpoint: b1, Running: 1}})
	f.SetRemoteLoads(now, []RemoteLoad{{Endpoint: b1, Running: 2}})
	at := now.UnixNano()
	if a1.remote.inFlightAt(at) != 0 || a1.remote.failureRateAt(at) != 0 || b1.remote.inFlightAt(at) != 2 {
		t.Errorf("a1 has %d calls and failure rate %v, want 0 and 0; b1 has %d calls, want 2", a1.remote.inFlightAt(at), a1.remote.failureRateAt(at), b1.remote.inFlightAt(at))
	}
}
