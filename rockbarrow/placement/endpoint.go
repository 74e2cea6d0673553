// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"sync/atomic"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/configpb"
)

const (
	// defaultMaxCalls applies to endpoints without a configured call limit.
	defaultMaxCalls = 64
	// defaultPrefillMicros per prompt token and defaultStepMicros per decoding
	// step are assumed until the first measurement.
	defaultPrefillMicros = 150
	defaultStepMicros    = 15_000
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.2
	// reportTTL is the age at which a load report is ignored.
	reportTTL = 5 * time.Second
	// failuresToEject is the number of consecutive failures after which an
	// endpoint is ejected.
	failuresToEject = 3
	// firstEjection is the duration of the first ejection. It doubles with each
	// further one, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// slowStartPeriod is the time over which the limit of an endpoint ramps up
	// after an ejection or a restart.
	slowStartPeriod = 5 * time.Second
	// minLimit is the lower bound of the adaptive limit.
	minLimit = 2
	// slowStepFactor is how many times the shortest step a decoding step may
	// take before the limit is reduced.
	slowStepFactor = 4.0
)

// Endpoint is a back end and its load as seen by this instance.
type Endpoint struct {
	name   string
	domain string
	config *configpb.Endpoint
	// born is the start time of the endpoint process that this state describes,
	// in Unix milliseconds; 0 if unknown.
	born atomic.Uint64

	// inFlight counts the calls of this instance and never exceeds the limit.
	inFlight atomic.Int64
	// pendingPrompt is the number of uncached prompt tokens of this instance's
	// calls that have no first token yet.
	pendingPrompt atomic.Int64
	// limit is the adaptive limit on inFlight, in thousandths of a call.
	limit atomic.Int64
	// prefillMicros per token, stepMicros per decoding step and bestStep, the
	// shortest step seen, are float64 bits.
	prefillMicros, stepMicros, bestStep atomic.Uint64
	report                              atomic.Pointer[LoadReport]
	draining                            atomic.Bool
	failures                            atomic.Int64
	ejections                           atomic.Int64
	// ejectedUntil and rampStart, where the slow start begins, are Unix nanoseconds.
	ejectedUntil, rampStart atomic.Int64
	// lastResponse is when the endpoint last sent a response, or when it became
	// busy after being idle, in Unix nanoseconds.
	lastResponse atomic.Int64
	// lastAnswer is when the endpoint last sent a response, in nanoseconds since 1970, zero if it has not.
	lastAnswer atomic.Int64
	// answered and failed count finished calls of this instance.
	answered, failed atomic.Uint64
	// lostConnections counts calls and idle connections that were closed without
	// a response.
	lostConnections atomic.Uint64
	// used is set by the first call.
	used atomic.Bool
	// remote is the state reported by other instances.
	remote remoteState
	// decodedTokens and decodeMicros add up the samples of this instance's completed streams.
	decodedTokens, decodeMicros atomic.Uint64
	// tokens is the decoding time that control instances report.
	tokens tokenTime
}

// unresponsiveAfter is how long an endpoint with calls in flight may send no
// response before other endpoints are preferred. Model engines respond within
// 100 ms. The longest plain calls take 1.5 s, so a healthy endpoint with only such
// calls in flight may be passed over for a moment.
const unresponsiveAfter = 1200 * time.Millisecond

// RecordResponse records that a response has started.
func (e *Endpoint) RecordResponse(now time.Time) {
	e.lastResponse.Store(now.UnixNano())
	e.lastAnswer.Store(now.UnixNano())
}

// LastAnswer returns when the last response started.
func (e *Endpoint) LastAnswer() time.Time { return time.Unix(0, e.lastAnswer.Load()) }

// RecordConnectionLoss records that a call or an idle connection was closed
// without a response, which may mean that the endpoint has restarted.
func (e *Endpoint) RecordConnectionLoss() { e.lostConnections.Add(1) }

