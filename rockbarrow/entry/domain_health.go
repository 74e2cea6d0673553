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
	// suspicionTime is how long a failure domain is avoided after an endpoint there gave no
	// response.
	suspicionTime = 1500 * time.Millisecond
	// reachabilityInterval is how often the reachability of stores and control is checked.
	reachabilityInterval = 100 * time.Millisecond
)

// domainHealth tracks the failure domains that are probably unreachable. Their endpoints get
// requests only if no others have capacity. The zero value is ready to use.
type domainHealth struct {
	mu sync.Mutex
	// suspectedUntil is when the suspicion from unresponsive endpoints ends.
	suspectedUntil map[string]time.Time
	// unreachable are the domains whose stores and control instances are unreachable.
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

// setUnreachable sets the unreachable domains and reports whether they changed.
func (d *domainHealth) setUnreachable(domains []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !slices.Equal(d.unreachable, domains)
	d.unreachable = domains
	return changed
}

// isUnreachable reports whether a domain's stores and control instances are unreachable.
func (d *domainHealth) isUnreachable(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.unreachable, domain)
}

// avoided returns the unreachable and suspected domains.
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

// runReachability checks the reachability of other instances until ctx ends.
func (e *Entry) runReachability(ctx context.Context) {
	t := time.NewTicker(reachabilityInterval)
	defer t.Stop()
	wasReady := false
	for {
		select {
		case <-t.C:
			e.updateReachability()
			e.reportSpeeds(time.Now())
			e.Metrics.Gauge("suspects").Update(float64(e.suspects.Len()))
			wasReady = e.logReady(wasReady)
		case <-ctx.Done():
			return
		}
	}
}

// updateReachability updates storesLostSince and the unreachable domains: those without any
// reachable store or control instance.
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

// logReady logs changes of readiness.
func (e *Entry) logReady(before bool) (now bool) {
	now, reason := e.Ready()
	if now != before {
		e.Log.WithFields(logrus.Fields{"ready": now, "reason": reason}).Info("readiness has changed")
	}
	return now
}
