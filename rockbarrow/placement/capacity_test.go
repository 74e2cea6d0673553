// SPDX-License-Identifier: MIT

package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rockbarrow.dev/schema/configpb"
)

// fleetOf returns a fleet of n endpoints with six slots each.
func fleetOf(n int) *Fleet {
	var list []*configpb.Endpoint
	for i := range n {
		list = append(list, &configpb.Endpoint{Name: fmt.Sprintf("e%04d", i), Service: "s", MaxCalls: 6, Address: "x"})
	}
	return NewServiceFleet(time.Unix(0, 0), listed(list), Spread, nil)
}

// The shared counts, which come from tracked endpoints only, must equal those of all usable endpoints.
func TestSharedCapacityEqualsAFullScan(t *testing.T) {
	r, now, class := rand.New(rand.NewPCG(3, 3)), time.Unix(100, 0), Class{Service: "s"}
	for range 200 {
		f := fleetOf(30)
		for range r.IntN(60) {
			if c, ok := f.Choose(now, Request{Class: class}, r); ok && r.IntN(3) == 0 {
				c.Endpoint().Done(now, Result{Unreachable: r.IntN(2) == 0})
			}
		}
		var loads []RemoteLoad
		for _, e := range f.Endpoints() {
			if r.IntN(4) == 0 {
				loads = append(loads, RemoteLoad{Endpoint: e, Running: uint32(r.IntN(9))})
			}
		}
		f.SetRemoteLoads(now, loads)
		later := now.Add(time.Duration(r.IntN(2)) * 1300 * time.Millisecond)
		want := Capacity{Slots: f.Slots(later, class, 60), Instances: 60}
		for _, e := range f.Endpoints() {
			if at := later.UnixNano(); e.isUsable(at) {
				want.SharedSlots += 6
				want.SharedInFlight += int(e.InFlight() + e.remote.inFlightAt(at))
			}
		}
		want.SharedSlots += want.SharedSlots / 10
		if got := f.Capacity(later, class, 60); got != want {
			t.Fatalf("%+v, want %+v", got, want)
		}
	}
}

// Without reports an instance must neither take all slots nor refuse by old counts; where it has enough slots of its
// own, nothing may change.
func TestSharedCapacityNeedsReportsAndFewSlots(t *testing.T) {
	f, now, class := fleetOf(35), time.Unix(100, 0), Class{Service: "s"}
	evenShare := Capacity{Slots: 3} // of 210 slots and 105 places in queues
	if got := f.Capacity(now, class, 80); got != evenShare {
		t.Errorf("%+v before the first report, want %+v", got, evenShare)
	}
	f.SetRemoteLoads(now, []RemoteLoad{{Endpoint: f.Endpoint("e0003"), Running: 4}, {Endpoint: f.Endpoint("e0034"), Running: 5}})
	f = f.Next(now, nil, []string{"e0034"})
	if got, want := f.Capacity(now, class, 80), (Capacity{Slots: 204, SharedSlots: 224, SharedInFlight: 4, Instances: 80}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got, want := f.Capacity(now, class, 51), (Capacity{Slots: 204}); got != want {
		t.Errorf("%+v with four slots for each instance, want %+v", got, want)
	}
	if got := f.Capacity(now.Add(remoteStateTTL), class, 80); got != evenShare {
		t.Errorf("%+v after reports were lost, want %+v", got, evenShare)
	}
	if got := f.Capacity(now, Class{Service: "other"}, 80); got != (Capacity{}) {
		t.Errorf("%+v for an unknown service", got)
	}
}

// BenchmarkCapacity counts the slots of 1,000 endpoints that all have calls of other instances, and some of this one.
func BenchmarkCapacity(b *testing.B) {
	f, now, r := fleetOf(1000), time.Unix(100, 0), rand.New(rand.NewPCG(1, 1))
	var loads []RemoteLoad
	for _, e := range f.Endpoints() {
		loads = append(loads, RemoteLoad{Endpoint: e, Running: 2})
	}
	f.SetRemoteLoads(now, loads)
	for range 200 {
		f.Choose(now, Request{Class: Class{Service: "s"}}, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Capacity(now, Class{Service: "s"}, 1000)
	}
}