// isUnresponsive reports whether the endpoint has calls in flight and has sent
// no response for unresponsiveAfter. This detects endpoints that hang or are
// partitioned while their health checks pass.
func (e *Endpoint) isUnresponsive(now int64) bool {
	return e.inFlight.Load() > 0 && now-e.lastResponse.Load() > int64(unresponsiveAfter)
}

// LoadReport is the load that an endpoint reports of itself.
type LoadReport struct {
	running          int
	waitingTokens    int
	freeCacheTokens  int
	inFlightAtReport int64
	receivedAt       time.Time
}

// NewLoadReport returns a report received at a time: the calls running and the
// prompt tokens queued at the endpoint, from all instances, and the free tokens
// of its cache.
func NewLoadReport(running, waitingTokens, freeCacheTokens int, at time.Time) *LoadReport {
	return &LoadReport{running: running, waitingTokens: waitingTokens, freeCacheTokens: freeCacheTokens, receivedAt: at}
}

func newEndpoint(l ListedEndpoint) *Endpoint {
	c := l.Config
	e := &Endpoint{name: c.GetName(), domain: c.GetDomain(), config: c}
	e.born.Store(l.BornMS)
	e.limit.Store(int64(e.maxCalls()) * 1000)
	return e
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.name }

// Life identifies the endpoint process that this state describes.
func (e *Endpoint) Life() incarnation.ID {
	return incarnation.ID{EndpointID: e.name, StartMS: e.born.Load()}
}

// Domain returns the endpoint's failure domain.
func (e *Endpoint) Domain() string { return e.domain }

// Config returns the endpoint's configuration. It must not be changed.
func (e *Endpoint) Config() *configpb.Endpoint { return e.config }

// InFlight returns the number of calls of this instance at the endpoint.
func (e *Endpoint) InFlight() int64 { return e.inFlight.Load() }

// Limit returns the adaptive limit on the calls of this instance.
func (e *Endpoint) Limit() int64 { return max(1, e.limit.Load()/1000) }

// SetDraining sets whether the endpoint has reported that it is shutting down.
func (e *Endpoint) SetDraining(draining bool) { e.draining.Store(draining) }

// Draining reports whether the endpoint accepts no new calls, by its own report
// or by configuration.
func (e *Endpoint) Draining() bool { return e.draining.Load() || e.config.GetDraining() }

// SetLoadReport stores a load report.
func (e *Endpoint) SetLoadReport(r *LoadReport) {
	r.inFlightAtReport = e.inFlight.Load()
	e.report.Store(r)
}

func (e *Endpoint) maxCalls() uint32 {
	if n := e.config.GetMaxCalls(); n > 0 {
		return n
	}
	return defaultMaxCalls
}

// isAvailable reports whether the endpoint can take another call now.
func (e *Endpoint) isAvailable(now int64) bool {
	if e.Draining() || now < e.ejectedUntil.Load() {
		return false
	}
	return e.inFlight.Load() < e.currentLimit(now)
}

// currentLimit returns the limit, reduced during a slow start.
func (e *Endpoint) currentLimit(now int64) int64 {
	limit := e.Limit()
	if start := e.rampStart.Load(); start != 0 && now < start+int64(slowStartPeriod) {
		return max(1, limit*(now-start)/int64(slowStartPeriod))
	}
	return limit
}

// tryAcquire takes a slot, or reports false if none is free.
func (e *Endpoint) tryAcquire(now int64, prompt int64) bool {
	for {
		n := e.inFlight.Load()
		if n >= e.currentLimit(now) {
			return false
		}
		if e.inFlight.CompareAndSwap(n, n+1) {
			if n == 0 {
				e.lastResponse.Store(now)
			}
			e.pendingPrompt.Add(prompt)
			return true
		}
	}
}

