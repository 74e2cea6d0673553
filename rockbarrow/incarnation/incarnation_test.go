// SPDX-License-Identifier: MIT

package incarnation

import (
	"testing"
	"time"
)

func TestUnknownStartTimeMatchesAny(t *testing.T) {
	for _, tt := range []struct {
		a, b  ID
		match bool
	}{
		{ID{"e", 5}, ID{"e", 5}, true},
		{ID{"e", 5}, ID{"e", 6}, false},
		{ID{"e", 5}, ID{"e", 0}, true},
		{ID{"e", 0}, ID{"e", 6}, true},
		{ID{"e", 5}, ID{"f", 5}, false},
	} {
		if got := tt.a.Matches(tt.b); got != tt.match {
			t.Errorf("%v.Matches(%v) = %v, want %v", tt.a, tt.b, got, tt.match)
		}
	}
}

// TestDelayedReportDoesNotRevertIncarnation includes a clock that was set back, so that the newer incarnation has
// the earlier start time.
func TestDelayedReportDoesNotRevertIncarnation(t *testing.T) {
	var tracker Tracker
	now := time.Unix(1, 0)
	for i, step := range []struct {
		reported, current uint64
		restarted         bool
	}{
		{0, 0, false},
		{900, 900, false},
		{900, 900, false},
		{0, 900, false},
		{500, 500, true},
		{900, 500, false},
		{1200, 1200, true},
		{500, 1200, false},
		{900, 1200, false},
	} {
		current, restarted := tracker.Observe(now, ID{"e", step.reported})
		if current != (ID{"e", step.current}) || restarted != step.restarted {
			t.Errorf("step %d: Observe returned %v, %v", i, current, restarted)
		}
	}
}

func TestUnobservedEndpointsExpire(t *testing.T) {
	var tracker Tracker
	begin := time.Unix(1, 0)
	tracker.Observe(begin, ID{"old", 5})
	tracker.Observe(begin.Add(expireAfter), ID{"new", 5})
	tracker.Expire(begin.Add(expireAfter + 1))
	if len(tracker.byEndpoint) != 1 || tracker.byEndpoint["new"] == nil {
		t.Errorf("%d endpoints are remembered", len(tracker.byEndpoint))
	}
}

// TestEndedIncarnationsAreBounded guards against memory growth by an endpoint that keeps restarting.
func TestEndedIncarnationsAreBounded(t *testing.T) {
	var tracker Tracker
	for start := uint64(1); start < 1000; start++ {
		tracker.Observe(time.Unix(1, 0), ID{"e", start})
	}
	if n := len(tracker.byEndpoint["e"].ended); n != maxEnded {
		t.Errorf("%d ended incarnations are remembered, want %d", n, maxEnded)
	}
}
