// SPDX-License-Identifier: MIT

package placement

import (
	"sync/atomic"
	"time"
)

const (
	// remoteStateTTL is how long the state reported by other instances is used.
	// It is updated each 0.3 s; a partitioned instance uses only its own counts.
	remoteStateTTL = 1500 * time.Millisecond
	// failureRateWeight converts a failure rate to load: an endpoint that fails
	// half of its calls counts as full.
	failureRateWeight = 2
	// maxFailureRateToStay is the failure rate at which a program moves to another
	// endpoint, although that has to compute its prompt again.
	maxFailureRateToStay = 0.2
)

// remoteState is the state of an endpoint as reported by other instances. The
// zero value is an expired report.
type remoteState struct {
	// inFlight counts the calls of other instances.
	inFlight atomic.Int64
	// failingPercent is the recent failure rate over all instances.
	failingPercent atomic.Uint32
	// updatedAt is in Unix nanoseconds.
	updatedAt atomic.Int64
}

// setRemoteLoad stores the calls in flight from other instances and the recent
// failure rate over all instances, in percent.
func (e *Endpoint) setRemoteLoad(now time.Time, running, failing uint32) {
	e.remote.inFlight.Store(int64(running))
	e.remote.failingPercent.Store(failing)
	e.remote.updatedAt.Store(now.UnixNano())
}

func (s *remoteState) isFresh(now int64) bool { return now-s.updatedAt.Load() < int64(remoteStateTTL) }

// inFlightAt returns the calls of other instances, 0 if the report has expired.
func (s *remoteState) inFlightAt(now int64) int64 {
	if !s.isFresh(now) {
		return 0
	}
	return s.inFlight.Load()
}

// failureRateAt returns the failure rate from 0 to 1, 0 if the report has expired.
func (s *remoteState) failureRateAt(now int64) float64 {
	if !s.isFresh(now) {
		return 0
	}
	return float64(s.failingPercent.Load()) / 100
}

// Usage counts the calls of one instance at an endpoint.
type Usage struct {
	// Running calls are in flight; Answered and Failed calls have ended.
	Running, Answered, Failed uint64
	// LostConnections counts calls and idle connections closed without a response.
	LostConnections uint64
	// DecodedTokens were received after the first events of completed streams, within
	// DecodeMicros.
	DecodedTokens, DecodeMicros uint64
}

// Usage returns the counts of this instance.
func (e *Endpoint) Usage() Usage {
	return Usage{
		Running:  uint64(max(0, e.inFlight.Load())),
		Answered: e.answered.Load(), Failed: e.failed.Load(), LostConnections: e.lostConnections.Load(),
		DecodedTokens: e.decodedTokens.Load(), DecodeMicros: e.decodeMicros.Load(),
	}
}
