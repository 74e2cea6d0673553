// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// unevenRatio is the ratio of the 80th to the 20th percentile of token times from which
	// endpoints are chosen by expected time, evenRatio the one below which they no longer are.
	// With a ratio of 1.3, balance is worth more than speed (docs/design/hard-load.md).
	unevenRatio, evenRatio = 1.5, 1.35
	// minKnownShare is the fraction of a service's endpoints whose token times must be known before
	// endpoints are chosen by expected time. The percentiles of a few show little of the others.
	minKnownShare = 0.25
	// unsampledPeriod is how long reports may have no token time for an endpoint before it
	// moves half way to the median, so that a recovered endpoint gets calls again. A program
	// that is placed at one that is still slow stays there and ends late.
	unsampledPeriod = 10 * time.Second
	// maxFormulaLoad is the utilization up to which the waiting time follows the queueing formula.
	// Beyond, it grows linearly: the formula has a pole at 1.
	maxFormulaLoad = 0.95
	// overloadWait is the waiting time, in service times, of each further 1.0 of utilization.
	overloadWait = 2
	// unreachableMicros is added to the expected time at endpoints that are probably
	// unreachable. It exceeds any real time.
	unreachableMicros = 1e12
)

// tokenTime is the decoding time per token of an endpoint over all instances. The zero value
// is unknown.
type tokenTime struct {
	micros atomic.Uint32
	// measured is the last reported one, which does not move towards the median.
	measured atomic.Uint32
	// reportedAt is when it was last reported or moved, in Unix nanoseconds.
	reportedAt atomic.Int64
	// tracked is set once the endpoint is in trackedEndpoints.timed.
	tracked atomic.Bool
}

// copyFrom sets the time of an endpoint that replaces another one. It is not tracked yet.
func (t *tokenTime) copyFrom(old *tokenTime) {
	t.micros.Store(old.micros.Load())
	t.measured.Store(old.measured.Load())
	t.reportedAt.Store(old.reportedAt.Load())
}

// TokenMicros returns the decoding time per token in microseconds over all instances, 0 if unknown.
func (e *Endpoint) TokenMicros() uint32 { return e.tokens.micros.Load() }

// StreamTiming is what a completed event stream shows of an endpoint's speed. The zero value
// has no information.
type StreamTiming struct {
	// FirstEvent is the time from sending the request to the first event.
	FirstEvent time.Duration
	// AnswerTokens were received in all, DecodedTokens of them after the first event, within
	// DecodeTime.
	AnswerTokens, DecodedTokens int64
	DecodeTime                  time.Duration
}

// serviceSpeeds are the measurements of one service. It is shared by successive fleets.
type serviceSpeeds struct {
	prefill prefillFit
	// answerTokens is the moving average of the length of answers, as float64 bits.
	answerTokens atomic.Uint64
	// known is the number of endpoints with a known token time; low, median and high are the
	// 20th, 50th and 80th percentiles of these in microseconds.
	known, low, median, high atomic.Uint32
	// uneven is set while endpoints are chosen by expected time.
	uneven atomic.Bool
	// moved and stayed count runs in progress that were compared with other endpoints.
	moved, stayed atomic.Uint64
}

// record records the timing of a completed call.
func (s *serviceSpeeds) record(c Choice, t StreamTiming) {
	if t.AnswerTokens > 0 {
		updateEWMA(&s.answerTokens, float64(t.AnswerTokens))
	}
	if c.hadFreeSlot && c.cachedTokens == 0 && c.uncachedTokens > 0 && t.FirstEvent > 0 {
		s.prefill.add(c.uncachedTokens, t.FirstEvent)
	}
}

// setTokenTimes updates the percentiles from the known token times of the service's endpoints, of
// which there are n.
func (s *serviceSpeeds) setTokenTimes(micros []uint32, n int) {
	s.known.Store(uint32(len(micros)))
	if len(micros) == 0 {
		s.uneven.Store(false)
		return
	}
	slices.Sort(micros)
	low, high := percentile(micros, 0.2), percentile(micros, 0.8)
	s.low.Store(low)
	s.median.Store(percentile(micros, 0.5))
	s.high.Store(high)
	ratio := float64(high) / float64(low)
	begins := ratio >= unevenRatio && float64(len(micros)) >= minKnownShare*float64(n)
	s.uneven.Store(begins || ratio >= evenRatio && s.uneven.Load())
}

