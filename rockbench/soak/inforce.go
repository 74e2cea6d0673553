// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// applyWithin is how long after its acknowledgement a configuration must be in force everywhere, and rollbackSlack how
	// long after its effect was seen an older one may still be.
	applyWithin   = 2 * time.Second
	rollbackSlack = 250 * time.Millisecond
	// probeInterval is the pause between two probes of an entry instance, and recentChanges how many of the newest
	// configurations they test.
	probeInterval = 50 * time.Millisecond
	recentChanges = 4
	// The success rate of added routes is checked from enoughProbes answers on. It must be at least that of the first route
	// divided by leastShare.
	enoughProbes, leastShare = 20, 4
	// firstRoute is in all configurations.
	firstRoute = "/first/"
)

// place is a path that one configuration adds a route for, and that a later one may remove.
type place struct {
	path           string
	added, removed uint64
}

// history holds the configurations that were sent, what they changed, and when they were acknowledged.
type history struct {
	mu sync.Mutex
	// changed holds the places that each version added or removed.
	places  map[string]*place
	changed [][]*place
	// acknowledged is ordered by time.
	acknowledged []acknowledgement
}

type acknowledgement struct {
	version uint64
	at      time.Time
}

// send records what a version changes, before it is sent.
func (h *history) send(version uint64, added, removed []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.places == nil {
		h.places = map[string]*place{}
	}
	var changed []*place
	for _, path := range added {
		h.places[path] = &place{path: path, added: version}
		changed = append(changed, h.places[path])
	}
	for _, path := range removed {
		h.places[path].removed = version
		changed = append(changed, h.places[path])
	}
	h.changed = append(h.changed, changed)
}

func (h *history) acknowledge(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acknowledged = append(h.acknowledged, acknowledgement{version: version, at: time.Now()})
}

// draw returns a place that one of the newest versions changed.
func (h *history) draw(r *rand.Rand) (place, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.changed) == 0 {
		return place{}, false
	}
	changed := h.changed[max(0, len(h.changed)-1-r.IntN(recentChanges))]
	if len(changed) == 0 {
		return place{}, false
	}
	return *changed[r.IntN(len(changed))], true
}

// state returns the current state of a place.
func (h *history) state(path string) place {
	h.mu.Lock()
	defer h.mu.Unlock()
	return *h.places[path]
}

// dueBy reports whether a version must be in force at a time: it, or a later one, was acknowledged applyWithin before.
func (h *history) dueBy(version uint64, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.acknowledged {
		if a.version >= version && at.Sub(a.at) > applyWithin {
			return true
		}
	}
	return false
}

// prober sends requests to one entry instance while faults last. Each response must match a version that may be in force, given
// the acknowledgements at the time of the request and the versions seen at the instance before.
type prober struct {
	fleet  *fleet
	entry  *instance
	r      *rand.Rand
	client *http.Client
	n      int

	// life is the process to which shown and settled belong.
	life int
	// shown is the newest version whose effect was seen, and settled holds all such versions in ascending order.
	shown   uint64
	settled []seen
	// first and added count the answers of the first route and of added ones that were due.
	first, added answers
}

// seen is a version whose effect was seen at a time.
type seen struct {
	version uint64
	at      time.Time
}

type answers struct{ all, served int }

func (p *prober) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for wait.For(ctx, probeInterval) {
		p.probeFirst(ctx)
		if at, ok := p.fleet.history.draw(p.r); ok {
			p.probe(ctx, at.path)
		}
	}
	if p.added.all >= enoughProbes && leastShare*p.added.served*p.first.all < p.first.served*p.added.all {
		p.fleet.ledger.AddViolation("%s serves %d of %d requests on added routes, and %d of %d on the first", p.entry.plan.Instance,
			p.added.served, p.added.all, p.first.served, p.first.all)
	}
}

// ask sends a request and returns the status of the response, zero if there is none. Free is false if the instance was disturbed
// or restarted.
func (p *prober) ask(ctx context.Context, path string) (sent time.Time, status int, free bool) {
	p.n++
	life := p.entry.life()
	if life != p.life {
		p.life, p.shown, p.settled = life, 0, nil
	}
	sent = time.Now()
	status, err := standin.Probe(ctx, p.client, p.entry.plan.ConsumerAddress, host, path+"x", fmt.Sprintf("in-force-%s-%d", p.entry.plan.Instance, p.n))
	if err != nil || ctx.Err() != nil {
		status = 0
	}
	p.fleet.ledger.Count(fmt.Sprint("probes of routes with status ", status))
	return sent, status, p.entry.claimed.freeSince(sent) && p.entry.life() == life
}

func (p *prober) probeFirst(ctx context.Context) {
	_, status, free := p.ask(ctx, firstRoute)
	if status == http.StatusNotFound {
		// An instance without a configuration answers 503.
		p.fleet.ledger.AddViolation("%s: 404 for a route of all configurations", p.entry.plan.Instance)
	}
	if free && status != 0 {
		p.first.add(status)
	}
}

func (p *prober) probe(ctx context.Context, path string) {
	settled := p.settledVersion()
	sent, status, free := p.ask(ctx, path)
	h := &p.fleet.history
	at := h.state(path)
	routed := status == http.StatusOK
	if !routed && status != http.StatusNotFound {
		if status != 0 && free && at.removed == 0 && h.dueBy(at.added, sent) {
			p.added.add(status)
		}
		return
	}
	p.checkOrder(at, routed, settled)
	late := free && p.fleet.controlFreeSince(sent.Add(-applyWithin))
	switch {
	case late && routed && at.removed != 0 && h.dueBy(at.removed, sent):
		p.violate(at, "is served %v after version %d, which removed it, was acknowledged", at.removed)
	case late && !routed && at.removed == 0 && h.dueBy(at.added, sent):
		p.violate(at, "gets 404 %v after version %d, which added it, was acknowledged", at.added)
	case free && routed && at.removed == 0 && h.dueBy(at.added, sent):
		p.added.add(status)
	}
}

func (p *prober) violate(at place, what string, version uint64) {
	p.fleet.ledger.AddViolation("%s: %s "+what, p.entry.plan.Instance, at.path, applyWithin, version)
}

// checkOrder records a violation if a response belongs to a version older than the settled one, and updates the versions seen. A
// place is routed from the version that adds it until the one that removes it.
func (p *prober) checkOrder(at place, routed bool, settled uint64) {
	removed := at.removed != 0
	switch {
	case routed && removed && settled >= at.removed:
		p.fleet.ledger.AddViolation("%s: %s is served, after the effect of version %d was seen there; %d removed it", p.entry.plan.Instance, at.path, settled, at.removed)
	case !routed && !removed && settled >= at.added:
		p.fleet.ledger.AddViolation("%s: %s gets 404, after the effect of version %d was seen there; %d added it", p.entry.plan.Instance, at.path, settled, at.added)
	case routed:
		p.show(at.added)
	case removed && p.shown >= at.added:
		p.show(at.removed)
	}
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

func (a *answers) add(status int) {
	a.all++
	if status == http.StatusOK {
		a.served++
	}
}

// controlFreeSince reports whether most control instances have been undisturbed since a time.
func (f *fleet) controlFreeSince(at time.Time) bool {
	free := 0
	for _, c := range f.control {
		if c.claimed.freeSince(at) {
			free++
		}
	}
	return 2*free > len(f.control)
}
