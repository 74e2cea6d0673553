// SPDX-License-Identifier: MIT

package placement

import (
	"sync/atomic"
	"time"
)

const (
	// othersLife is how long the word of other instances counts. It comes each 0.3 s;
	// an instance that is cut off goes by its own calls alone.
	othersLife = 1500 * time.Millisecond
	// failingWeight turns the share of failed calls into a share of places taken: an
	// endpoint that fails half of its calls counts as full.
	failingWeight = 2
	// failingLeave is the share of failed calls at which a program leaves its last
	// endpoint, although another one has to read its prompt again.
	failingLeave = 0.2
)

// others is what other instances have told of one endpoint. The zero value tells
// nothing.
type others struct {
	// running counts their calls under way.
	running atomic.Int64
	// failing is the share of all calls that failed lately, in percent.
	failing atomic.Uint32
	// at is when they told it, in nanoseconds since 1970.
	at atomic.Int64
}

// setOthers takes the calls under way from other instances, and the share of all
// calls that failed lately in percent.
func (e *Endpoint) setOthers(now time.Time, running, failing uint32) {
	e.others.running.Store(int64(running))
	e.others.failing.Store(failing)
	e.others.at.Store(now.UnixNano())
}

// fresh reports whether others' word still counts.
func (o *others) fresh(now int64) bool { return now-o.at.Load() < int64(othersLife) }

// runningAt returns the calls of others under way.
func (o *others) runningAt(now int64) int64 {
	if !o.fresh(now) {
		return 0
	}
	return o.running.Load()
}

// failingAt returns the share of calls that failed lately, 0 to 1.
func (o *others) failingAt(now int64) float64 {
	if !o.fresh(now) {
		return 0
	}
	return float64(o.failing.Load()) / 100
}

// Use is one instance's calls at an endpoint since it knows of it.
type Usage struct {
	// Running are under way; Answered and Failed have ended.
	Running, Answered, Failed uint64
	// Lost counts calls and connections that ended by no answer.
	LostConnections uint64
}

// Use returns the own calls.
func (e *Endpoint) Usage() Usage {
	return Usage{
		Running:  uint64(max(0, e.underway.Load())),
		Answered: e.answered.Load(), Failed: e.failed.Load(), LostConnections: e.lost.Load(),
	}
}
