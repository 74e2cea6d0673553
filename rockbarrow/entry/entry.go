// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/execution"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/lease"
	"rockbarrow.dev/rockbarrow/membudget"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
)

const (
	// shortRetryAfter is the retry delay until the instance has learned what to serve, and the
	// shortest one for a customer at its limit. longRetryAfter is the usual retry delay of other
	// rejections.
	shortRetryAfter = 150 * time.Millisecond
	longRetryAfter  = 400 * time.Millisecond
	// balancerRemovalTime is how long after the detection of a partition the balancer has
	// removed the partitioned instances. It probes twice, a second apart, and the last
	// instances detect the partition half a second later.
	balancerRemovalTime = 2500 * time.Millisecond
	// minRetryElsewhere is the retry delay once the balancer sends new connections to
	// other instances.
	minRetryElsewhere = 250 * time.Millisecond
)

// Entry is one entry instance. Set the exported fields before Run.
type Entry struct {
	// Domain is this instance's failure domain.
	Domain string
	Watch  *watch.Client
	Stores *stores.Client
	Sender Sender
	// Prober finds out whether an endpoint that lost a response has ended; nil leaves it to the list.
	Prober Prober
	// SuspectControl decides on requests under which endpoints ended; nil sends them like others.
	SuspectControl SuspectControl
	// Decode parses whole configurations and FetchTable gets incremental updates. Without
	// FetchTable, every configuration must contain its document.
	Decode     DecodeFunc
	FetchTable FetchTableFunc
	Log        *logrus.Entry
	Metrics    tally.Scope
	// Lease limits how long keys are accepted without confirmation by control. Quota limits
	// the request rates of customers.
	Lease *lease.Lease
	Quota *quota.Limiter
	// SharedMemory limits what the bodies, responses and histories of requests hold that have no account of their own; nil means no limit.
	SharedMemory *membudget.Budget

	table atomic.Pointer[routing.Table]
	fleet atomic.Pointer[fleet]
	// draining, incarnations, incarnationsExpired and readmitAt are used by runListUpdates
	// only.
	draining            drainTracker
	incarnations        incarnation.Tracker
	incarnationsExpired time.Time
	// readmitAt is when draining endpoints of the current list may get requests again, zero
	// if none is waiting.
	readmitAt time.Time
	// tableUpdates and listUpdates are handled by separate goroutines, so that a slow
	// configuration does not delay a list.
	tableUpdates, listUpdates *signal
	// stop is the planned stop in progress, or nil. requestsEnded ends with it, by endRequests.
	stop          atomic.Pointer[Stop]
	requestsEnded context.Context
	endRequests   context.CancelFunc
	domains       domainHealth
	sessions      sessionEndpoints
	executions    execution.Tracker
	silent        silentEndpoints
	// suspects is this instance's copy of what control instances know.
	suspects quarantine.Registry
	// endsMu is held while the participants of an end are claimed and reported.
	endsMu  sync.Mutex
	reports suspectReports
	// unreported are ends that no control instance was told of. Only runSuspectReports uses it.
	unreported                    pendingReport
	needs                         quota.Needs
	limiters                      serviceLimiters
	customerScopes, outcomeScopes taggedScopes
	serviceScopes, stepScopes     taggedScopes
	// storesLostSince is when Stores.Reachable was first seen to be false, in nanoseconds since
	// 1970, zero while it is true.
	storesLostSince atomic.Int64
	// speeds is used by runReachability only.
	speeds   speedReporter
	inFlight atomic.Int64
	// background are the calls to control instances that no response waits for.
	background sync.WaitGroup
}

// Init prepares the entry for NotifyChanged. It must be called before the watch client runs.
func (e *Entry) Init() {
	e.tableUpdates, e.listUpdates = newSignal(), newSignal()
	e.requestsEnded, e.endRequests = context.WithCancel(context.Background())
	e.reports.init()
	e.suspects.Follower = true
}

// NotifyChanged schedules the processing of a new configuration or list. Package watch calls it.
func (e *Entry) NotifyChanged() {
	e.tableUpdates.notify()
	e.listUpdates.notify()
}

