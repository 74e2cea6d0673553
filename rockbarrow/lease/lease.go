// SPDX-License-Identifier: MIT

// Package lease bounds the time for which an instance may trust the keys that it knows.
//
// The revocation bound is the time after the acknowledgement of a revocation from which on no request may be admitted
// by the revoked key. Instances that are partitioned, suspended or slow do not learn of the revocation. An instance
// therefore trusts its keys only for the duration of a lease, which control instances renew.
//
// Correctness. Let T be the time at which the operator receives the acknowledgement of a configuration, which is after a
// majority of the voters have persisted it.
//
//   - A control instance asks each voter for the number of the newest state that it has accepted. The reply is valid as of
//     the time of the request. If a majority of the voters of a state have accepted no higher number, no newer state
//     was chosen before the earliest of these times, c: a newer state needs a majority, any two majorities intersect,
//     and the number accepted by a voter never decreases below that of a chosen state. So T > c for each newer
//     configuration.
//   - The control instance sends the age of c with its reply. An entry instance that sent its request at time a, before
//     that reply, takes a minus the age for c, which is no later than the actual c. Delayed and duplicate replies
//     therefore renew nothing.
//   - A request is admitted at a time t < c + TTL, by a routing table with the configuration of that state or a newer one.
//     So t < T + TTL for each newer configuration, and the client sent the request before t.
//   - If the TTL is shorter than the revocation bound by at least the clock drift in that time, no request that is sent
//     after T plus the revocation bound is admitted by a revoked key.
//
// All times are from monotonic clocks. A suspended instance reads its clock after it resumes. A control instance that is
// partitioned or in a minority gets no replies from a majority, so its c ages and the leases based on it expire.
//
// Availability. Long polls are held for 0.3 s and take up to 0.25 s more, so that c is at most 0.6 s old when a control
// instance replies, and the request of the entry instance as old when the next reply arrives. An instance that loses
// its control instances keeps its lease for at least the TTL minus 1.2 s. This must exceed 0.6 of the revocation bound,
// during which clients must still be served.
package lease

import (
	"slices"
	"sync/atomic"
	"time"
)

// maxClockDrift bounds how far the monotonic clocks of two instances drift apart during a lease.
const maxClockDrift = 200 * time.Millisecond

// TTL returns the duration of a lease for a revocation bound. Zero means no bound, and a lease that does not expire.
func TTL(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return max(time.Millisecond, bound-maxClockDrift)
}

// maxPending bounds the confirmations kept for tables that have not arrived yet. There are at most a few versions per
// second, and a table arrives tens of milliseconds after its version.
const maxPending = 16

// confirmation states that no configuration newer than version was acknowledged before at.
type confirmation struct {
	version uint64
	at      time.Time
}

// Lease is the lease of one instance on its keys. Set the exported field before the first call.
type Lease struct {
	// TTL is the duration of the lease from the time of a confirmation. Zero means that it does not expire.
	TTL time.Duration

	// confirmed is sorted by version and by time: both increase.
	confirmed atomic.Pointer[[]confirmation]
}

// Confirm records that no configuration newer than a version was acknowledged before a time.
func (l *Lease) Confirm(version uint64, at time.Time) {
	for {
		old := l.confirmed.Load()
		var list []confirmation
		if old != nil {
			list = *old
		}
		next, changed := addConfirmation(list, confirmation{version: version, at: at})
		if !changed || l.confirmed.CompareAndSwap(old, &next) {
			return
		}
	}
}

// addConfirmation returns the list with a confirmation added, without those that are implied by others. It reports
// whether the list has changed.
func addConfirmation(list []confirmation, c confirmation) (next []confirmation, changed bool) {
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

// confirmedAt returns the latest time at which a table's version was confirmed to be the newest, if there is one.
func (l *Lease) confirmedAt(version uint64) (time.Time, bool) {
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

// Valid reports whether requests may be admitted by the keys of a table of a version.
func (l *Lease) Valid(now time.Time, version uint64) bool {
	if l.TTL == 0 {
		return true
	}
	return l.WasNewestWithin(now, version, l.TTL)
}

// WasNewestWithin reports whether a table's version was confirmed to be the newest less than maxAge ago.
func (l *Lease) WasNewestWithin(now time.Time, version uint64, maxAge time.Duration) bool {
	at, ok := l.confirmedAt(version)
	return ok && now.Sub(at) < maxAge
}

// Unconfirmed reports whether the lease expires and has had no confirmation yet, as after a start.
func (l *Lease) Unconfirmed() bool { return l.TTL > 0 && l.confirmed.Load() == nil }
