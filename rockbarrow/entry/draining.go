// SPDX-License-Identifier: MIT

package entry

import (
	"maps"
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

// readmitDelay is how long an endpoint that was draining must be listed as ready before it gets requests, unless it is a
// new incarnation. Lists may arrive out of order when control instances read them at about the same time:
// the later reading may be the older one by the time that a reading takes, up to 0.9 s for each page.
const readmitDelay = 3 * time.Second

// drainTracker remembers draining endpoints, so that an older list does not bring them back. A new incarnation under the
// same id counts as a different endpoint. The zero value is ready to use.
type drainTracker struct {
	byID map[string]*drainRecord
}

// drainRecord is an endpoint that was listed as draining.
type drainRecord struct {
	// incarnation is the one that was draining.
	incarnation incarnation.ID
	// readySince is when the endpoint was first listed as ready again, zero if it is not.
	readySince time.Time
}

// ids returns the ids of the tracked endpoints in order.
func (d *drainTracker) ids() []string { return slices.Sorted(maps.Keys(d.byID)) }

// isDraining reports whether an endpoint was listed as draining.
func (d *drainTracker) isDraining(id string) bool { return d.byID[id] != nil }

// update processes the changed endpoints of a list together with the tracked ones (present), and those that were removed
// from it (absent). It returns the present endpoints that may get requests, and those that are draining for the first
// time. The current incarnations are passed separately because a stale list may contain ended ones. A non-zero wait is
// the time after which update must be called again even if the list does not change.
func (d *drainTracker) update(now time.Time, present, absent []*fleetpb.Endpoint, incarnations map[string]incarnation.ID) (usable, draining []*fleetpb.Endpoint, wait time.Duration) {
	if d.byID == nil {
		d.byID = map[string]*drainRecord{}
	}
	for _, p := range present {
		record := d.byID[p.GetId()]
		switch {
		case record == nil && p.GetDraining():
			d.byID[p.GetId()] = &drainRecord{incarnation: incarnations[p.GetId()]}
			draining = append(draining, p)
		case record == nil:
			usable = append(usable, p)
		case p.GetDraining():
			*record = drainRecord{incarnation: incarnations[p.GetId()]}
		default:
			remaining := record.remainingDelay(now, incarnations[p.GetId()])
			if remaining <= 0 {
				delete(d.byID, p.GetId())
				usable = append(usable, p)
			} else if wait == 0 || remaining < wait {
				wait = remaining
			}
		}
	}
	for _, p := range absent {
		// An endpoint that was removed from the list returns to it only after a new start. Its earlier draining then no
		// longer matters.
		delete(d.byID, p.GetId())
	}
	return usable, draining, wait
}

// remainingDelay returns how much longer an endpoint that is listed as ready gets no requests.
func (d *drainRecord) remainingDelay(now time.Time, current incarnation.ID) time.Duration {
	if !d.incarnation.Matches(current) {
		return 0
	}
	if d.readySince.IsZero() {
		d.readySince = now
	}
	return readmitDelay - now.Sub(d.readySince)
}
