// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// applyWithin is how long after its acknowledgement a configuration must be in force everywhere, and rollbackSlack how
	// long after its effect was seen an older one may still be.
	applyWithin   = 2 * time.Second
	rollbackSlack = 250 * time.Millisecond
	// probeInterval is the pause between two probes of an entry instance. They test the newest recentChanges configurations, and half of
	// them the newest earlierChanges, which is more than come within applyWithin.
	probeInterval  = 50 * time.Millisecond
	recentChanges  = 4
	earlierChanges = 24
	// The success rate of added routes is checked from enoughProbes answers on. It must be at least that of the first route
	// divided by leastShare.
	enoughProbes, leastShare = 20, 4
	// firstRoute is in all configurations.
	firstRoute = "/first/"
	// largePath is a path of the first route to which large bodies are sent.
	largePath = firstRoute + "large/"
)

// prober sends requests to one entry instance while faults last. Each response must match a version that may be in force, given
// the acknowledgements at the time of the request and the versions seen at the instance before.
type prober struct {
	fleet *fleet
	entry *instance
	// slow is true if it tests the time limits of routes whose service is slow, and false if it tests all others.
	slow bool
	// addedOnly is true if it tests whether routes that were added are served.
	addedOnly bool
	r         *rand.Rand
	client    *http.Client
	n         int

	// life is the process to which shown and settled belong.
	life int
	// shown is the newest version whose effect was seen, and settled holds all such versions in ascending order.
	shown   uint64
	settled []seen
	// first and added count the answers of the first route and of routes that were added or changed, once these were due.
	first, added answers
	// limited counts requests that ran into their time limit while the instance was undisturbed.
	limited limited
}

// limited counts requests that ran into their time limit, and those of them that had no answer lateSlack later.
type limited struct{ all, late int }

// The rule on time limits is broken at an instance once lateRequests, and more than one in lateShare of those that run into their limit, have
// no final answer lateSlack after it.
const (
	lateSlack    = 500 * time.Millisecond
	lateRequests = 8
	lateShare    = 4
)

// add counts a request by how much longer than its limit its answer took.
func (l *limited) add(over time.Duration) {
	if over < 0 {
		return
	}
	l.all++
	if over > lateSlack {
		l.late++
	}
}

func (l *limited) broken() bool { return l.late >= lateRequests && lateShare*l.late > l.all }

// seen is a version whose effect was seen at a time.
type seen struct {
	version uint64
	at      time.Time
}

type answers struct{ all, served int }

func (p *prober) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for wait.For(ctx, probeInterval) {
		if !p.slow {
			p.probeFirst(ctx)
		}
		if path, ok := p.draw(); ok {
			p.probe(ctx, path)
		}
	}
	p.fleet.countAnswers(p.first, p.added)
	if p.limited.broken() {
		p.fleet.ledger.AddViolation("%s left %d of %d requests without an answer %v after their time limit", p.entry.plan.Instance, p.limited.late, p.limited.all, lateSlack)
	}
	if isUnderserved(p.first, p.added) {
		p.fleet.ledger.AddViolation("%s serves %d of %d requests on added routes, and %d of %d on the first", p.entry.plan.Instance,
			p.added.served, p.added.all, p.first.served, p.first.all)
	}
}

// draw returns a path to test.
func (p *prober) draw() (path string, ok bool) {
	if p.addedOnly {
		return p.fleet.history.drawAdded(p.r, time.Now())
	}
	return p.fleet.history.draw(p.r, p.slow)
}

// ask sends a request. Free is false if the instance was disturbed or restarted, and same if it was restarted.
func (p *prober) ask(ctx context.Context, path string) (sent time.Time, a answer, free, same bool) {
	p.n++
	life := p.entry.life()
	if life != p.life {
		p.life, p.shown, p.settled = life, 0, nil
	}
	sent = time.Now()
	id := fmt.Sprintf("in-force-%s-%v-%v-%d", p.entry.plan.Instance, p.slow, p.addedOnly, p.n)
	status, service, err := probePath(ctx, p.client, p.entry, path, id)
	if err != nil || ctx.Err() != nil {
		status = 0
	}
	p.fleet.ledger.Count(fmt.Sprint("probes of routes with status ", status))
	same = p.entry.life() == life
	return sent, answer{status: status, service: service, took: time.Since(sent)}, p.entry.claimed.freeSince(sent) && same, same
}

