// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"sync/atomic"
	"time"

	"rockbarrow.dev/rockbarrow/life"
	"rockbarrow.dev/schema/configpb"
)

const (
	// defaultMaxCalls is the default of an endpoint's limit of calls.
	defaultMaxCalls = 64
	// defaultPrefill and defaultStep are the speeds assumed before any call:
	// microseconds for a prompt token and for a step of the batch.
	defaultPrefill = 150
	defaultStep    = 15_000
	// smoothing is the weight of a new measurement.
	smoothing = 0.2
	// reportLife is when a load report counts for nothing any more.
	reportLife = 5 * time.Second
	// failuresToEject in a row take an endpoint out for a while.
	failuresToEject = 3
	// firstEjection doubles with each further ejection up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// slowStart is how long a returned endpoint takes to get its full share.
	slowStart = 5 * time.Second
	// minLimit is the least that the adaptive limit falls to.
	minLimit = 2
	// slowFactor is how many times its best a first token may take before the
	// limit shrinks.
	slowFactor = 4.0
)

// Endpoint is one back end with what this instance knows of its load.
type Endpoint struct {
	name   string
	domain string
	config *configpb.Endpoint
	// born is the start of the only life that this speaks of, in milliseconds since 1970, 0 until it is known.
	born atomic.Uint64

	// underway counts own calls there and never exceeds the limit.
	underway atomic.Int64
	// prompt is the uncached prompt tokens of own calls that wait for their
	// first token.
	prompt atomic.Int64
	// limit is the adaptive limit of own calls, in thousandths.
	limit atomic.Int64
	// prefill and step are measured speeds in microseconds, as float bits.
	prefill, step, best atomic.Uint64
	report              atomic.Pointer[LoadReport]
	leaving             atomic.Bool
	failures            atomic.Int64
	ejections           atomic.Int64
	// ejectedUntil and returned are nanoseconds since 1970.
	ejectedUntil, returned atomic.Int64
	// sign is when the endpoint last answered anything, or got its first call after
	// it had none, in nanoseconds since 1970.
	sign atomic.Int64
	// answered and failed count own calls that have ended.
	answered, failed atomic.Uint64
	// lost counts calls and connections that ended by no answer.
	lost atomic.Uint64
	// used is true once it has had a call.
	used atomic.Bool
	// others is what other instances know.
	others others
}

// silentAfter is how long an endpoint with calls may answer none of them before
// others are better: model engines answer in some 100 ms, the longest plain calls
// take 1.5 s.
const silentAfter = 1200 * time.Millisecond

// Answered notes that the endpoint has begun to answer a call.
func (e *Endpoint) RecordResponse(now time.Time) { e.sign.Store(now.UnixNano()) }

// Lost notes that a call, or a connection at rest, ended by no answer: the endpoint may have started again.
func (e *Endpoint) RecordConnectionLoss() { e.lost.Add(1) }

// silent reports whether the endpoint has calls and has answered none for long: it
// hangs or is cut off, whatever its health says.
func (e *Endpoint) silent(now int64) bool {
	return e.underway.Load() > 0 && now-e.sign.Load() > int64(silentAfter)
}

// Report is an endpoint's own word on its load, which arrives with a lag.
type LoadReport struct {
	running       int
	waitingTokens int
	cacheFree     int
	own           int64
	at            time.Time
}

