// SPDX-License-Identifier: MIT

// Package pause detects times in which the process did not run: it was stopped, or its machine was too busy. A request that ended
// late around a pause did not wait for anything of ours, which its own log entry can't tell.
package pause

import (
	"cmp"
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// DefaultInterval is the time between two checks, and threshold how late a check is when that counts as a pause.
	DefaultInterval = 100 * time.Millisecond
	threshold       = 100 * time.Millisecond
)

// Monitor detects pauses. Set the exported fields before Run.
type Monitor struct {
	// Interval is the time between two checks, zero for DefaultInterval.
	Interval time.Duration
	// OnPause is called after each pause with the times of the checks around it.
	OnPause func(last, now time.Time)
}

// Run checks until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	t := time.NewTicker(m.interval())
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

func (m *Monitor) interval() time.Duration { return cmp.Or(m.Interval, DefaultInterval) }

// check reports a pause between two consecutive checks, if there was one.
func (m *Monitor) check(last, now time.Time) {
	if now.Sub(last) >= m.interval()+threshold {
		m.OnPause(last, now)
	}
}

// Report logs and counts the pauses of a process.
type Report struct {
	Log *logrus.Entry
	// Metrics gets the counter process_pauses and the timer process_pause.
	Metrics tally.Scope
}

// OnPause reports a pause that a [Monitor] with the default interval detected.
func (r *Report) OnPause(last, now time.Time) {
	late := now.Sub(last) - DefaultInterval
	r.Metrics.Counter("process_pauses").Inc(1)
	r.Metrics.Timer("process_pause").Record(late)
	r.Log.WithFields(logrus.Fields{"paused_ms": late.Milliseconds(), "since": last.Format(time.RFC3339Nano)}).Warn("the process was paused")
}
