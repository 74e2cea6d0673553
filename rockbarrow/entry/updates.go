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
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/fleetpb"
)

// fetchPause lies between tries to fetch a table, each of which asks all control
// instances: some tens of round trips.
const fetchRetryInterval = 50 * time.Millisecond

// signal wakes the one goroutine that takes over one kind of signal.
type signal struct {
	ready chan struct{}
	// came is when the oldest news came that were not taken over yet, in nanoseconds
	// since 1970, zero if there are none.
	pendingSince atomic.Int64
}

func newSignal() *signal { return &signal{ready: make(chan struct{}, 1)} }

func (n *signal) notify() {
	n.pendingSince.CompareAndSwap(0, time.Now().UnixNano())
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

// taken returns when the news came that are taken over now.
func (n *signal) take() time.Time {
	if at := n.pendingSince.Swap(0); at > 0 {
		return time.Unix(0, at)
	}
	return time.Now()
}

// runTables takes over new configurations until ctx ends. It has a goroutine of its own:
// a large configuration may take long, and no other news wait for it.
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

// takeTable brings the newest known configuration into force. It tries again while control
// is not reached.
func (e *Entry) updateTable(ctx context.Context, came time.Time) {
	for tries := 0; ; tries++ {
		err := e.applyTable(ctx, came)
		if err == nil {
			return
		}
		var unreached *watch.TableFetchError
		again := errors.As(err, &unreached)
		if tries == 0 || !again {
			e.Log.WithError(err).WithField("again", again).Error("a configuration is not in force")
		}
		if !again || !wait.For(ctx, fetchRetryInterval) {
			return
		}
	}
}

// runFleets takes over new lists of endpoints until ctx ends.
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

// refreshTable makes the table of the newest known configuration. What came of it by the
// time of a failure is in force.
func (e *Entry) applyTable(ctx context.Context, came time.Time) error {
	c := e.Watch.State().GetConfiguration()
	old := e.table.Load()
	if c.GetVersion() <= old.Version() {
		return nil
	}
	begun := time.Now()
	t, err := e.nextTable(ctx, old, c)
	if t.Version() > old.Version() {
		e.table.Store(t)
		e.Log.WithFields(logrus.Fields{
			"config_version": t.Version(), "routes": t.RouteCount(),
			"since_news_ms": time.Since(came).Milliseconds(), "took_ms": time.Since(begun).Milliseconds(),
		}).Info("a configuration is in force")
	}
	return err
}

// nextTable makes the table of a configuration: by what changed, or of the whole document
// where control is of version 0.2.0 and tells nothing else.
func (e *Entry) nextTable(ctx context.Context, old *routing.Table, c *fleetpb.Configuration) (*routing.Table, error) {
	if len(c.GetDocument()) == 0 && e.FetchTable != nil {
		return e.FetchTable(ctx, old, c.GetVersion())
	}
	d, err := e.Decode(c.GetDocument())
	if err != nil {
		return old, err
	}
	t, _, err := old.ApplyDocument(d)
	if err != nil {
		return old, err
	}
	return t, nil
}

// refreshFleet brings the newest known list into force. It costs what has changed.
func (e *Entry) updateFleet(came time.Time) {
	reading := e.Watch.List()
	if reading == nil {
		return
	}
	old := e.fleet.Load()
	now := time.Now()
	due := !e.readmitAt.IsZero() && !now.Before(e.readmitAt)
	evacuated := evacuatedDomains(e.Watch.State())
	if old != nil && old.reading.Version() == reading.Version() && slices.Equal(old.evacuated, evacuated) && !due {
		return
	}
	var next *placement.Fleet
	if old == nil {
		changed, _ := e.diffLists(now, nil, &fleet{reading: reading, evacuated: evacuated})
		next = placement.NewServiceFleet(now, changed, placement.Spread, nil)
	} else {
		changed, gone := e.diffLists(now, old, &fleet{reading: reading, evacuated: evacuated})
		next = old.Next(now, changed, gone)
	}
	e.fleet.Store(&fleet{Fleet: next, reading: reading, evacuated: evacuated})
	e.Log.WithFields(logrus.Fields{
		"list": reading.List().GetNumber(), "age_ms": time.Since(reading.ConfirmedAt()).Milliseconds(),
		"since_news_ms": time.Since(came).Milliseconds(), "evacuated": evacuated,
	}).Info("a list of endpoints is in force")
}

// evacuatedDomains returns the failure domains whose endpoints get nothing new, by name.
func evacuatedDomains(s *fleetpb.State) []string {
	var out []string
	for _, e := range s.GetEvacuations() {
		out = append(out, e.GetFailureDomain())
	}
	return out
}

// listed returns the endpoints that have changed from one fleet, which may be nil, to the next and may get new requests,
// and the ids of those that may not any more.
func (e *Entry) diffLists(now time.Time, old, next *fleet) (changed []placement.ListedEndpoint, gone []string) {
	var present, absent []*fleetpb.Endpoint
	to := next.reading.Version()
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
	lives := e.currentIncarnations(now, present, to.Number())
	usable, leaving, wait := e.draining.update(now, present, absent, lives)
	e.readmitAt = time.Time{}
	if wait > 0 {
		e.readmitAt = now.Add(wait)
		time.AfterFunc(wait, e.listUpdates.notify)
	}
	may := make(map[string]bool, len(usable))
	for _, p := range usable {
		if slices.Contains(next.evacuated, p.GetFailureDomain()) {
			continue
		}
		may[p.GetId()] = true
		changed = append(changed, placement.ListedEndpoint{BornMS: lives[p.GetId()].StartMS, Config: &configpb.Endpoint{
			Name: p.GetId(), Domain: p.GetFailureDomain(), Address: p.GetAddress(),
			Service: p.GetService(), MaxCalls: p.GetSlots(),
		}})
	}
	for _, p := range present {
		if !may[p.GetId()] {
			gone = append(gone, p.GetId())
		}
	}
	for _, p := range absent {
		gone = append(gone, p.GetId())
	}
	for _, p := range leaving {
		e.Log.WithFields(logrus.Fields{"endpoint": p.GetId(), "list": to.Number()}).
			Info("an endpoint is leaving and gets nothing new")
	}
	return changed, gone
}

// forgetLivesEvery is how often the lives of endpoints that are gone are looked for.
const incarnationExpiryInterval = 10 * time.Second

// presentLives returns the lives of endpoints of a list by their ids. A list that lags brings no ended life back.
func (e *Entry) currentIncarnations(now time.Time, endpoints []*fleetpb.Endpoint, list uint64) map[string]incarnation.ID {
	out := make(map[string]incarnation.ID, len(endpoints))
	for _, p := range endpoints {
		present, began := e.incarnations.Observe(now, incarnation.ID{EndpointID: p.GetId(), StartMS: p.GetBornMs()})
		if began {
			e.Log.WithFields(logrus.Fields{"endpoint": present.EndpointID, "born_ms": present.StartMS, "list": list}).
				Info("an endpoint has started again under its id")
		}
		out[p.GetId()] = present
	}
	if now.Sub(e.incarnationsExpired) > incarnationExpiryInterval {
		e.incarnationsExpired = now
		e.incarnations.Expire(now)
	}
	return out
}

// fleet is what requests need of the list of endpoints.
type fleet struct {
	// Fleet lacks the endpoints of evacuated failure domains.
	*placement.Fleet
	reading *watch.ListSnapshot
	// evacuated are those failure domains, by name.
	evacuated []string
}

// version returns the list, nil if f is nil.
func (f *fleet) version() *catalog.List {
	if f == nil {
		return nil
	}
	return f.reading.Version()
}

// moved returns the listed endpoints of the failure domains that were evacuated, or taken back, since an earlier fleet.
func (f *fleet) evacuationChanges(old *fleet) []*fleetpb.Endpoint {
	if old == nil || slices.Equal(f.evacuated, old.evacuated) {
		return nil
	}
	var out []*fleetpb.Endpoint
	for _, p := range f.reading.List().GetEndpoints() {
		if slices.Contains(f.evacuated, p.GetFailureDomain()) != slices.Contains(old.evacuated, p.GetFailureDomain()) {
			out = append(out, p)
		}
	}
	return out
}
