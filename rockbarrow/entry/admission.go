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

// resizeEvery is how often the places of a service are counted anew: a few times for
// each word of other instances, which comes each 0.3 s.
const resizeInterval = 50 * time.Millisecond

// gates holds the limiter of each service of model engines. The zero value is ready.
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

// gate is the limiter of one service, with the requests that wait at it.
type serviceLimiter struct {
	mu      sync.Mutex
	limiter limiter.Limiter
	lastID  limiter.ID
	// waiting holds a channel with room for the one action that a request gets.
	waiting map[limiter.ID]chan limiter.Action
	resized time.Time
}

// enter waits for a place. The returned function gives it back; it is nil if there is
// none, and the action then says why: [limiter.Reject], or nil once ctx has ended.
func (g *serviceLimiter) acquire(ctx context.Context, places func() int, a limiter.Arrived) (func(), limiter.Action) {
	answer := g.enqueue(&a, places)
	// Places also change while nothing arrives and nothing ends.
	tick := time.NewTicker(resizeInterval)
	defer tick.Stop()
	for {
		select {
		case act := <-answer:
			return g.releaseFunc(act), act
		case <-tick.C:
			g.resize(places)
		case <-ctx.Done():
			g.handle(limiter.Cancelled{ID: a.ID})
			select {
			case act := <-answer:
				// It came in the same moment.
				if leave := g.releaseFunc(act); leave != nil {
					leave()
				}
			default:
			}
			return nil, nil
		}
	}
}

// arrive names a request and hands it to the limiter. The channel delivers its action.
func (g *serviceLimiter) enqueue(a *limiter.Arrived, places func() int) <-chan limiter.Action {
	g.resize(places)
	answer := make(chan limiter.Action, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	a.ID = g.lastID
	g.waiting[a.ID] = answer
	g.handleLocked(time.Now(), *a)
	return answer
}

// leaving returns the function that gives the place of an action back, or nil if the
// action gave none.
func (g *serviceLimiter) releaseFunc(act limiter.Action) func() {
	start, ok := act.(limiter.Start)
	if !ok {
		return nil
	}
	id := start.ID
	return func() { g.handle(limiter.Finished{ID: id}) }
}

// resize counts the places anew, unless that was done just now.
func (g *serviceLimiter) resize(places func() int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.resized) < resizeInterval {
		return
	}
	g.resized = now
	g.handleLocked(now, limiter.Resized{Slots: places()})
}

func (g *serviceLimiter) handle(e limiter.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w, ok := e.(limiter.Cancelled); ok {
		delete(g.waiting, w.ID)
	}
	g.handleLocked(time.Now(), e)
}

// handle passes actions on; the caller holds mu.
func (g *serviceLimiter) handleLocked(now time.Time, e limiter.Event) {
	for _, act := range g.limiter.Handle(now, e) {
		var id limiter.ID
		switch act := act.(type) {
		case limiter.Start:
			id = act.ID
		case limiter.Reject:
			id = act.ID
		}
		if answer := g.waiting[id]; answer != nil {
			answer <- act
			delete(g.waiting, id)
		}
	}
}

// admit waits until the request may be at an endpoint. The returned function gives its
// place back; without one the outcome says what the client hears.
func (x *exchange) acquireSlot(ctx context.Context) (func(), Outcome) {
	if !x.handling.streamed || x.service.GetSlots() == 0 {
		return func() {}, nil
	}
	leave, act := x.entry.limiters.get(x.service.GetName()).acquire(ctx, x.slots, x.arrival())
	if leave != nil {
		return leave, nil
	}
	if reject, ok := act.(limiter.Reject); ok {
		return nil, Rejected{Status: http.StatusServiceUnavailable, RetryAfter: reject.RetryAfter, Reason: "all places at endpoints are taken by programs under way"}
	}
	return nil, Rejected{Status: http.StatusServiceUnavailable, RetryAfter: longRetryAfter, Reason: "no place at an endpoint within its time"}
}

// arrival is the request as its limiter sees it.
func (x *exchange) arrival() limiter.Arrived {
	r := x.request
	spent := time.Since(r.Arrived)
	return limiter.Arrived{
		InProgress: r.PreviousTurn != "" || x.previous.EndpointID != "" || r.LastEventID != "",
		Remaining:  r.TimeToFinish - spent, HasDeadline: r.HasTimeToFinish,
		MaxWait: time.Duration(x.route.GetObjectiveMs())*time.Millisecond - spent, ClientTimeout: x.firstEventTimeout() - spent,
		Priority: x.priority(), Customer: x.customer.GetName(), Weight: x.customer.GetRequestsPerSecond(),
	}
}

// clientPatience is how long the client waits for the first event, from its arrival on.
func (x *exchange) firstEventTimeout() time.Duration {
	whole := x.deadline.Sub(x.request.Arrived)
	if first := x.route.GetPauseMs(); first > 0 {
		return min(whole, time.Duration(first)*time.Millisecond)
	}
	return whole
}

// places is how many requests this instance may have at the service's endpoints.
func (x *exchange) slots() int {
	f := x.entry.fleet.Load()
	return f.Slots(time.Now(), placement.Class{Service: x.service.GetName()}, x.entry.Watch.EntryCount())
}
