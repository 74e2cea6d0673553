// SPDX-License-Identifier: MIT

package incarnation

import (
	"testing"
	"time"
)

func TestWhatIsNotKnownEndsNoLife(t *testing.T) {
	for _, tt := range []struct {
		a, b ID
		same bool
	}{
		{ID{"e", 5}, ID{"e", 5}, true},
		{ID{"e", 5}, ID{"e", 6}, false},
		{ID{"e", 5}, ID{"e", 0}, true},
		{ID{"e", 0}, ID{"e", 6}, true},
		{ID{"e", 5}, ID{"f", 5}, false},
	} {
		if got := tt.a.Matches(tt.b); got != tt.same {
			t.Errorf("%v and %v: same is %v", tt.a, tt.b, got)
		}
	}
}

// TestALateWordBringsNoLifeBack: not after a clock stepped back either, where the newer life has the lower time.
func TestALateWordBringsNoLifeBack(t *testing.T) {
	var l Tracker
	now := time.Unix(1, 0)
	for i, step := range []struct {
		word, present uint64
		began         bool
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
		present, began := l.Observe(now, ID{"e", step.word})
		if present != (ID{"e", step.present}) || began != step.began {
			t.Errorf("step %d: %v, began %v", i, present, began)
		}
	}
}

func TestIdsThatAreGoneAreForgotten(t *testing.T) {
	var l Tracker
	begun := time.Unix(1, 0)
	l.Observe(begun, ID{"old", 5})
	l.Observe(begun.Add(forgetAfter), ID{"new", 5})
	l.Expire(begun.Add(forgetAfter + 1))
	if len(l.byID) != 1 || l.byID["new"] == nil {
		t.Errorf("%d ids are known", len(l.byID))
	}
}

// TestTheEndedLivesAreBounded: an endpoint that starts again for ever.
func TestTheEndedLivesAreBounded(t *testing.T) {
	var l Tracker
	for born := uint64(1); born < 1000; born++ {
		l.Observe(time.Unix(1, 0), ID{"e", born})
	}
	if n := len(l.byID["e"].ended); n != mostEnded {
		t.Errorf("%d ended lives are kept", n)
	}
}