// Run processes new configurations and lists until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	go e.runReachability(ctx)
	go e.runTableUpdates(ctx)
	go e.runSuspectReports(ctx)
	e.runListUpdates(ctx)
}

// Ready reports whether the balancer should send connections here. If not, the string is the
// reason.
func (e *Entry) Ready() (bool, string) {
	if ok, reason := e.CanServe(); !ok {
		return false, reason
	}
	if e.Watch.State().GetView().GetEpoch() == 0 {
		return false, "no store view is known"
	}
	if e.isDomainMostlyLost() {
		return false, "most entry instances of this failure domain are lost"
	}
	return true, ""
}

// CanServe reports whether this instance can serve requests. If not, the string is the reason.
func (e *Entry) CanServe() (bool, string) {
	switch {
	case e.stop.Load() != nil:
		return false, "stopping"
	case e.table.Load() == nil:
		return false, "no configuration is loaded"
	case e.fleet.Load() == nil:
		return false, "no endpoint list is loaded"
	case e.isPartitioned():
		return false, "cut off from most stores and control instances"
	}
	return true, ""
}

// isDomainMostlyLost reports whether most entry instances of this failure domain are lost
// while another domain has most of its own. The balancer ignores readiness in a domain where
// only a minority is ready, so the remaining instances report not ready too: it stops using a
// domain without any ready instance. Instances that send heartbeats without serving are not
// lost; their own readiness covers them.
func (e *Entry) isDomainMostlyLost() bool {
	own, elsewhere := false, false
	for _, d := range e.Watch.EntryDomains() {
		if d.GetFailureDomain() == e.Domain {
			// Control instances of version 0.2.0 send only the serving count.
			own = 2*max(d.GetHeard(), d.GetServing()) < d.GetKnown()
		} else {
			elsewhere = elsewhere || d.GetServing() > 0 && 2*d.GetServing() >= d.GetKnown()
		}
	}
	return own && elsewhere
}

// isPartitioned reports whether Stores.Reachable is false and Watch.CutOff is true. The instance
// still serves what it can, but new connections should go to other instances. If only the
// stores are lost, the other instances are no better off, and all stay ready.
func (e *Entry) isPartitioned() bool { return !e.Stores.Reachable() && e.Watch.CutOff() }

// retryElsewhere returns the retry delay for a client rejected because stores are unreachable:
// by then the balancer has removed this instance.
func (e *Entry) retryElsewhere(now time.Time) time.Duration {
	since := e.storesLostSince.Load()
	if since == 0 {
		return balancerRemovalTime
	}
	return max(minRetryElsewhere, balancerRemovalTime-now.Sub(time.Unix(0, since)))
}

// InFlight returns the number of requests being served.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Serve handles a request and writes its response to w. The request is read after [Entry.AwaitInitialized].
func (e *Entry) Serve(ctx context.Context, req *Request, w ResponseWriter) Outcome {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.awaitInitialized(ctx, req.Arrived)
	t, f := e.table.Load(), e.fleet.Load()
	if t == nil || f == nil {
		x := &exchange{entry: e, request: req}
		return e.finish(x, x.notLoaded(t != nil, f != nil))
	}
	if o := checkSize(t, req); o != nil {
		return e.finish(&exchange{entry: e, request: req, table: t}, o)
	}
	route, ok := t.Match(req.Host, req.Path)
	if !ok {
		return e.finish(&exchange{entry: e, request: req, table: t}, Rejected{Status: http.StatusNotFound, Reason: "no route"})
	}
	x := &exchange{entry: e, request: req, table: t, route: route, writer: w, memory: req.Memory}
	if x.memory == nil {
		x.memory = e.SharedMemory.Open(nil)
		defer x.memory.Close()
	}
	x.service = t.Service(routing.PickService(route, x.splitKey()))
	x.deadline = req.Arrived.Add(requestTime(route.GetTimeoutMs(), req.ClientTimeout))
	if o := x.checkStop(time.Now()); o != nil {
		return e.finish(x, o)
	}
	ctx, cancel := x.withDeadline(ctx)
	defer cancel()
	x.handling = handlingOf(route, req)
	x.events.dropOutput, x.events.maxOutput = !x.handling.history, x.turnLimit()
	req.Memory.SetPause(time.Duration(route.GetPauseMs()) * time.Millisecond)
	if o := x.authenticate(); o != nil {
		return e.finish(x, o)
	}
	if o := x.checkRefused(); o != nil {
		return e.finish(x, o)
	}
	if o := x.prepareResumption(); o != nil {
		return e.finish(x, o)
	}
	if o := x.precheckLevel(); o != nil {
		return e.finish(x, o)
	}
	if o := x.chargeQuota(ctx); o != nil {
		return e.finish(x, o)
	}
	defer x.settleQuota()
	return e.finish(x, x.serve(ctx))
}

