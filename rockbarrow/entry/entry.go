// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/lease"
	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// soon is when a client is told to come back after a refusal that passes by
	// itself within milliseconds, such as a start; later, after one that lasts.
	shortRetryAfter = 150 * time.Millisecond
	longRetryAfter  = 400 * time.Millisecond
	// balancerTakes is how long after a cut was noticed the balancer, which asks twice
	// a second apart, has taken the instances out that are cut off: 2 s, and half a
	// second for the instances that notice last.
	balancerRemovalTime = 2500 * time.Millisecond
	// leastRetryElsewhere is when to come back after that: on a new connection, which
	// leads elsewhere.
	minRetryElsewhere = 250 * time.Millisecond
)

// Entry is one entry instance. Set the exported fields before Run.
type Entry struct {
	// Domain is the own failure domain.
	Domain string
	Watch  *watch.Client
	Stores *stores.Client
	Sender Sender
	// Decode reads whole configurations, FetchTable gets what changed. Without FetchTable
	// each configuration has its document.
	Decode     DecodeFunc
	FetchTable FetchTableFunc
	Log        *logrus.Entry
	Metrics    tally.Scope
	// Lease says whether the keys of a table may be trusted, and Quota counts customers' requests.
	Lease *lease.Lease
	Quota *quota.Limiter

	table atomic.Pointer[routing.Table]
	fleet atomic.Pointer[fleet]
	// departures is used by the goroutine of lists only.
	draining drainTracker
	// lives is used by the same goroutine only.
	incarnations        incarnation.Tracker
	incarnationsExpired time.Time
	// returns is when endpoints that left may count again under the list in force, zero if none
	// can.
	readmitAt time.Time
	// tableUpdates and listUpdates each have a goroutine of their own, so that neither kind of
	// news waits for the other.
	tableUpdates, listUpdates *signal
	stopped                   atomic.Bool
	domains                   domainHealth
	sessions                  sessionEndpoints
	limiters                  serviceLimiters
	customers, outcomes       taggedScopes
	// lostSince is when most stores went out of reach, in nanoseconds since 1970,
	// zero while they are reached.
	storesLostSince atomic.Int64
	inFlight        atomic.Int64
}

// Init makes the entry ready for Wake; call it before the watch client runs.
func (e *Entry) Init() { e.tableUpdates, e.listUpdates = newSignal(), newSignal() }

// Wake takes over what is new; package watch calls it.
func (e *Entry) NotifyChanged() {
	e.tableUpdates.notify()
	e.listUpdates.notify()
}

// Run takes over new configurations and lists until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	go e.watchReachability(ctx)
	go e.runTableUpdates(ctx)
	e.runListUpdates(ctx)
}

// Ready reports whether the balancer should send connections here, or why not.
func (e *Entry) Ready() (bool, string) {
	if serves, why := e.CanServe(); !serves {
		return false, why
	}
	if e.Watch.State().GetView().GetEpoch() == 0 {
		return false, "no stores are chosen yet"
	}
	if e.isDomainMostlyLost() {
		return false, "most entry instances of this failure domain are lost"
	}
	return true, ""
}

// Serves reports whether this instance can serve requests, or why not.
func (e *Entry) CanServe() (bool, string) {
	switch {
	case e.stopped.Load():
		return false, "stopping"
	case e.table.Load() == nil:
		return false, "no configuration is known"
	case e.fleet.Load() == nil:
		return false, "no list of endpoints is known"
	case e.isPartitioned():
		return false, "cut off from most stores and control instances"
	}
	return true, ""
}

// isDomainMostlyLost reports whether most entry instances of the own failure domain are
// lost while another domain has most of its own. The balancer goes on to use all
// instances of a domain, the lost ones too, while fewer than half of them are
// ready, but none of them once none is. Instances that are heard and do not serve yet or
// any more are not lost: they say so to the balancer themselves.
func (e *Entry) isDomainMostlyLost() bool {
	own, elsewhere := false, false
	for _, d := range e.Watch.EntryDomains() {
		if d.GetFailureDomain() == e.Domain {
			// Control of version 0.2.0 tells only who serves.
			own = 2*max(d.GetHeard(), d.GetServing()) < d.GetKnown()
		} else {
			elsewhere = elsewhere || d.GetServing() > 0 && 2*d.GetServing() >= d.GetKnown()
		}
	}
	return own && elsewhere
}

// isCutOff reports whether this instance is cut off from the rest. It then serves
// what it can, but new connections are better off elsewhere. When most stores are
// lost for everyone, no instance is better than another, and all stay ready.
func (e *Entry) isPartitioned() bool { return !e.Stores.Reachable() && e.Watch.CutOff() }

// retryElsewhere is when a client that is refused for want of stores had better come
// back.
func (e *Entry) retryElsewhere(now time.Time) time.Duration {
	since := e.storesLostSince.Load()
	if since == 0 {
		return balancerRemovalTime
	}
	return max(minRetryElsewhere, balancerRemovalTime-now.Sub(time.Unix(0, since)))
}

