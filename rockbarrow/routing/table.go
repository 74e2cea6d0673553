// SPDX-License-Identifier: MIT

package routing

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/fleetpb"
)

// Table is one version of the configuration. The nil table holds nothing.
type Table struct {
	version uint64
	limits  *fleetpb.Limits
	// limitsRaw is what the digest is made of.
	limitsRaw []byte
	// routes are by host and prefix, services by name.
	routes    layer[*fleetpb.Route]
	services  layer[*fleetpb.Service]
	customers customers
}

// empty is the table that nil stands for.
var empty = &Table{routes: newLayer[*fleetpb.Route](), services: newLayer[*fleetpb.Service](), customers: newCustomers()}

// hostEnd ends the host in a route's key; no host holds it.
const hostEnd = 0

// routeKey returns the key of a route or, with a whole path, of a request.
func routeKey(buf []byte, host, path string) []byte {
	buf = append(buf, host...)
	buf = append(buf, hostEnd)
	return append(buf, path...)
}

func (t *Table) orEmpty() *Table {
	if t == nil {
		return empty
	}
	return t
}

// Version returns the configuration's version, zero for no table.
func (t *Table) Version() uint64 { return t.orEmpty().version }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.orEmpty().routes.tree.Len() }

// Limits returns what clients may do.
func (t *Table) Limits() *fleetpb.Limits { return t.limits }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *fleetpb.Service {
	s, _ := t.services.get([]byte(name))
	return s
}

// Match returns the route of a host whose prefix is the longest that begins the
// path. A host that is not known with its port is looked for without. The work goes with
// the length of host and path, not with the number of routes.
func (t *Table) Match(host, path string) (*fleetpb.Route, bool) {
	host = strings.ToLower(host)
	if r, ok := t.match(host, path); ok {
		return r, true
	}
	name, _, port := strings.Cut(host, ":")
	if !port || t.knows(host) {
		return nil, false
	}
	return t.match(name, path)
}

func (t *Table) match(host, path string) (*fleetpb.Route, bool) {
	// usual is more than most hosts and paths have, so that no memory is taken.
	const usual = 256
	var buf [usual]byte
	_, found, ok := t.routes.tree.Root().LongestPrefix(routeKey(buf[:0], host, path))
	if !ok {
		return nil, false
	}
	return found.message, true
}

// knows reports whether a host has any route.
func (t *Table) knows(host string) bool {
	it := t.routes.tree.Root().Iterator()
	it.SeekPrefix(routeKey(nil, host, ""))
	_, _, ok := it.Next()
	return ok
}

// PickService returns the service that a key falls to, by the route's weights. The
// same key keeps its service while the weights stay, so that a program finds its
// cache again.
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
