// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"time"
)

const (
	// stallTimeout is the pause after which a resumable stream is resumed at another
	// endpoint. It is about ten times the pauses under load and half of the shortest
	// pause after which clients give up a stream.
	stallTimeout = time.Second
	// unreachableStallTimeout is the pause after which an attempt at an endpoint in an
	// unreachable failure domain is cancelled. It exceeds nearly all pauses under load, so
	// that responses in transit still arrive. The connection itself shows a partition only
	// after 2 s.
	unreachableStallTimeout = 400 * time.Millisecond
	// stallCheckInterval is how often an attempt is checked once it has paused for
	// unreachableStallTimeout. Earlier checks would only wake the process: it takes about
	// 0.5 s until a failure domain is known to be unreachable.
	stallCheckInterval = 200 * time.Millisecond
)

// stallDetector cancels a stalled attempt if its endpoint's failure domain is unreachable or
// another endpoint can resume the stream.
type stallDetector struct {
	domains *domainHealth
	// canResume is true if another endpoint can resume the stream, and mayResume reports whether it may still begin.
	canResume bool
	mayResume func() bool
	cancel    func()

	mu    sync.Mutex
	timer *time.Timer
	// domain is the endpoint's failure domain, "" before one is chosen.
	domain string
	// lastProgress is when the last event arrived or the attempt started.
	lastProgress time.Time
	// streaming is true once an event arrived. Before that, the request may be queued at
	// the endpoint, and would be queued elsewhere too.
	streaming, stopped bool
}

// watchStalls starts a detector for an attempt, which cancel ends. The returned function stops
// the detector.
func (x *exchange) watchStalls(cancel func()) (*stallDetector, func()) {
	d := &stallDetector{
		domains: &x.entry.domains, cancel: cancel, lastProgress: time.Now(), streaming: x.streamStarted,
		canResume: x.handling.resumable && x.failedExecutions+1 < int(x.route.GetMaxAttempts()), mayResume: x.mayBeginAttempt,
	}
	if !x.handling.streamed && !x.handling.repeatable {
		// The request can't be repeated, so it waits for a response until its deadline.
		return d, func() {}
	}
	d.start()
	return d, d.stop
}

func (d *stallDetector) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(unreachableStallTimeout, d.check)
}

func (d *stallDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}

// setDomain sets the failure domain of the chosen endpoint.
func (d *stallDetector) setDomain(domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.domain = domain
}

// recordProgress notes that an event arrived.
func (d *stallDetector) recordProgress() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastProgress, d.streaming = time.Now(), true
}

// check cancels the attempt if it is stalled, or schedules the next check.
func (d *stallDetector) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	pause := time.Since(d.lastProgress)
	if d.isStalled(pause) {
		d.cancel()
		return
	}
	if pause < unreachableStallTimeout {
		d.timer.Reset(unreachableStallTimeout - pause)
		return
	}
	d.timer.Reset(stallCheckInterval)
}

func (d *stallDetector) isStalled(pause time.Duration) bool {
	if d.canResume && d.streaming && pause >= stallTimeout && d.mayResume() {
		return true
	}
	return pause >= unreachableStallTimeout && d.domains.isUnreachable(d.domain)
}
