// SPDX-License-Identifier: MIT

// Package pause detects times in which the process did not run: it was stopped, or its machine was too busy. A request that ended
// late around a pause did not wait for anything of ours, which its own log entry can't tell.
package pause

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// interval is the time between two checks, and threshold how late a check is when that counts as a pause.
	interval  = 100 * time.Millisecond
	threshold = 100 * time.Millisecond
)

// Monitor logs and counts pauses. Set the exported fields before Run.
type Monitor struct {
	Log *logrus.Entry
	// Metrics gets the counter process_pauses and the timer process_pause.
	Metrics tally.Scope
}

// Run checks until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		m.check(last, now)
		last = now
	}
}

// check records a pause between two consecutive checks, if there was one.
func (m *Monitor) check(last, now time.Time) {
	late := now.Sub(last) - interval
	if late < threshold {
		return
	}
	m.Metrics.Counter("process_pauses").Inc(1)
	m.Metrics.Timer("process_pause").Record(late)
	m.Log.WithFields(logrus.Fields{"paused_ms": late.Milliseconds(), "since": last.Format(time.RFC3339Nano)}).Warn("the process was paused")
}