// NewReport returns a report: calls running and prompt tokens waiting there
// from all instances, and tokens of cache that are free.
func NewLoadReport(running, waitingTokens, cacheFree int, at time.Time) *LoadReport {
	return &LoadReport{running: running, waitingTokens: waitingTokens, cacheFree: cacheFree, at: at}
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

// Life returns the life of the endpoint that all else here belongs to.
func (e *Endpoint) Life() life.Life { return life.Life{ID: e.name, BornMS: e.born.Load()} }

// Domain returns the endpoint's failure domain.
func (e *Endpoint) Domain() string { return e.domain }

// Config returns the endpoint as operators wrote it.
func (e *Endpoint) Config() *configpb.Endpoint { return e.config }

// Underway returns the number of own calls there.
func (e *Endpoint) InFlight() int64 { return e.underway.Load() }

// Limit returns how many own calls may be there now.
func (e *Endpoint) Limit() int64 { return max(1, e.limit.Load()/1000) }

// Leave marks the endpoint as leaving, or back in a new life.
func (e *Endpoint) SetDraining(leaving bool) { e.leaving.Store(leaving) }

// Leaving reports whether the endpoint takes nothing new.
func (e *Endpoint) Draining() bool { return e.leaving.Load() || e.config.GetDraining() }

// Heard stores a load report.
func (e *Endpoint) SetLoadReport(r *LoadReport) {
	r.own = e.underway.Load()
	e.report.Store(r)
}

func (e *Endpoint) maxCalls() uint32 {
	if n := e.config.GetMaxCalls(); n > 0 {
		return n
	}
	return defaultMaxCalls
}

// open reports whether the endpoint may get a call now.
func (e *Endpoint) open(now int64) bool {
	if e.Draining() || now < e.ejectedUntil.Load() {
		return false
	}
	return e.underway.Load() < e.share(now)
}

// share is the limit, less in the first seconds after an ejection.
func (e *Endpoint) share(now int64) int64 {
	limit := e.Limit()
	if back := e.returned.Load(); back != 0 && now < back+int64(slowStart) {
		return max(1, limit*(now-back)/int64(slowStart))
	}
	return limit
}

// enter takes a seat, or reports that the last one has gone.
func (e *Endpoint) enter(now int64, prompt int64) bool {
	for {
		n := e.underway.Load()
		if n >= e.share(now) {
			return false
		}
		if e.underway.CompareAndSwap(n, n+1) {
			if n == 0 {
				e.sign.Store(now)
			}
			e.prompt.Add(prompt)
			return true
		}
	}
}

// Result is what a call tells of its endpoint.
type Result struct {
	// OK is false when the endpoint failed, not when it refused the request.
	OK bool
	// Refused is true if the endpoint did not run the call, which says nothing of how
	// well it runs others.
	Refused bool
	// Unreached is true if the network said nothing at all, so that the next calls
	// would fail in the same way.
	Unreachable bool
	// Prompt is the uncached prompt that the choice counted on.
	UncachedTokens int64
	// Computed is how many prompt tokens were computed.
	ComputedTokens int64
	// First is the time to the first token, All to the last; zero if none came.
	TimeToFirstToken, Duration time.Duration
	// Answer is the number of answer tokens.
	OutputTokens int64
}

// FirstToken takes a call's prompt off the endpoint's account.
func (e *Endpoint) FirstToken(prompt int64) { e.prompt.Add(-prompt) }

// Done gives the seat back and learns from the call.
func (e *Endpoint) Done(now time.Time, r Result) {
	e.underway.Add(-1)
	if !r.OK {
		e.failed.Add(1)
		e.eject(now, r.Unreachable)
		return
	}
	if !r.Refused {
		e.answered.Add(1)
	}
	e.failures.Store(0)
	e.ejections.Store(0)
	if r.TimeToFirstToken > 0 && r.ComputedTokens > 16 {
		smooth(&e.prefill, float64(r.TimeToFirstToken.Microseconds())/float64(r.ComputedTokens))
	}
	if r.OutputTokens > 1 && r.Duration > r.TimeToFirstToken {
		smooth(&e.step, float64((r.Duration-r.TimeToFirstToken).Microseconds())/float64(r.OutputTokens-1))
	}
	e.adapt(r)
}

// adapt grows the limit by a little with each call and shrinks it when steps
// take several times their best.
func (e *Endpoint) adapt(r Result) {
	if r.OutputTokens <= 1 {
		return
	}
	step := float64((r.Duration - r.TimeToFirstToken).Microseconds()) / float64(r.OutputTokens-1)
	best := math.Float64frombits(e.best.Load())
	if best == 0 || step < best {
		e.best.Store(math.Float64bits(step))
		best = step
	}
	limit := e.limit.Load()
	ceiling := int64(e.maxCalls()) * 1000
	if step > best*slowFactor {
		e.limit.Store(max(minLimit*1000, limit*95/100))
		return
	}
	e.limit.Store(min(ceiling, limit+250))
}

// eject takes the endpoint out for a while after several failures in a row.
func (e *Endpoint) eject(now time.Time, atOnce bool) {
	if e.failures.Add(1) < failuresToEject && !atOnce {
		return
	}
	if now.UnixNano() < e.ejectedUntil.Load() {
		// Calls that were under way when it was taken out tell nothing new.
		return
	}
	e.failures.Store(0)
	n := min(e.ejections.Add(1), 6)
	until := now.Add(min(firstEjection<<(n-1), maxEjection)).UnixNano()
	e.ejectedUntil.Store(until)
	e.returned.Store(until)
}

func smooth(at *atomic.Uint64, v float64) {
	old := math.Float64frombits(at.Load())
	if old != 0 {
		v = old + smoothing*(v-old)
	}
	at.Store(math.Float64bits(v))
}

func speed(at *atomic.Uint64, fallback float64) float64 {
	if v := math.Float64frombits(at.Load()); v != 0 {
		return v
	}
	return fallback
}
