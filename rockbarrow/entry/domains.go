// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// suspectFor is how long a failure domain is avoided after an endpoint there
	// did not answer on the network; then one request tries again.
	suspectFor = 1500 * time.Millisecond
	// domainTick is how often the reach of stores and control is looked at.
	domainTick = 100 * time.Millisecond
)

// domains are the failure domains that are likely to be cut off from here. Their
// endpoints get requests only if no others have room. The zero value is ready.
type domains struct {
	mu sync.Mutex
	// until is when a suspicion from endpoints ends.
	until map[string]time.Time
	// cut are the domains whose stores and control instances are out of reach.
	cut []string
}

func (d *domains) suspect(domain string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = map[string]time.Time{}
	}
	d.until[domain] = now.Add(suspectFor)
}

func (d *domains) clear(domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.until, domain)
}

// set takes the domains that are cut off, and reports whether they changed.
func (d *domains) set(cut []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !slices.Equal(d.cut, cut)
	d.cut = cut
	return changed
}

// isCut reports whether a domain's stores and control instances are out of reach.
func (d *domains) isCut(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.cut, domain)
}

// avoid returns the domains to avoid now.
func (d *domains) avoid(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.until) == 0 {
		return d.cut
	}
	out := slices.Clone(d.cut)
	for domain, until := range d.until {
		if now.Before(until) {
			out = append(out, domain)
		} else {
			delete(d.until, domain)
		}
	}
	return out
}

// watchDomains looks at the reach of other instances until ctx ends.
func (e *Entry) watchDomains(ctx context.Context) {
	t := time.NewTicker(domainTick)
	defer t.Stop()
	wasReady := false
	for {
		select {
		case <-t.C:
			e.updateReach()
			wasReady = e.logReady(wasReady)
		case <-ctx.Done():
			return
		}
	}
}

// updateReach takes a domain for cut off if neither a store nor a control instance
// there is reached.
func (e *Entry) updateReach() {
	if e.Stores.Reachable() {
		e.lostSince.Store(0)
	} else {
		e.lostSince.CompareAndSwap(0, time.Now().UnixNano())
	}
	out := e.Stores.UnreachableDomains()
	out = slices.DeleteFunc(out, func(domain string) bool { return domain == e.Domain || e.Watch.ReachesDomain(domain) })
	if e.domains.set(out) {
		e.Log.WithField("failure_domains", out).Info("failure domains out of reach have changed")
	}
}

// logReady writes a line when the instance begins or ceases to be ready.
func (e *Entry) logReady(before bool) (now bool) {
	now, why := e.Ready()
	if now != before {
		e.Log.WithFields(logrus.Fields{"ready": now, "reason": why}).Info("readiness has changed")
	}
	return now
}
