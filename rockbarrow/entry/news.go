// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/life"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/fleetpb"
)

// fetchPause lies between tries to fetch a table, each of which asks all control
// instances: some tens of round trips.
const fetchPause = 50 * time.Millisecond

// news wakes the one goroutine that takes over one kind of news.
type news struct {
	c chan struct{}
	// came is when the oldest news came that were not taken over yet, in nanoseconds
	// since 1970, zero if there are none.
	came atomic.Int64
}

func newNews() *news { return &news{c: make(chan struct{}, 1)} }

func (n *news) wake() {
	n.came.CompareAndSwap(0, time.Now().UnixNano())
	select {
	case n.c <- struct{}{}:
	default:
	}
}

// taken returns when the news came that are taken over now.
func (n *news) taken() time.Time {
	if at := n.came.Swap(0); at > 0 {
		return time.Unix(0, at)
	}
	return time.Now()
}

// runTables takes over new configurations until ctx ends. It has a goroutine of its own:
// a large configuration may take long, and no other news wait for it.
func (e *Entry) runTables(ctx context.Context) {
	for {
		select {
		case <-e.tableNews.c:
		case <-ctx.Done():
			return
		}
		e.takeTable(ctx, e.tableNews.taken())
	}
}

// takeTable brings the newest known configuration into force. It tries again while control
// is not reached.
func (e *Entry) takeTable(ctx context.Context, came time.Time) {
	for tries := 0; ; tries++ {
		err := e.refreshTable(ctx, came)
		if err == nil {
			return
		}
		var unreached *watch.UnreachedError
		again := errors.As(err, &unreached)
		if tries == 0 || !again {
			e.Log.WithError(err).WithField("again", again).Error("a configuration is not in force")
		}
		if !again || !wait.For(ctx, fetchPause) {
			return
		}
	}
}

// runFleets takes over new lists of endpoints until ctx ends.
func (e *Entry) runFleets(ctx context.Context) {
	for {
		select {
		case <-e.listNews.c:
			e.refreshFleet(e.listNews.taken())
		case <-ctx.Done():
			return
		}
	}
}

// refreshTable makes the table of the newest known configuration. What came of it by the
// time of a failure is in force.
func (e *Entry) refreshTable(ctx context.Context, came time.Time) error {
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
			"config_version": t.Version(), "routes": t.Routes(),
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
	t, _, err := old.Next(d)
	if err != nil {
		return old, err
	}
	return t, nil
}

// refreshFleet brings the newest known list into force.
func (e *Entry) refreshFleet(came time.Time) {
	reading := e.Watch.List()
	if reading == nil {
		return
	}
	old := e.fleet.Load()
	now := time.Now()
	due := !e.returns.IsZero() && !now.Before(e.returns)
	if old != nil && old.reading.List() == reading.List() && !due {
		return
	}
	var before *placement.Fleet
	if old != nil {
		before = old.Fleet
	}
	f := placement.NewServiceFleet(now, e.endpoints(now, reading.List()), placement.Spread, before)
	e.fleet.Store(&fleet{Fleet: f, reading: reading})
	e.Log.WithFields(logrus.Fields{
		"list": reading.List().GetNumber(), "age_ms": time.Since(reading.At()).Milliseconds(),
		"since_news_ms": time.Since(came).Milliseconds(),
	}).Info("a list of endpoints is in force")
}

// endpoints returns the endpoints that may get new requests.
func (e *Entry) endpoints(now time.Time, l *fleetpb.EndpointList) []placement.Listed {
	present := e.presentLives(now, l)
	usable, leaving, wait := e.departures.take(now, l, present)
	for _, p := range leaving {
		e.Log.WithFields(logrus.Fields{"endpoint": p.GetId(), "list": l.GetNumber()}).
			Info("an endpoint is leaving and gets nothing new")
	}
	e.returns = time.Time{}
	if wait > 0 {
		e.returns = now.Add(wait)
		time.AfterFunc(wait, e.listNews.wake)
	}
	out := make([]placement.Listed, 0, len(usable))
	for _, p := range usable {
		out = append(out, placement.Listed{BornMS: present[p.GetId()].BornMS, Config: &configpb.Endpoint{
			Name: p.GetId(), Domain: p.GetFailureDomain(), Address: p.GetAddress(),
			Service: p.GetService(), MaxCalls: p.GetSlots(),
		}})
	}
	return out
}

// presentLives returns the life of each endpoint of a list by its id. A list that lags brings no ended life back.
func (e *Entry) presentLives(now time.Time, l *fleetpb.EndpointList) map[string]life.Life {
	out := make(map[string]life.Life, len(l.GetEndpoints()))
	for _, p := range l.GetEndpoints() {
		present, began := e.lives.Take(now, life.Life{ID: p.GetId(), BornMS: p.GetBornMs()})
		if began {
			e.Log.WithFields(logrus.Fields{"endpoint": present.ID, "born_ms": present.BornMS, "list": l.GetNumber()}).
				Info("an endpoint has started again under its id")
		}
		out[p.GetId()] = present
	}
	e.lives.Forget(now)
	return out
}

// fleet is what requests need of the list of endpoints.
type fleet struct {
	*placement.Fleet
	reading *watch.Reading
}
