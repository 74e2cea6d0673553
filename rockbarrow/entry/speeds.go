// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/sirupsen/logrus"
)

// speedLogInterval is the interval between log lines on the speeds of a service's endpoints.
const speedLogInterval = 10 * time.Second

// speedReporter reports the choices by expected time to operators. The zero value is ready to use.
type speedReporter struct {
	loggedAt time.Time
	// counted and logged are the runs of each service that are in the metrics and in log lines.
	counted, logged map[string]runCounts
}

// runCounts are the runs in progress that moved and stayed since the process started.
type runCounts struct{ moved, stayed uint64 }

// reportSpeeds updates the metrics and, if it is due, logs a line for each service. Only
// runReachability calls it.
func (e *Entry) reportSpeeds(now time.Time) {
	f, r := e.fleet.Load(), &e.speeds
	if f == nil {
		return
	}
	if r.counted == nil {
		r.counted, r.logged = map[string]runCounts{}, map[string]runCounts{}
	}
	due := now.Sub(r.loggedAt) >= speedLogInterval
	if due {
		r.loggedAt = now
	}
	for _, s := range f.Speeds() {
		runs, counted, logged := runCounts{s.RunsMoved, s.RunsStayed}, r.counted[s.Service], r.logged[s.Service]
		if runs != counted {
			e.Metrics.Counter("runs_moved").Inc(int64(runs.moved - counted.moved))
			e.Metrics.Counter("runs_stayed").Inc(int64(runs.stayed - counted.stayed))
			r.counted[s.Service] = runs
		}
		if !due {
			continue
		}
		r.logged[s.Service] = runs
		e.Log.WithFields(logrus.Fields{
			"service": s.Service, "known": s.Known, "token_us_p20": s.LowMicros, "token_us_p80": s.HighMicros, "uneven": s.Uneven,
			"runs_moved": runs.moved - logged.moved, "runs_stayed": runs.stayed - logged.stayed,
		}).Info("speeds of endpoints")
	}
}
