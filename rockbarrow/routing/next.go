// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// InvalidError says why a configuration can't be in force.
type InvalidError struct {
	// Route names the route at fault, if one is, and Customer the customer.
	Route, Customer string
	// Reason tells what is wrong.
	Reason string
}

// Error describes the fault.
func (e *InvalidError) Error() string {
	switch {
	case e.Customer != "":
		return fmt.Sprintf("routing: customer %q: %s", e.Customer, e.Reason)
	case e.Route == "":
		return "routing: " + e.Reason
	}
	return fmt.Sprintf("routing: route %q: %s", e.Route, e.Reason)
}

// New checks a document and indexes it.
func New(d *fleetpb.Document) (*Table, error) {
	t, _, err := (*Table)(nil).ApplyDocument(d)
	return t, err
}

// ApplyDocument checks a document and returns its table with the change that leads there from t.
// Errors are of type [*InvalidError], or of the encoder.
func (t *Table) ApplyDocument(d *fleetpb.Document) (*Table, *fleetpb.TableChange, error) {
	t = t.orEmpty()
	n := &next{
		change: &fleetpb.TableChange{Base: t.baseDigest(), Version: d.GetVersion()},
		before: t, routes: t.routes.draft(), services: t.services.draft(), customers: t.customers.draft(),
		names:   make(map[string]bool, len(d.GetServices())),
		keys:    make(map[string]string, len(d.GetRoutes())),
		holders: make(map[string]bool, len(d.GetCustomers())),
	}
	if err := n.takeServices(d.GetServices()); err != nil {
		return nil, nil, err
	}
	if err := n.takeRoutes(d.GetRoutes()); err != nil {
		return nil, nil, err
	}
	if err := n.takeCustomers(d.GetCustomers()); err != nil {
		return nil, nil, err
	}
	n.dropServices()
	n.dropRoutes()
	n.dropCustomers()
	var err error
	if n.change.Limits, err = marshal(d.GetLimits()); err != nil {
		return nil, nil, err
	}
	out := &Table{
		version: d.GetVersion(), limits: d.GetLimits(), limitsRaw: n.change.GetLimits(),
		routes: n.routes.commit(), services: n.services.commit(), customers: n.customers.commit(),
	}
	n.change.Digest = out.Digest()
	return out, n.change, nil
}

// next is a table in the making.
type next struct {
	before    *Table
	change    *fleetpb.TableChange
	routes    *draft[*fleetpb.Route]
	services  *draft[*fleetpb.Service]
	customers *customersDraft
	// names are the services of the document, keys the names of its routes by key, and holders its
	// customers.
	names   map[string]bool
	keys    map[string]string
	holders map[string]bool
}

func (n *next) takeServices(list []*fleetpb.Service) error {
	for _, s := range list {
		if s.GetName() == "" {
			return &InvalidError{Reason: "a service has no name"}
		}
		n.names[s.GetName()] = true
		raw, err := marshal(s)
		if err != nil {
			return err
		}
		if n.services.put([]byte(s.GetName()), s, sumOf(serviceKind, raw)) {
			n.change.Services = append(n.change.Services, raw)
		}
	}
	return nil
}

func (n *next) takeRoutes(list []*fleetpb.Route) error {
	for _, r := range list {
		if err := n.check(r); err != nil {
			return err
		}
		key := routeKey(nil, strings.ToLower(r.GetHost()), r.GetPrefix())
		if other, ok := n.keys[string(key)]; ok {
			return &InvalidError{Route: r.GetName(), Reason: fmt.Sprintf("route %q has the same host and path prefix", other)}
		}
		n.keys[string(key)] = r.GetName()
		raw, err := marshal(r)
		if err != nil {
			return err
		}
		if n.routes.put(key, r, sumOf(routeKind, raw)) {
			n.change.Routes = append(n.change.Routes, raw)
		}
	}
	return nil
}

// check reports what makes a route invalid by itself.
func (n *next) check(r *fleetpb.Route) error {
	invalid := func(reason string) error { return &InvalidError{Route: r.GetName(), Reason: reason} }
	switch {
	case r.GetHost() == "":
		return invalid("it has no host")
	case strings.IndexByte(r.GetHost(), hostEnd) >= 0:
		return invalid("its host holds a zero byte")
	case !strings.HasPrefix(r.GetPrefix(), "/"):
		return invalid("its path prefix does not begin with a slash")
	case r.GetTimeoutMs() == 0:
		return invalid("its timeout is zero")
	case r.GetKind() == fleetpb.RouteKind_ROUTE_KIND_UNSPECIFIED:
		return invalid("its kind is not known")
	}
	weights := uint64(0)
	for _, s := range r.GetShares() {
		if !n.names[s.GetService()] {
			return invalid(fmt.Sprintf("service %q is not known", s.GetService()))
		}
		weights += uint64(s.GetWeight())
	}
	if weights == 0 {
		return invalid("its weights add up to zero")
	}
	return nil
}

// dropServices takes out what the document does not name any more.
func (n *next) dropServices() {
	if n.before.services.tree.Len()+len(n.change.GetServices()) == len(n.names) {
		// Nothing was replaced or taken out.
		return
	}
	n.before.services.each(func(key []byte, s *fleetpb.Service) bool {
		if !n.names[string(key)] {
			n.services.remove(key)
			n.change.RemovedServices = append(n.change.RemovedServices, s.GetName())
		}
		return true
	})
}

// dropRoutes does the same for routes.
func (n *next) dropRoutes() {
	if n.before.routes.tree.Len()+len(n.change.GetRoutes()) == len(n.keys) {
		return
	}
	n.before.routes.each(func(key []byte, r *fleetpb.Route) bool {
		if _, ok := n.keys[string(key)]; !ok {
			n.routes.remove(key)
			n.change.RemovedRoutes = append(n.change.RemovedRoutes, &fleetpb.RouteKey{
				Host: strings.ToLower(r.GetHost()), Prefix: r.GetPrefix(),
			})
		}
		return true
	})
}

func marshal(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return b, errors.Wrap(err, "routing")
}
