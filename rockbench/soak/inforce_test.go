// SPDX-License-Identifier: MIT

package soak

import (
	"testing"
	"time"
)

// TestLateAnswersAreCounted guards against a soak that passes over requests without an answer half a second after their time limit.
func TestLateAnswersAreCounted(t *testing.T) {
	for _, test := range []struct {
		intime, late int
		want         bool
	}{{0, 8, true}, {0, 7, false}, {23, 8, true}, {24, 8, false}, {100, 0, false}} {
		var l limited
		for range test.intime {
			l.add(lateSlack)
		}
		for range test.late {
			l.add(lateSlack + time.Millisecond)
		}
		l.add(-time.Millisecond)
		if l.broken() != test.want {
			t.Errorf("%d late, %d not: broken %v", test.late, test.intime, l.broken())
		}
	}
}

// TestUnservedRoutesAreCounted guards against a soak that passes over routes which were added and are not served.
func TestUnservedRoutesAreCounted(t *testing.T) {
	for _, test := range []struct {
		first, added answers
		want         bool
	}{
		{answers{all: 100, served: 100}, answers{all: 20}, true},
		{answers{all: 100, served: 100}, answers{all: 19}, false},
		{answers{all: 100, served: 100}, answers{all: 20, served: 4}, true},
		{answers{all: 100, served: 100}, answers{all: 20, served: 5}, false},
		{answers{all: 100, served: 10}, answers{all: 40, served: 1}, false},
	} {
		if got := isUnderserved(test.first, test.added); got != test.want {
			t.Errorf("%+v, %+v: %v", test.first, test.added, got)
		}
	}
}
