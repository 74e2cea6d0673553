// SPDX-License-Identifier: MIT

package limiter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/fair"
)

// Limiter assigns the slots of one service to requests. The zero value has no slots
// until it is [Resized].
type Limiter struct {
	slots  int
	shared sharedLevel
	// running maps requests with a slot to their start times.
	running map[ID]time.Time
	// waiting is the queue, ordered by compareRequests.
	waiting []*queuedRequest
	// arrivals numbers the requests, which keeps the order of equal ones.
	arrivals uint64
	// startRates are the rates at which requests of each group start.
	startRates [numGroups]slidingRate
	// meanServiceTime is a moving average of how long requests hold a slot.
	meanServiceTime time.Duration
	// lastRetryAt is the retry time given to the last rejected client.
	lastRetryAt time.Time
	// returns are the programs that the shared level refused.
	returns returnSchedule
	// clock and virtualTimes, by customer, implement fair queueing of new programs.
	clock        fair.VirtualClock
	virtualTimes map[string]float64
}

// priorityGroup is the primary key of the queue's order.
type priorityGroup int

const (
	// groupInProgress holds turns of programs that can still meet their deadline.
	groupInProgress priorityGroup = iota
	// groupNew holds first turns.
	groupNew
	// groupOverdue holds turns of programs past their deadline, which start when no other
	// request waits.
	groupOverdue
	numGroups
)

type queuedRequest struct {
	id       ID
	group    priorityGroup
	priority uint32
	// deadline is that of the program. Programs without one have the zero time, and go
	// first in their group in order of arrival.
	deadline time.Time
	// startBy is the latest start for a response within the client's timeout; zero if
	// there is no timeout.
	startBy time.Time
	// virtual is the start tag of the request in fair queueing.
	virtual float64
	arrival uint64
}

