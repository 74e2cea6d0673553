// SPDX-License-Identifier: MIT

package limiter

import (
	"math"
	"slices"
	"time"
)

// Shared is the use of a service's slots by all instances. Each instance decides by it which new
// programs may start, so that instances with few slots each decide alike.
type Shared struct {
	// Slots is the number of slots at usable endpoints; zero if new programs are admitted by
	// the slots of this instance alone.
	Slots int
	// InFlight is the number of calls at these endpoints, those of this instance included.
	InFlight int
	// Instances is the number of instances.
	Instances int
	// Priorities are the distinct priorities of the service's routes in ascending order.
	Priorities []uint32
}

const (
	// rankSpacing is the level from which programs of the least urgent priority start.
	rankSpacing = 2
	// fullLevel is the level at which all new programs start, those of the least urgent priority included.
	fullLevel = 1 + rankSpacing
	// levelRise is by how much the level that programs are admitted by rises in a second. The programs that wait to
	// return would otherwise all start before the next load report shows the first of them.
	levelRise = 2
)

// sharedLevel admits new programs by the free slots of all instances. The zero value admits all.
type sharedLevel struct {
	Shared
	// counted is the number of this instance's running requests at the time of InFlight.
	counted int
	// risen is the level that was reached at risenAt, from 0 to fullLevel. It is valid if hasRisen is true.
	risen    float64
	risenAt  time.Time
	hasRisen bool
}

// limit returns the bound that levelRise sets to the level.
func (s sharedLevel) limit(now time.Time) float64 {
	if !s.hasRisen || s.risen == fullLevel {
		return math.Inf(1)
	}
	return s.risen + levelRise*now.Sub(s.risenAt).Seconds()
}

// margin is the width of the band of free slots within which the admitted share of programs rises
// from none to all. With n calls in flight, their number has a standard deviation of the square root of n.
func (s sharedLevel) margin() float64 { return math.Sqrt(float64(s.Slots)) }

// rank returns the level from which programs of a route priority start, from 0 for the most urgent one of the
// service, which always starts, to rankSpacing for the least.
func (s sharedLevel) rank(priority uint32) float64 {
	last := len(s.Priorities) - 1
	if last < 1 {
		return 0
	}
	at, _ := slices.BinarySearch(s.Priorities, priority)
	return rankSpacing * float64(min(at, last)) / float64(last)
}

// Level returns the free slots of all instances in relation to the margin. New programs of the least urgent priority
// start from rankSpacing on, and all of them from fullLevel on. The result is false if the level does not apply.
func (l *Limiter) Level() (float64, bool) {
	s := l.shared
	if s.Slots == 0 {
		return 0, false
	}
	free := s.Slots - s.InFlight - (len(l.running) - s.counted) - len(l.waiting)
	return float64(free) / s.margin(), true
}

// setShared replaces the use of the slots of all instances. While the level does not apply, for instance for lack of
// reports, it does not rise: the programs that wait to return would otherwise all start once it applies again.
func (l *Limiter) setShared(now time.Time, s Shared) {
	old := l.shared
	l.shared = sharedLevel{Shared: s, counted: len(l.running), risen: old.risen, risenAt: now, hasRisen: old.hasRisen}
	if level, ok := l.Level(); ok {
		l.shared.risen, l.shared.hasRisen = max(0, min(level, old.limit(now), fullLevel)), true
	}
}

// Admit reports whether the level lets a new program start, and otherwise the rejection.
func (l *Limiter) Admit(now time.Time, e Arrived) (Reject, bool) {
	level, ok := l.Level()
	if !ok || e.InProgress {
		return Reject{}, true
	}
	rank := l.shared.rank(e.RoutePriority)
	switch {
	case groupOf(e) == groupOverdue:
		rank = rankSpacing
	case rank == 0:
		// The most urgent programs would be refused for the slots that others took in a burst just before.
		return Reject{}, true
	}
	if fraction(e.Program) < min(level, l.shared.limit(now))-rank+l.returns.bonus(now, e.Program) {
		return Reject{}, true
	}
	return Reject{ID: e.ID, RetryAfter: l.returns.add(now, e.Program, l.shared.Instances, e.Remaining), ByLevel: true}, false
}

// fraction maps a hash to [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
