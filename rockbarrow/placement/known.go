// SPDX-License-Identifier: MIT

package placement

import (
	"slices"
	"sync"
	"time"
)

// known is the few endpoints of which something is known besides what is listed, so that nothing that is done several
// times a second looks at all of them. The zero value is ready.
type known struct {
	mu sync.Mutex
	// used have had calls from here, and loaded are those that other instances told of last.
	used, loaded []*Endpoint
}

// use notes that an endpoint has a call.
func (k *known) use(e *Endpoint) {
	if e.used.Load() || e.used.Swap(true) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used = append(k.used, e)
}

// prune drops the endpoints that are not in a fleet any more.
func (k *known) prune(f *Fleet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	gone := func(e *Endpoint) bool { return f.Endpoint(e.name) != e }
	k.used, k.loaded = slices.DeleteFunc(slices.Clone(k.used), gone), slices.DeleteFunc(slices.Clone(k.loaded), gone)
}

// lists returns the endpoints that are used and those that others told of. The lists do not change.
func (k *known) lists() (used, loaded []*Endpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.used, k.loaded
}

// Used returns the endpoints that have had calls from here.
func (f *Fleet) UsedEndpoints() []*Endpoint {
	used, _ := f.known.lists()
	return used
}

// Load is what other instances tell of an endpoint: their calls under way, and the share of all calls that failed
// lately in percent.
type RemoteLoad struct {
	Endpoint                *Endpoint
	Running, FailingPercent uint32
}

// SetLoads takes what other instances tell of endpoints; they have no calls at the others.
func (f *Fleet) SetRemoteLoads(now time.Time, loads []RemoteLoad) {
	k := f.known
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.loaded {
		e.setOthers(now, 0, 0)
	}
	k.loaded = make([]*Endpoint, 0, len(loads))
	for _, l := range loads {
		l.Endpoint.setOthers(now, l.Running, l.FailingPercent)
		k.loaded = append(k.loaded, l.Endpoint)
	}
}

// Places returns how many calls this instance may have at the usable endpoints of a
// service, of which there are so many instances: what others leave, and at least an even
// share, since others may not have heard of this instance's need.
func (f *Fleet) Slots(now time.Time, of Class, instances int) int {
	c := f.classes[of]
	if c == nil {
		return 0
	}
	at := now.UnixNano()
	slots, all, others := c.slots, c.slots+c.queues, 0
	used, loaded := f.known.lists()
	for _, e := range used {
		// Only endpoints with calls from here are found to be of no use.
		if e.config.GetService() == of.Service && !e.config.GetDraining() && !e.isUsable(at) {
			n := int(e.maxCalls())
			slots -= n
			all -= n + queued(n)
		}
	}
	for _, e := range loaded {
		if e.config.GetService() == of.Service && e.isUsable(at) {
			others += int(e.others.runningAt(at))
		}
	}
	return min(slots, max(1, all/instances, all-others))
}

// isUsable reports whether an endpoint has places for calls.
func (e *Endpoint) isUsable(now int64) bool {
	return !e.Draining() && now >= e.ejectedUntil.Load() && !e.silent(now)
}
