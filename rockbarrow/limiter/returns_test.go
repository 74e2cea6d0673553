// SPDX-License-Identifier: MIT

package limiter

import (
	"testing"
	"time"
)

// refuse returns the retry time of a program that the level of l refuses.
func refuse(t *testing.T, l *Limiter, now time.Time, a Arrived) time.Duration {
	t.Helper()
	reject, ok := l.Admit(now, a)
	if ok {
		t.Fatalf("%+v was admitted", a)
	}
	return reject.RetryAfter
}

// Programs that were refused must start before those that come later, and a client that ignores its retry time must not.
func TestProgramsThatReturnInTimeGoFirst(t *testing.T) {
	const program = 6 << 60 // 0.375 of the range
	for _, test := range []struct {
		late time.Duration
		want bool
	}{{-50 * time.Millisecond, false}, {0, true}, {returnWindow, true}, {returnWindow + time.Millisecond, false}} {
		l := sharedLimiter(100, 12) // a level of 1.2, where this priority starts at 1
		now := start.Add(refuse(t, l, start, Arrived{Program: program, RoutePriority: 2}) + test.late)
		if _, got := l.Admit(now, Arrived{Program: program + 1, RoutePriority: 2}); got {
			t.Error("a program that was not here before was admitted")
		}
		if _, got := l.Admit(now, Arrived{Program: program, RoutePriority: 2}); got != test.want {
			t.Errorf("%v after the time it was told: admitted %v, want %v", test.late, got, test.want)
		}
	}
}

// Clients that return all at once, too late for their deadline or after idle seconds lose what the refusal saves.
func TestReturnsAreSpreadAtTheRateOfStarts(t *testing.T) {
	l := &Limiter{}
	shared := Shared{Slots: 100, Instances: 20, Priorities: []uint32{0, 1}}
	l.Handle(start, Resized{Slots: 100, Shared: shared})
	for id := range ID(5) {
		l.Handle(start, newProgram(id, time.Second))
	}
	// Five starts in five seconds at each of 20 instances.
	const step = 50 * time.Millisecond
	shared.InFlight = 200
	l.Handle(start, Resized{Slots: 100, Shared: shared})
	for i := range 40 {
		want := min(minReturn+time.Duration(i)*step, maxReturn)
		if got := refuse(t, l, start, Arrived{Program: uint64(i), RoutePriority: 1}); got != want {
			t.Errorf("program %d is to return after %v, want %v", i, got, want)
		}
	}
	if got := refuse(t, l, start, Arrived{Program: 50, RoutePriority: 1, HasDeadline: true, Remaining: 900 * time.Millisecond}); got != 300*time.Millisecond {
		t.Errorf("%v with 0.9 s left, want a third", got)
	}
	if got := refuse(t, l, start, Arrived{Program: 51, RoutePriority: 1, HasDeadline: true, Remaining: -time.Second}); got != maxReturn {
		t.Errorf("%v after the deadline, want %v", got, maxReturn)
	}
	if got := refuse(t, l, start.Add(time.Minute), Arrived{Program: 52, RoutePriority: 1}); got != minReturn {
		t.Errorf("%v for the first program in a minute, want %v", got, minReturn)
	}
	for i := range uint64(10 * maxReturns) {
		l.Admit(start, Arrived{Program: i, RoutePriority: 1})
	}
	if n := len(l.returns.recent) + len(l.returns.older); n > 2*maxReturns {
		t.Errorf("%d programs are remembered, want at most %d", n, 2*maxReturns)
	}
}
