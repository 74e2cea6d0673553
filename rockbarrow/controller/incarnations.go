// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

// StartTimeReader queries endpoints for their start times.
type StartTimeReader interface {
	// StartTime returns the start time of an endpoint in Unix milliseconds by the endpoint's own
	// clock, or 0 if the endpoint does not report it. It returns an error if the endpoint does not
	// answer.
	StartTime(ctx context.Context, e *fleetpb.Endpoint) (uint64, error)
}

const (
	// minProbeInterval and maxProbeInterval bound the interval between probes of one endpoint. The
	// interval doubles with each probe that finds no restart, since an endpoint may keep losing
	// single responses or closing idle connections. It is reset by a restart, and after
	// probeBackoffReset without a probe. A restart may go unnoticed for as long as
	// maxProbeInterval.
	minProbeInterval  = time.Second
	maxProbeInterval  = 16 * time.Second
	probeBackoffReset = 2 * maxProbeInterval
	// probeTick is the interval between checks for due probes and for results to publish. Results
	// are batched because each new list is sent to all instances.
	probeTick = 100 * time.Millisecond
	// publishInterval is the minimum interval between published results while further probes are
	// pending.
	publishInterval = time.Second
	// maxConcurrentProbes limits the probes in flight. A probe takes about 10 ms.
	maxConcurrentProbes = 8
	// unsupportedThreshold is the number of consecutive endpoints of a service without a start time
	// after which the other endpoints of the service are probed only after lost calls.
	unsupportedThreshold = 16
)

// incarnationTracker determines the current incarnation of each endpoint and publishes it with the
// list of endpoints. It probes an endpoint when it is new and after lost calls or connections. Only
// the first instance in rank sends probes; the others read the results from its lists.
type incarnationTracker struct {
	controller *Controller

	mu sync.Mutex
	// current holds the known incarnations, including those from lists that may be outdated.
	current incarnation.Tracker
	probes  map[string]*probe
	// inFlight counts the probes in flight.
	inFlight int
	// unpublished reports whether there are results that no list contains yet. lastPublished is
	// when results were last published.
	unpublished   bool
	lastPublished time.Time
	// backlog reports whether more probes are due than may be in flight.
	backlog bool
	// unsupportedLogged is set once an endpoint without a start time was logged. unsupportedRuns
	// counts, per service, consecutive endpoints without a start time.
	unsupportedLogged bool
	unsupportedRuns   map[string]int
}

// probe is the probing state of one endpoint.
type probe struct {
	endpoint *fleetpb.Endpoint
	// due is when to send the next probe, or zero if none is needed.
	due time.Time
	// lastSent is when the last probe was sent, and interval the minimum delay until the next one.
	lastSent time.Time
	interval time.Duration
	// initial reports whether the probe is due only because the endpoint was never probed.
	initial bool
	pending bool
	// unsupported is set once the endpoint has answered without a start time; it is not probed
	// again.
	unsupported bool
}

// annotate returns the endpoints of a reading with their current incarnations. The known list may
// come from another instance.
func (l *incarnationTracker) annotate(now time.Time, known *fleetpb.EndpointList, reading []*fleetpb.Endpoint) []*fleetpb.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	startKnown := map[string]bool{}
	for _, e := range known.GetEndpoints() {
		l.current.Observe(now, incarnationOf(e))
		startKnown[e.GetId()] = e.GetBornMs() != 0
	}
	before := l.probes
	l.probes = make(map[string]*probe, len(reading))
	out := make([]*fleetpb.Endpoint, 0, len(reading))
	for _, read := range reading {
		current, _ := l.current.Observe(now, incarnation.ID{EndpointID: read.GetId()})
		e := read
		if e.GetBornMs() != current.StartMS {
			e = proto.CloneOf(read)
			e.BornMs = current.StartMS
		}
		out = append(out, e)
		p := before[e.GetId()]
		if p == nil {
			p = newProbe(now, e, startKnown[e.GetId()])
		} else {
			p.updateEndpoint(now, e)
		}
		l.probes[e.GetId()] = p
	}
	l.current.Expire(now)
	l.unpublished = false
	return out
}

// newProbe returns the state of an endpoint that this instance has not read before. If the known
// list has the endpoint's start time, another instance has probed it already. Earlier results for
// an endpoint that has returned to the list are ignored.
func newProbe(now time.Time, e *fleetpb.Endpoint, startKnown bool) *probe {
	p := &probe{endpoint: e, interval: minProbeInterval}
	if !startKnown {
		p.due, p.initial = now, true
	}
	return p
}

// updateEndpoint records a newer reading of the endpoint.
func (p *probe) updateEndpoint(now time.Time, e *fleetpb.Endpoint) {
	moved := p.endpoint.GetAddress() != e.GetAddress()
	returned := p.endpoint.GetDraining() && !e.GetDraining()
	p.endpoint = e
	if moved || returned {
		p.due, p.unsupported, p.initial = now, false, false
	}
}

