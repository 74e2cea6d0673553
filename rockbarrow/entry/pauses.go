// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"time"
)

const (
	// stalledAfter is the pause inside a stream after which it is resumed elsewhere, if
	// it may be: some ten times the pauses under load, and half of the shortest after
	// which clients give a stream up.
	stalledAfter = time.Second
	// cutAfter is the same for an endpoint in a failure domain that is out of reach:
	// longer than nearly all pauses under load, so that an answer on its way still comes.
	// Connections show it only after 2 s, and clients wait as long.
	cutAfter = 400 * time.Millisecond
	// pauseTick is how often an attempt is looked at; about 0.5 s pass before a domain is
	// known to be out of reach.
	pauseTick = 200 * time.Millisecond
)

// pauses ends an attempt that stands still once nothing is to be expected of it: its
// endpoint's failure domain is out of reach, or another endpoint can go on.
type pauses struct {
	domains *domains
	// resumes is true if another endpoint can go on with the stream.
	resumes bool
	end     func()

	mu    sync.Mutex
	timer *time.Timer
	// domain is the endpoint's, "" before one is chosen.
	domain string
	// moved is when the attempt was last heard of, or began.
	moved time.Time
	// flowing is true once an event came. Before it the endpoint may have a queue, which
	// is no better elsewhere.
	flowing, stopped bool
}

// watchPauses begins to watch an attempt, which end ends. The returned function stops it.
func (x *exchange) watchPauses(end func()) (*pauses, func()) {
	p := &pauses{
		domains: &x.entry.domains, end: end, moved: time.Now(), flowing: x.started,
		resumes: x.way.resumable && x.runs+1 < int(x.route.GetMaxAttempts()),
	}
	if !x.way.streamed && !x.way.repeatable {
		// Its answer may come after the cut, and nobody may ask for it again.
		return p, func() {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(pauseTick, p.look)
	return p, p.stop
}

func (p *pauses) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}

// at notes where the endpoint is that was chosen.
func (p *pauses) at(domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domain = domain
}

// event notes that the stream has moved on.
func (p *pauses) event() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moved, p.flowing = time.Now(), true
}

// look ends the attempt or looks again later.
func (p *pauses) look() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	if p.exceedsPatience(time.Since(p.moved)) {
		p.end()
		return
	}
	p.timer.Reset(pauseTick)
}

func (p *pauses) exceedsPatience(pause time.Duration) bool {
	if p.resumes && p.flowing && pause >= stalledAfter {
		return true
	}
	return pause >= cutAfter && p.domains.isCut(p.domain)
}
