// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// lastingPrefix begins the names of services and routes whose requests last up to about as long as the grace period.
	lastingPrefix = "lasting"
	// plainName and streamName are these services.
	plainName, streamName = lastingPrefix + "-plain", lastingPrefix + "-stream"
	// leastTime and mostTime bound the time that such requests take, and pieceTime is the time between two events of a stream.
	leastTime, mostTime = 500 * time.Millisecond, 7 * time.Second
	pieceTime           = 250 * time.Millisecond
)

// lastingRoute is a route whose requests last.
type lastingRoute struct {
	name     string
	kind     fleetpb.RouteKind
	attempts uint32
	// limit is the time limit in ms.
	limit uint32
}

var lastingRoutes = []lastingRoute{
	{name: "lasting-once", kind: fleetpb.RouteKind_ROUTE_KIND_ONCE, attempts: 1, limit: 9000},
	{name: "lasting-once-short", kind: fleetpb.RouteKind_ROUTE_KIND_ONCE, attempts: 1, limit: 4000},
	{name: "lasting-repeat", kind: fleetpb.RouteKind_ROUTE_KIND_REPEATABLE, attempts: 2, limit: 9000},
	{name: "lasting-repeat-short", kind: fleetpb.RouteKind_ROUTE_KIND_REPEATABLE, attempts: 2, limit: 5000},
	{name: "lasting-streams", kind: fleetpb.RouteKind_ROUTE_KIND_STREAM, attempts: 1, limit: 9000},
}

func (r lastingRoute) path() string     { return "/" + r.name + "/" }
func (r lastingRoute) streams() bool    { return r.kind == fleetpb.RouteKind_ROUTE_KIND_STREAM }
func (r lastingRoute) repeatable() bool { return r.kind == fleetpb.RouteKind_ROUTE_KIND_REPEATABLE }

// drawTime draws how long a request takes. Most end within one attempt, as endpoints that fail often are left out.
func (r lastingRoute) drawTime(rand *rand.Rand) time.Duration {
	most := min(mostTime, time.Duration(r.limit)*time.Millisecond)
	const mostEnd = 8
	if rand.IntN(mostEnd) > 0 {
		most = most * 3 / 4 / time.Duration(r.attempts)
	}
	return leastTime + time.Duration(rand.Int64N(int64(most-leastTime)))
}

// startLasting starts endpoints whose requests last, which no fault has, and adds their routes to all configurations.
func (f *fleet) startLasting() error {
	for _, service := range []string{plainName, streamName} {
		for d := range f.domains {
			e := f.newEndpoint(fmt.Sprint(service, "-", d), service, fmt.Sprint("domain-", d))
			e.TimeInPath, e.Stream, e.ServiceTime = true, service == streamName, pieceTime
			if err := f.startFresh(e); err != nil {
				return err
			}
		}
		f.extraServices = append(f.extraServices, &fleetpb.Service{Name: service, MaxConnections: 300})
	}
	for _, r := range lastingRoutes {
		service := plainName
		if r.streams() {
			service = streamName
		}
		f.extraRoutes = append(f.extraRoutes, &fleetpb.Route{
			Name: r.name, Host: host, Prefix: r.path(), Kind: r.kind, TimeoutMs: r.limit, ObjectiveMs: 200, MaxAttempts: r.attempts,
			Shares: []*fleetpb.Share{{Service: service, Weight: 1}},
		})
	}
	return nil
}
