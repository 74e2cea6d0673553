// SPDX-License-Identifier: MIT

package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// DefaultDeadAfter is the default of Table.DeadAfter.
	DefaultDeadAfter = 3 * time.Second
	// DefaultFanout is the default of Table.Fanout.
	DefaultFanout = 2
	// remoteExchangePeriods is the number of periods between exchanges with
	// another failure domain.
	remoteExchangePeriods = 4
	// remoteTimeoutFactor multiplies DeadAfter for instances of other failure
	// domains, whose heartbeats arrive less often.
	remoteTimeoutFactor = 4
)

// Event is what a [Table] handles: [Tick], [HeartbeatsReceived] or [PlatformUpdate].
type Event interface{ event() }

// Tick starts a gossip period. Local is the instance's own heartbeat, whose
// counter the table sets.
type Tick struct{ Local Heartbeat }

// HeartbeatsReceived reports heartbeats from a peer.
type HeartbeatsReceived struct{ Heartbeats []Heartbeat }

// PlatformUpdate reports the state of instances according to the platform.
type PlatformUpdate struct {
	// Removed lists instances that no longer exist, Leaving those about to be
	// stopped.
	Removed, Leaving []string
}

func (Tick) event()               {}
func (HeartbeatsReceived) event() {}
func (PlatformUpdate) event()     {}

// Action is requested of the caller by a [Table]: [Exchange] or [ViewChanged].
type Action interface{ action() }

// Exchange sends heartbeats to a peer, whose reply is passed back as
// [HeartbeatsReceived].
type Exchange struct {
	To         Peer
	Heartbeats []Heartbeat
}

// ViewChanged publishes a new view.
type ViewChanged struct{ View *View }

func (Exchange) action()    {}
func (ViewChanged) action() {}

// Table tracks the membership as seen by one instance. The exported fields must
// be set before the first event.
type Table struct {
	Self  Peer
	Peers []Peer
	// DeadAfter is how long the counter of an instance of the own failure domain
	// may stay unchanged; 0 means DefaultDeadAfter.
	DeadAfter time.Duration
	// Fanout is the number of peers of the own failure domain contacted in each
	// period; 0 means DefaultFanout.
	Fanout int
	Rand   *rand.Rand

	entries []entry
	started time.Time
	periods int
	counter uint64
	view    *View
}

type entry struct {
	peer      Peer
	heartbeat Heartbeat
	lastHeard time.Time
	removed   bool
	leaving   bool
}

// Handle processes an event and returns the resulting actions.
func (t *Table) Handle(now time.Time, e Event) []Action {
	t.init(now)
	switch e := e.(type) {
	case Tick:
		return t.tick(now, e.Local)
	case HeartbeatsReceived:
		t.merge(now, e.Heartbeats)
	case PlatformUpdate:
		t.applyPlatformUpdate(e)
	}
	return t.updateView(now)
}

// Heartbeats returns the known heartbeats of the own failure domain, the local
// one first. It is the reply to a peer's exchange.
func (t *Table) Heartbeats() []Heartbeat {
	var out []Heartbeat
	for _, e := range t.entries {
		if e.heartbeat.counter == 0 || e.peer.domain != t.Self.domain {
			continue
		}
		if e.peer.instance == t.Self.instance {
			out = slices.Insert(out, 0, e.heartbeat)
			continue
		}
		out = append(out, e.heartbeat)
	}
	return out
}

// View returns the current view.
func (t *Table) View() *View { return t.view }

func (t *Table) init(now time.Time) {
	if t.entries != nil {
		return
	}
	t.started = now
	for _, p := range t.Peers {
		t.entries = append(t.entries, entry{peer: p})
	}
	slices.SortFunc(t.entries, func(a, b entry) int { return cmp.Compare(a.peer.instance, b.peer.instance) })
}

func (t *Table) tick(now time.Time, local Heartbeat) []Action {
	t.counter++
	t.merge(now, []Heartbeat{local.WithCounter(t.counter)})
	t.periods++
	out := t.updateView(now)
	heartbeats := t.Heartbeats()
	for _, p := range t.randomPeers(true, valueOrDefault(t.Fanout, DefaultFanout)) {
		out = append(out, Exchange{To: p, Heartbeats: heartbeats})
	}
	if t.periods%remoteExchangePeriods == 0 {
		for _, p := range t.randomPeers(false, 1) {
			out = append(out, Exchange{To: p, Heartbeats: heartbeats})
		}
	}
	return out
}

// randomPeers returns up to n random peers inside or outside the own failure
// domain. Dead peers are included so that their return is detected.
func (t *Table) randomPeers(sameDomain bool, n int) []Peer {
	var candidates []Peer
	for _, e := range t.entries {
		if e.peer.instance != t.Self.instance && (e.peer.domain == t.Self.domain) == sameDomain {
			candidates = append(candidates, e.peer)
		}
	}
	t.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

func (t *Table) merge(now time.Time, heartbeats []Heartbeat) {
	for _, b := range heartbeats {
		e := t.find(b.instance)
		if e == nil || !b.supersedes(e.heartbeat) {
			continue
		}
		if b.incarnation != e.heartbeat.incarnation {
			e.leaving = false
			e.removed = false
		}
		e.heartbeat = b
		e.lastHeard = now
	}
}

// applyPlatformUpdate applies an update to the known incarnations. An instance
// stays leaving until its incarnation changes.
func (t *Table) applyPlatformUpdate(u PlatformUpdate) {
	for n := range t.entries {
		e := &t.entries[n]
		if slices.Contains(u.Leaving, e.peer.instance) {
			e.leaving = true
		}
		e.removed = slices.Contains(u.Removed, e.peer.instance)
	}
}

func (t *Table) find(instance string) *entry {
	i, ok := slices.BinarySearchFunc(t.entries, instance, func(e entry, name string) int {
		return cmp.Compare(e.peer.instance, name)
	})
	if !ok {
		return nil
	}
	return &t.entries[i]
}

// updateView replaces the view if anything but a counter has changed.
func (t *Table) updateView(now time.Time) []Action {
	v := &View{self: t.Self.instance, instances: make([]Instance, 0, len(t.entries))}
	for _, e := range t.entries {
		v.instances = append(v.instances, Instance{Peer: e.peer, state: t.stateOf(now, e), heartbeat: e.heartbeat, lastHeard: e.lastHeard})
	}
	if t.view != nil && slices.EqualFunc(v.instances, t.view.instances, equalExceptCounter) {
		return nil
	}
	t.view = v
	return []Action{ViewChanged{View: v}}
}

func equalExceptCounter(a, b Instance) bool {
	a.heartbeat.counter, b.heartbeat.counter = 0, 0
	return a.state == b.state && a.heartbeat == b.heartbeat
}

func (t *Table) stateOf(now time.Time, e entry) State {
	if e.peer.instance == t.Self.instance {
		if e.heartbeat.leaving || e.leaving {
			return Leaving
		}
		return Live
	}
	limit := valueOrDefault(t.DeadAfter, DefaultDeadAfter)
	if e.removed {
		limit /= 2
	}
	if e.peer.domain != t.Self.domain {
		limit *= remoteTimeoutFactor
	}
	if e.heartbeat.counter == 0 {
		if now.Sub(t.started) > limit {
			return Dead
		}
		return Unknown
	}
	if now.Sub(e.lastHeard) > limit {
		return Dead
	}
	if e.heartbeat.leaving || e.leaving {
		return Leaving
	}
	return Live
}

func valueOrDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
