// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/limiter"
	"rockbarrow.dev/rockbarrow/placement"
)

// resizeInterval is how often a service's slots are recounted. It is several times shorter than
// the interval of load reports from other instances.
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
}

// acquire waits for a slot and returns the function that releases it. Without a slot the
// function is nil, and the action is a [limiter.Reject], or nil if ctx ended.
func (l *serviceLimiter) acquire(ctx context.Context, slots func() int, a limiter.Arrived) (func(), limiter.Action) {
	action := l.enqueue(&a, slots)
	// The number of slots also changes while no request arrives or finishes.
	tick := time.NewTicker(resizeInterval)
	defer tick.Stop()
	for {
		select {
		case act := <-action:
			return l.releaseFunc(act), act
		case <-tick.C:
			l.resize(slots)
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
}

// enqueue assigns the request an id and adds it to the limiter. The channel delivers its action.
func (l *serviceLimiter) enqueue(a *limiter.Arrived, slots func() int) <-chan limiter.Action {
	l.resize(slots)
	action := make(chan limiter.Action, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	a.ID = l.lastID
	l.waiting[a.ID] = action
	l.handleLocked(time.Now(), *a)
	return action
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

// resize recounts the slots unless that was done within resizeInterval.
func (l *serviceLimiter) resize(slots func() int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.resized) < resizeInterval {
		return
	}
	l.resized = now
	l.handleLocked(now, limiter.Resized{Slots: slots()})
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

// acquireSlot waits for a concurrency slot and returns the function that releases it. Without a
// slot it returns a non-nil outcome.
func (x *exchange) acquireSlot(ctx context.Context) (func(), Outcome) {
	if !x.handling.streamed || x.service.GetSlots() == 0 {
		return func() {}, nil
	}
	release, act := x.entry.limiters.get(x.service.GetName()).acquire(ctx, x.slots, x.arrival())
	if release != nil {
		return release, nil
	}
	if reject, ok := act.(limiter.Reject); ok {
		return nil, Rejected{Status: http.StatusServiceUnavailable, RetryAfter: reject.RetryAfter, Reason: "all places at endpoints are taken by programs under way"}
	}
	return nil, Rejected{Status: http.StatusServiceUnavailable, RetryAfter: longRetryAfter, Reason: "no place at an endpoint within its time"}
}

// arrival describes the request to its limiter.
func (x *exchange) arrival() limiter.Arrived {
	r := x.request
	elapsed := time.Since(r.Arrived)
	return limiter.Arrived{
		InProgress: r.PreviousTurn != "" || x.previous.EndpointID != "" || r.LastEventID != "",
		Remaining:  r.TimeToFinish - elapsed, HasDeadline: r.HasTimeToFinish,
		MaxWait: time.Duration(x.route.GetObjectiveMs())*time.Millisecond - elapsed, ClientTimeout: x.firstEventTimeout() - elapsed,
		Priority: x.priority(), Customer: x.customer.GetName(), Weight: x.customer.GetRequestsPerSecond(),
	}
}

// firstEventTimeout is how long after its arrival the client waits for the first event.
func (x *exchange) firstEventTimeout() time.Duration {
	total := x.deadline.Sub(x.request.Arrived)
	if pauseMS := x.route.GetPauseMs(); pauseMS > 0 {
		return min(total, time.Duration(pauseMS)*time.Millisecond)
	}
	return total
}

// slots returns how many requests this instance may have running at the service's endpoints.
func (x *exchange) slots() int {
	f := x.entry.fleet.Load()
	return f.Slots(time.Now(), placement.Class{Service: x.service.GetName()}, x.entry.Watch.EntryCount())
}
