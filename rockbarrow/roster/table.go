// SPDX-License-Identifier: MIT

package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// DefaultDeadAfter is how long a counter may stand still.
	DefaultDeadAfter = 3 * time.Second
	// DefaultFanout is how many peers of the own domain hear from us a period.
	DefaultFanout = 2
	// farEvery is how many periods pass between words to another domain.
	farEvery = 4
	// farSlack multiplies DeadAfter for instances of other domains, of which
	// word comes rarely.
	farSlack = 4
)

// Event is what a [Table] handles: [Tick], [HeartbeatsReceived] or [PlatformUpdate].
type Event interface{ event() }

// Tick is due once a period; Own is the instance's own word, whose counter
// the table sets.
type Tick struct{ Local Heartbeat }

// HeartbeatsReceived brings heartbeats from a peer.
type HeartbeatsReceived struct{ Heartbeats []Heartbeat }

// PlatformUpdate brings the platform's list.
type PlatformUpdate struct {
	// Removed are instances that the platform no longer has, Leaving those that it
	// is about to stop.
	Removed, Leaving []string
}

func (Tick) event()               {}
func (HeartbeatsReceived) event() {}
func (PlatformUpdate) event()     {}

// Action is what a [Table] wants done: [Exchange] or [ViewChanged].
type Action interface{ action() }

// Exchange sends beats to a peer, whose reply comes back as [HeartbeatsReceived].
type Exchange struct {
	To         Peer
	Heartbeats []Heartbeat
}

// ViewChanged publishes a new view.
type ViewChanged struct{ View *View }

func (Exchange) action()    {}
func (ViewChanged) action() {}

// Table is the roster of one instance. Set the exported fields before the first
// event; zero takes the defaults.
type Table struct {
	Self      Peer
	Peers     []Peer
	DeadAfter time.Duration
	Fanout    int
	Rand      *rand.Rand

	entries []entry
	started time.Time
	periods int
	// count only rises.
	count uint64
	view  *View
}

type entry struct {
	peer    Peer
	beat    Heartbeat
	heard   time.Time
	gone    bool
	leaving bool
}

// Handle takes one event.
func (t *Table) Handle(now time.Time, e Event) []Action {
	t.start(now)
	switch e := e.(type) {
	case Tick:
		return t.tick(now, e.Local)
	case HeartbeatsReceived:
		t.hear(now, e.Heartbeats)
	case PlatformUpdate:
		t.listed(e)
	}
	return t.publish(now)
}

// Heartbeats returns all heartbeats of the own domain, the own one first, to answer a
// peer with.
func (t *Table) Heartbeats() []Heartbeat {
	var out []Heartbeat
	for _, e := range t.entries {
		if e.beat.counter == 0 || e.peer.domain != t.Self.domain {
			continue
		}
		if e.peer.instance == t.Self.instance {
			out = slices.Insert(out, 0, e.beat)
			continue
		}
		out = append(out, e.beat)
	}
	return out
}

// View returns the newest view.
func (t *Table) View() *View { return t.view }

func (t *Table) start(now time.Time) {
	if t.entries != nil {
		return
	}
	t.started = now
	for _, p := range t.Peers {
		t.entries = append(t.entries, entry{peer: p})
	}
	slices.SortFunc(t.entries, func(a, b entry) int { return cmp.Compare(a.peer.instance, b.peer.instance) })
}

func (t *Table) tick(now time.Time, own Heartbeat) []Action {
	t.count++
	t.hear(now, []Heartbeat{own.WithCounter(t.count)})
	t.periods++
	out := t.publish(now)
	beats := t.Heartbeats()
	for _, p := range t.pick(true, or(t.Fanout, DefaultFanout)) {
		out = append(out, Exchange{To: p, Heartbeats: beats})
	}
	if t.periods%farEvery == 0 {
		for _, p := range t.pick(false, 1) {
			out = append(out, Exchange{To: p, Heartbeats: beats})
		}
	}
	return out
}

// pick draws peers of the own domain, or of the others. Dead ones are drawn
// too, so that a return is noticed.
func (t *Table) pick(inside bool, n int) []Peer {
	var all []Peer
	for _, e := range t.entries {
		if e.peer.instance != t.Self.instance && (e.peer.domain == t.Self.domain) == inside {
			all = append(all, e.peer)
		}
	}
	t.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

func (t *Table) hear(now time.Time, beats []Heartbeat) {
	for _, b := range beats {
		e := t.find(b.instance)
		if e == nil || !b.newer(e.beat) {
			continue
		}
		if b.incarnation != e.beat.incarnation {
			e.leaving = false
			e.gone = false
		}
		e.beat = b
		e.heard = now
	}
}

// listed takes the platform's word about the lives known now.
func (t *Table) listed(l PlatformUpdate) {
	for n := range t.entries {
		e := &t.entries[n]
		if slices.Contains(l.Leaving, e.peer.instance) {
			e.leaving = true
		}
		e.gone = slices.Contains(l.Removed, e.peer.instance)
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

// publish makes a view when a state, a life or a version has changed.
func (t *Table) publish(now time.Time) []Action {
	v := &View{self: t.Self.instance, instances: make([]Instance, 0, len(t.entries))}
	for _, e := range t.entries {
		v.instances = append(v.instances, Instance{Peer: e.peer, state: t.judge(now, e), heartbeat: e.beat, lastHeard: e.heard})
	}
	if t.view != nil && slices.EqualFunc(v.instances, t.view.instances, sameToOthers) {
		return nil
	}
	t.view = v
	return []Action{ViewChanged{View: v}}
}

// sameToOthers leaves the counters out, which rise all the time.
func sameToOthers(a, b Instance) bool {
	a.heartbeat.counter, b.heartbeat.counter = 0, 0
	return a.state == b.state && a.heartbeat == b.heartbeat
}

func (t *Table) judge(now time.Time, e entry) State {
	if e.peer.instance == t.Self.instance {
		if e.beat.leaving || e.leaving {
			return Leaving
		}
		return Live
	}
	limit := or(t.DeadAfter, DefaultDeadAfter)
	if e.gone {
		limit /= 2
	}
	if e.peer.domain != t.Self.domain {
		limit *= farSlack
	}
	if e.beat.counter == 0 {
		if now.Sub(t.started) > limit {
			return Dead
		}
		return Unknown
	}
	if now.Sub(e.heard) > limit {
		return Dead
	}
	if e.beat.leaving || e.leaving {
		return Leaving
	}
	return Live
}

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
