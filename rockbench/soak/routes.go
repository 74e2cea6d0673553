// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/confighistory"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// fewRoutes is the most that most changes add or take away, and manyRoutes the most of
	// one in manyEvery.
	fewRoutes, manyRoutes, manyEvery = 3, 2000, 3
	// movedRoutes is the most that a change moves to another service or splits anew.
	movedRoutes = 4
	// slowRoutes is how many routes have a slow service, whose time limits change, one in limitEvery versions.
	slowRoutes, limitEvery = 3, 2
	// tightBytes and wideBytes are the limits of bodies, and largeBytes the size of those sent to largePath, which is between them.
	tightBytes, largeBytes, wideBytes = 64 << 10, 100 << 10, 1 << 20
	// sampledRoutes is how many routes of each kind are looked at in the end.
	sampledRoutes = 10
)

// toolService is the service of most routes, and slowName that of those with changing time limits.
const (
	toolService = "tool"
	slowName    = "slow"
)

// routes are those that come, move and go while a soak lasts, all of one host.
type routes struct {
	r *rand.Rand
	// next numbers the routes, so that none comes back.
	next       int
	live, gone []string
	// shares holds those of routes that don't go to the tools, and limits the time limits of those with a slow service, in ms.
	shares map[string][]*fleetpb.Share
	limits map[string]uint32
	// versions counts the changes. Bodies are limited to tightBytes if tight is true; no draw changes it, so that those of seeds stay.
	versions int
	tight    bool
	// fresh are the services that came with a version.
	fresh []string
	// contested is the path that a configuration has and another one of its version has not, and contestants are those of the
	// newest version.
	contested   string
	contestants []string
}

// change adds some routes, takes some away, moves some, and changes time limits. The first one stays.
func (x *routes) change() map[string]confighistory.Behaviour {
	changes := map[string]confighistory.Behaviour{}
	if x.next == 0 {
		x.live = append(x.live, firstRoute)
		x.shares, x.limits = map[string][]*fleetpb.Share{}, map[string]uint32{}
		for i := range slowRoutes {
			path := fmt.Sprintf("/slow-%d/", i)
			x.limits[path] = longLimit
			changes[path] = x.behaviour(path)
		}
	}
	most := fewRoutes
	if x.r.IntN(manyEvery) == 0 {
		most = manyRoutes
	}
	for range min(len(x.live)-1, x.r.IntN(most)) {
		i := 1 + x.r.IntN(len(x.live)-1)
		changes[x.live[i]] = confighistory.Behaviour{}
		x.gone = append(x.gone, x.live[i])
		x.live = slices.Delete(x.live, i, i+1)
	}
	for range 1 + x.r.IntN(most) {
		path := x.add()
		changes[path] = x.behaviour(path)
	}
	for range x.r.IntN(movedRoutes) {
		path := x.move()
		changes[path] = x.behaviour(path)
	}
	if x.r.IntN(limitEvery) == 0 {
		path := fmt.Sprintf("/slow-%d/", x.r.IntN(slowRoutes))
		x.limits[path] = shortLimit + longLimit - x.limits[path]
		changes[path] = x.behaviour(path)
	}
	if x.versions%limitEvery == 0 {
		x.tight = !x.tight
		changes[largePath] = x.behaviour(largePath)
	}
	x.versions++
	return changes
}

// add adds a route.
func (x *routes) add() string {
	path := fmt.Sprintf("/extra-%d/", x.next)
	x.next++
	x.live = append(x.live, path)
	return path
}

// addTo adds a route to a service that is new.
func (x *routes) addTo(service string) string {
	path := x.add()
	x.fresh = append(x.fresh, service)
	x.shares[path] = []*fleetpb.Share{{Service: service, Weight: 1}}
	return path
}

// move gives one of the newest routes another service, or splits it between two, one of which may get nothing.
func (x *routes) move() string {
	path := x.live[len(x.live)-1-x.r.IntN(min(len(x.live)-1, movedRoutes))]
	services := append([]string{toolService}, x.fresh...)
	one, other := services[x.r.IntN(len(services))], services[x.r.IntN(len(services))]
	x.shares[path] = []*fleetpb.Share{{Service: one, Weight: 1 + x.r.Uint32N(3)}}
	if one != other {
		x.shares[path] = append(x.shares[path], &fleetpb.Share{Service: other, Weight: x.r.Uint32N(3)})
	}
	return path
}

