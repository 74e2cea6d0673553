// SPDX-License-Identifier: MIT

package controller

import (
	"slices"
	"sync"
	"time"
)

const (
	// entrySilence is the silence after which an entry instance may have ended or be cut off: two of its calls.
	entrySilence = 700 * time.Millisecond
	// lossBefore is how long before the first known end of a request an entry instance that was lost may have sent it, and
	// lossAfter how long after it that is noticed, or the end known to all.
	lossBefore, lossAfter = 5 * time.Second, 1500 * time.Millisecond
	// lossInterval is the least time between two losses that are remembered, and maxLosses bounds them.
	lossInterval = 200 * time.Millisecond
	maxLosses    = 1024
)

// entryLosses are the times at which an entry instance was silent or had just started. The zero value is ready to use.
type entryLosses struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *entryLosses) add(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.times); n > 0 && now.Sub(l.times[n-1]) < lossInterval {
		return
	}
	l.times = append(l.times, now)
	l.times = l.times[max(0, len(l.times)-maxLosses):]
}

func (l *entryLosses) within(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.times, func(t time.Time) bool { return !t.Before(from) && !t.After(to) })
}

// entriesAround reports whether this instance heard the entry instances around the first end of a request, and whether one was lost
// then. That one may have sent the request while no end was known, and can't tell what came of it. Later executions are
// granted, and so known.
func (c *Controller) entriesAround(firstEnd time.Time) (observed, lost bool) {
	from := firstEnd.Add(-lossBefore)
	return !c.observingSince.Load().After(from), c.entryLosses.within(from, firstEnd.Add(lossAfter))
}
