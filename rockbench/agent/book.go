// SPDX-License-Identifier: MIT

package agent

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Book counts what agents saw.
type Book struct {
	mu       sync.Mutex
	turns    *hdrhistogram.Histogram
	programs *hdrhistogram.Histogram
	refusals map[string]int
	// notRun are request ids whose last word was a true refusal.
	notRun map[string]bool
	losses int
	broken []string
	calls  int
	done   int
}

// NewBook returns an empty book.
func NewBook() *Book {
	const lowest, highest, digits = 1, 600_000_000, 3
	return &Book{
		turns:    hdrhistogram.New(lowest, highest, digits),
		programs: hdrhistogram.New(lowest, highest, digits),
		refusals: map[string]int{},
		notRun:   map[string]bool{},
	}
}

func (b *Book) refused(key string, p *Problem) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusals[p.Type]++
	if key != "" {
		b.notRun[key] = p.NotRun
	}
}

// settled forgets an earlier refusal of a request that was answered at last.
func (b *Book) settled(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.notRun, key)
}

func (b *Book) lost() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.losses++
}

// Answered records an answered call.
func (b *Book) Answered(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	_ = b.turns.RecordValue(took.Microseconds())
}

// Finished records a finished program.
func (b *Book) Finished(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done++
	_ = b.programs.RecordValue(took.Microseconds())
}

// Break records a broken promise.
func (b *Book) Break(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, what)
}

// Broken returns the broken promises.
func (b *Book) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.broken...)
}

// Counts returns finished programs and answered calls.
func (b *Book) Counts() (programs, calls int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done, b.calls
}

// Losses returns lost answers, after which a request was sent again.
func (b *Book) Losses() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.losses
}

// NotRun returns the request ids whose last word was that they did not run.
func (b *Book) NotRun() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for k, v := range b.notRun {
		if v {
			out = append(out, k)
		}
	}
	return out
}

// Refusals returns how often each type of problem came.
func (b *Book) Refusals() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for k, n := range b.refusals {
		out[k] = n
	}
	return out
}

// Quantiles are of a latency.
type Quantiles struct{ P50, P95, P99 time.Duration }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Turns returns the latency of calls.
func (b *Book) Turns() Quantiles {
	b.mu.Lock()
	defer b.mu.Unlock()
	return quantiles(b.turns)
}

// Programs returns the latency of whole programs.
func (b *Book) Programs() Quantiles {
	b.mu.Lock()
	defer b.mu.Unlock()
	return quantiles(b.programs)
}
