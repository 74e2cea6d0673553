// SPDX-License-Identifier: MIT

package control

import (
	"crypto/sha256"
	"encoding/hex"

	"rockbarrow.dev/schema/configpb"
)

// Binding is a binding with its allowed failure domains as a set.
type Binding struct {
	binding *configpb.Binding
	domains map[string]bool
}

// Allows reports whether the binding allows data to be processed in a failure
// domain.
func (b Binding) Allows(domain string) bool { return b.domains[domain] }

// Proto returns the binding as configured.
func (b Binding) Proto() *configpb.Binding { return b.binding }

// Snapshot is an immutable index of one version of the configuration.
type Snapshot struct {
	doc       *configpb.Document
	customers map[string]*configpb.Customer
	keys      map[string]*configpb.Customer
	models    map[string]*configpb.Model
	programs  map[string]*configpb.Program
	services  map[string]*configpb.Service
	bindings  map[string]Binding
	endpoints map[string]*configpb.Endpoint
	byModel   map[string][]*configpb.Endpoint
	byService map[string][]*configpb.Endpoint
	withdrawn map[string]configpb.Withdrawal_Mode
}

// NewSnapshot indexes a document, which must not be modified afterwards.
func NewSnapshot(doc *configpb.Document) *Snapshot {
	s := &Snapshot{
		doc:       doc,
		customers: map[string]*configpb.Customer{},
		keys:      map[string]*configpb.Customer{},
		models:    map[string]*configpb.Model{},
		programs:  map[string]*configpb.Program{},
		services:  map[string]*configpb.Service{},
		bindings:  map[string]Binding{},
		endpoints: map[string]*configpb.Endpoint{},
		byModel:   map[string][]*configpb.Endpoint{},
		byService: map[string][]*configpb.Endpoint{},
		withdrawn: map[string]configpb.Withdrawal_Mode{},
	}
	for _, c := range doc.GetCustomers() {
		s.customers[c.GetName()] = c
		for _, h := range c.GetKeyHashes() {
			s.keys[h] = c
		}
	}
	for _, m := range doc.GetModels() {
		s.models[m.GetName()] = m
	}
	for _, p := range doc.GetPrograms() {
		s.programs[p.GetName()] = p
	}
	for _, v := range doc.GetServices() {
		s.services[v.GetName()] = v
	}
	for _, b := range doc.GetBindings() {
		s.bindings[b.GetName()] = indexBinding(b)
	}
	for _, w := range doc.GetWithdrawals() {
		s.withdrawn[w.GetSubject()] = w.GetMode()
	}
	for _, e := range doc.GetEndpoints() {
		s.addEndpoint(e)
	}
	return s
}

func indexBinding(b *configpb.Binding) Binding {
	out := Binding{binding: b, domains: map[string]bool{}}
	for _, d := range b.GetDomains() {
		out.domains[d] = true
	}
	return out
}

func (s *Snapshot) addEndpoint(e *configpb.Endpoint) {
	s.endpoints[e.GetName()] = e
	for _, m := range e.GetModels() {
		s.byModel[m] = append(s.byModel[m], e)
	}
	if v := e.GetService(); v != "" {
		s.byService[v] = append(s.byService[v], e)
	}
}

// Version returns the version, which is the number of accepted commands.
func (s *Snapshot) Version() uint64 { return s.doc.GetVersion() }

// Document returns the document, which must not be modified.
func (s *Snapshot) Document() *configpb.Document { return s.doc }

// Customer returns a customer by name.
func (s *Snapshot) Customer(name string) (*configpb.Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// CustomerOfKey returns the customer that owns an API key.
func (s *Snapshot) CustomerOfKey(key string) (*configpb.Customer, bool) {
	c, ok := s.keys[HashKey(key)]
	return c, ok
}

// Model returns a model by name.
func (s *Snapshot) Model(name string) (*configpb.Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Program returns a program by name.
func (s *Snapshot) Program(name string) (*configpb.Program, bool) {
	p, ok := s.programs[name]
	return p, ok
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*configpb.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Binding returns a binding by name.
func (s *Snapshot) Binding(name string) (Binding, bool) {
	b, ok := s.bindings[name]
	return b, ok
}

// Endpoint returns an endpoint by name.
func (s *Snapshot) Endpoint(name string) (*configpb.Endpoint, bool) {
	e, ok := s.endpoints[name]
	return e, ok
}

// ModelEndpoints returns the endpoints that serve a model.
func (s *Snapshot) ModelEndpoints(model string) []*configpb.Endpoint { return s.byModel[model] }

// ServiceEndpoints returns the endpoints of a service.
func (s *Snapshot) ServiceEndpoints(service string) []*configpb.Endpoint { return s.byService[service] }

// Withdrawn returns the mode in which an instance or a failure domain is
// withdrawn, if it is.
func (s *Snapshot) Withdrawn(subject string) (configpb.Withdrawal_Mode, bool) {
	m, ok := s.withdrawn[subject]
	return m, ok
}

// HashKey returns the hash under which an API key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
