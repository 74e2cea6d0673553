// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultPromptMicros is the prefill time per prompt token in microseconds until it is
	// measured.
	defaultPromptMicros = 10
	// minPrefillSamples is the number of calls from which the prefill time is fitted.
	minPrefillSamples = 8
	// prefillDecay is the weight that a sample keeps with each newer one.
	prefillDecay = 0.98
	// minPromptVariance, as a fraction of the mean square, is the variance of prompt lengths
	// below which their slope is not determined.
	minPromptVariance = 1e-3
)

// prefillFit fits time to first event = a + b * uncached prompt tokens by least squares with
// exponentially decaying weights. Only b is kept: a is the same at all endpoints of a service
// and does not change their order. The zero value is ready to use.
type prefillFit struct {
	mu      sync.Mutex
	samples int
	// weight, x, y, xx and xy are decayed sums of 1, tokens, microseconds, tokens squared and
	// tokens times microseconds.
	weight, x, y, xx, xy float64
	// slope is b as float64 bits. It is valid once fitted is set.
	slope  atomic.Uint64
	fitted atomic.Bool
}

// add records a call whose whole prompt was computed at an endpoint with a free slot.
func (p *prefillFit) add(tokens int64, firstEvent time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, y := float64(tokens), float64(firstEvent.Microseconds())
	p.samples++
	p.weight = p.weight*prefillDecay + 1
	p.x, p.y = p.x*prefillDecay+x, p.y*prefillDecay+y
	p.xx, p.xy = p.xx*prefillDecay+x*x, p.xy*prefillDecay+x*y
	variance := p.weight*p.xx - p.x*p.x
	if p.samples < minPrefillSamples || variance <= minPromptVariance*p.weight*p.xx {
		return
	}
	p.slope.Store(math.Float64bits(max(0, (p.weight*p.xy-p.x*p.y)/variance)))
	p.fitted.Store(true)
}

// microsPerToken returns b.
func (p *prefillFit) microsPerToken() float64 {
	if !p.fitted.Load() {
		return defaultPromptMicros
	}
	return math.Float64frombits(p.slope.Load())
}
