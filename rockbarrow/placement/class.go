// SPDX-License-Identifier: MIT

package placement

import (
	"slices"
	"strings"
	"time"
)

// classEndpoints holds the endpoints of a [Class] in one fleet. It is immutable once the fleet is in use.
type classEndpoints struct {
	// endpoints is sorted by name.
	endpoints []*Endpoint
	// slots is the number of calls that the endpoints run at once, queueSlots how many more may wait there.
	slots, queueSlots int
	// speeds are the measurements of the class's service.
	speeds *serviceSpeeds
}

func (c *classEndpoints) candidates() []*Endpoint {
	if c == nil {
		return nil
	}
	return c.endpoints
}

// sortByName sorts a list in place and returns it, which keeps results independent of map order.
func sortByName(list []*Endpoint) []*Endpoint {
	slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.name, b.name) })
	return list
}

// addToClass appends an endpoint to a class while the fleet is built. Endpoints are added in name order.
func (f *Fleet) addToClass(of Class, e *Endpoint) {
	c := f.classes[of]
	if c == nil {
		c = &classEndpoints{speeds: f.tracked.speedsOf(of.Service)}
		f.classes[of] = c
	}
	c.endpoints = append(c.endpoints, e)
	c.addCapacity(e, 1)
}

// addCapacity adds an endpoint's slots to the totals, or subtracts them if sign is -1. Endpoints configured as draining
// have no capacity.
func (c *classEndpoints) addCapacity(e *Endpoint, sign int) {
	if e.config.GetDraining() {
		return
	}
	n := int(e.maxCalls())
	c.slots += sign * n
	c.queueSlots += sign * queueSlots(n)
}

// NewServiceFleet indexes endpoints by service only, without bindings. Endpoints that are unchanged since the old
// fleet, which may be nil, keep their state. An endpoint that has restarted loses its state and goes through a slow
// start, as after an ejection.
func NewServiceFleet(now time.Time, endpoints []ListedEndpoint, p Policy, old *Fleet) *Fleet {
	f := newFleetFrom(p, old)
	f.classes = map[Class]*classEndpoints{}
	for _, l := range endpoints {
		f.endpoints = append(f.endpoints, reuseEndpoint(now, l, old))
	}
	for _, e := range sortByName(f.endpoints) {
		f.addToClass(Class{Service: e.config.GetService()}, e)
	}
	f.tracked.prune(f)
	return f
}

// Next returns a fleet with some endpoints added or changed and others removed by name; the rest are shared with f.
// The fleet f must come from [NewServiceFleet] or Next.
func (f *Fleet) Next(now time.Time, changed []ListedEndpoint, removedNames []string) *Fleet {
	next := newFleetFrom(f.policy, f)
	var added []*Endpoint
	removed := map[string]bool{}
	for _, l := range changed {
		added = append(added, reuseEndpoint(now, l, f))
		removed[l.Config.GetName()] = true
	}
	for _, name := range removedNames {
		removed[name] = true
	}
	added = sortByName(added)
	next.endpoints = mergeByName(f.endpoints, added, removed)
	next.classes = make(map[Class]*classEndpoints, len(f.classes))
	addedByClass := map[Class][]*Endpoint{}
	for name := range removed {
		if e := f.Endpoint(name); e != nil {
			addedByClass[serviceClass(e)] = nil
		}
	}
	for _, e := range added {
		addedByClass[serviceClass(e)] = append(addedByClass[serviceClass(e)], e)
	}
	for class, c := range f.classes {
		next.classes[class] = c
	}
	for class, added := range addedByClass {
		next.classes[class] = f.classes[class].update(added, removed)
		next.classes[class].speeds = next.tracked.speedsOf(class.Service)
	}
	next.tracked.prune(next)
	return next
}

func serviceClass(e *Endpoint) Class { return Class{Service: e.config.GetService()} }

// newFleetFrom returns a fleet without endpoints that shares the window start and the tracked endpoints of the old
// fleet, which may be nil.
func newFleetFrom(p Policy, old *Fleet) *Fleet {
	f := &Fleet{policy: p, roundRobin: &roundRobin{}, tracked: &trackedEndpoints{}, windowStart: randomWindowStart()}
	if old != nil {
		f.windowStart, f.tracked = old.windowStart, old.tracked
	}
	return f
}

// update returns the class without the removed endpoints and with the added ones, which are sorted by name.
func (c *classEndpoints) update(added []*Endpoint, removed map[string]bool) *classEndpoints {
	out := &classEndpoints{}
	if c != nil {
		out.slots, out.queueSlots = c.slots, c.queueSlots
		for _, e := range c.endpoints {
			if removed[e.name] {
				out.addCapacity(e, -1)
			}
		}
	}
	for _, e := range added {
		out.addCapacity(e, 1)
	}
	out.endpoints = mergeByName(c.candidates(), added, removed)
	return out
}

// mergeByName merges two sorted lists and drops the removed names from the first.
func mergeByName(old, added []*Endpoint, removed map[string]bool) []*Endpoint {
	out := make([]*Endpoint, 0, len(old)+len(added))
	for _, e := range old {
		for len(added) > 0 && added[0].name < e.name {
			out = append(out, added[0])
			added = added[1:]
		}
		if !removed[e.name] {
			out = append(out, e)
		}
	}
	return append(out, added...)
}
