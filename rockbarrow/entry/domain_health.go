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
	suspicionTime = 1500 * time.Millisecond
	// domainTick is how often the reach of stores and control is looked at.
	reachabilityInterval = 100 * time.Millisecond
)

// domains are the failure domains that are likely to be cut off from here. Their
// endpoints get requests only if no others have room. The zero value is ready.
type domainHealth struct {
	mu sync.Mutex
	// until is when a suspicion from endpoints ends.
	suspectedUntil map[string]time.Time
	// cut are the domains whose stores and control instances are out of reach.
	unreachable []string
}

func (d *domainHealth) suspect(domain string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspectedUntil == nil {
		d.suspectedUntil = map[string]time.Time{}
	}
	d.suspectedUntil[domain] = now.Add(suspicionTime)
}

func (d *domainHealth) clearSuspicion(domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspectedUntil, domain)
}

// set takes the domains that are cut off, and reports whether they changed.
func (d *domainHealth) setUnreachable(cut []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !slices.Equal(d.unreachable, cut)
	d.unreachable = cut
	return changed
}

// isCut reports whether a domain's stores and control instances are out of reach.
func (d *domainHealth) isUnreachable(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.unreachable, domain)
}

// avoid returns the domains to avoid now.
func (d *domainHealth) avoided(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.suspectedUntil) == 0 {
		return d.unreachable
	}
	out := slices.Clone(d.unreachable)
	for domain, until := range d.suspectedUntil {
		if now.Before(until) {
			out = append(out, domain)
		} else {
			delete(d.suspectedUntil, domain)
		}
	}
	return out
}

// watchDomains looks at the reach of other instances until ctx ends.
func (e *Entry) watchReachability(ctx context.Context) {
	t := time.NewTicker(reachabilityInterval)
	defer t.Stop()
	wasReady := false
	for {
		select {
		case <-t.C:
			e.updateReachability()
			wasReady = e.logReady(wasReady)
		case <-ctx.Done():
			return
		}
	}
}

// updateReach takes a domain for cut off if neither a store nor a control instance
// there is reached.
func (e *Entry) updateReachability() {
	if e.Stores.Reachable() {
		e.storesLostSince.Store(0)
	} else {
		e.storesLostSince.CompareAndSwap(0, time.Now().UnixNano())
	}
	out := e.Stores.UnreachableDomains()
	out = slices.DeleteFunc(out, func(domain string) bool { return domain == e.Domain || e.Watch.ReachesDomain(domain) })
	if e.domains.setUnreachable(out) {
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
