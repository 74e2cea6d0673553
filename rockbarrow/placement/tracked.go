// SPDX-License-Identifier: MIT

package placement

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// trackedEndpoints lists the endpoints that have load or usage state, so that periodic work does not iterate over the
// whole fleet. The zero value is ready to use.
type trackedEndpoints struct {
	mu sync.Mutex
	// used endpoints have had calls from this instance; remotelyLoaded ones were in the last report of other instances.
	used, remotelyLoaded []*Endpoint
	// timed endpoints have a known token time.
	timed []*Endpoint
	// speeds maps the names of services to their measurements.
	speeds map[string]*serviceSpeeds
	// remoteCalls are the calls of other instances by service in their last report, without those at endpoints that are
	// configured as draining.
	remoteCalls map[string]int
	// loadsAt is the time of that report in Unix nanoseconds. It is written under mu.
	loadsAt atomic.Int64
}

// speedsOf returns the measurements of a service.
func (t *trackedEndpoints) speedsOf(service string) *serviceSpeeds {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.speeds[service]
	if s == nil {
		if t.speeds == nil {
			t.speeds = map[string]*serviceSpeeds{}
		}
		s = &serviceSpeeds{}
		t.speeds[service] = s
	}
	return s
}

// countRemoteCalls sets remoteCalls. The caller holds mu.
func (t *trackedEndpoints) countRemoteCalls() {
	t.remoteCalls = map[string]int{}
	for _, e := range t.remotelyLoaded {
		if !e.config.GetDraining() {
			t.remoteCalls[e.config.GetService()] += int(e.remote.inFlight.Load())
		}
	}
}

// reported returns the calls of other instances by the last report, or false if it has expired.
func (t *trackedEndpoints) reported(now time.Time, service string) (calls int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remoteCalls[service], t.isReportFresh(now.UnixNano())
}

// isReportFresh reports whether the calls of other instances are known.
func (t *trackedEndpoints) isReportFresh(now int64) bool {
	return now-t.loadsAt.Load() < int64(remoteStateTTL)
}

// markUsed adds an endpoint on its first call.
func (t *trackedEndpoints) markUsed(e *Endpoint) {
	if e.used.Load() || e.used.Swap(true) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used = append(t.used, e)
}

// prune removes the endpoints that are not in a fleet. One that was replaced with its token time stays in timed.
func (t *trackedEndpoints) prune(f *Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stale := func(e *Endpoint) bool { return f.Endpoint(e.name) != e }
	t.used, t.remotelyLoaded = slices.DeleteFunc(slices.Clone(t.used), stale), slices.DeleteFunc(slices.Clone(t.remotelyLoaded), stale)
	for i, e := range t.timed {
		if next := f.Endpoint(e.name); next != nil && next.TokenMicros() > 0 && !next.tokens.tracked.Swap(true) {
			t.timed[i] = next
		}
	}
	t.timed = slices.DeleteFunc(t.timed, stale)
	t.countRemoteCalls()
}

// snapshot returns both lists. They must not be changed.
func (t *trackedEndpoints) snapshot() (used, remotelyLoaded []*Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used, t.remotelyLoaded
}

// UsedEndpoints returns the endpoints that have had calls from this instance.
func (f *Fleet) UsedEndpoints() []*Endpoint {
	used, _ := f.tracked.snapshot()
	return used
}

// RemoteLoad is the load of an endpoint as reported by other instances: their calls in flight, the recent failure
// rate over all instances in percent, and the decoding time per token, 0 if nothing new is known of it.
type RemoteLoad struct {
	Endpoint                *Endpoint
	Running, FailingPercent uint32
	TokenMicros             uint32
}

// SetRemoteLoads replaces the loads reported by other instances. Endpoints that are not listed have no remote load.
func (f *Fleet) SetRemoteLoads(now time.Time, loads []RemoteLoad) {
	t := f.tracked
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.remotelyLoaded {
		e.setRemoteLoad(now, 0, 0)
	}
	t.remotelyLoaded = make([]*Endpoint, 0, len(loads))
	for _, l := range loads {
		l.Endpoint.setRemoteLoad(now, l.Running, l.FailingPercent)
		t.remotelyLoaded = append(t.remotelyLoaded, l.Endpoint)
	}
	t.countRemoteCalls()
	t.updateTokenTimes(now, f, loads)
}

// updateTokenTimes applies the token times of a report for a fleet; the caller holds mu. Endpoints without a
// new one keep their last for unsampledPeriod.
func (t *trackedEndpoints) updateTokenTimes(now time.Time, f *Fleet, loads []RemoteLoad) {
	for _, l := range loads {
		if l.TokenMicros == 0 {
			continue
		}
		l.Endpoint.tokens.micros.Store(l.TokenMicros)
		l.Endpoint.tokens.measured.Store(l.TokenMicros)
		l.Endpoint.tokens.reportedAt.Store(now.UnixNano())
		if !l.Endpoint.tokens.tracked.Swap(true) {
			t.timed = append(t.timed, l.Endpoint)
		}
	}
	// After a gap in the reports, only the time since it counts.
	resumed := !t.isReportFresh(now.UnixNano())
	t.loadsAt.Store(now.UnixNano())
	known := make(map[string][]uint32, len(t.speeds))
	for _, e := range t.timed {
		service := e.config.GetService()
		if resumed {
			e.tokens.reportedAt.Store(now.UnixNano())
		}
		if now.UnixNano()-e.tokens.reportedAt.Load() >= int64(unsampledPeriod) {
			e.tokens.micros.Store((e.tokens.micros.Load() + t.speeds[service].median.Load()) / 2)
			e.tokens.reportedAt.Store(now.UnixNano())
		}
		known[service] = append(known[service], e.tokens.measured.Load())
	}
	for service, s := range t.speeds {
		s.setTokenTimes(known[service], len(f.classes[Class{Service: service}].candidates()))
	}
}

// Slots returns how many calls this instance may have at the usable endpoints of a
// service: the slots that other instances leave free, and at least an even share among
// the given number of instances, since others may not know of this instance's demand yet.
func (f *Fleet) Slots(now time.Time, class Class, instances int) int {
	c := f.classes[class]
	if c == nil {
		return 0
	}
	at := now.UnixNano()
	slots, all, remote := c.slots, c.slots+c.queueSlots, 0
	used, remotelyLoaded := f.tracked.snapshot()
	for _, e := range used {
		// Only endpoints with calls from this instance can be ejected or unresponsive.
		if e.config.GetService() == class.Service && !e.config.GetDraining() && !e.isUsable(at) {
			n := int(e.maxCalls())
			slots -= n
			all -= n + queueSlots(n)
		}
	}
	for _, e := range remotelyLoaded {
		if e.config.GetService() == class.Service && e.isUsable(at) {
			remote += int(e.remote.inFlightAt(at))
		}
	}
	return min(slots, max(1, all/instances, all-remote))
}

// isUsable reports whether the endpoint's slots count as capacity.
func (e *Endpoint) isUsable(now int64) bool {
	return !e.Draining() && now >= e.ejectedUntil.Load() && !e.isUnresponsive(now)
}
