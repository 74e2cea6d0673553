// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// fewRoutes is the most that most changes add or take away, and manyRoutes the most of
	// one in manyEvery.
	fewRoutes, manyRoutes, manyEvery = 3, 2000, 3
	// sampledRoutes is how many routes of each kind are looked at in the end.
	sampledRoutes = 10
)

// routes are those that come and go while a soak lasts, all of one host.
type routes struct {
	r *rand.Rand
	// next numbers the routes, so that none comes back.
	next       int
	live, gone []string
	// fresh holds the services of routes that don't go to the tools.
	fresh map[string]string
}

// change adds some routes and takes some away. The first one stays.
func (x *routes) change() (added, removed []string) {
	if x.next == 0 {
		x.live = append(x.live, firstRoute)
	}
	most := fewRoutes
	if x.r.IntN(manyEvery) == 0 {
		most = manyRoutes
	}
	for range min(len(x.live)-1, x.r.IntN(most)) {
		i := 1 + x.r.IntN(len(x.live)-1)
		removed = append(removed, x.live[i])
		x.live = slices.Delete(x.live, i, i+1)
	}
	for range 1 + x.r.IntN(most) {
		added = append(added, x.add())
	}
	x.gone = append(x.gone, removed...)
	return added, removed
}

// add adds a route.
func (x *routes) add() string {
	path := fmt.Sprintf("/extra-%d/", x.next)
	x.next++
	x.live = append(x.live, path)
	return path
}

// addTo adds a route to a service that no other route goes to.
func (x *routes) addTo(service string) string {
	if x.fresh == nil {
		x.fresh = map[string]string{}
	}
	path := x.add()
	x.fresh[path] = service
	return path
}

// services returns those of routes that are there.
func (x *routes) services() []*fleetpb.Service {
	var out []*fleetpb.Service
	for _, path := range x.live {
		if name, ok := x.fresh[path]; ok {
			out = append(out, &fleetpb.Service{Name: name, MaxConnections: 300})
		}
	}
	return out
}

// document returns them as a configuration holds them.
func (x *routes) document() []*fleetpb.Route {
	var out []*fleetpb.Route
	for _, prefix := range x.live {
		service, ok := x.fresh[prefix]
		if !ok {
			service = "tool"
		}
		out = append(out, &fleetpb.Route{
			Name: prefix, Host: host, Prefix: prefix, Kind: fleetpb.RouteKind_ROUTE_KIND_REPEATABLE, TimeoutMs: 2000, ObjectiveMs: 200,
			MaxAttempts: 2, Shares: []*fleetpb.Share{{Service: service, Weight: 1}},
		})
	}
	return out
}

// sample draws some of a list.
func (x *routes) sample(list []string) []string {
	var out []string
	for range min(len(list), sampledRoutes) {
		out = append(out, list[x.r.IntN(len(list))])
	}
	return out
}

// checkRoutes sends one more configuration, as the last one may have been given up, and
// breaks a promise unless every entry instance comes to route by it, whole: what it lacks
// then, nobody would send it any more.
func (f *fleet) checkRoutes(ctx context.Context) {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	if err := f.sendNext(ctx); err != nil {
		f.ledger.AddViolation("a configuration was not taken: %v", err)
		return
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range f.entries {
		for _, path := range append(f.routes.sample(f.routes.live), f.routes.live[len(f.routes.live)-1]) {
			f.awaitRoute(ctx, client, e, path, true)
		}
		for _, path := range f.routes.sample(f.routes.gone) {
			f.awaitRoute(ctx, client, e, path, false)
		}
	}
}

// awaitRoute asks for a path until the answer shows that it is routed, or is not.
func (f *fleet) awaitRoute(ctx context.Context, client *http.Client, e *instance, path string, routed bool) {
	last := "no answer"
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("probe%s%s-%d", e.plan.Instance, path, n)
		status, err := standin.Probe(ctx, client, e.plan.ConsumerAddress, host, path+"x", id)
		switch {
		case err != nil:
			last = err.Error()
		case routed && status == http.StatusOK, !routed && status == http.StatusNotFound:
			return
		default:
			last = fmt.Sprint("status ", status)
		}
		wait.For(ctx, checkEvery)
	}
	f.ledger.AddViolation("%s does not route by the newest configuration: %s, routed there: %v, %s", e.plan.Instance, path, routed, last)
}
