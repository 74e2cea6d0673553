// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/fleetpb"
)

// fetchRetryInterval is the pause between tries to fetch a table, well over ten round trips.
// Each try asks all control instances.
const fetchRetryInterval = 50 * time.Millisecond

// signal wakes the goroutine that handles one kind of update.
type signal struct {
	ready chan struct{}
	// pendingSince is when the oldest pending update arrived, in nanoseconds since 1970, zero
	// if none is pending.
	pendingSince atomic.Int64
}

func newSignal() *signal { return &signal{ready: make(chan struct{}, 1)} }

func (s *signal) notify() {
	s.pendingSince.CompareAndSwap(0, time.Now().UnixNano())
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// take clears the signal and returns when the oldest pending update arrived.
func (s *signal) take() time.Time {
	if at := s.pendingSince.Swap(0); at > 0 {
		return time.Unix(0, at)
	}
	return time.Now()
}

// runTableUpdates applies new configurations until ctx ends. It runs separately from
// runListUpdates because a large configuration may take long.
func (e *Entry) runTableUpdates(ctx context.Context) {
	for {
		select {
		case <-e.tableUpdates.ready:
		case <-ctx.Done():
			return
		}
		e.updateTable(ctx, e.tableUpdates.take())
	}
}

// updateTable applies the newest known configuration. It retries while control is unreachable.
func (e *Entry) updateTable(ctx context.Context, notified time.Time) {
	for tries := 0; ; tries++ {
		err := e.applyTable(ctx, notified)
		if err == nil {
			return
		}
		var unreached *watch.TableFetchError
		retry := errors.As(err, &unreached)
		if tries == 0 || !retry {
			e.Log.WithError(err).WithField("again", retry).Error("could not apply a configuration")
		}
		if !retry || !wait.For(ctx, fetchRetryInterval) {
			return
		}
	}
}

// runListUpdates applies new endpoint lists until ctx ends.
func (e *Entry) runListUpdates(ctx context.Context) {
	for {
		select {
		case <-e.listUpdates.ready:
			e.updateFleet(e.listUpdates.take())
		case <-ctx.Done():
			return
		}
	}
}

// applyTable applies the newest known configuration. If it fails midway, the newest table made so
// far is applied.
func (e *Entry) applyTable(ctx context.Context, notified time.Time) error {
	c := e.Watch.State().GetConfiguration()
	old := e.table.Load()
	if c.GetVersion() <= old.Version() {
		return nil
	}
	start := time.Now()
	t, err := e.nextTable(ctx, old, c)
	if t.Version() > old.Version() {
		e.table.Store(t)
		e.Log.WithFields(logrus.Fields{
			"config_version": t.Version(), "table": t.ShortDigest(), "routes": t.RouteCount(),
			"since_news_ms": time.Since(notified).Milliseconds(), "took_ms": time.Since(start).Milliseconds(),
		}).Info("a configuration is in force")
	}
	return err
}

// nextTable makes the table of a configuration. It fetches the changes, unless the configuration
// contains its whole document, as control instances of version 0.2.0 send it.
func (e *Entry) nextTable(ctx context.Context, old *routing.Table, c *fleetpb.Configuration) (*routing.Table, error) {
	if len(c.GetDocument()) == 0 && e.FetchTable != nil {
		return e.FetchTable(ctx, old, c.GetVersion())
	}
	d, err := document.Decoded(c, e.Decode)
	if err != nil {
		return old, err
	}
	t, _, err := old.ApplyDocument(d)
	if err != nil {
		return old, err
	}
	return t, nil
}

// updateFleet applies the newest known endpoint list. Its cost is proportional to the changes.
func (e *Entry) updateFleet(notified time.Time) {
	reading := e.Watch.List()
	if reading == nil {
		return
	}
	old := e.fleet.Load()
	now := time.Now()
	due := !e.readmitAt.IsZero() && !now.Before(e.readmitAt)
	evacuated := evacuatedDomains(e.Watch.State())
	if old != nil && old.snapshot.Version() == reading.Version() && slices.Equal(old.evacuated, evacuated) && !due {
		return
	}
	var next *placement.Fleet
	if old == nil {
		changed, _ := e.diffLists(now, nil, &fleet{snapshot: reading, evacuated: evacuated})
		next = placement.NewServiceFleet(now, changed, placement.Spread, nil)
	} else {
		changed, removed := e.diffLists(now, old, &fleet{snapshot: reading, evacuated: evacuated})
		next = old.Next(now, changed, removed)
	}
	e.fleet.Store(&fleet{Fleet: next, snapshot: reading, evacuated: evacuated})
	e.Log.WithFields(logrus.Fields{
		"list": reading.List().GetNumber(), "age_ms": time.Since(reading.ConfirmedAt()).Milliseconds(),
		"since_news_ms": time.Since(notified).Milliseconds(), "evacuated": evacuated,
	}).Info("a list of endpoints is in force")
}

// evacuatedDomains returns the names of the evacuated failure domains.
func evacuatedDomains(s *fleetpb.State) []string {
	var out []string
	for _, e := range s.GetEvacuations() {
		out = append(out, e.GetFailureDomain())
	}
	return out
}

// diffLists compares a fleet, which may be nil, with the next one. It returns the changed endpoints that may get requests,
// and the ids of those that no longer may.
func (e *Entry) diffLists(now time.Time, old, next *fleet) (changed []placement.ListedEndpoint, removed []string) {
	var present, absent []*fleetpb.Endpoint
	to := next.snapshot.Version()
	catalog.ForEachDifference(old.version(), to, func(before, after *fleetpb.Endpoint) {
		if after != nil {
			present = append(present, after)
		} else {
			absent = append(absent, before)
		}
	})
	for _, p := range e.draining.ids() {
		if i, ok := to.Index(p); ok {
			present = append(present, to.Proto().GetEndpoints()[i])
		}
	}
	present = append(present, next.evacuationChanges(old)...)
	slices.SortFunc(present, func(a, b *fleetpb.Endpoint) int { return strings.Compare(a.GetId(), b.GetId()) })
	present = slices.CompactFunc(present, func(a, b *fleetpb.Endpoint) bool { return a == b })
	incarnations := e.currentIncarnations(now, present, to.Number())
	for _, p := range absent {
		if p.GetDraining() || e.draining.isDraining(p.GetId()) {
			e.endpointDrained(p.GetId(), p.GetService())
		} else {
			e.endpointEnded(p.GetId(), p.GetService(), nil, "it left the list")
		}
	}
	usable, draining, wait := e.draining.update(now, present, absent, incarnations)
	e.readmitAt = time.Time{}
	if wait > 0 {
		e.readmitAt = now.Add(wait)
		time.AfterFunc(wait, e.listUpdates.notify)
	}
	allowed := make(map[string]bool, len(usable))
	for _, p := range usable {
		if slices.Contains(next.evacuated, p.GetFailureDomain()) {
			continue
		}
		allowed[p.GetId()] = true
		changed = append(changed, placement.ListedEndpoint{BornMS: incarnations[p.GetId()].StartMS, Config: &configpb.Endpoint{
			Name: p.GetId(), Domain: p.GetFailureDomain(), Address: p.GetAddress(),
			Service: p.GetService(), MaxCalls: p.GetSlots(),
		}})
	}
	for _, p := range present {
		if !allowed[p.GetId()] {
			removed = append(removed, p.GetId())
		}
	}
	for _, p := range absent {
		removed = append(removed, p.GetId())
	}
	for _, p := range draining {
		e.Log.WithFields(logrus.Fields{"endpoint": p.GetId(), "list": to.Number()}).
			Info("an endpoint is draining and gets no new requests")
	}
	return changed, removed
}

// incarnationExpiryInterval is how often the incarnations of removed endpoints are dropped.
const incarnationExpiryInterval = 10 * time.Second

// currentIncarnations returns the current incarnations of listed endpoints by id. A stale list does not bring ended ones
// back.
func (e *Entry) currentIncarnations(now time.Time, endpoints []*fleetpb.Endpoint, list uint64) map[string]incarnation.ID {
	out := make(map[string]incarnation.ID, len(endpoints))
	for _, p := range endpoints {
		current, restarted := e.incarnations.Observe(now, incarnation.ID{EndpointID: p.GetId(), StartMS: p.GetBornMs()})
		if restarted {
			e.Log.WithFields(logrus.Fields{"endpoint": current.EndpointID, "born_ms": current.StartMS, "list": list}).
				Info("an endpoint has started again under its id")
			e.endpointEnded(p.GetId(), p.GetService(), &current, "it started again")
		}
		out[p.GetId()] = current
	}
	if now.Sub(e.incarnationsExpired) > incarnationExpiryInterval {
		e.incarnationsExpired = now
		e.incarnations.Expire(now)
	}
	return out
}

// fleet is the endpoint list as it is used for requests.
type fleet struct {
	// Fleet excludes the endpoints of evacuated failure domains.
	*placement.Fleet
	snapshot *watch.ListSnapshot
	// evacuated are the names of those failure domains.
	evacuated []string
}

// version returns the version of the list, nil if f is nil.
func (f *fleet) version() *catalog.List {
	if f == nil {
		return nil
	}
	return f.snapshot.Version()
}

// evacuationChanges returns the listed endpoints of the failure domains whose evacuation began or ended since an earlier
// fleet.
func (f *fleet) evacuationChanges(old *fleet) []*fleetpb.Endpoint {
	if old == nil || slices.Equal(f.evacuated, old.evacuated) {
		return nil
	}
	var out []*fleetpb.Endpoint
	for _, p := range f.snapshot.List().GetEndpoints() {
		if slices.Contains(f.evacuated, p.GetFailureDomain()) != slices.Contains(old.evacuated, p.GetFailureDomain()) {
			out = append(out, p)
		}
	}
	return out
}
