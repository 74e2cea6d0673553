// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/fleetpb"
)

// Table is one version of the configuration. A nil table is empty.
type Table struct {
	version uint64
	limits  *fleetpb.Limits
	// encodedLimits enters the digest.
	encodedLimits []byte
	// routes are indexed by host and prefix, services by name.
	routes    radixIndex[*fleetpb.Route]
	services  radixIndex[*fleetpb.Service]
	customers customers
}

// empty stands for the nil table.
var empty = &Table{routes: newRadixIndex[*fleetpb.Route](), services: newRadixIndex[*fleetpb.Service](), customers: newCustomers()}

// hostTerminator ends the host in a route's key; hosts do not contain it.
const hostTerminator = 0

// routeKey returns the lookup key of a route's host and prefix, or of a request's host and path.
func routeKey(buf []byte, host, path string) []byte {
	buf = append(buf, host...)
	buf = append(buf, hostTerminator)
	return append(buf, path...)
}

func (t *Table) orEmpty() *Table {
	if t == nil {
		return empty
	}
	return t
}

// Version returns the configuration's version, zero for the nil table.
func (t *Table) Version() uint64 { return t.orEmpty().version }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.orEmpty().routes.tree.Len() }

// Limits returns the limits for clients.
func (t *Table) Limits() *fleetpb.Limits { return t.limits }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *fleetpb.Service {
	s, _ := t.services.get([]byte(name))
	return s
}

// StreamPriorities returns the distinct priorities of the routes that stream from a service, in ascending
// order. It takes time proportional to the number of all routes.
func (t *Table) StreamPriorities(service string) []uint32 {
	var out []uint32
	t.orEmpty().routes.each(func(_ []byte, r *fleetpb.Route) bool {
		uses := func(s *fleetpb.Share) bool { return s.GetService() == service }
		if r.GetKind() != fleetpb.RouteKind_ROUTE_KIND_STREAM || !slices.ContainsFunc(r.GetShares(), uses) {
			return true
		}
		if at, known := slices.BinarySearch(out, r.GetPriority()); !known {
			out = slices.Insert(out, at, r.GetPriority())
		}
		return true
	})
	return out
}

// Match returns the route of a host with the longest prefix of path. If no route
// has the host with its port, the port is ignored. The lookup takes time
// proportional to the length of host and path.
func (t *Table) Match(host, path string) (*fleetpb.Route, bool) {
	host = strings.ToLower(host)
	if r, ok := t.match(host, path); ok {
		return r, true
	}
	name, _, port := strings.Cut(host, ":")
	if !port || t.hasHost(host) {
		return nil, false
	}
	return t.match(name, path)
}

func (t *Table) match(host, path string) (*fleetpb.Route, bool) {
	// bufSize covers most keys without an allocation.
	const bufSize = 256
	var buf [bufSize]byte
	_, found, ok := t.routes.tree.Root().LongestPrefix(routeKey(buf[:0], host, path))
	if !ok {
		return nil, false
	}
	return found.message, true
}

// hasHost reports whether a host has any route.
func (t *Table) hasHost(host string) bool {
	it := t.routes.tree.Root().Iterator()
	it.SeekPrefix(routeKey(nil, host, ""))
	_, _, ok := it.Next()
	return ok
}

// PickService returns the service that a key maps to by the route's weights. The
// mapping is stable while the weights are, so that a program keeps its cache.
func PickService(r *fleetpb.Route, key string) string {
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
