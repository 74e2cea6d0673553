// SPDX-License-Identifier: MIT

package limiter

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// sharedLimiter returns a limiter with some free slots out of 100 over all instances, that is a margin of 10.
func sharedLimiter(slots, free int) *Limiter {
	l := &Limiter{}
	l.Handle(start, Resized{Slots: slots, Shared: Shared{Slots: 100, InFlight: 100 - free, Priorities: []uint32{0, 2, 5}}})
	return l
}

// admitted returns the share of random programs of a route priority that start.
func admitted(l *Limiter, now time.Time, a Arrived) float64 {
	const programs = 2000
	r, n := rand.New(rand.NewPCG(1, 1)), 0
	for range programs {
		a.Program = r.Uint64()
		if _, ok := l.Admit(now, a); ok {
			n++
		}
	}
	return float64(n) / programs
}

// A client that is refused must not get another answer by asking another instance.
func TestInstancesGiveAProgramTheSameAnswer(t *testing.T) {
	r, refused := rand.New(rand.NewPCG(1, 1)), 0
	for i := range 1000 {
		free := r.IntN(30)
		a := Arrived{ID: 1, MaxWait: time.Second, Program: r.Uint64(), RoutePriority: uint32(r.IntN(6))}
		started, one := ids(sharedLimiter(1, free).Handle(start, a))
		_, other := ids(sharedLimiter(40, free).Handle(start, a))
		if (one == nil) != (other == nil) || (one == nil) != (len(started) == 1) {
			t.Fatalf("%d: program %x was refused with %+v and %+v", i, a.Program, one, other)
		}
		if one != nil {
			refused++
			if !one.ByLevel || one.RetryAfter <= 0 {
				t.Fatalf("%d: refused with %+v, want a retry time", i, one)
			}
		}
	}
	if refused < 200 || refused > 800 {
		t.Errorf("%d of 1000 programs were refused", refused)
	}
}

// Programs of urgent routes must start before those of others when there is little room.
func TestLevelPrefersUrgentPrograms(t *testing.T) {
	overdue := Arrived{HasDeadline: true, Remaining: -1}
	tests := []struct {
		free int
		a    Arrived
		want float64
	}{
		{-3, Arrived{}, 1}, {5, Arrived{}, 1},
		{10, Arrived{RoutePriority: 2}, 0}, {15, Arrived{RoutePriority: 2}, 0.5}, {20, Arrived{RoutePriority: 2}, 1},
		{20, Arrived{RoutePriority: 5}, 0}, {25, Arrived{RoutePriority: 5}, 0.5}, {30, Arrived{RoutePriority: 5}, 1},
		{25, Arrived{RoutePriority: 9}, 0.5}, {20, overdue, 0}, {25, overdue, 0.5},
		{-30, Arrived{InProgress: true}, 1}, {-30, Arrived{InProgress: true, HasDeadline: true, Remaining: -1}, 1},
	}
	for _, test := range tests {
		if got := admitted(sharedLimiter(100, test.free), start, test.a); math.Abs(got-test.want) > 0.05 {
			t.Errorf("%d free slots, %+v: %.2f were admitted, want %.2f", test.free, test.a, got, test.want)
		}
	}
}

// Programs that start or wait here must count before other instances report them, and those that end must not.
func TestLevelCountsOwnRequestsSinceTheReport(t *testing.T) {
	l := sharedLimiter(6, 5)
	for id := range ID(8) {
		l.Handle(start, laterTurn(id, time.Second))
	}
	if level, _ := l.Level(); level != -0.3 {
		t.Errorf("level %v with 5 free slots and 8 more requests, want -0.3", level)
	}
	l.Handle(start, Finished{ID: 0})
	if level, _ := l.Level(); level != -0.2 {
		t.Errorf("level %v after one of them has ended, want -0.2", level)
	}
	l.Handle(start, Resized{Slots: 6})
	if _, ok := l.Level(); ok || admitted(l, start, Arrived{}) != 1 {
		t.Error("the level applies without a report")
	}
}

// After an overload the level must be back within a second, and must not let all that wait start at once.
func TestLevelRecoversWithinASecond(t *testing.T) {
	l := sharedLimiter(100, -20)
	for _, test := range []struct {
		after time.Duration
		want  float64
	}{{0, 0}, {500 * time.Millisecond, 0}, {650 * time.Millisecond, 0.3}, {800 * time.Millisecond, 0.6}, {time.Second, 1}} {
		now := start.Add(test.after)
		l.Handle(now, Resized{Slots: 100, Shared: Shared{Slots: 100, InFlight: 10, Priorities: []uint32{0, 2, 5}}})
		if got := admitted(l, now, Arrived{RoutePriority: 2}); math.Abs(got-test.want) > 0.05 {
			t.Errorf("%v after the overload %.2f are admitted, want %.2f", test.after, got, test.want)
		}
	}
}

// A gap in the reports during an overload must not let all that wait start at once when it ends.
func TestLevelDoesNotRiseWithoutReports(t *testing.T) {
	l := sharedLimiter(100, -20)
	for i := range 100 {
		l.Handle(start.Add(time.Duration(i)*50*time.Millisecond), Resized{Slots: 6})
	}
	for _, test := range []struct {
		after time.Duration
		want  float64
	}{{5 * time.Second, 0}, {5500 * time.Millisecond, 0.1}, {5750 * time.Millisecond, 0.6}} {
		now := start.Add(test.after)
		l.Handle(now, Resized{Slots: 100, Shared: Shared{Slots: 100, InFlight: 10, Priorities: []uint32{0, 2, 5}}})
		if got := admitted(l, now, Arrived{RoutePriority: 2}); math.Abs(got-test.want) > 0.05 {
			t.Errorf("%v after the overload, of which 5 s without reports, %.2f are admitted, want %.2f", test.after, got, test.want)
		}
	}
}

// BenchmarkAdmit decides on a new program while 1,000 requests wait.
func BenchmarkAdmit(b *testing.B) {
	l := sharedLimiter(1, 1010)
	for id := range ID(1001) {
		l.Handle(start, laterTurn(id, time.Second))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Admit(start, Arrived{Program: uint64(i) << 40, RoutePriority: 2})
	}
}