// behaviour returns that of a live route.
func (x *routes) behaviour(path string) confighistory.Behaviour {
	if path == largePath {
		return confighistory.Behaviour{Services: []string{toolService}, Tight: x.tight}
	}
	if limit, ok := x.limits[path]; ok {
		return confighistory.Behaviour{Services: []string{slowName}, Takes: slowService, Limit: time.Duration(limit) * time.Millisecond}
	}
	b := confighistory.Behaviour{}
	for _, s := range x.sharesOf(path) {
		if s.GetWeight() > 0 {
			b.Services = append(b.Services, s.GetService())
		}
	}
	return b
}

func (x *routes) sharesOf(path string) []*fleetpb.Share {
	if s, ok := x.shares[path]; ok {
		return s
	}
	return []*fleetpb.Share{{Service: toolService, Weight: 1}}
}

// services returns those of live routes, without the tools.
func (x *routes) services() []*fleetpb.Service {
	out := []*fleetpb.Service{{Name: slowName, MaxConnections: 300}}
	known := map[string]bool{toolService: true}
	for _, path := range x.live {
		for _, s := range x.sharesOf(path) {
			if !known[s.GetService()] {
				known[s.GetService()] = true
				out = append(out, &fleetpb.Service{Name: s.GetService(), MaxConnections: 300})
			}
		}
	}
	return out
}

// document returns them as a configuration holds them.
func (x *routes) document() []*fleetpb.Route {
	var out []*fleetpb.Route
	add := func(prefix string, limit uint32, shares []*fleetpb.Share) {
		out = append(out, &fleetpb.Route{
			Name: prefix, Host: host, Prefix: prefix, Kind: fleetpb.RouteKind_ROUTE_KIND_REPEATABLE, TimeoutMs: limit, ObjectiveMs: 200,
			MaxAttempts: 2, Shares: shares,
		})
	}
	for _, prefix := range x.live {
		add(prefix, 2000, x.sharesOf(prefix))
	}
	for _, prefix := range slices.Sorted(maps.Keys(x.limits)) {
		add(prefix, x.limits[prefix], []*fleetpb.Share{{Service: slowName, Weight: 1}})
	}
	if x.contested != "" {
		add(x.contested, 2000, x.sharesOf(x.contested))
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
		live := append(f.routes.sample(f.routes.live), f.routes.live[len(f.routes.live)-1])
		live = append(slices.AppendSeq(live, maps.Keys(f.routes.limits)), largePath)
		for _, path := range append(live, f.routes.sample(f.routes.gone)...) {
			f.awaitBehaviour(ctx, client, e, path)
		}
	}
}

// awaitBehaviour asks for a path until the answer is of the newest configuration.
func (f *fleet) awaitBehaviour(ctx context.Context, client *http.Client, e *instance, path string) {
	want := confighistory.Behaviour{}
	if path == largePath || slices.Contains(f.routes.live, path) || f.routes.limits[path] > 0 {
		want = f.routes.behaviour(path)
	}
	last := "no answer"
	for n := 0; ctx.Err() == nil; n++ {
		a, err := f.ask(ctx, client, e, path, fmt.Sprintf("probe%s%s-%d", e.plan.Instance, path, n))
		switch {
		case err != nil:
			last = err.Error()
		case a.Tells(slowService) && want.Allows(a.Response):
			return
		case want.IsLimited() && a.Status == http.StatusServiceUnavailable:
			// It is known by then that the service takes longer than the time limit.
			return
		default:
			last = fmt.Sprintf("status %d of %q", a.Status, a.Service)
		}
		wait.For(ctx, checkEvery)
	}
	f.ledger.AddViolation("%s does not route by the newest configuration: %s, want %v, %s", e.plan.Instance, path, want, last)
}

// probePath sends a request for a path to an entry instance, with a large body for largePath, and returns the status and the service that
// answered.
func probePath(ctx context.Context, client *http.Client, e *instance, path, id string) (status int, service string, err error) {
	size := len(id)
	if path == largePath {
		size = largeBytes
	}
	return standin.ProbeSized(ctx, client, e.plan.ConsumerAddress, host, path+"x", id, size)
}
