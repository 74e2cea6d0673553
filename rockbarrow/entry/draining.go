// SPDX-License-Identifier: MIT

package entry

import (
	"maps"
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

// returnAfter is how long an endpoint that was seen leaving must stand in the list as one that takes requests
// before it gets any, unless it is another life. Two control instances may read the list one after the other, and the
// later reading may be the older one by the time that a reading takes, 0.9 s.
const readmitDelay = 3 * time.Second

// departures remembers the endpoints that were seen leaving, so that an older reading of the list brings none of
// them back. An endpoint may start again under the id that it had: it counts as another one then, of which nothing
// is known. The zero value is ready.
type drainTracker struct {
	byID map[string]*drainRecord
}

// departure is an endpoint that was seen leaving.
type drainRecord struct {
	// life is the one that was leaving.
	incarnation incarnation.ID
	// ready is since when it stands in the list as one that takes requests, zero if it does not.
	readySince time.Time
}

// waiting returns the ids of the endpoints that were seen leaving and stand in the list still.
func (d *drainTracker) ids() []string { return slices.Sorted(maps.Keys(d.byID)) }

// take takes the endpoints of a list that have changed, with those that are waiting, and those that the list lacks now. It
// returns the ones of present that may get new requests, and those that are seen leaving for the first
// time. Lives are the present ones, which a list that lags does not tell. If it has to be called
// again although the list stays the same, wait says when.
func (d *drainTracker) update(now time.Time, present, absent []*fleetpb.Endpoint, lives map[string]incarnation.ID) (usable, leaving []*fleetpb.Endpoint, wait time.Duration) {
	if d.byID == nil {
		d.byID = map[string]*drainRecord{}
	}
	for _, p := range present {
		left := d.byID[p.GetId()]
		switch {
		case left == nil && p.GetDraining():
			d.byID[p.GetId()] = &drainRecord{incarnation: lives[p.GetId()]}
			leaving = append(leaving, p)
		case left == nil:
			usable = append(usable, p)
		case p.GetDraining():
			*left = drainRecord{incarnation: lives[p.GetId()]}
		default:
			rest := left.remainingDelay(now, lives[p.GetId()])
			if rest <= 0 {
				delete(d.byID, p.GetId())
				usable = append(usable, p)
			} else if wait == 0 || rest < wait {
				wait = rest
			}
		}
	}
	for _, p := range absent {
		// Only a new start brings it back.
		delete(d.byID, p.GetId())
	}
	return usable, leaving, wait
}

// remaining returns how much longer an endpoint that stands in the list as ready is not used.
func (d *drainRecord) remainingDelay(now time.Time, present incarnation.ID) time.Duration {
	if !d.incarnation.Matches(present) {
		return 0
	}
	if d.readySince.IsZero() {
		d.readySince = now
	}
	return readmitDelay - now.Sub(d.readySince)
}
