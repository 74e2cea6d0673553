// SPDX-License-Identifier: MIT

// Package lease bounds how long an instance may go by the keys that it knows.
//
// A key that an operator took away must not let any request in that a client sends a while after the operator had the
// acknowledgement: the revocation bound. Instances that are cut off, frozen or slow don't hear of it, so what they
// know counts for a time only, the lease, which is renewed while they are in touch.
//
// What holds. Let T be when the operator has the acknowledgement of a configuration, which is after a majority of the
// voters has it on their disks.
//
//   - A control instance asks each voter for the number of the newest state that it has accepted; the answer counts
//     from when it was asked. If a majority of the voters of a state has accepted none with a higher number, no newer
//     state was chosen by the earliest of these moments, c: a newer one has a majority, which shares a voter with the
//     one that was asked, and an acceptor's number never falls below that of a chosen state. So T > c for each
//     configuration that is newer.
//   - The control instance tells the age of c at its reply. An entry instance that asked at a, before that reply,
//     counts c as a less the age, which is no later than c was. An answer that lags, or comes twice, renews nothing.
//   - A request is let in at a time t < c + Within, by a table that holds the configuration of that state or a newer one.
//     For each newer configuration t < T + Within, and the client sent it before t.
//   - So with Within less than the revocation bound, by as much as two steady clocks drift apart in that time, no
//     request that was sent later than T and the bound runs under a key that was taken away.
//
// All of these times are of steady clocks; the time of day has no part. An instance that is frozen looks at its clock
// after it wakes. A control instance behind a cut, or in a minority, hears no majority: its c gets older, and so do all
// leases that rest on it.
//
// How it pays. Calls are held for 0.3 s and may take 0.25 s more, so that by arithmetic c is at most some 0.6 s old when a
// control instance replies, and the entry instance's question as old when the next one is answered. An instance that
// loses control keeps its lease for Within less 1.2 s, which has to be longer than 0.6 of the revocation bound: as long
// are clients owed an answer.
package lease

import (
	"slices"
	"sync/atomic"
	"time"
)

// drift is how far apart the steady clocks of two instances may come within a lease, with a margin.
const drift = 200 * time.Millisecond

// Within returns how long a lease may be under a revocation bound, zero for ever if there is no bound.
func TTL(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return max(time.Millisecond, bound-drift)
}

// maxPending bounds the confirmations that wait for their table. Versions come a few a second at the most, and a table
// some tens of milliseconds after its version.
const maxPending = 16

// confirmation says that no configuration newer than a version was acknowledged by a moment.
type confirmation struct {
	version uint64
	at      time.Time
}

// Lease is what one instance may go by. Set the exported field before the first call.
type Lease struct {
	// Within is how long it lasts after the moment of a confirmation. Zero is for ever.
	TTL time.Duration

	// confirmed are ordered by version and by moment: of two, the one of the newer version is also the later one.
	confirmed atomic.Pointer[[]confirmation]
}

// Confirm notes that no configuration newer than a version was acknowledged by a moment.
func (l *Lease) Confirm(version uint64, at time.Time) {
	for {
		old := l.confirmed.Load()
		var list []confirmation
		if old != nil {
			list = *old
		}
		next, changed := with(list, confirmation{version: version, at: at})
		if !changed || l.confirmed.CompareAndSwap(old, &next) {
			return
		}
	}
}

// with adds a confirmation, and leaves out those that tell less than others.
func with(list []confirmation, c confirmation) (next []confirmation, changed bool) {
	for _, o := range list {
		if o.version <= c.version && !o.at.Before(c.at) {
			return list, false
		}
	}
	next = slices.DeleteFunc(slices.Clone(list), func(o confirmation) bool {
		return o.version >= c.version && !o.at.After(c.at)
	})
	at, _ := slices.BinarySearchFunc(next, c.version, func(o confirmation, v uint64) int {
		if o.version < v {
			return -1
		}
		return 1
	})
	next = slices.Insert(next, at, c)
	return next[max(0, len(next)-maxPending):], true
}

// at returns the latest moment by which a table is known to be the newest, and whether there is one.
func (l *Lease) at(version uint64) (time.Time, bool) {
	list := l.confirmed.Load()
	if list == nil {
		return time.Time{}, false
	}
	for i := len(*list) - 1; i >= 0; i-- {
		if c := (*list)[i]; c.version <= version {
			return c.at, true
		}
	}
	return time.Time{}, false
}

// Holds reports whether keys of a table of a version let requests in.
func (l *Lease) Valid(now time.Time, version uint64) bool {
	if l.TTL == 0 {
		return true
	}
	return l.WasNewestWithin(now, version, l.TTL)
}

// Newest reports whether a table of a version was the newest one so lately.
func (l *Lease) WasNewestWithin(now time.Time, version uint64, within time.Duration) bool {
	at, ok := l.at(version)
	return ok && now.Sub(at) < within
}

// Unconfirmed reports whether nothing was confirmed yet although keys need it, as after a start.
func (l *Lease) Unconfirmed() bool { return l.TTL > 0 && l.confirmed.Load() == nil }
