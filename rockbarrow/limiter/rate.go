// SPDX-License-Identifier: MIT

package limiter

import "time"

const (
	// rateWindow covers several events at a few per second, and is short compared with
	// bursts of some seconds.
	rateWindow = time.Second
	// maxRateEvents bounds the memory of a rate.
	maxRateEvents = 256
)

// slidingRate measures the rate of events over a sliding window. The zero value is ready
// to use.
type slidingRate struct {
	events []time.Time
	// window is rateWindow if zero.
	window time.Duration
}

// add records an event.
func (r *slidingRate) add(now time.Time) {
	r.trim(now)
	if len(r.events) == maxRateEvents {
		r.events = r.events[1:]
	}
	r.events = append(r.events, now)
}

// perSecond returns the rate of events within the window.
func (r *slidingRate) perSecond(now time.Time) float64 {
	r.trim(now)
	if len(r.events) == 0 {
		return 0
	}
	if len(r.events) == maxRateEvents {
		return maxRateEvents / max(1e-3, now.Sub(r.events[0]).Seconds())
	}
	return float64(len(r.events)) / r.length().Seconds()
}

func (r *slidingRate) length() time.Duration {
	if r.window == 0 {
		return rateWindow
	}
	return r.window
}

func (r *slidingRate) trim(now time.Time) {
	for len(r.events) > 0 && now.Sub(r.events[0]) > r.length() {
		r.events = r.events[1:]
	}
}