// SpeedSummary describes the endpoints of one service.
type SpeedSummary struct {
	Service string
	// Known is the number of endpoints with a known token time. LowMicros and HighMicros are the
	// 20th and 80th percentiles of these.
	Known, LowMicros, HighMicros uint32
	// Uneven is true while endpoints are chosen by expected time.
	Uneven bool
	// RunsMoved and RunsStayed count decisions by expected time since the process started.
	RunsMoved, RunsStayed uint64
}

// Speeds describes the services with a known token time, ordered by name.
func (f *Fleet) Speeds() []SpeedSummary {
	t := f.tracked
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []SpeedSummary
	for service, s := range t.speeds {
		if s.low.Load() == 0 {
			continue
		}
		out = append(out, SpeedSummary{
			Service: service, Known: s.known.Load(), LowMicros: s.low.Load(), HighMicros: s.high.Load(),
			Uneven: s.uneven.Load(), RunsMoved: s.moved.Load(), RunsStayed: s.stayed.Load(),
		})
	}
	slices.SortFunc(out, func(a, b SpeedSummary) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// percentile returns a quantile of a sorted list by nearest rank.
func percentile(sorted []uint32, q float64) uint32 {
	return sorted[int(math.Round(q*float64(len(sorted)-1)))]
}

// callEstimate holds what the expected times of one call have in common.
type callEstimate struct {
	// promptMicros is the prefill time per token, and medianMicros the decoding time per token
	// at endpoints where it is unknown.
	promptMicros, medianMicros float64
	answerTokens               float64
	// fullSlots and fullWait cache the waiting time at maxFormulaLoad, since most loads that are
	// compared while no slot is free exceed it.
	fullSlots uint32
	fullWait  float64
}

// estimate returns the estimate for a request, and false while the service's endpoints are
// equally fast.
func (s *serviceSpeeds) estimate(req Request) (callEstimate, bool) {
	if s == nil || !s.uneven.Load() {
		return callEstimate{}, false
	}
	return callEstimate{
		promptMicros: s.prefill.microsPerToken(), medianMicros: float64(s.median.Load()),
		answerTokens: loadOr(&s.answerTokens, float64(req.OutputTokens)/2),
	}, true
}

// micros returns the expected time of the call in microseconds at an endpoint that has to
// compute some tokens of the prompt. The load is that of [candidateDraw.load].
func (c *callEstimate) micros(e *Endpoint, load float64, uncachedTokens int64) float64 {
	token := c.medianMicros
	if known := e.tokens.micros.Load(); known > 0 {
		token = float64(known)
	}
	service := c.promptMicros*float64(uncachedTokens) + c.answerTokens*token
	t := service * (1 + c.wait(load, e.maxCalls()))
	if load >= unreachableLoad {
		t += unreachableMicros
	}
	return t
}

// wait returns the expected waiting time at an endpoint in service times.
func (c *callEstimate) wait(load float64, slots uint32) float64 {
	if load < maxFormulaLoad {
		return queueWait(load, slots)
	}
	if c.fullSlots != slots {
		c.fullSlots, c.fullWait = slots, queueWait(maxFormulaLoad, slots)
	}
	return c.fullWait + overloadWait*(load-maxFormulaLoad)
}

// queueWait is Sakasegawa's approximation (1977) of the waiting time in an M/M/c queue with a utilization
// below 1, in service times.
func queueWait(utilization float64, slots uint32) float64 {
	c := float64(slots)
	return math.Pow(utilization, math.Sqrt(2*(c+1))-1) / (c * (1 - utilization))
}

// uncachedAtLast returns the prompt tokens that the last endpoint has to compute: those after
// the session's last prompt and answer. Without these, it is a quarter of the prompt, as in a
// typical turn that adds the results of tool calls.
func (r Request) uncachedAtLast() int64 {
	if r.LastTokens > 0 && r.LastTokens <= r.PromptTokens {
		return r.PromptTokens - r.LastTokens
	}
	return r.PromptTokens / 4
}
