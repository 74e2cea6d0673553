// SPDX-License-Identifier: MIT

package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// Instance is an entry or store instance known to a control instance.
type Instance struct {
	Member *fleetpb.Member
	Role   fleetpb.Role
	// LastHeard is when it last called any control instance.
	LastHeard time.Time
	// CopiedEpoch is the newest view whose records a store holds.
	CopiedEpoch uint64
	// AcceptsRequests reports whether an entry instance accepts requests.
	AcceptsRequests bool
}

// Fleet holds the instances known to a control instance, both its own followers and relayed ones.
// The zero value is ready to use.
type Fleet struct {
	mu     sync.Mutex
	direct map[string]*Instance
	relays map[string]*relayState
}

// relayState is the state relayed by another control instance.
type relayState struct {
	processID, sequence uint64
	// lastHeard is when its last message was received.
	lastHeard time.Time
	followers map[string]*relayedFollower
}

type relayedFollower struct {
	Instance
	// regular is true while the follower calls at its regular interval; it then counts as heard
	// when the relaying control instance was.
	regular bool
}

// RecordCall records a call of an entry or store instance.
func (f *Fleet) RecordCall(now time.Time, req *fleetpb.WatchRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.direct == nil {
		f.direct = map[string]*Instance{}
	}
	f.direct[req.GetSender().GetInstance()] = &Instance{
		Member: req.GetSender(), Role: req.GetRole(), LastHeard: now, CopiedEpoch: req.GetCopiedEpoch(), AcceptsRequests: req.GetServes(),
	}
}

// ApplyRelayed applies a message of another control instance. It returns the sequence number to
// acknowledge, zero if a snapshot is needed, and the ended calls that are new.
func (f *Fleet) ApplyRelayed(now time.Time, from string, m *fleetpb.Relayed) (acknowledged uint64, ended []*fleetpb.EndpointUse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relays == nil {
		f.relays = map[string]*relayState{}
	}
	r := f.relays[from]
	if r != nil && r.processID == m.GetProcess() && m.GetSequence() < r.sequence {
		// The message was overtaken by a newer one.
		return r.sequence, nil
	}
	if m.GetSince() == 0 {
		r = &relayState{processID: m.GetProcess(), followers: map[string]*relayedFollower{}}
		f.relays[from] = r
	} else if r == nil || r.processID != m.GetProcess() || m.GetSince() > r.sequence {
		return 0, nil
	}
	for _, e := range m.GetEnded() {
		if e.GetSequence() > r.sequence {
			ended = append(ended, e.GetUses()...)
		}
	}
	r.apply(now, m)
	return r.sequence, ended
}

// apply applies a message that is not older than the last one.
func (r *relayState) apply(now time.Time, m *fleetpb.Relayed) {
	r.sequence, r.lastHeard = m.GetSequence(), now
	for _, u := range m.GetFollowers() {
		r.followers[u.GetMember().GetInstance()] = &relayedFollower{regular: u.GetSilentMs() == 0, Instance: Instance{
			Member: u.GetMember(), Role: u.GetRole(), CopiedEpoch: u.GetCopiedEpoch(), AcceptsRequests: u.GetServes(),
			LastHeard: now.Add(-time.Duration(u.GetSilentMs()) * time.Millisecond),
		}}
	}
	for _, name := range m.GetLeft() {
		delete(r.followers, name)
	}
}

// Instances returns the instances of a role that were heard within the given time, sorted by name.
func (f *Fleet) Instances(now time.Time, role fleetpb.Role, within time.Duration) []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := map[string]Instance{}
	merge := func(i Instance) {
		name := i.Member.GetInstance()
		if i.Role != role || now.Sub(i.LastHeard) >= within {
			return
		}
		known, ok := newest[name]
		if !ok || known.LastHeard.Before(i.LastHeard) {
			if known.Member.GetStorage() == i.Member.GetStorage() {
				i.CopiedEpoch = max(i.CopiedEpoch, known.CopiedEpoch)
			}
			newest[name] = i
		} else if known.Member.GetStorage() == i.Member.GetStorage() {
			known.CopiedEpoch = max(i.CopiedEpoch, known.CopiedEpoch)
			newest[name] = known
		}
	}
	f.each(merge)
	out := make([]Instance, 0, len(newest))
	for _, i := range newest {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.Member.GetInstance(), b.Member.GetInstance()) })
	return out
}

// Expire drops instances and control instances that have been silent for too long.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, i := range f.direct {
		if now.Sub(i.LastHeard) > expireAfter {
			delete(f.direct, name)
		}
	}
	for name, r := range f.relays {
		if now.Sub(r.lastHeard) > expireAfter {
			delete(f.relays, name)
		}
	}
}

// each calls yield with what is known of each instance by each control instance; the caller holds mu.
func (f *Fleet) each(yield func(Instance)) {
	for _, i := range f.direct {
		yield(*i)
	}
	for _, r := range f.relays {
		for _, u := range r.followers {
			yield(r.instance(u))
		}
	}
}

// instance returns a follower as the relaying control instance knows it.
func (r *relayState) instance(u *relayedFollower) Instance {
	i := u.Instance
	if u.regular {
		i.LastHeard = r.lastHeard
	}
	return i
}

// MarkAllHeard treats all instances as heard now, after this process was stalled, but for incarnations of stores that others
// have followed.
func (f *Fleet) MarkAllHeard(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := map[string]Instance{}
	f.each(func(i Instance) {
		name := i.Member.GetInstance()
		if known, ok := newest[name]; !ok || known.LastHeard.Before(i.LastHeard) {
			newest[name] = i
		}
	})
	isFollowed := func(m *fleetpb.Member) bool { return newest[m.GetInstance()].Member.GetStorage() != m.GetStorage() }
	for name, i := range f.direct {
		if isFollowed(i.Member) {
			delete(f.direct, name)
			continue
		}
		i.LastHeard = now
	}
	for _, r := range f.relays {
		r.lastHeard = now
		for name, u := range r.followers {
			if isFollowed(u.Member) {
				delete(r.followers, name)
				continue
			}
			u.LastHeard = now
		}
	}
}
