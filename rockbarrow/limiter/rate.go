// SPDX-License-Identifier: MIT

package limiter

import "time"

const (
	// rateWindow is how far back a rate looks: long enough for some events at the rates
	// of a small instance, a few a second, and short against a burst of some seconds.
	rateWindow = time.Second
	// rateMost bounds the events that are remembered.
	rateMost = 256
)

// rate counts events of the last while. The zero value is ready.
type rate struct{ at []time.Time }

// add counts an event.
func (r *rate) add(now time.Time) {
	r.trim(now)
	if len(r.at) == rateMost {
		r.at = r.at[1:]
	}
	r.at = append(r.at, now)
}

// perSecond returns how often events came lately.
func (r *rate) perSecond(now time.Time) float64 {
	r.trim(now)
	if len(r.at) == 0 {
		return 0
	}
	if len(r.at) == rateMost {
		return rateMost / max(1e-3, now.Sub(r.at[0]).Seconds())
	}
	return float64(len(r.at)) / rateWindow.Seconds()
}

func (r *rate) trim(now time.Time) {
	for len(r.at) > 0 && now.Sub(r.at[0]) > rateWindow {
		r.at = r.at[1:]
	}
}