// Stop makes the entry say that it is not ready. It goes on to serve.
func (e *Entry) SetStopping() { e.stopped.Store(true) }

// InFlight returns the number of requests under way.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Limits returns what clients may do, or nil before a configuration is known.
func (e *Entry) Limits() *fleetpb.Limits {
	t := e.table.Load()
	if t == nil {
		return nil
	}
	return t.Limits()
}

// Serve answers a request.
func (e *Entry) Serve(ctx context.Context, req *Request, out ResponseWriter) Outcome {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.awaitInitialized(ctx)
	t, f := e.table.Load(), e.fleet.Load()
	if t == nil || f == nil {
		return e.finish(&exchange{entry: e, request: req}, Rejected{Status: http.StatusServiceUnavailable, RetryAfter: shortRetryAfter, Reason: "this instance has not learned what to serve yet"})
	}
	route, ok := t.Match(req.Host, req.Path)
	if !ok {
		return e.finish(&exchange{entry: e, request: req, table: t}, Rejected{Status: http.StatusNotFound, Reason: "no route"})
	}
	x := &exchange{entry: e, request: req, table: t, route: route, writer: out}
	x.service = t.Service(routing.PickService(route, x.splitKey()))
	x.deadline = req.Arrived.Add(time.Duration(route.GetTimeoutMs()) * time.Millisecond)
	if req.ClientTimeout > 0 && req.Arrived.Add(req.ClientTimeout).Before(x.deadline) {
		x.deadline = req.Arrived.Add(req.ClientTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.handling = handlingOf(route, req)
	if o := x.authenticate(); o != nil {
		return e.finish(x, o)
	}
	if o := x.checkResumption(); o != nil {
		return e.finish(x, o)
	}
	if o := x.chargeQuota(ctx); o != nil {
		return e.finish(x, o)
	}
	defer x.refundQuota()
	return e.finish(x, x.serve(ctx))
}

// learnWithin is how long a request waits for an instance that has just started
// to learn what it serves: some 100 ms, and up to 700 ms after all instances have
// lost power at once. learnTick is how often it looks.
const (
	initTimeout      = 900 * time.Millisecond
	initPollInterval = 20 * time.Millisecond
)

// learned reports whether a configuration and a list are in force, and whether its keys may be trusted if it has any.
func (e *Entry) isInitialized() bool {
	t := e.table.Load()
	return t != nil && e.fleet.Load() != nil && !(t.CustomerCount() > 0 && e.Lease.Unconfirmed())
}

// awaitLearned waits a little for the first configuration and list, and for the first confirmation of keys.
func (e *Entry) awaitInitialized(ctx context.Context) {
	for end := time.Now().Add(initTimeout); !e.isInitialized(); {
		if !wait.For(ctx, initPollInterval) || time.Now().After(end) {
			return
		}
	}
}

// ended writes the one log line of a request and counts it.
func (e *Entry) finish(x *exchange, o Outcome) Outcome {
	r := x.request
	took := time.Since(r.Arrived)
	status, reason, level := x.status, "", logrus.InfoLevel
	switch o := o.(type) {
	case Rejected:
		status, reason, level = o.Status, o.Reason, logrus.WarnLevel
	case Aborted:
		status, reason, level = 0, o.Reason, logrus.WarnLevel
	}
	e.recordMetrics(x, o, took)
	if !e.Log.Logger.IsLevelEnabled(level) {
		return o
	}
	e.Log.WithFields(logrus.Fields{
		"request": r.ID, "program": r.Program, "previous": r.PreviousTurn, "route": x.route.GetName(),
		"service": x.service.GetName(), "customer": x.customer.GetName(), "endpoint": x.endpoint.EndpointID, "offers": x.dispatches, "status": status,
		"reason": reason, "config_version": x.table.Version(), "list": x.listNumber, "list_age_ms": x.listAgeMS,
		"took_ms": took.Milliseconds(), "own_ms": x.ownTime.Milliseconds(), "waited_ms": x.waitTime.Milliseconds(), "left_ms": r.TimeToFinish.Milliseconds(),
	}).Log(level, "request ended")
	return o
}

func (e *Entry) recordMetrics(x *exchange, o Outcome, took time.Duration) {
	kind := "answered"
	switch o := o.(type) {
	case Rejected:
		kind = "refused_" + http.StatusText(o.Status)
	case Aborted:
		kind = "cut"
	}
	scope := e.outcomes.get(e.Metrics, "outcome", kind)
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
	if x.ownTime > 0 {
		e.Metrics.Histogram("own_seconds", latencyBuckets).RecordDuration(x.ownTime)
	}
}

// latencyBuckets reach from a round trip between instances to the longest
// timeouts, each a half more than the one before.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 20)
