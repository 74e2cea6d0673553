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

// snapshotOf returns a configuration of n endpoints of one model.
func snapshotOf(n int) *control.Snapshot {
	d := &configpb.Document{Bindings: []*configpb.Binding{{Name: "b", Domains: []string{"a"}}}}
	for i := range n {
		d.Endpoints = append(d.Endpoints, &configpb.Endpoint{Name: fmt.Sprintf("e%d", i), Domain: "a", Address: "http://x", Models: []string{"m"}})
	}
	return control.NewSnapshot(d)
}

// BenchmarkNewFleet measures rebuilding the index, from a configuration and from a
// list of endpoints.
func BenchmarkNewFleet(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		s := snapshotOf(n)
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

// Guards against quadratic indexing: inserting endpoints in random order into the
// sorted list of their class.
func TestIndexingIsNotQuadratic(t *testing.T) {
	// maxRatio bounds the time to index by bindings relative to indexing by service.
	// A quadratic index is some fifty times slower at this size.
	const endpoints, maxRatio, runs = 8000, 15, 5
	s := snapshotOf(endpoints)
	list := s.Document().GetEndpoints()
	old := NewFleet(s, Weights{}, Cost, nil)
	if n := len(old.Candidates(Class{Model: "m", Binding: "b"})); n != endpoints {
		t.Fatalf("%d endpoints are candidates, want %d", n, endpoints)
	}
	byBinding, byService := time.Hour, time.Hour
	for range runs {
		started := time.Now()
		NewFleet(s, Weights{}, Cost, old)
		byBinding = min(byBinding, time.Since(started))
		started = time.Now()
		NewServiceFleet(time.Time{}, listed(list), Spread, old)
		byService = min(byService, time.Since(started))
	}
	if byBinding > maxRatio*byService {
		t.Errorf("%v by binding, %v by service, want at most %d times as long", byBinding, byService, maxRatio)
	}
}

// Next must not index all endpoints again for a small change.
func TestNextDoesNotReindexUnchangedEndpoints(t *testing.T) {
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

// After random changes, Next must return the same fleet as NewServiceFleet for the whole list.
func TestNextEqualsAFullRebuild(t *testing.T) {
	r, now := rand.New(rand.NewPCG(1, 1)), time.Unix(100, 0)
	present := map[string]*configpb.Endpoint{}
	f := NewServiceFleet(now, nil, Spread, nil)
	whole := f
	for range 300 {
		var changed []*configpb.Endpoint
		var removed []string
		for range r.IntN(5) {
			name := fmt.Sprintf("e%02d", r.IntN(40))
			if contains(changed, name) || slices.Contains(removed, name) {
				continue
			}
			if r.IntN(3) == 0 {
				removed = append(removed, name)
				delete(present, name)
				continue
			}
			e := &configpb.Endpoint{
				Name: name, Domain: "a", Service: string(rune('s' + r.IntN(2))), MaxCalls: uint32(1 + r.IntN(6)), Address: fmt.Sprint(r.IntN(2)),
			}
			changed, present[name] = append(changed, e), e
		}
		f = f.Next(now, listed(changed), removed)
		whole = NewServiceFleet(now, listed(slices.Collect(maps.Values(present))), Spread, nil)
		for _, class := range []Class{{Service: "s"}, {Service: "t"}} {
			got, want := f.Candidates(class), whole.Candidates(class)
			same := func(a, b *Endpoint) bool { return proto.Equal(a.Config(), b.Config()) }
			if !slices.EqualFunc(got, want, same) || f.Slots(now, class, 3) != whole.Slots(now, class, 3) {
				t.Fatalf("%v: %d endpoints and %d slots, want %d and %d", class, len(got), f.Slots(now, class, 3), len(want), whole.Slots(now, class, 3))
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

// Slots, which looks only at tracked endpoints, must equal a computation over the whole fleet.
func TestSlotsEqualAFullScan(t *testing.T) {
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
		all, slots, remote := 0, 0, 0
		for _, e := range f.Endpoints() {
			if e.isUsable(later.UnixNano()) {
				all, slots, remote = all+9, slots+6, remote+int(e.remote.inFlightAt(later.UnixNano()))
			}
		}
		if got, want := f.Slots(later, Class{Service: "s"}, 4), min(slots, max(1, all/4, all-remote)); got != want {
			t.Fatalf("%d slots, want %d", got, want)
		}
	}
}
