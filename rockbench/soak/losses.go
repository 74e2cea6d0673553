// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbench/confighistory"
)

// lossSlack is how long after its last byte a request that was read may be left without an answer by a planned stop.
const lossSlack = 200 * time.Millisecond

// lostCalls are requests whose connections ended without a whole answer.
type lostCalls struct {
	mu   sync.Mutex
	list []*call
}

func (l *lostCalls) add(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, c)
}

// check breaks a promise for each request that an instance has taken and not answered, though no fault met it. It is called after
// the faults, when all endpoints' runs are recorded.
func (l *lostCalls) check(ledger *standin.Recorder, w *watchdog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.list {
		if c.begun.IsZero() {
			continue
		}
		ledger.Count(c.how + " calls without an answer")
		if !c.instance.claimed.hasFault(c.begun.Add(-contact), c.ended) {
			ledger.Count("calls without an answer that no fault met")
		}
		if why := c.loss(ledger.HasRun(c.id), w); why != "" {
			ledger.AddViolation("%s: request %s %s", c.instance.plan.Instance, c.id, why)
		}
	}
}

// loss tells how the promise of planned work was broken, "" if it was not.
func (c *call) loss(run bool, w *watchdog) string {
	if !run && (c.whole.IsZero() || c.ended.Sub(c.whole)-w.stalled(c.whole, c.ended) <= lossSlack) {
		// The process has not read it whole, or it crossed the end of its connection.
		return ""
	}
	if !run && !c.told.IsZero() && c.begun.After(c.told) {
		// Behind a head that says that the connection closes, no request is read.
		return ""
	}
	if c.instance.claimed.hasFault(c.begun.Add(-contact), c.ended) {
		return ""
	}
	if c.ender.isCutInTime() {
		return ""
	}
	at, stopping := c.instance.claimed.plannedSince(c.ended)
	when := "in no planned stop"
	if stopping {
		when = fmt.Sprintf("%v after the start of planned work there", c.ended.Sub(at))
	}
	sent := "not sent whole"
	if !c.whole.IsZero() {
		sent = fmt.Sprintf("sent whole %v before", c.ended.Sub(c.whole))
	}
	told := "no head before said that the connection closes"
	if !c.told.IsZero() {
		told = fmt.Sprintf("begun %v after a head said that the connection closes", c.begun.Sub(c.told))
	}
	return fmt.Sprintf("of %v, %s, run %v, ended at %s, %s, %s: %v", c.last, sent, run, c.ended.Format("15:04:05.000"), when, told, c.err)
}

// isCutInTime reports whether a stream in progress was cut that may be: in the last sixth of the grace period, at its time limit, or around
// no planned work, as it ends if the failure domain of its endpoint is out of reach.
func (c *call) isCutInTime() bool {
	if c.status != http.StatusOK || !c.route.streams() {
		return false
	}
	begun := c.begun
	if c.due.After(begun) {
		begun = c.due
	}
	if c.ended.Sub(begun) >= time.Duration(c.route.limit)*time.Millisecond {
		return true
	}
	at, stopping := c.instance.claimed.plannedSince(c.ended)
	if stopping {
		return c.ended.Sub(at) >= grace*time.Second*5/6
	}
	return !c.instance.hungUp(c.begun.Add(-confighistory.ApplyWithin), c.ended)
}
