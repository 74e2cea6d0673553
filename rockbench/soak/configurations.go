// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbench/confighistory"
	"rockbarrow.dev/schema/fleetpb"
)

// deploy sends the next version of the configuration.
func (f *fleet) deploy(ctx context.Context) error {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	return f.sendNext(ctx)
}

// sendNext is deploy for who holds configuring.
func (f *fleet) sendNext(ctx context.Context) error {
	changes, err := f.change()
	if err != nil {
		return err
	}
	f.history.send(f.version, changes)
	f.customers.change()
	if err := f.operator.Deploy(ctx, f.document(f.version)); err != nil {
		return err
	}
	f.operations.Changes.Acknowledge(f.version)
	f.customers.acknowledged(time.Now())
	return nil
}

// race lets two operators send different configurations of one version at one moment. Each has a route that the other has not, so that
// it shows which one is in force.
func (f *fleet) race(ctx context.Context) error {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	documents, changes, err := f.contestants()
	if err != nil {
		return err
	}
	f.history.send(f.version, changes)
	err = f.operator.DeployConcurrently(ctx, documents[0], documents[1])
	if err == nil {
		f.operations.Changes.Acknowledge(f.version)
	}
	return err
}

// resend sends the configuration that was acknowledged last once more. It must not be refused.
func (f *fleet) resend(ctx context.Context) {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	f.operator.Resend(ctx)
}

// deployStale sends other content under a version that was acknowledged, or an older one. It must change nothing.
func (f *fleet) deployStale(ctx context.Context, r *rand.Rand) error {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	version := f.operations.Changes.Newest()
	if version > 1 && r.IntN(2) == 0 {
		version = 1 + r.Uint64N(version)
	}
	d := f.document(version)
	d.Routes = slices.DeleteFunc(d.Routes, func(x *fleetpb.Route) bool { return x.GetPrefix() != firstRoute && !f.isExtra(x) && r.IntN(2) == 0 })
	d.Limits.BodyBytes, d.Limits.HeaderBytes = 1, 1
	for _, x := range d.Routes {
		x.TimeoutMs, x.Shares = 1, []*fleetpb.Share{{Service: slowName, Weight: 1}}
	}
	return f.operator.DeployStale(ctx, d)
}

// isExtra reports whether a route is in each configuration, beside those that change.
func (f *fleet) isExtra(r *fleetpb.Route) bool {
	return slices.ContainsFunc(f.extraRoutes, func(x *fleetpb.Route) bool { return x.GetName() == r.GetName() })
}

// change makes the next version, and returns what it changes. The contested routes of earlier versions end.
func (f *fleet) change() (map[string]confighistory.Behaviour, error) {
	f.version++
	changes := f.routes.change()
	if f.routes.r.IntN(freshEvery) == 0 {
		path, err := f.addFreshService()
		if err != nil {
			return nil, err
		}
		changes[path] = f.routes.behaviour(path)
	}
	for _, path := range f.routes.contestants {
		changes[path] = confighistory.Behaviour{}
	}
	f.routes.contestants = nil
	return changes, nil
}

// addFreshService adds a route to a service that is new in the next version, and endpoints of it.
func (f *fleet) addFreshService() (path string, err error) {
	service := fmt.Sprint("fresh-", f.version)
	for d := range freshEndpoints {
		e := f.newEndpoint(service+fmt.Sprint("-", d), service, fmt.Sprint("domain-", d))
		if err := f.startFresh(e); err != nil {
			return "", err
		}
	}
	return f.routes.addTo(service), nil
}

// document returns the configuration of a version.
func (f *fleet) document(version uint64) *fleetpb.Document {
	route := func(name, service string, kind fleetpb.RouteKind) *fleetpb.Route {
		return &fleetpb.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 5000, ObjectiveMs: 200, MaxAttempts: 2,
			Shares: []*fleetpb.Share{{Service: service, Weight: 1}},
		}
	}
	turn := route("turn", "model", fleetpb.RouteKind_ROUTE_KIND_STREAM)
	turn.History, turn.RetainMs = true, uint64(retention.Milliseconds())
	work := []*fleetpb.Route{turn, route("once", "tool", fleetpb.RouteKind_ROUTE_KIND_ONCE), route("repeat", "tool", fleetpb.RouteKind_ROUTE_KIND_REPEATABLE)}
	for _, r := range work {
		r.Keyed = f.customers != nil
	}
	limits := proto.CloneOf(f.limits)
	if f.routes.tight {
		limits.BodyBytes = tightBytes
	}
	var extra []*fleetpb.Route
	for _, r := range f.extraRoutes {
		// What is sent may be changed.
		extra = append(extra, proto.CloneOf(r))
	}
	return &fleetpb.Document{
		Version:   version,
		Customers: f.customers.document(),
		Limits:    limits,
		Services: append(append(f.routes.services(), f.extraServices...),
			&fleetpb.Service{Name: "model", MaxConnections: 300, TokensPerEvent: 3, Slots: 64, CacheTokens: 100_000},
			&fleetpb.Service{Name: "tool", MaxConnections: 300},
		),
		Routes: slices.Concat(f.routes.document(), extra, work),
	}
}
