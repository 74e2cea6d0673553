// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// newDocument returns a configuration of n routes on the given number of hosts.
func newDocument(n, hosts int) *fleetpb.Document {
	d := &fleetpb.Document{Version: 1, Services: []*fleetpb.Service{{Name: "s"}}}
	for i := range n {
		d.Routes = append(d.Routes, newRoute(fmt.Sprintf("r%d", i), fmt.Sprintf("h%d.example", i%hosts), fmt.Sprintf("/%x/", i*1299709)))
	}
	return d
}

func newRoute(name, host, prefix string) *fleetpb.Route {
	return &fleetpb.Route{
		Name: name, Host: host, Prefix: prefix, Kind: fleetpb.RouteKind_ROUTE_KIND_ONCE, TimeoutMs: 1000,
		Shares: []*fleetpb.Share{{Service: "s", Weight: 1}},
	}
}

// minDuration returns the shortest of several runs, which is least affected by other load.
func minDuration(f func()) time.Duration {
	const runs = 5
	least := time.Hour
	for range runs {
		begun := time.Now()
		f()
		least = min(least, time.Since(begun))
	}
	return least
}

// TestWorkDoesNotGrowWithTheRoutesOfAHost guards against work that is quadratic in
// the routes of a host when indexing, or linear when matching.
func TestWorkDoesNotGrowWithTheRoutesOfAHost(t *testing.T) {
	const routes = 8000
	// most is the highest acceptable ratio; quadratic or linear work exceeds it by far.
	const most = 10
	index := func(hosts int) time.Duration {
		d := newDocument(routes, hosts)
		return minDuration(func() {
			if _, err := New(d); err != nil {
				t.Fatal(err)
			}
		})
	}
	if one, many := index(1), index(routes); one > most*many {
		t.Errorf("%d routes of one host take %v, of as many hosts %v", routes, one, many)
	}
	match := func(n int) time.Duration {
		table, err := New(newDocument(n, 1))
		if err != nil {
			t.Fatal(err)
		}
		return minDuration(func() {
			for range 100 {
				if _, ok := table.Match("h0.example", "/none/"); ok {
					t.Fatal("a route was found that does not exist")
				}
			}
		})
	}
	if few, many := match(10), match(routes); many > most*few {
		t.Errorf("a request takes %v among %d routes, %v among ten", many/100, routes, few/100)
	}
}

// Priorities of other services, or of routes that start no programs, would shift the ranks of a service's programs.
func TestStreamPrioritiesAreThoseOfTheService(t *testing.T) {
	d := &fleetpb.Document{Version: 1, Services: []*fleetpb.Service{{Name: "s"}, {Name: "other"}}}
	for i, priority := range []uint32{2, 0, 2, 1, 3} {
		r := newRoute(fmt.Sprint("r", i), "h", fmt.Sprintf("/%d/", i))
		r.Priority, r.Kind = priority, fleetpb.RouteKind_ROUTE_KIND_STREAM
		d.Routes = append(d.Routes, r)
	}
	d.Routes[3].Shares[0].Service, d.Routes[4].Kind = "other", fleetpb.RouteKind_ROUTE_KIND_ONCE
	table, _, err := (*Table)(nil).ApplyDocument(d)
	if err != nil {
		t.Fatal(err)
	}
	if got := table.StreamPriorities("s"); !slices.Equal(got, []uint32{0, 2}) {
		t.Errorf("%v, want 0 and 2", got)
	}
}
