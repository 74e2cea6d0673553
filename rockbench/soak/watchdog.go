// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/pause"
)

// watchdogInterval is how often the soak looks whether it runs.
const watchdogInterval = 20 * time.Millisecond

// watchdog records when the machine was too busy to run the soak, which can't tell then when others did what.
type watchdog struct {
	mu     sync.Mutex
	stalls []span
}

func (w *watchdog) run(ctx context.Context) {
	(&pause.Monitor{Interval: watchdogInterval, OnPause: w.note}).Run(ctx)
}

// note records the time between two looks.
func (w *watchdog) note(last, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalls = append(w.stalls, span{from: last, to: now})
}

// stalled returns how long the soak did not run between two times.
func (w *watchdog) stalled(from, to time.Time) (sum time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stalls {
		begin, end := s.from, s.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(0, end.Sub(begin))
	}
	return sum
}