// probeAfterLoss schedules probes of endpoints for which an entry instance reports lost calls or
// connections. Reports about an earlier incarnation are ignored.
func (l *incarnationTracker) probeAfterLoss(now time.Time, uses []*fleetpb.EndpointUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range uses {
		p := l.probes[u.GetEndpoint()]
		if u.GetLost() == 0 || p == nil || p.unsupported || !p.due.IsZero() && !p.initial {
			continue
		}
		current, _ := l.current.Observe(now, incarnation.ID{EndpointID: u.GetEndpoint()})
		if !current.Matches(incarnation.ID{EndpointID: u.GetEndpoint(), StartMS: u.GetBornMs()}) {
			continue
		}
		p.due, p.initial = later(now, p.lastSent.Add(p.interval)), false
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func incarnationOf(e *fleetpb.Endpoint) incarnation.ID {
	return incarnation.ID{EndpointID: e.GetId(), StartMS: e.GetBornMs()}
}

// loop sends due probes and publishes their results until ctx is done.
func (l *incarnationTracker) loop(ctx context.Context) {
	for wait.For(ctx, probeTick) {
		now := time.Now()
		if l.takePublishable(now) {
			l.controller.publishIncarnations()
		}
		if l.controller.rank(now) != 0 {
			continue
		}
		for _, p := range l.dueProbes(now) {
			go l.runProbe(ctx, p)
		}
	}
}

// takePublishable reports whether there are results to publish, and marks them as published.
func (l *incarnationTracker) takePublishable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unpublished || l.backlog && now.Sub(l.lastPublished) < publishInterval {
		return false
	}
	l.unpublished, l.lastPublished = false, now
	return true
}

// dueProbes returns the probes to send now and marks them as in flight.
func (l *incarnationTracker) dueProbes(now time.Time) []*probe {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*probe
	l.backlog = false
	for _, p := range l.probes {
		if p.pending || p.due.IsZero() || now.Before(p.due) || p.initial && l.unsupportedRuns[p.endpoint.GetService()] >= unsupportedThreshold {
			continue
		}
		if l.inFlight == maxConcurrentProbes {
			l.backlog = true
			break
		}
		if now.Sub(p.lastSent) > probeBackoffReset {
			p.interval = minProbeInterval
		}
		p.pending, p.initial, p.due, p.lastSent = true, false, time.Time{}, now
		l.inFlight++
		out = append(out, p)
	}
	return out
}

// runProbe sends one probe and handles the reply.
func (l *incarnationTracker) runProbe(ctx context.Context, p *probe) {
	l.mu.Lock()
	e := p.endpoint
	l.mu.Unlock()
	born, err := l.controller.StartTimes.StartTime(ctx, e)
	l.handleReply(time.Now(), p, e, born, err)
}

// handleReply processes the result of a probe sent to the address in e.
func (l *incarnationTracker) handleReply(now time.Time, p *probe, e *fleetpb.Endpoint, born uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	p.pending = false
	log := l.controller.Log.WithFields(logrus.Fields{"endpoint": e.GetId(), "address": e.GetAddress()})
	switch {
	case p.endpoint.GetAddress() != e.GetAddress():
		// The endpoint has moved; it is probed at its new address.
	case err != nil:
		log.WithError(err).Debug("an endpoint did not report its start time")
		p.due = now.Add(minProbeInterval)
	case born == 0:
		p.unsupported = true
		if l.unsupportedRuns == nil {
			l.unsupportedRuns = map[string]int{}
		}
		l.unsupportedRuns[e.GetService()]++
		l.logUnsupported(log)
	case l.recordIncarnation(now, log, e.GetService(), incarnation.ID{EndpointID: e.GetId(), StartMS: born}):
		p.interval = minProbeInterval
	default:
		p.interval = min(2*p.interval, maxProbeInterval)
	}
}

// recordIncarnation records a reported incarnation and reports whether it is new.
func (l *incarnationTracker) recordIncarnation(now time.Time, log *logrus.Entry, service string, reported incarnation.ID) bool {
	delete(l.unsupportedRuns, service)
	before, _ := l.current.Observe(now, incarnation.ID{EndpointID: reported.EndpointID})
	current, began := l.current.Observe(now, reported)
	if current == before {
		return false
	}
	l.unpublished = true
	log = log.WithField("born_ms", current.StartMS)
	if began {
		log.WithField("before_born_ms", before.StartMS).Info("an endpoint has started again under its id")
	} else {
		log.Debug("an endpoint reported its start time")
	}
	return true
}

// logUnsupported logs that an endpoint reports no start time. Only the first one is logged at info
// level, since all endpoints may be of the same kind.
func (l *incarnationTracker) logUnsupported(log *logrus.Entry) {
	level := logrus.DebugLevel
	if !l.unsupportedLogged {
		level = logrus.InfoLevel
	}
	l.unsupportedLogged = true
	log.Log(level, "an endpoint does not tell when it started: it is identified by its id alone")
}

// publishIncarnations offers the known list with the current incarnations.
func (c *Controller) publishIncarnations() {
	c.listMu.Lock()
	defer c.listMu.Unlock()
	known := c.watch.List()
	if known == nil {
		return
	}
	annotated := &fleetpb.EndpointList{
		Endpoints: c.incarnations.annotate(time.Now(), known.List(), known.List().GetEndpoints()), Calls: known.List().GetCalls(),
	}
	c.offerList(c.numberList(known.Version(), annotated), known.ConfirmedAt())
}
