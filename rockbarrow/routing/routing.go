// SPDX-License-Identifier: MIT

// Package routing decides which service a request belongs to.
//
// A [Table] is one version of the configuration, checked and indexed. It never
// changes, so that requests read it through an atomic pointer without a lock.
package routing

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/fleetpb"
)

// InvalidError says why a configuration can't be in force.
type InvalidError struct {
	// Route names the route at fault, if one is.
	Route string
	// Reason tells what is wrong.
	Reason string
}

// Error describes the fault.
func (e *InvalidError) Error() string {
	if e.Route == "" {
		return "routing: " + e.Reason
	}
	return fmt.Sprintf("routing: route %q: %s", e.Route, e.Reason)
}

// Table is one version of the configuration.
type Table struct {
	document *fleetpb.Document
	// byHost holds the routes of each host, the longest prefix first.
	byHost   map[string][]*fleetpb.Route
	services map[string]*fleetpb.Service
}

// New checks a document and indexes it.
func New(d *fleetpb.Document) (*Table, error) {
	t := &Table{document: d, byHost: map[string][]*fleetpb.Route{}, services: map[string]*fleetpb.Service{}}
	for _, s := range d.GetServices() {
		if s.GetName() == "" {
			return nil, &InvalidError{Reason: "a service has no name"}
		}
		t.services[s.GetName()] = s
	}
	for _, r := range d.GetRoutes() {
		if err := t.add(r); err != nil {
			return nil, err
		}
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *fleetpb.Route) int { return len(b.GetPrefix()) - len(a.GetPrefix()) })
	}
	return t, nil
}

func (t *Table) add(r *fleetpb.Route) error {
	invalid := func(reason string) error { return &InvalidError{Route: r.GetName(), Reason: reason} }
	switch {
	case r.GetHost() == "":
		return invalid("it has no host")
	case !strings.HasPrefix(r.GetPrefix(), "/"):
		return invalid("its path prefix does not begin with a slash")
	case r.GetTimeoutMs() == 0:
		return invalid("its timeout is zero")
	case r.GetKind() == fleetpb.RouteKind_ROUTE_KIND_UNSPECIFIED:
		return invalid("its kind is not known")
	}
	weights := uint64(0)
	for _, s := range r.GetShares() {
		if t.services[s.GetService()] == nil {
			return invalid(fmt.Sprintf("service %q is not known", s.GetService()))
		}
		weights += uint64(s.GetWeight())
	}
	if weights == 0 {
		return invalid("its weights add up to zero")
	}
	host := strings.ToLower(r.GetHost())
	for _, o := range t.byHost[host] {
		if o.GetPrefix() == r.GetPrefix() {
			return invalid(fmt.Sprintf("route %q has the same host and path prefix", o.GetName()))
		}
	}
	t.byHost[host] = append(t.byHost[host], r)
	return nil
}

// Version returns the configuration's version, zero for no table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.document.GetVersion()
}

// Limits returns what consumers may do.
func (t *Table) Limits() *fleetpb.Limits { return t.document.GetLimits() }

// Services returns all services.
func (t *Table) Services() []*fleetpb.Service { return t.document.GetServices() }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *fleetpb.Service { return t.services[name] }

// Match returns the route of a host whose prefix is the longest that begins the
// path.
func (t *Table) Match(host, path string) (*fleetpb.Route, bool) {
	host = strings.ToLower(host)
	list, ok := t.byHost[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		list = t.byHost[name]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r, true
		}
	}
	return nil, false
}

// Split returns the service that a key falls to, by the route's weights. The
// same key keeps its service while the weights stay, so that a program finds its
// cache again.
func Split(r *fleetpb.Route, key string) string {
	shares := r.GetShares()
	if len(shares) == 1 {
		return shares[0].GetService()
	}
	total := uint64(0)
	for _, s := range shares {
		total += uint64(s.GetWeight())
	}
	at := xxhash.Sum64String(key) % total
	for _, s := range shares {
		if at < uint64(s.GetWeight()) {
			return s.GetService()
		}
		at -= uint64(s.GetWeight())
	}
	return shares[len(shares)-1].GetService()
}
