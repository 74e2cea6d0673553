// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// InvalidError is returned for an invalid configuration.
type InvalidError struct {
	// Route is the name of the invalid route, Customer of the invalid customer, if any.
	Route, Customer string
	// Reason describes the error.
	Reason string
}

// Error describes the error.
func (e *InvalidError) Error() string {
	switch {
	case e.Customer != "":
		return fmt.Sprintf("routing: customer %q: %s", e.Customer, e.Reason)
	case e.Route == "":
		return "routing: " + e.Reason
	}
	return fmt.Sprintf("routing: route %q: %s", e.Route, e.Reason)
}

// New validates a document and builds its table.
func New(d *fleetpb.Document) (*Table, error) {
	t, _, err := (*Table)(nil).ApplyDocument(d)
	return t, err
}

// ApplyDocument validates a document and returns its table with the change that
// leads to it from t. Errors are of type [*InvalidError], or come from encoding.
func (t *Table) ApplyDocument(d *fleetpb.Document) (*Table, *fleetpb.TableChange, error) {
	t = t.orEmpty()
	b := &builder{
		change: &fleetpb.TableChange{Base: t.baseDigest(), Version: d.GetVersion()},
		base:   t, routes: t.routes.begin(), services: t.services.begin(), customers: t.customers.begin(),
		serviceNames:  make(map[string]bool, len(d.GetServices())),
		routeNames:    make(map[string]string, len(d.GetRoutes())),
		customerNames: make(map[string]bool, len(d.GetCustomers())),
	}
	if err := b.addServices(d.GetServices()); err != nil {
		return nil, nil, err
	}
	if err := b.addRoutes(d.GetRoutes()); err != nil {
		return nil, nil, err
	}
	if err := b.addCustomers(d.GetCustomers()); err != nil {
		return nil, nil, err
	}
	b.removeServices()
	b.removeRoutes()
	b.removeCustomers()
	var err error
	if b.change.Limits, err = marshal(d.GetLimits()); err != nil {
		return nil, nil, err
	}
	out := &Table{
		version: d.GetVersion(), limits: d.GetLimits(), encodedLimits: b.change.GetLimits(),
		routes: b.routes.commit(), services: b.services.commit(), customers: b.customers.commit(),
	}
	b.change.Digest = out.Digest()
	return out, b.change, nil
}

// builder builds the table of a document.
type builder struct {
	base      *Table
	change    *fleetpb.TableChange
	routes    *radixTxn[*fleetpb.Route]
	services  *radixTxn[*fleetpb.Service]
	customers *customersTxn
	// serviceNames and customerNames are those of the document; routeNames maps
	// the keys of its routes to their names.
	serviceNames  map[string]bool
	routeNames    map[string]string
	customerNames map[string]bool
}

func (b *builder) addServices(list []*fleetpb.Service) error {
	for _, s := range list {
		if s.GetName() == "" {
			return &InvalidError{Reason: "a service has no name"}
		}
		b.serviceNames[s.GetName()] = true
		raw, err := marshal(s)
		if err != nil {
			return err
		}
		if b.services.put([]byte(s.GetName()), s, hashElement(serviceKind, raw)) {
			b.change.Services = append(b.change.Services, raw)
		}
	}
	return nil
}

func (b *builder) addRoutes(list []*fleetpb.Route) error {
	for _, r := range list {
		if err := b.checkRoute(r); err != nil {
			return err
		}
		key := routeKey(nil, strings.ToLower(r.GetHost()), r.GetPrefix())
		if other, ok := b.routeNames[string(key)]; ok {
			return &InvalidError{Route: r.GetName(), Reason: fmt.Sprintf("route %q has the same host and path prefix", other)}
		}
		b.routeNames[string(key)] = r.GetName()
		raw, err := marshal(r)
		if err != nil {
			return err
		}
		if b.routes.put(key, r, hashElement(routeKind, raw)) {
			b.change.Routes = append(b.change.Routes, raw)
		}
	}
	return nil
}

// checkRoute validates a route.
func (b *builder) checkRoute(r *fleetpb.Route) error {
	invalid := func(reason string) error { return &InvalidError{Route: r.GetName(), Reason: reason} }
	switch {
	case r.GetHost() == "":
		return invalid("it has no host")
	case strings.IndexByte(r.GetHost(), hostTerminator) >= 0:
		return invalid("its host contains a zero byte")
	case !strings.HasPrefix(r.GetPrefix(), "/"):
		return invalid("its path prefix does not start with a slash")
	case r.GetTimeoutMs() == 0:
		return invalid("its timeout is zero")
	case r.GetKind() == fleetpb.RouteKind_ROUTE_KIND_UNSPECIFIED:
		return invalid("its kind is not known")
	}
	weights := uint64(0)
	for _, s := range r.GetShares() {
		if !b.serviceNames[s.GetService()] {
			return invalid(fmt.Sprintf("service %q is not known", s.GetService()))
		}
		weights += uint64(s.GetWeight())
	}
	if weights == 0 {
		return invalid("its weights add up to zero")
	}
	return nil
}

// removeServices removes the services that the document no longer contains.
func (b *builder) removeServices() {
	if b.base.services.tree.Len()+len(b.change.GetServices()) == len(b.serviceNames) {
		// The counts match: there is nothing to remove.
		return
	}
	b.base.services.each(func(key []byte, s *fleetpb.Service) bool {
		if !b.serviceNames[string(key)] {
			b.services.remove(key)
			b.change.RemovedServices = append(b.change.RemovedServices, s.GetName())
		}
		return true
	})
}

// removeRoutes removes the routes that the document no longer contains.
func (b *builder) removeRoutes() {
	if b.base.routes.tree.Len()+len(b.change.GetRoutes()) == len(b.routeNames) {
		return
	}
	b.base.routes.each(func(key []byte, r *fleetpb.Route) bool {
		if _, ok := b.routeNames[string(key)]; !ok {
			b.routes.remove(key)
			b.change.RemovedRoutes = append(b.change.RemovedRoutes, &fleetpb.RouteKey{
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
