// SPDX-License-Identifier: MIT

package host

import (
	"context"
	"sync"

	"rockbarrow.dev/schema/peerpb"
)

// stream buffers the events for one caller. Its size is bounded by the longest
// answer, because pending deltas are joined.
type stream struct {
	mu     sync.Mutex
	events []*peerpb.DoEvent
	done   bool
	ready  chan struct{}
}

func newStream() *stream { return &stream{ready: make(chan struct{}, 1)} }

func (s *stream) push(e *peerpb.DoEvent, done bool) {
	s.mu.Lock()
	if !s.join(e) {
		s.events = append(s.events, e)
	}
	s.done = s.done || done
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// join appends a delta to a pending one of the same attempt.
func (s *stream) join(e *peerpb.DoEvent) bool {
	d := e.GetDelta()
	if d == nil || d.GetRestart() || len(s.events) == 0 {
		return false
	}
	last := s.events[len(s.events)-1].GetDelta()
	if last == nil || last.GetAttempt() != d.GetAttempt() || last.GetOffset()+uint64(len(last.GetContent())) != d.GetOffset() {
		return false
	}
	joined := &peerpb.Delta{Attempt: last.GetAttempt(), Offset: last.GetOffset(), Content: last.GetContent() + d.GetContent(), Restart: last.GetRestart()}
	s.events[len(s.events)-1] = &peerpb.DoEvent{Body: &peerpb.DoEvent_Delta{Delta: joined}}
	return true
}

// next returns the pending events and whether they are the last ones.
func (s *stream) next(ctx context.Context) ([]*peerpb.DoEvent, bool, error) {
	for {
		s.mu.Lock()
		events, done := s.events, s.done
		s.events = nil
		s.mu.Unlock()
		if len(events) > 0 || done {
			return events, done, nil
		}
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-s.ready:
		}
	}
}
