// SPDX-License-Identifier: MIT

package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// Instance is an entry or store instance as a control instance knows it.
type Instance struct {
	Member *fleetpb.Member
	Role   fleetpb.Role
	// Heard is when it called last, whichever control instance it called.
	LastHeard time.Time
	// Copied is the newest view whose records a store holds.
	CopiedEpoch uint64
	// Serves is true if an entry instance takes requests.
	Serves bool
}

// Fleet is the instances that a control instance knows, by its own followers and by those of others. The zero value is
// ready.
type Fleet struct {
	mu     sync.Mutex
	direct map[string]*Instance
	relays map[string]*relayed
}

// relayed is what one other control instance has passed on.
type relayed struct {
	process, sequence uint64
	// heard is when its last message was received.
	heard     time.Time
	followers map[string]*relayedFollower
}

type relayedFollower struct {
	Instance
	// calm is true while it calls at its usual interval: it was heard when its relay was.
	calm bool
}

// Receive takes a call of an entry or store instance.
func (f *Fleet) RecordCall(now time.Time, req *fleetpb.WatchRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.direct == nil {
		f.direct = map[string]*Instance{}
	}
	f.direct[req.GetSender().GetInstance()] = &Instance{
		Member: req.GetSender(), Role: req.GetRole(), LastHeard: now, CopiedEpoch: req.GetCopiedEpoch(), Serves: req.GetServes(),
	}
}

// Take takes a message of another control instance. It returns the sequence to acknowledge, zero if a snapshot is needed,
// and the ended calls that were not taken before.
func (f *Fleet) ApplyRelayed(now time.Time, from string, m *fleetpb.Relayed) (acknowledged uint64, ended []*fleetpb.EndpointUse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relays == nil {
		f.relays = map[string]*relayed{}
	}
	r := f.relays[from]
	if r != nil && r.process == m.GetProcess() && m.GetSequence() < r.sequence {
		// An older message came late.
		return r.sequence, nil
	}
	if m.GetSince() == 0 {
		r = &relayed{process: m.GetProcess(), followers: map[string]*relayedFollower{}}
		f.relays[from] = r
	} else if r == nil || r.process != m.GetProcess() || m.GetSince() > r.sequence {
		return 0, nil
	}
	for _, e := range m.GetEnded() {
		if e.GetSequence() > r.sequence {
			ended = append(ended, e.GetUses()...)
		}
	}
	r.take(now, m)
	return r.sequence, ended
}

// take applies a message that is no older than the last one.
func (r *relayed) take(now time.Time, m *fleetpb.Relayed) {
	r.sequence, r.heard = m.GetSequence(), now
	for _, u := range m.GetFollowers() {
		r.followers[u.GetMember().GetInstance()] = &relayedFollower{calm: u.GetSilentMs() == 0, Instance: Instance{
			Member: u.GetMember(), Role: u.GetRole(), CopiedEpoch: u.GetCopiedEpoch(), Serves: u.GetServes(),
			LastHeard: now.Add(-time.Duration(u.GetSilentMs()) * time.Millisecond),
		}}
	}
	for _, name := range m.GetLeft() {
		delete(r.followers, name)
	}
}

// Instances returns the instances of a role that were heard within a time, by name.
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
	for _, i := range f.direct {
		merge(*i)
	}
	for _, r := range f.relays {
		for _, u := range r.followers {
			i := u.Instance
			if u.calm {
				i.LastHeard = r.heard
			}
			merge(i)
		}
	}
	out := make([]Instance, 0, len(newest))
	for _, i := range newest {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.Member.GetInstance(), b.Member.GetInstance()) })
	return out
}

// Forget drops instances and relays that were not heard for long.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, i := range f.direct {
		if now.Sub(i.LastHeard) > forgetAfter {
			delete(f.direct, name)
		}
	}
	for name, r := range f.relays {
		if now.Sub(r.heard) > forgetAfter {
			delete(f.relays, name)
		}
	}
}

// Refresh counts all instances as heard now, after this process was stopped for a while.
func (f *Fleet) MarkAllHeard(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.direct {
		i.LastHeard = now
	}
	for _, r := range f.relays {
		r.heard = now
		for _, u := range r.followers {
			u.LastHeard = now
		}
	}
}