// Result is the outcome of a call at an endpoint.
type Result struct {
	// OK is false if the endpoint failed; it is true for a refused request.
	OK bool
	// Refused is true if the endpoint did not run the call, or if the client left
	// early. Such a call counts neither as answered nor as failed.
	Refused bool
	// Unreachable is true if no connection was made or nothing was received. The
	// endpoint is then ejected after a single failure.
	Unreachable bool
	// UncachedTokens is the uncached part of the prompt, as estimated by the choice.
	UncachedTokens int64
	// ComputedTokens is the number of prompt tokens that were not cached.
	ComputedTokens int64
	// TimeToFirstToken and Duration, up to the last token, are zero if there was none.
	TimeToFirstToken, Duration time.Duration
	OutputTokens               int64
	// Stream is the timing of a completed event stream.
	Stream StreamTiming
}

// FirstToken records that a call has its first token: its uncached prompt tokens
// no longer count as pending.
func (e *Endpoint) FirstToken(uncachedTokens int64) { e.pendingPrompt.Add(-uncachedTokens) }

// Done releases the slot of a call and updates the endpoint's statistics.
func (e *Endpoint) Done(now time.Time, r Result) {
	e.inFlight.Add(-1)
	if !r.OK {
		e.failed.Add(1)
		e.recordFailure(now, r.Unreachable)
		return
	}
	if !r.Refused {
		e.answered.Add(1)
	}
	if s := r.Stream; s.DecodedTokens > 0 && s.DecodeTime > 0 {
		e.decodedTokens.Add(uint64(s.DecodedTokens))
		e.decodeMicros.Add(uint64(s.DecodeTime.Microseconds()))
	}
	e.failures.Store(0)
	e.ejections.Store(0)
	if r.TimeToFirstToken > 0 && r.ComputedTokens > 16 {
		updateEWMA(&e.prefillMicros, float64(r.TimeToFirstToken.Microseconds())/float64(r.ComputedTokens))
	}
	if r.OutputTokens > 1 && r.Duration > r.TimeToFirstToken {
		updateEWMA(&e.stepMicros, float64((r.Duration-r.TimeToFirstToken).Microseconds())/float64(r.OutputTokens-1))
	}
	e.adjustLimit(r)
}

// adjustLimit adapts the limit by additive increase and multiplicative decrease:
// it decreases when a decoding step takes slowStepFactor times the shortest one.
func (e *Endpoint) adjustLimit(r Result) {
	if r.OutputTokens <= 1 {
		return
	}
	step := float64((r.Duration - r.TimeToFirstToken).Microseconds()) / float64(r.OutputTokens-1)
	best := math.Float64frombits(e.bestStep.Load())
	if best == 0 || step < best {
		e.bestStep.Store(math.Float64bits(step))
		best = step
	}
	limit := e.limit.Load()
	ceiling := int64(e.maxCalls()) * 1000
	if step > best*slowStepFactor {
		e.limit.Store(max(minLimit*1000, limit*95/100))
		return
	}
	e.limit.Store(min(ceiling, limit+250))
}

// recordFailure counts a failed call and ejects the endpoint after
// failuresToEject in a row, or at once if it is unreachable.
func (e *Endpoint) recordFailure(now time.Time, unreachable bool) {
	if e.failures.Add(1) < failuresToEject && !unreachable {
		return
	}
	if now.UnixNano() < e.ejectedUntil.Load() {
		// The call was already in flight when the endpoint was ejected.
		return
	}
	e.failures.Store(0)
	n := min(e.ejections.Add(1), 6)
	until := now.Add(min(firstEjection<<(n-1), maxEjection)).UnixNano()
	e.ejectedUntil.Store(until)
	e.rampStart.Store(until)
}

// updateEWMA adds a sample to a moving average that is stored as float64 bits.
func updateEWMA(average *atomic.Uint64, v float64) {
	old := math.Float64frombits(average.Load())
	if old != 0 {
		v = old + smoothing*(v-old)
	}
	average.Store(math.Float64bits(v))
}

// loadOr returns a float64 stored as bits, or the fallback if it is zero.
func loadOr(bits *atomic.Uint64, fallback float64) float64 {
	if v := math.Float64frombits(bits.Load()); v != 0 {
		return v
	}
	return fallback
}