const (
	// initTimeout is how long a request waits for an instance that has just started to load
	// its configuration and endpoint list. That takes about 100 ms, and up to 700 ms after a
	// power loss of all instances.
	initTimeout      = 900 * time.Millisecond
	initPollInterval = 20 * time.Millisecond
)

// notInitialized is the refusal of an instance that has no configuration or no list.
var notInitialized = Rejected{Status: http.StatusServiceUnavailable, RetryAfter: shortRetryAfter, Reason: "this instance has not learned what to serve yet", By: StepNotReady}

// isInitialized reports whether a configuration and a list are loaded, and its keys, if any,
// were confirmed.
func (e *Entry) isInitialized() bool {
	t := e.table.Load()
	return t != nil && e.fleet.Load() != nil && !(t.CustomerCount() > 0 && e.Lease.Unconfirmed())
}

// AwaitInitialized waits for an instance that has just started, initTimeout at most, and returns a refusal if no configuration is in
// force then. A request is read after it, since the configuration has the limits of requests.
func (e *Entry) AwaitInitialized(ctx context.Context) *Rejected {
	e.awaitInitialized(ctx, time.Now())
	if e.table.Load() == nil {
		return &notInitialized
	}
	return nil
}

// awaitInitialized waits until isInitialized or initTimeout after start.
func (e *Entry) awaitInitialized(ctx context.Context, start time.Time) {
	for end := start.Add(initTimeout); !e.isInitialized() && e.stop.Load() == nil; {
		if !wait.For(ctx, initPollInterval) || time.Now().After(end) {
			return
		}
	}
}

// finish logs a request and updates its metrics.
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
	fields := logrus.Fields{
		"request": r.ID, "program": r.Program, "previous": r.PreviousTurn, "route": x.route.GetName(),
		"service": x.service.GetName(), "customer": x.customer.GetName(), "endpoint": x.endpoint.EndpointID, "offers": x.dispatches, "status": status,
		"reason": reason, "config_version": x.table.Version(), "list": x.listNumber, "list_age_ms": x.listAgeMS,
		"took_ms": took.Milliseconds(), "own_ms": x.ownTime.Milliseconds(), "waited_ms": x.waitTime.Milliseconds(), "left_ms": r.TimeToFinish.Milliseconds(),
	}
	if e.stop.Load() != nil {
		fields["stopping"] = true
	}
	x.logReplies(fields)
	x.logRefusal(fields, o)
	x.logExecutions(fields)
	e.Log.WithFields(fields).Log(level, "request ended")
	return o
}

func (e *Entry) recordMetrics(x *exchange, o Outcome, took time.Duration) {
	kind := "answered"
	switch o := o.(type) {
	case Rejected:
		kind = "refused_" + http.StatusText(o.Status)
		e.stepScopes.get(e.Metrics, "refused_by", string(refusedBy(o))).Counter("requests_refused").Inc(1)
	case Aborted:
		kind = "cut"
	}
	scope := e.outcomeScopes.get(e.Metrics, "outcome", kind)
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
	if x.ownTime > 0 {
		e.Metrics.Histogram("own_seconds", latencyBuckets).RecordDuration(x.ownTime)
	}
}

// latencyBuckets range from a round trip between instances to the longest timeouts.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 20)
