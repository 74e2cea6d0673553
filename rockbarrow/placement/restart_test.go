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

// startedAt returns a list of n endpoints with the same start time.
func startedAt(n int, bornMS uint64) []ListedEndpoint {
	var list []ListedEndpoint
	for i := range n {
		name := fmt.Sprintf("e%04d", i)
		list = append(list, ListedEndpoint{BornMS: bornMS, Config: &configpb.Endpoint{
			Name: name, Domain: fmt.Sprint(i % 3), Service: "s", MaxCalls: 64, Address: name,
		}})
	}
	return list
}

// A restarted endpoint starts without the failures, calls and remote load of the old process. Late updates for the
// old process do not affect the new one.
func TestRestartedEndpointHasNoState(t *testing.T) {
	now := time.Unix(100, 0)
	old := NewServiceFleet(time.Time{}, startedAt(1, 1000), Spread, nil)
	before := old.Endpoint("e0000")
	req := Request{Class: Class{Service: "s"}}
	for range failuresToEject {
		c, _ := old.Choose(now, req, rand.New(rand.NewPCG(1, 1)))
		c.Endpoint().Done(now, Result{})
	}
	before.setRemoteLoad(now, 64, 90)
	if before.isAvailable(now.UnixNano()) {
		t.Fatal("a failing endpoint is available")
	}
	// The new process has an earlier start time: its clock was set back.
	next := NewServiceFleet(time.Time{}, startedAt(1, 900), Spread, old).Endpoint("e0000")
	before.tryAcquire(now.UnixNano(), 0)
	before.Done(now, Result{})
	before.setRemoteLoad(now, 64, 90)
	if !next.isAvailable(now.UnixNano()) || next.Usage() != (Usage{}) || next.utilization(now.UnixNano()) != 0 || next.remote.failureRateAt(now.UnixNano()) != 0 {
		t.Errorf("the restarted endpoint has usage %+v or remote load", next.Usage())
	}
}

// A restarted endpoint has an empty cache and no calls. Without a slow start, all displaced programs would move there
// at once.
func TestRestartedEndpointHasASlowStart(t *testing.T) {
	now := time.Unix(100, 0)
	f := NewServiceFleet(now, startedAt(1, 1000), Spread, nil)
	first := f.Endpoint("e0000").currentLimit(now.UnixNano())
	f = NewServiceFleet(now, startedAt(1, 2000), Spread, f)
	e := f.Endpoint("e0000")
	at, after := e.currentLimit(now.UnixNano()), e.currentLimit(now.Add(slowStartPeriod).UnixNano())
	if first != 64 || at != 1 || after != 64 {
		t.Errorf("limit %d when first listed, %d after a restart, %d after another %v; want 64, 1 and 64", first, at, after, slowStartPeriod)
	}
}

// An endpoint keeps its state when its start time becomes known, and when it is missing for a while, as after a restart
// of all control instances.
func TestLearningTheStartTimeKeepsTheState(t *testing.T) {
	f := NewServiceFleet(time.Time{}, startedAt(1, 0), Spread, nil)
	first := f.Endpoint("e0000")
	for _, born := range []uint64{1000, 0, 1000} {
		f = NewServiceFleet(time.Time{}, startedAt(1, born), Spread, f)
		if e := f.Endpoint("e0000"); e != first || e.Life() != (incarnation.ID{EndpointID: "e0000", StartMS: 1000}) {
			t.Fatalf("listed with start time %d: the endpoint is %v", born, e.Life())
		}
	}
	if NewServiceFleet(time.Time{}, startedAt(1, 2000), Spread, f).Endpoint("e0000") == first {
		t.Error("a restarted endpoint has the state of the old process")
	}
}

// A call may be retried at an endpoint that failed it and has restarted since.
func TestRetryAtARestartedEndpoint(t *testing.T) {
	now, r := time.Unix(100, 0), rand.New(rand.NewPCG(1, 1))
	req := Request{Class: Class{Service: "s"}, AvoidEndpoints: []incarnation.ID{{EndpointID: "e0000", StartMS: 1000}}}
	for born, want := range map[uint64]bool{0: false, 1000: false, 2000: true} {
		if _, ok := NewServiceFleet(time.Time{}, startedAt(1, born), Spread, nil).Choose(now, req, r); ok != want {
			t.Errorf("start time %d: chosen is %v, want %v", born, ok, want)
		}
	}
}

// BenchmarkSpread measures one choice among 1,000 endpoints, for a new program and for one that keeps its endpoint.
func BenchmarkSpread(b *testing.B) {
	f, now := NewServiceFleet(time.Time{}, startedAt(1000, 1000), Spread, nil), time.Unix(100, 0)
	for name, last := range map[string]incarnation.ID{"new": {}, "stays": {EndpointID: "e0500", StartMS: 1000}} {
		b.Run(name, func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			req := Request{Class: Class{Service: "s"}, Domain: "1", PromptTokens: 2000, LastEndpoint: last}
			for b.Loop() {
				c, ok := f.Choose(now, req, r)
				if !ok {
					b.Fatal("no free slot")
				}
				c.Endpoint().Done(now, Result{OK: true})
			}
		})
	}
}
