// SPDX-License-Identifier: MIT

package quota

import (
	"container/heap"
	"time"
)

const (
	// idleEnd is how long after its last known request a program is taken to have ended whose time to finish is unknown,
	// and lateIdleEnd that of others. Follow-ups that take a refund or a local allowance are not known to the counter, so
	// that a program may be in progress for longer than idleEnd.
	idleEnd     = 2 * time.Second
	lateIdleEnd = 4 * time.Second
	// smallLimit is the number of programs below which a limit admits one program at a time in any case. A customer
	// whose limit is less than one program needs would otherwise never be served.
	smallLimit = 4
	// roundingError of sums of needs, in requests.
	roundingError = 1e-6
)

// commitment is what a program admitted within the window is expected to use of its customer's limit. Times are since
// the start of the counter.
type commitment struct {
	// program is zero if it is unknown.
	program uint64
	// need is the expected number of requests, used how many are known, and committed the part of the total.
	need, used, committed float64
	// firstTurns counts how often the first turn was admitted and not cancelled.
	firstTurns  int
	lastRequest time.Duration
	// finish is when the program ends at the latest, idle the time without requests after which it has ended, and expires
	// when the commitment leaves the window.
	finish, idle, expires time.Duration
	// ended is true if the program is taken to have ended, so that only the used requests are committed.
	ended bool
	// check is when the state changes at the earliest, and index the position in the heap.
	check time.Duration
	index int
}

// end returns when the program is taken to have ended.
func (c *commitment) end() time.Duration { return min(c.finish, c.lastRequest+c.idle) }

// commitmentHeap is a [heap.Interface] with the commitment that changes first at the top.
type commitmentHeap []*commitment

func (h commitmentHeap) Len() int           { return len(h) }
func (h commitmentHeap) Less(i, j int) bool { return h[i].check < h[j].check }
func (h commitmentHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *commitmentHeap) Push(x any) {
	c := x.(*commitment)
	c.index = len(*h)
	*h = append(*h, c)
}

func (h *commitmentHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}

// commitments are those of one customer. The zero value is ready to use.
type commitments struct {
	byProgram map[uint64]*commitment
	byCheck   commitmentHeap
	total     float64
	// expiring is a ring of the committed requests by bucket of their expiry.
	expiring [buckets + 1]float64
	// inProgress counts the programs that have not ended.
	inProgress int
}

// commit sets how many requests a program commits.
func (s *commitments) commit(c *commitment, span time.Duration, requests float64) {
	s.expiring[bucketNumber(c.expires, span)%(buckets+1)] += requests - c.committed
	s.total += requests - c.committed
	c.committed = requests
}

// advance removes expired commitments and returns the rest of those whose programs have ended.
func (s *commitments) advance(at, span time.Duration) {
	for len(s.byCheck) > 0 && s.byCheck[0].check <= at {
		c := s.byCheck[0]
		switch {
		case at >= c.expires:
			s.remove(c, span)
			continue
		case !c.ended && at >= c.end():
			c.ended = true
			s.inProgress--
			s.commit(c, span, min(c.need, c.used))
		}
		s.schedule(c)
	}
	if len(s.byCheck) == 0 {
		s.total = 0
	}
}

// schedule sets the next check of a commitment.
func (s *commitments) schedule(c *commitment) {
	c.check = c.expires
	if !c.ended {
		c.check = min(c.check, c.end())
	}
	heap.Fix(&s.byCheck, c.index)
}

func (s *commitments) remove(c *commitment, span time.Duration) {
	s.commit(c, span, 0)
	if !c.ended {
		s.inProgress--
	}
	heap.Remove(&s.byCheck, c.index)
	if c.program != 0 {
		delete(s.byProgram, c.program)
	}
}

// fits reports whether a new program fits into the limit.
func (s *commitments) fits(program uint64, need, limit float64) bool {
	others := s.total
	if c := s.byProgram[program]; c != nil {
		if !c.ended {
			return true // its first turn is repeated
		}
		others -= c.committed
	}
	return others+need <= limit+roundingError || limit < smallLimit*need && s.inProgress == 0
}

// add commits the requests of a new program and counts n of them; if n is zero, the first one is counted already. The
// program ends within finish at the latest, zero if that is unknown.
func (s *commitments) add(at, span time.Duration, program uint64, need float64, n uint32, finish time.Duration) {
	used, firstTurns := float64(max(1, n)), 1
	if old := s.byProgram[program]; old != nil {
		used, firstTurns = old.used+float64(n), old.firstTurns+1
		s.remove(old, span)
	}
	c := &commitment{program: program, need: need, used: used, firstTurns: firstTurns, lastRequest: at, expires: at + span}
	c.finish, c.idle = c.expires, idleEnd
	if finish > 0 {
		c.finish, c.idle = at+finish, lateIdleEnd
	}
	c.check = min(c.expires, c.end())
	heap.Push(&s.byCheck, c)
	if program != 0 {
		if s.byProgram == nil {
			s.byProgram = map[uint64]*commitment{}
		}
		s.byProgram[program] = c
	}
	s.inProgress++
	s.commit(c, span, need)
}

// use counts requests of a program in progress.
func (s *commitments) use(at, span time.Duration, program uint64, n uint32) {
	c := s.byProgram[program]
	if c == nil {
		return
	}
	c.used += float64(n)
	c.lastRequest = at
	switch {
	case !c.ended: // the check is scheduled again when it is due
	case at < c.finish:
		c.ended = false
		s.inProgress++
		s.commit(c, span, c.need)
		s.schedule(c)
	default:
		s.commit(c, span, min(c.need, c.used))
	}
}

// cancel removes the commitment of a program whose first turn did not run, unless it was repeated and others may run.
func (s *commitments) cancel(span time.Duration, program uint64) {
	c := s.byProgram[program]
	if c == nil {
		return
	}
	if c.firstTurns--; c.firstTurns == 0 {
		s.remove(c, span)
	}
}

// timeUntil returns the time until enough commitments have expired for at most left requests to remain.
func (s *commitments) timeUntil(at, span time.Duration, left float64) time.Duration {
	width := span / buckets
	total, first := s.total, bucketNumber(at, span)
	for n := first; n <= first+buckets; n++ {
		total -= s.expiring[n%(buckets+1)]
		if total <= max(0, left)+roundingError {
			return time.Duration(n+1)*width - at
		}
	}
	return span
}
