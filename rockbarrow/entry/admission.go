// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/limiter"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/routing"
)

// resizeInterval is how often a service's slots are recounted. It is several times shorter than
// the interval of load reports from other instances, 0.3 s.
const resizeInterval = 50 * time.Millisecond

// serviceLimiters holds the limiter of each service. The zero value is ready to use.
type serviceLimiters struct {
	mu        sync.Mutex
	byService map[string]*serviceLimiter
}

func (s *serviceLimiters) get(service string) *serviceLimiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = map[string]*serviceLimiter{}
	}
	if s.byService[service] == nil {
		s.byService[service] = &serviceLimiter{waiting: map[limiter.ID]chan limiter.Action{}}
	}
	return s.byService[service]
}

// serviceLimiter is the concurrency limiter of one service and its waiting requests.
type serviceLimiter struct {
	mu      sync.Mutex
	limiter limiter.Limiter
	lastID  limiter.ID
	// waiting holds a channel for each waiting request, buffered for its one action.
	waiting map[limiter.ID]chan limiter.Action
	resized time.Time
	// resizing is true while runResizing runs.
	resizing bool
	// table is the configuration that priorities are of.
	table      *routing.Table
	priorities []uint32
}

// acquire waits for a slot and returns the function that releases it. Without a slot the
// function is nil, and the action is a [limiter.Reject], or nil if ctx ended.
func (l *serviceLimiter) acquire(ctx context.Context, c capacityCounter, a limiter.Arrived) (func(), limiter.Action) {
	action := l.enqueue(&a, c)
	select {
	case act := <-action:
		return l.releaseFunc(act), act
	case <-ctx.Done():
		l.handle(limiter.Cancelled{ID: a.ID})
		select {
		case act := <-action:
			// The slot was granted while ctx ended.
			if release := l.releaseFunc(act); release != nil {
				release()
			}
		default:
		}
		return nil, nil
	}
}