// compareRequests orders the queue: by group; then new programs by priority and start
// tag, programs in progress by deadline; then by arrival.
func compareRequests(a, b *queuedRequest) int {
	if c := cmp.Compare(a.group, b.group); c != 0 {
		return c
	}
	if c := cmp.Compare(a.priority, b.priority); c != 0 && a.group == groupNew {
		return c
	}
	if c := a.deadline.Compare(b.deadline); c != 0 && a.group == groupInProgress {
		return c
	}
	if c := cmp.Compare(a.virtual, b.virtual); c != 0 && a.group == groupNew {
		return c
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// Handle processes an event and returns the resulting actions.
func (l *Limiter) Handle(now time.Time, e Event) []Action {
	out := l.rejectExpired(now)
	switch e := e.(type) {
	case Arrived:
		return append(out, l.arrive(now, e)...)
	case Finished:
		l.finish(now, e.ID)
	case Cancelled:
		l.remove(e.ID)
	case Resized:
		l.slots = e.Slots
		l.setShared(now, e.Shared)
	}
	return append(out, l.startWaiting(now)...)
}

// smoothing is the weight of a new sample of the service time.
const smoothing = 0.05

func (l *Limiter) finish(now time.Time, id ID) {
	started, ok := l.running[id]
	if !ok {
		return
	}
	delete(l.running, id)
	serviceTime := now.Sub(started)
	if l.meanServiceTime == 0 {
		l.meanServiceTime = serviceTime
	}
	l.meanServiceTime += time.Duration(smoothing * float64(serviceTime-l.meanServiceTime))
}

// rejectExpired rejects queued requests that can no longer be answered within the
// client's timeout.
func (l *Limiter) rejectExpired(now time.Time) []Action {
	var out []Action
	l.waiting = slices.DeleteFunc(l.waiting, func(w *queuedRequest) bool {
		if w.startBy.IsZero() || now.Before(w.startBy) {
			return false
		}
		out = append(out, Reject{ID: w.id, RetryAfter: l.retryAfter(now, l.expectedWait(now, w.group, 0))})
		return true
	})
	return out
}

// Running returns the number of requests that have a slot.
func (l *Limiter) Running() int { return len(l.running) }

// Waiting returns the number of queued requests.
func (l *Limiter) Waiting() int { return len(l.waiting) }

func (l *Limiter) arrive(now time.Time, e Arrived) []Action {
	if !e.Admitted {
		if reject, ok := l.Admit(now, e); !ok {
			return []Action{reject}
		}
	}
	l.arrivals++
	w := &queuedRequest{id: e.ID, group: groupOf(e), priority: e.Priority, virtual: l.clock.StartTag(l.virtualTimes[e.Customer]), arrival: l.arrivals}
	if e.HasDeadline {
		w.deadline = now.Add(e.Remaining)
	}
	maxWait := time.Duration(math.MaxInt64)
	if e.ClientTimeout > 0 {
		maxWait = max(0, e.ClientTimeout-l.meanServiceTime)
		w.startBy = now.Add(maxWait)
	}
	if w.group != groupInProgress {
		maxWait = min(maxWait, e.MaxWait)
	}
	at, _ := slices.BinarySearchFunc(l.waiting, w, compareRequests)
	if at > 0 || !l.hasSlot(w.group) {
		if wait := l.expectedWait(now, w.group, l.countAhead(at, w.group)); wait > maxWait {
			return []Action{Reject{ID: e.ID, RetryAfter: l.retryAfter(now, wait)}}
		}
	}
	l.waiting = slices.Insert(l.waiting, at, w)
	if w.group == groupNew {
		l.charge(e.Customer, w.virtual, e.Weight)
	}
	return l.startWaiting(now)
}

// maxVirtualTimes is the number of stored virtual times at which charge removes those that the clock has passed.
const maxVirtualTimes = 256

// charge advances a customer's virtual time by one new program.
func (l *Limiter) charge(customer string, virtual, weight float64) {
	if len(l.virtualTimes) >= maxVirtualTimes {
		maps.DeleteFunc(l.virtualTimes, func(_ string, v float64) bool { return l.clock.Passed(v) })
	}
	if l.virtualTimes == nil {
		l.virtualTimes = map[string]float64{}
	}
	l.virtualTimes[customer] = fair.FinishTag(virtual, 1, weight)
}

// countAhead returns the number of queued requests of a group before a position.
func (l *Limiter) countAhead(at int, g priorityGroup) int {
	n := 0
	for _, w := range l.waiting[:at] {
		if w.group == g {
			n++
		}
	}
	return n
}

func groupOf(e Arrived) priorityGroup {
	switch {
	case e.HasDeadline && e.Remaining <= 0:
		return groupOverdue
	case e.InProgress:
		return groupInProgress
	}
	return groupNew
}

// startWaiting starts queued requests while there are free slots.
func (l *Limiter) startWaiting(now time.Time) []Action {
	var out []Action
	for len(l.waiting) > 0 && l.hasSlot(l.waiting[0].group) {
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		if l.running == nil {
			l.running = map[ID]time.Time{}
		}
		l.running[w.id] = now
		if w.group == groupNew {
			l.returns.recordStart(now)
			l.clock.Advance(w.virtual)
		}
		l.startRates[w.group].add(now)
		out = append(out, Start{ID: w.id})
	}
	return out
}

// hasSlot reports whether a request of a group may start now. Groups other than
// groupInProgress leave the square root of the slots free: turns of programs in
// progress arrive at random, and with n slots in use on average their number has a
// standard deviation of the square root of n. Where new programs are admitted by the
// shared level, its margin takes the place of that reserve.
func (l *Limiter) hasSlot(g priorityGroup) bool {
	slots := l.slots
	if g == groupOverdue || g == groupNew && l.shared.Slots == 0 {
		slots = max(min(1, slots), slots-int(math.Sqrt(float64(slots))))
	}
	return len(l.running) < slots
}

func (l *Limiter) remove(id ID) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w *queuedRequest) bool { return w.id == id })
}

// maxRetryAfter bounds the expected wait, and is used for it while the start rate is unknown.
const maxRetryAfter = 2 * time.Second

// expectedWait estimates the wait of a request behind others of its group. It uses the
// recent start rate of that group, because groups of higher priority always go first.
func (l *Limiter) expectedWait(now time.Time, g priorityGroup, ahead int) time.Duration {
	perSecond := l.startRates[g].perSecond(now)
	switch {
	case perSecond == 0 && g == groupInProgress:
		return 0 // nothing is known, and these requests go first
	case perSecond == 0:
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(float64(ahead+1)/perSecond*float64(time.Second)))
}

// retryAfter returns the retry time for a rejected client. Successive clients get
// increasing times, at the rate at which new programs start.
func (l *Limiter) retryAfter(now time.Time, wait time.Duration) time.Duration {
	step := l.expectedWait(now, groupNew, 0)
	next := now.Add(wait)
	if after := l.lastRetryAt.Add(step); after.After(next) {
		next = after
	}
	if next.After(now.Add(maxRetryAfter)) {
		next = now.Add(maxRetryAfter)
	}
	l.lastRetryAt = next
	return next.Sub(now)
}
