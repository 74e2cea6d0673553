// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/confighistory"
)

const (
	// probeInterval is the pause between two probes of an entry instance. They test the newest recentChanges configurations, and half of
	// them the newest earlierChanges, which is more than come within [confighistory.ApplyWithin].
	probeInterval  = 50 * time.Millisecond
	recentChanges  = 4
	earlierChanges = 24
	// firstRoute is in all configurations.
	firstRoute = "/first/"
	// largePath is a path of the first route to which large bodies are sent.
	largePath = firstRoute + "large/"
)

// prober sends requests to one entry instance while faults last, which are judged by the versions that may be in force.
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
}

func (p *prober) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for wait.For(ctx, probeInterval) {
		if !p.slow {
			p.probe(ctx, firstRoute)
		}
		if path, ok := p.draw(); ok {
			p.probe(ctx, path)
		}
	}
}

// draw returns a path to test.
func (p *prober) draw() (path string, ok bool) {
	if p.addedOnly {
		return p.fleet.history.drawAdded(p.r, time.Now())
	}
	return p.fleet.history.draw(p.r, p.slow)
}

// probe sends a request for a path.
func (p *prober) probe(ctx context.Context, path string) {
	p.n++
	a, err := p.fleet.ask(ctx, p.client, p.entry, path, fmt.Sprintf("in-force-%s-%v-%v-%d", p.entry.plan.Instance, p.slow, p.addedOnly, p.n))
	if err != nil {
		a.Status = 0
	}
	p.fleet.ledger.Count(fmt.Sprint("probes of routes with status ", a.Status))
}

// ask sends a request for a path to an entry instance, and has its answer judged.
func (f *fleet) ask(ctx context.Context, client *http.Client, e *instance, path, id string) (confighistory.Answer, error) {
	a := confighistory.Answer{Instance: e.plan.Instance, Life: e.life(), Path: path, Sent: time.Now()}
	status, service, err := probePath(ctx, client, e, path, id)
	a.Took = time.Since(a.Sent)
	if err == nil && ctx.Err() == nil {
		a.Status, a.Service = status, service
	}
	a.Whole = e.life() == a.Life
	a.Undisturbed = e.claimed.freeSince(a.Sent) && a.Whole
	a.Controlled = f.controlFreeSince(a.Sent.Add(-confighistory.ApplyWithin))
	a.Listed = f.listed.freeSince(a.Sent)
	a.Stalled = f.watchdog.stalled(a.Sent, a.Sent.Add(a.Took))
	if ctx.Err() == nil {
		f.operations.AddAnswer(a)
	}
	return a, err
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
