// SPDX-License-Identifier: MIT

package placement

import (
	"slices"
	"strings"
	"time"
)

// members is the endpoints of a [Class] in one fleet. It does not change once the fleet is in use.
type members struct {
	// endpoints are ordered by name.
	endpoints []*Endpoint
	// slots and queues are the sums of the calls that they run, and that may wait there.
	slots, queues int
}

func (c *members) candidates() []*Endpoint {
	if c == nil {
		return nil
	}
	return c.endpoints
}

// sorted orders endpoints by name, so that no order of a map decides anything.
func sorted(list []*Endpoint) []*Endpoint {
	slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.name, b.name) })
	return list
}

// put adds an endpoint to a class of a fleet in the making, in the order of names.
func (f *Fleet) put(of Class, e *Endpoint) {
	c := f.classes[of]
	if c == nil {
		c = &members{}
		f.classes[of] = c
	}
	c.endpoints = append(c.endpoints, e)
	c.count(e, 1)
}

// count adds an endpoint's places to the sums, or takes them off. One that is listed as draining has none.
func (c *members) count(e *Endpoint, sign int) {
	if e.config.GetDraining() {
		return
	}
	n := int(e.maxCalls())
	c.slots += sign * n
	c.queues += sign * queued(n)
}

// NewServiceFleet indexes endpoints by their service alone, where every
// configured endpoint is allowed. Endpoints that did not change since an earlier
// fleet, which may be nil, keep what is known of them. One that has started again since begins
// with nothing but a time to warm up, as after an ejection.
func NewServiceFleet(now time.Time, endpoints []ListedEndpoint, p Policy, old *Fleet) *Fleet {
	f := nextFleet(p, old)
	f.classes = map[Class]*members{}
	for _, l := range endpoints {
		f.endpoints = append(f.endpoints, carry(now, l, old))
	}
	for _, e := range sorted(f.endpoints) {
		f.put(Class{Service: e.config.GetService()}, e)
	}
	f.known.prune(f)
	return f
}

// Next returns the fleet after some endpoints have changed or come, and others, by name, have gone. It copies pointers
// to the others. The fleet is one that [NewServiceFleet] has made.
func (f *Fleet) Next(now time.Time, changed []ListedEndpoint, gone []string) *Fleet {
	next := nextFleet(f.policy, f)
	var came []*Endpoint
	left := map[string]bool{}
	for _, l := range changed {
		came = append(came, carry(now, l, f))
		left[l.Config.GetName()] = true
	}
	for _, name := range gone {
		left[name] = true
	}
	came = sorted(came)
	next.endpoints = merge(f.endpoints, came, left)
	next.classes = make(map[Class]*members, len(f.classes))
	touched := map[Class][]*Endpoint{}
	for name := range left {
		if e := f.Endpoint(name); e != nil {
			touched[serviceClass(e)] = nil
		}
	}
	for _, e := range came {
		touched[serviceClass(e)] = append(touched[serviceClass(e)], e)
	}
	for of, c := range f.classes {
		next.classes[of] = c
	}
	for of, came := range touched {
		next.classes[of] = f.classes[of].next(came, left)
	}
	next.known.prune(next)
	return next
}

func serviceClass(e *Endpoint) Class { return Class{Service: e.config.GetService()} }

// nextFleet returns an empty fleet that goes on where an earlier one, which may be nil, ends.
func nextFleet(p Policy, old *Fleet) *Fleet {
	f := &Fleet{policy: p, turn: &turn{}, known: &known{}, first: drawFirst()}
	if old != nil {
		f.first, f.known = old.first, old.known
	}
	return f
}

// next returns the class without the endpoints that left, and with those that came, which are ordered by name.
func (c *members) next(came []*Endpoint, left map[string]bool) *members {
	out := &members{}
	if c != nil {
		out.slots, out.queues = c.slots, c.queues
		for _, e := range c.endpoints {
			if left[e.name] {
				out.count(e, -1)
			}
		}
	}
	for _, e := range came {
		out.count(e, 1)
	}
	out.endpoints = merge(c.candidates(), came, left)
	return out
}

// merge joins two ordered lists, and leaves out those of the first that left.
func merge(old, came []*Endpoint, left map[string]bool) []*Endpoint {
	out := make([]*Endpoint, 0, len(old)+len(came))
	for _, e := range old {
		for len(came) > 0 && came[0].name < e.name {
			out = append(out, came[0])
			came = came[1:]
		}
		if !left[e.name] {
			out = append(out, e)
		}
	}
	return append(out, came...)
}