// enqueue assigns the request an id and adds it to the limiter. The channel delivers its action.
func (l *serviceLimiter) enqueue(a *limiter.Arrived, c capacityCounter) <-chan limiter.Action {
	action := make(chan limiter.Action, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.resizeLocked(now, c)
	l.lastID++
	a.ID = l.lastID
	l.waiting[a.ID] = action
	l.handleLocked(now, *a)
	if len(l.waiting) > 0 && !l.resizing {
		l.resizing = true
		go l.runResizing(c)
	}
	return action
}

// admitByLevel reports whether the shared level lets a new program start, and otherwise the rejection.
func (l *serviceLimiter) admitByLevel(c capacityCounter, a limiter.Arrived) (limiter.Reject, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.resizeLocked(now, c)
	return l.limiter.Admit(now, a)
}

// runResizing recounts the slots while requests wait, because their number also changes while no request arrives
// or finishes.
func (l *serviceLimiter) runResizing(c capacityCounter) {
	tick := time.NewTicker(resizeInterval)
	defer tick.Stop()
	for range tick.C {
		if !l.resizeForWaiting(c) {
			return
		}
	}
}

// resizeForWaiting recounts the slots, or returns false if no request waits.
func (l *serviceLimiter) resizeForWaiting(c capacityCounter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resizing = len(l.waiting) > 0
	if l.resizing {
		l.resizeLocked(time.Now(), c)
	}
	return l.resizing
}

// releaseFunc returns the function that releases the slot granted by an action, or nil if it
// granted none.
func (l *serviceLimiter) releaseFunc(act limiter.Action) func() {
	start, ok := act.(limiter.Start)
	if !ok {
		return nil
	}
	id := start.ID
	return func() { l.handle(limiter.Finished{ID: id}) }
}

// resizeLocked recounts the slots unless that was done within resizeInterval. The caller holds mu.
func (l *serviceLimiter) resizeLocked(now time.Time, c capacityCounter) {
	if now.Sub(l.resized) < resizeInterval {
		return
	}
	l.resized = now
	n := c.count(now)
	r := limiter.Resized{Slots: n.Slots}
	if n.SharedSlots > 0 {
		if t := c.entry.table.Load(); l.table != t {
			l.table, l.priorities = t, t.StreamPriorities(c.service)
		}
		r.Shared = limiter.Shared{Slots: n.SharedSlots, InFlight: n.SharedInFlight, Instances: n.Instances, Priorities: l.priorities}
	}
	_, applied := l.limiter.Level()
	l.handleLocked(now, r)
	if level, ok := l.limiter.Level(); ok {
		c.scope().Gauge("admission_level").Update(level)
	} else if applied {
		c.scope().Gauge("admission_level").Update(math.NaN())
	}
}

func (l *serviceLimiter) handle(e limiter.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w, ok := e.(limiter.Cancelled); ok {
		delete(l.waiting, w.ID)
	}
	l.handleLocked(time.Now(), e)
}

// handleLocked delivers the resulting actions. The caller holds mu.
func (l *serviceLimiter) handleLocked(now time.Time, e limiter.Event) {
	for _, act := range l.limiter.Handle(now, e) {
		var id limiter.ID
		switch act := act.(type) {
		case limiter.Start:
			id = act.ID
		case limiter.Reject:
			id = act.ID
		}
		if action := l.waiting[id]; action != nil {
			action <- act
			delete(l.waiting, id)
		}
	}
}

// precheckLevel applies the shared level to a program that is certainly new, before it costs the customer's quota or
// the stores anything. It returns a non-nil outcome if the program is refused. Where only the stores' reply to the
// reservation shows whether the program is new, checkLevel applies the level after it. Without a reservation the level
// does not apply, because nothing would tell later turns of a program from new programs at other instances.
func (x *exchange) precheckLevel() Outcome {
	r := x.request
	if !x.isLimited() || r.PreviousTurn != "" || r.LastEventID != "" {
		return nil
	}
	last, _ := x.entry.sessions.lookup(r.Program, r.Session, x.previous)
	x.known = last.EndpointID != ""
	if !x.handling.history {
		return nil
	}
	return x.checkLevel()
}

// checkLevel refuses a new program that the shared level of its service has no room for. It returns a non-nil outcome
// if so.
func (x *exchange) checkLevel() Outcome {
	if !x.isLimited() || !x.needsLevel() {
		return nil
	}
	c, a := x.capacityCounter(), x.arrival()
	if a.InProgress {
		return nil
	}
	reject, ok := x.entry.limiters.get(c.service).admitByLevel(c, a)
	if !ok {
		return x.rejectedBySlots(reject)
	}
	x.passedLevel = true
	return nil
}

// needsLevel reports whether the shared level must still admit the request, should it be of a new program.
func (x *exchange) needsLevel() bool { return x.handling.reserved && !x.known && !x.passedLevel }

// isLimited reports whether the request needs a concurrency slot.
func (x *exchange) isLimited() bool { return x.handling.streamed && x.service.GetSlots() > 0 }

// acquireSlot waits for a concurrency slot and returns the function that releases it. Without a
// slot it returns a non-nil outcome.
func (x *exchange) acquireSlot(ctx context.Context) (func(), Outcome) {
	if !x.isLimited() {
		return func() {}, nil
	}
	c := x.capacityCounter()
	release, act := x.entry.limiters.get(c.service).acquire(ctx, c, x.arrival())
	if release != nil {
		return release, nil
	}
	if reject, ok := act.(limiter.Reject); ok {
		return nil, x.rejectedBySlots(reject)
	}
	return nil, Rejected{Status: http.StatusServiceUnavailable, RetryAfter: longRetryAfter, Reason: "no place at an endpoint within its time", By: StepSlots}
}

func (x *exchange) capacityCounter() capacityCounter {
	return capacityCounter{entry: x.entry, service: x.service.GetName()}
}

// rejectedBySlots counts a request that the limiter rejected, and returns its outcome.
func (x *exchange) rejectedBySlots(r limiter.Reject) Rejected {
	reason, by := "all places at endpoints are taken by programs under way", StepSlots
	if r.ByLevel {
		x.capacityCounter().scope().Counter("refused_by_level").Inc(1)
		reason, by = "the endpoints have no room for new programs of this priority", StepAdmission
	}
	return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: r.RetryAfter, Reason: reason, By: by}
}

// arrival describes the request to its limiter.
func (x *exchange) arrival() limiter.Arrived {
	r := x.request
	elapsed := time.Since(r.Arrived)
	program := r.Program
	if program == "" {
		program = r.ID
	}
	return limiter.Arrived{
		InProgress: r.PreviousTurn != "" || x.previous.EndpointID != "" || r.LastEventID != "",
		Remaining:  r.TimeToFinish - elapsed, HasDeadline: r.HasTimeToFinish,
		MaxWait: time.Duration(x.route.GetObjectiveMs())*time.Millisecond - elapsed, ClientTimeout: x.firstEventTimeout() - elapsed,
		Priority: x.priority(), Customer: x.customer.GetName(), Weight: x.customer.GetRequestsPerSecond(),
		Program: xxhash.Sum64String(program), RoutePriority: x.route.GetPriority(), Admitted: !x.needsLevel(),
	}
}

// firstEventTimeout is how long after its arrival the client waits for the first event.
func (x *exchange) firstEventTimeout() time.Duration {
	total := x.endTime().Sub(x.request.Arrived)
	if pauseMS := x.route.GetPauseMs(); pauseMS > 0 {
		return min(total, time.Duration(pauseMS)*time.Millisecond)
	}
	return total
}

// capacityCounter counts the slots of a service. It is used while requests wait, and keeps none of them.
type capacityCounter struct {
	entry   *Entry
	service string
}

func (c capacityCounter) count(now time.Time) placement.Capacity {
	return c.entry.fleet.Load().Capacity(now, placement.Class{Service: c.service}, c.entry.Watch.EntryCount())
}

// scope returns the scope of the service's metrics.
func (c capacityCounter) scope() tally.Scope {
	return c.entry.serviceScopes.get(c.entry.Metrics, "service", c.service)
}
