// SPDX-License-Identifier: MIT

package standin

import (
	"sort"
	"strings"
	"time"

	"rockbarrow.dev/rockbarrow/engine"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/schema/recordpb"
)

// loop runs steps while there are calls.
func (e *Engine) loop(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		cost, busy := e.step()
		if busy {
			time.Sleep(cost)
			continue
		}
		select {
		case <-done:
			return
		case <-e.wake:
		}
	}
}

// step fills the batch, computes a chunk of prompts and one token for each call
// whose prompt is done, and returns the time that it takes.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Hang {
		return 10 * time.Millisecond, true
	}
	e.fill()
	if len(e.running) == 0 {
		e.note()
		return 0, false
	}
	budget := e.Chunk
	computed := 0
	kept := e.running[:0]
	for _, s := range e.running {
		if s.gone {
			continue
		}
		if s.left > 0 {
			n := min(s.left, budget)
			s.left -= n
			budget -= n
			computed += n
		}
		if s.left == 0 && !e.token(s) {
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	e.note()
	cost := e.Step + time.Duration(len(kept))*e.PerCall + time.Duration(computed)*e.PerPrompt
	if e.faults.Slow > 0 {
		cost = time.Duration(float64(cost) * e.faults.Slow)
	}
	return cost, true
}

// fill takes waiting calls into the batch, those of lower priority number first.
func (e *Engine) fill() {
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority < e.waiting[j].priority })
	for len(e.waiting) > 0 && len(e.running) < e.Batch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.gone {
			continue
		}
		s.cached = e.cache.use(s.bounds)
		s.left = s.prompt - s.cached
		if e.Ledger != nil {
			e.Ledger.computed(e.Name, s.bounds, s.cached)
		}
		e.running = append(e.running, s)
	}
}

// token sends the next token and reports whether more follow.
func (e *Engine) token(s *sequence) bool {
	if s.sent == 0 {
		e.keep(s, s.bounds)
	}
	s.out <- s.answer[s.sent]
	s.sent++
	if s.sent < len(s.answer) {
		return true
	}
	close(s.out)
	e.keep(s, answered(s))
	return false
}

// answered returns the boundaries with the answer behind the prompt.
func answered(s *sequence) []placement.Boundary {
	last := s.bounds[len(s.bounds)-1]
	b := placement.NextBoundary(last, &recordpb.Message{Role: "assistant", Content: strings.Join(s.answer, "")})
	return append(s.bounds[:len(s.bounds):len(s.bounds)], b)
}

// keep stores prefixes and publishes what came in and what went out.
func (e *Engine) keep(s *sequence, bounds []placement.Boundary) {
	hold := ""
	if s.hold {
		hold = s.run
	}
	stored, evicted := e.cache.put(bounds, hold)
	now := time.Now()
	for _, k := range stored {
		e.events = append(e.events, stampedEvent{now, engine.CacheEvent{Stored: true, Key: engine.KeyName(k)}})
		if e.Ledger != nil {
			e.Ledger.stored(e.Name, k)
		}
	}
	for _, k := range evicted {
		e.events = append(e.events, stampedEvent{now, engine.CacheEvent{Key: engine.KeyName(k)}})
		if e.Ledger != nil {
			e.Ledger.evicted(e.Name, k)
		}
	}
}

// note keeps the load for reports that lag.
func (e *Engine) note() {
	waiting := 0
	for _, s := range e.waiting {
		waiting += s.prompt
	}
	for _, s := range e.running {
		waiting += s.left
	}
	now := time.Now()
	if n := len(e.load); n > 0 && now.Sub(e.load[n-1].at) < 20*time.Millisecond && len(e.running) > 0 {
		return
	}
	e.load = append(e.load, stampedLoad{now, engine.Load{
		Running:             len(e.running) + len(e.waiting),
		WaitingPromptTokens: waiting,
		CacheTokensFree:     e.CacheTokens - e.cache.pinnedTokens(),
	}})
	const most = 1024
	if len(e.load) > most {
		e.load = e.load[most/2:]
	}
}
