// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"
	"testing"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// document returns a configuration of n routes on so many hosts.
func document(n, hosts int) *fleetpb.Document {
	d := &fleetpb.Document{Version: 1, Services: []*fleetpb.Service{{Name: "s"}}}
	for i := range n {
		d.Routes = append(d.Routes, route(fmt.Sprintf("r%d", i), fmt.Sprintf("h%d.example", i%hosts), fmt.Sprintf("/%x/", i*1299709)))
	}
	return d
}

func route(name, host, prefix string) *fleetpb.Route {
	return &fleetpb.Route{
		Name: name, Host: host, Prefix: prefix, Kind: fleetpb.RouteKind_ROUTE_KIND_ONCE, TimeoutMs: 1000,
		Shares: []*fleetpb.Share{{Service: "s", Weight: 1}},
	}
}

// fastest returns the least time of several runs, so that what else the machine does
// has no part in it.
func fastest(f func()) time.Duration {
	const runs = 5
	least := time.Hour
	for range runs {
		begun := time.Now()
		f()
		least = min(least, time.Since(begun))
	}
	return least
}

// TestWorkDoesNotGrowWithTheRoutesOfAHost: some 8,000 routes of one host took an instance
// with a fifth of a core 0.9 s to index, at each change of anything, as each route was
// compared with all others of its host. Requests were late meanwhile, and were routed by
// an older version beyond the bound.
func TestWorkDoesNotGrowWithTheRoutesOfAHost(t *testing.T) {
	const routes = 8000
	// most is how many times dearer one host may be. Comparing all routes of a host with
	// each other made it some hundred times, walking them for each request a thousand.
	const most = 10
	index := func(hosts int) time.Duration {
		d := document(routes, hosts)
		return fastest(func() {
			if _, err := New(d); err != nil {
				t.Fatal(err)
			}
		})
	}
	if one, many := index(1), index(routes); one > most*many {
		t.Errorf("%d routes of one host take %v, of as many hosts %v", routes, one, many)
	}
	match := func(n int) time.Duration {
		table, err := New(document(n, 1))
		if err != nil {
			t.Fatal(err)
		}
		return fastest(func() {
			for range 100 {
				if _, ok := table.Match("h0.example", "/none/"); ok {
					t.Fatal("a route that is not there was found")
				}
			}
		})
	}
	if few, many := match(10), match(routes); many > most*few {
		t.Errorf("a request takes %v among %d routes, %v among ten", many/100, routes, few/100)
	}
}
