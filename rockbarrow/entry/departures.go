// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"rockbarrow.dev/rockbarrow/life"
	"rockbarrow.dev/schema/fleetpb"
)

// returnAfter is how long an endpoint that was seen leaving must stand in the list as one that takes requests
// before it gets any, unless it is another life. Two control instances may read the list one after the other, and the
// later reading may be the older one by the time that a reading takes, 0.9 s.
const returnAfter = 3 * time.Second

// departures remembers the endpoints that were seen leaving, so that an older reading of the list brings none of
// them back. An endpoint may start again under the id that it had: it counts as another one then, of which nothing
// is known. The zero value is ready.
type departures struct {
	left map[string]*departure
}

// departure is an endpoint that was seen leaving.
type departure struct {
	// life is the one that was leaving.
	life life.Life
	// absent is true once the list has lacked it: only a new start brings it back.
	absent bool
	// ready is since when it stands in the list as one that takes requests, zero if it does not.
	ready time.Time
}

// take returns the endpoints of a list that may get new requests, and those that are seen leaving for the first
// time. Present are the lives of all of its endpoints, which a list that lags does not tell. If it has to be called
// again although the list stays the same, wait says when.
func (d *departures) take(now time.Time, l *fleetpb.EndpointList, present map[string]life.Life) (usable, leaving []*fleetpb.Endpoint, wait time.Duration) {
	if d.left == nil {
		d.left = map[string]*departure{}
	}
	for _, p := range l.GetEndpoints() {
		left := d.left[p.GetId()]
		switch {
		case left == nil && p.GetDraining():
			d.left[p.GetId()] = &departure{life: present[p.GetId()]}
			leaving = append(leaving, p)
		case left == nil:
			usable = append(usable, p)
		case p.GetDraining():
			*left = departure{life: present[p.GetId()]}
		default:
			rest := left.remaining(now, present[p.GetId()])
			if rest <= 0 {
				delete(d.left, p.GetId())
				usable = append(usable, p)
			} else if wait == 0 || rest < wait {
				wait = rest
			}
		}
	}
	for id, left := range d.left {
		if _, ok := present[id]; !ok {
			left.absent, left.ready = true, time.Time{}
		}
	}
	return usable, leaving, wait
}

// remaining returns how much longer an endpoint that stands in the list as ready is not used.
func (d *departure) remaining(now time.Time, present life.Life) time.Duration {
	if d.absent || !d.life.Same(present) {
		return 0
	}
	if d.ready.IsZero() {
		d.ready = now
	}
	return returnAfter - now.Sub(d.ready)
}
