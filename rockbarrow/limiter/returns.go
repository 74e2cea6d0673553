// SPDX-License-Identifier: MIT

package limiter

import "time"

const (
	// minReturn is the shortest time after which a program that the level refuses is told to return. Half an interval
	// of load reports passes before the level reflects calls that have ended elsewhere.
	minReturn = 150 * time.Millisecond
	// maxReturn is the longest one. Clients that wait longer leave slots idle after an overload.
	maxReturn = time.Second
	// returnsPerDeadline is how often a client can return in the time it has left.
	returnsPerDeadline = 3
	// returnWindow is how long after the time it was told a program still counts as returning.
	returnWindow = 2 * time.Second
	// returnTolerance allows for timers of clients and for the rounding of times in a header.
	returnTolerance = 10 * time.Millisecond
	// returnBonus is added to the admitted share for a program that returns, so that those refused first start first.
	returnBonus = 0.25
	// startWindow is the time over which program starts are counted. An instance with few slots may start less than
	// one program a second.
	startWindow = 5 * time.Second
	// maxReturns bounds each of the two generations of remembered programs. An entry takes some 50 bytes.
	maxReturns = 1024
)

// returnSchedule spreads the returns of the programs that the level refused. The zero value is ready to use.
type returnSchedule struct {
	// starts are those of new programs at this instance.
	starts slidingRate
	// last is the latest time that a program was scheduled for.
	last time.Time
	// recent has the time told to each program, by the hash of its id. Once full, it replaces older.
	recent, older map[uint64]time.Time
}

// recordStart records that a new program has started.
func (r *returnSchedule) recordStart(now time.Time) {
	r.starts.window = startWindow
	r.starts.add(now)
}

// add returns the time after which a refused program is to return: one after the other, at the rate at which all
// instances are estimated to start programs. If the program has a deadline, left is the time until then.
func (r *returnSchedule) add(now time.Time, program uint64, instances int, left time.Duration) time.Duration {
	step := maxReturn
	if perSecond := r.starts.perSecond(now) * float64(instances); perSecond > 1 {
		step = time.Duration(float64(time.Second) / perSecond)
	}
	wait := min(max(r.last.Add(step).Sub(now), minReturn), maxReturn)
	r.last = now.Add(wait)
	if left > 0 {
		wait = min(wait, left/returnsPerDeadline)
	}
	if r.recent == nil || len(r.recent) >= maxReturns {
		r.recent, r.older = map[uint64]time.Time{}, r.recent
	}
	r.recent[program] = now.Add(wait)
	return wait
}

// bonus returns what is added to the admitted share for a program.
func (r *returnSchedule) bonus(now time.Time, program uint64) float64 {
	told, ok := r.recent[program]
	if !ok {
		told, ok = r.older[program]
	}
	if late := now.Sub(told); !ok || late < -returnTolerance || late > returnWindow {
		return 0
	}
	return returnBonus
}
