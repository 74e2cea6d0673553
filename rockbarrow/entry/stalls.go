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
	stallTimeout = time.Second
	// cutAfter is the same for an endpoint in a failure domain that is out of reach:
	// longer than nearly all pauses under load, so that an answer on its way still comes.
	// Connections show it only after 2 s, and clients wait as long.
	unreachableStallTimeout = 400 * time.Millisecond
	// pauseTick is how often an attempt is looked at; about 0.5 s pass before a domain is
	// known to be out of reach.
	stallCheckInterval = 200 * time.Millisecond
)

// pauses ends an attempt that stands still once nothing is to be expected of it: its
// endpoint's failure domain is out of reach, or another endpoint can go on.
type stallDetector struct {
	domains *domainHealth
	// resumes is true if another endpoint can go on with the stream.
	canResume bool
	cancel    func()

	mu    sync.Mutex
	timer *time.Timer
	// domain is the endpoint's, "" before one is chosen.
	domain string
	// moved is when the attempt was last heard of, or began.
	lastProgress time.Time
	// flowing is true once an event came. Before it the endpoint may have a queue, which
	// is no better elsewhere.
	streaming, stopped bool
}

// watchPauses begins to watch an attempt, which end ends. The returned function stops it.
func (x *exchange) watchStalls(end func()) (*stallDetector, func()) {
	p := &stallDetector{
		domains: &x.entry.domains, cancel: end, lastProgress: time.Now(), streaming: x.headSent,
		canResume: x.handling.resumable && x.executions+1 < int(x.route.GetMaxAttempts()),
	}
	if !x.handling.streamed && !x.handling.repeatable {
		// Its answer may come after the cut, and nobody may ask for it again.
		return p, func() {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(stallCheckInterval, p.check)
	return p, p.stop
}

func (p *stallDetector) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}

// at notes where the endpoint is that was chosen.
func (p *stallDetector) setDomain(domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domain = domain
}

// event notes that the stream has moved on.
func (p *stallDetector) recordProgress() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastProgress, p.streaming = time.Now(), true
}

// look ends the attempt or looks again later.
func (p *stallDetector) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	if p.isStalled(time.Since(p.lastProgress)) {
		p.cancel()
		return
	}
	p.timer.Reset(stallCheckInterval)
}

func (p *stallDetector) isStalled(pause time.Duration) bool {
	if p.canResume && p.streaming && pause >= stallTimeout {
		return true
	}
	return pause >= unreachableStallTimeout && p.domains.isUnreachable(p.domain)
}
