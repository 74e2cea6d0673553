// SPDX-License-Identifier: MIT

package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/schema/configpb"
)

// fleetOf is a configuration of n endpoints of one model.
func fleetOf(n int) *control.Snapshot {
	d := &configpb.Document{Bindings: []*configpb.Binding{{Name: "b", Domains: []string{"a"}}}}
	for i := range n {
		d.Endpoints = append(d.Endpoints, &configpb.Endpoint{Name: fmt.Sprintf("e%d", i), Domain: "a", Address: "http://x", Models: []string{"m"}})
	}
	return control.NewSnapshot(d)
}

// BenchmarkNewFleet is the work for one change of a configuration or list, by both ways
// in which endpoints are told.
func BenchmarkNewFleet(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		s := fleetOf(n)
		old := NewFleet(s, Weights{}, Cost, nil)
		b.Run(fmt.Sprintf("configured=%d", n), func(b *testing.B) {
			for b.Loop() {
				NewFleet(s, Weights{}, Cost, old)
			}
		})
		list := s.Document().GetEndpoints()
		b.Run(fmt.Sprintf("listed=%d", n), func(b *testing.B) {
			for b.Loop() {
				NewServiceFleet(time.Time{}, listed(list), Spread, old)
			}
		})
	}
}

// TestIndexingGoesWithTheEndpoints: each endpoint was put in its place among all others of
// its class, from a random order, so that a change of one took time by the square of all.
func TestIndexingGoesWithTheEndpoints(t *testing.T) {
	// most is how many times dearer the way by bindings may be than the plain one; it was
	// some fifty times at this size.
	const endpoints, most, runs = 8000, 15, 5
	s := fleetOf(endpoints)
	list := s.Document().GetEndpoints()
	old := NewFleet(s, Weights{}, Cost, nil)
	if n := len(old.Candidates(Class{Model: "m", Binding: "b"})); n != endpoints {
		t.Fatalf("%d endpoints are candidates, want %d", n, endpoints)
	}
	bindings, plain := time.Hour, time.Hour
	for range runs {
		begun := time.Now()
		NewFleet(s, Weights{}, Cost, old)
		bindings = min(bindings, time.Since(begun))
		begun = time.Now()
		NewServiceFleet(time.Time{}, listed(list), Spread, old)
		plain = min(plain, time.Since(begun))
	}
	if bindings > most*plain {
		t.Errorf("%v by bindings, %v without", bindings, plain)
	}
}

// TestANewListCostsWhatChanged: all endpoints were indexed anew with each list.
func TestANewListCostsWhatChanged(t *testing.T) {
	now := time.Unix(100, 0)
	for _, n := range []int{1000, 2000} {
		var list []*configpb.Endpoint
		for i := range n {
			list = append(list, &configpb.Endpoint{Name: fmt.Sprintf("e%05d", i), Domain: "a", Service: "s", MaxCalls: 6, Address: "x"})
		}
		f := NewServiceFleet(now, listed(list), Spread, nil)
		allocated := testing.AllocsPerRun(10, func() {
			f.Next(now, listed([]*configpb.Endpoint{{Name: "e00500x", Service: "s", MaxCalls: 6}}), []string{"e00007"})
		})
		if allocated > 40 {
			t.Errorf("%.0f allocations for two changes among %d endpoints", allocated, n)
		}
	}
}

// TestNextIsTheFleetOfTheWholeList draws changes, and compares with an index of everything.
func TestNextIsTheFleetOfTheWholeList(t *testing.T) {
	r, now := rand.New(rand.NewPCG(1, 1)), time.Unix(100, 0)
	present := map[string]*configpb.Endpoint{}
	f := NewServiceFleet(now, nil, Spread, nil)
	whole := f
	for range 300 {
		var changed []*configpb.Endpoint
		var gone []string
		for range r.IntN(5) {
			name := fmt.Sprintf("e%02d", r.IntN(40))
			if contains(changed, name) || slices.Contains(gone, name) {
				continue
			}
			if r.IntN(3) == 0 {
				gone = append(gone, name)
				delete(present, name)
				continue
			}
			e := &configpb.Endpoint{
				Name: name, Domain: "a", Service: string(rune('s' + r.IntN(2))), MaxCalls: uint32(1 + r.IntN(6)), Address: fmt.Sprint(r.IntN(2)),
			}
			changed, present[name] = append(changed, e), e
		}
		f = f.Next(now, listed(changed), gone)
		whole = NewServiceFleet(now, listed(slices.Collect(maps.Values(present))), Spread, nil)
		for _, class := range []Class{{Service: "s"}, {Service: "t"}} {
			got, want := f.Candidates(class), whole.Candidates(class)
			same := func(a, b *Endpoint) bool { return proto.Equal(a.Config(), b.Config()) }
			if !slices.EqualFunc(got, want, same) || f.Slots(now, class, 3) != whole.Slots(now, class, 3) {
				t.Fatalf("%v: %d endpoints and %d places, want %d and %d", class, len(got), f.Slots(now, class, 3), len(want), whole.Slots(now, class, 3))
			}
		}
		if len(f.Endpoints()) != len(present) {
			t.Fatalf("%d endpoints, want %d", len(f.Endpoints()), len(present))
		}
	}
}

func contains(list []*configpb.Endpoint, name string) bool {
	return slices.ContainsFunc(list, func(e *configpb.Endpoint) bool { return e.GetName() == name })
}

// TestPlacesCountWhatIsKnown: calls of others, endpoints that are out, and calls from here, of few among many.
func TestPlacesCountWhatIsKnown(t *testing.T) {
	r, now := rand.New(rand.NewPCG(2, 2)), time.Unix(100, 0)
	for range 200 {
		var list []*configpb.Endpoint
		for i := range 30 {
			list = append(list, &configpb.Endpoint{Name: fmt.Sprintf("e%02d", i), Service: "s", MaxCalls: 6, Address: "x"})
		}
		f := NewServiceFleet(now, listed(list), Spread, nil)
		for range r.IntN(40) {
			c, ok := f.Choose(now, Request{Class: Class{Service: "s"}}, r)
			if ok && r.IntN(3) == 0 {
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
		all, slots, others := 0, 0, 0
		for _, e := range f.Endpoints() {
			if e.isUsable(later.UnixNano()) {
				all, slots, others = all+9, slots+6, others+int(e.others.runningAt(later.UnixNano()))
			}
		}
		if got, want := f.Slots(later, Class{Service: "s"}, 4), min(slots, max(1, all/4, all-others)); got != want {
			t.Fatalf("%d places, want %d", got, want)
		}
	}
}