func (p *prober) probeFirst(ctx context.Context) {
	_, a, free, _ := p.ask(ctx, firstRoute)
	if a.status == http.StatusNotFound {
		// An instance without a configuration answers 503.
		p.fleet.ledger.AddViolation("%s: 404 for a route of all configurations", p.entry.plan.Instance)
	}
	if free && a.status != 0 {
		p.first.add(a.status)
	}
}

func (p *prober) probe(ctx context.Context, path string) {
	settled := p.settledVersion()
	sent, a, free, same := p.ask(ctx, path)
	h := &p.fleet.history
	at, due := h.state(path), h.due(sent)
	if last := at.last(); last.isPlain() && due >= last.version && free && a.status != 0 && !p.slow {
		p.added.add(a.status)
		p.fleet.ledger.Count("answers judged on added routes")
	}
	if last := at.last(); free && last.limited && due >= last.version {
		over := a.took - p.fleet.watchdog.stalled(sent, sent.Add(a.took)) - shortLimit*time.Millisecond
		if over > lateSlack {
			p.fleet.ledger.Count("answers half a second after the time limit")
		}
		p.limited.add(over)
	}
	if !a.tells() || !same {
		return
	}
	matches := at.matches(a)
	if _, ok := firstAfter(matches, settled); !ok {
		p.violate(at, a, "after the effect of version %d was seen there", settled)
	}
	if from, ok := firstAfter(matches, p.shown); ok {
		p.show(from)
	}
	controlled := free && p.fleet.controlFreeSince(sent.Add(-applyWithin))
	if controlled {
		p.fleet.noteLag(h.lag(matches, sent))
	}
	if _, ok := firstAfter(matches, due); !ok && controlled {
		p.violate(at, a, fmt.Sprint(applyWithin, " after version %d was acknowledged"), due)
	}
	p.checkContest(at, a)
}

// checkContest records a violation if both of two configurations of one version are seen to be in force.
func (p *prober) checkContest(at place, a answer) {
	for _, s := range at.steps {
		if !s.contested || a.status != http.StatusOK {
			continue
		}
		if other := p.fleet.history.win(s.version, at.path); other != "" {
			p.fleet.ledger.AddViolation("%s: %s is served and %s was, of two configurations of version %d", p.entry.plan.Instance, at.path, other, s.version)
		}
	}
}

// violate records an answer that none of the versions that may be in force explains.
func (p *prober) violate(at place, a answer, when string, version uint64) {
	p.fleet.ledger.AddViolation("%s: %s gets %d of %q in %d ms, "+when+"; its versions: %v", p.entry.plan.Instance, at.path, a.status, a.service,
		a.took.Milliseconds(), version, at.steps)
}

func (p *prober) show(version uint64) {
	if version > p.shown {
		p.shown = version
		p.settled = append(p.settled, seen{version: version, at: time.Now()})
	}
}

// settledVersion returns the newest version whose effect was seen at least rollbackSlack ago.
func (p *prober) settledVersion() uint64 {
	version := uint64(0)
	for _, s := range p.settled {
		if time.Since(s.at) > rollbackSlack {
			version = s.version
		}
	}
	return version
}

// isUnderserved reports whether routes that were added are served under a quarter as often as the first one.
func isUnderserved(first, added answers) bool {
	return added.all >= enoughProbes && leastShare*added.served*first.all < first.served*added.all
}

// countAnswers adds the answers that one prober got.
func (f *fleet) countAnswers(first, added answers) {
	f.answersMu.Lock()
	defer f.answersMu.Unlock()
	f.first.sum(first)
	f.added.sum(added)
}

// checkAnswers breaks a promise if all undisturbed instances together serve routes that were added too seldom.
func (f *fleet) checkAnswers() {
	f.answersMu.Lock()
	defer f.answersMu.Unlock()
	if isUnderserved(f.first, f.added) {
		f.ledger.AddViolation("undisturbed instances serve %d of %d requests on added routes, and %d of %d on the first",
			f.added.served, f.added.all, f.first.served, f.first.all)
	}
}

func (a *answers) sum(other answers) {
	a.all += other.all
	a.served += other.served
}

func (a *answers) add(status int) {
	a.all++
	if status == http.StatusOK {
		a.served++
	}
}

// controlFreeSince reports whether control could apply changes since a time: most instances were undisturbed, or all of them if
// they were cut into halves, as a loss beside a cut may leave no majority.
func (f *fleet) controlFreeSince(at time.Time) bool {
	free := 0
	for _, c := range f.controls() {
		if c.claimed.freeSince(at) {
			free++
		}
	}
	if !f.sides.wholeSince(at.Add(-contact)) {
		return free == len(f.controls())
	}
	return 2*free > len(f.controls())
}
