// SPDX-License-Identifier: MIT

package controller

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/membership"
	"rockbarrow.dev/rockbarrow/relay"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// peerHold is how long control instances hold each other's calls, so that
	// each hears the others several times a second.
	peerHold = 300 * time.Millisecond
	// foundersWithin is how lately a founder must have been heard.
	foundersWithin = 2 * time.Second
	// servingWithin is how lately an entry instance must have asked to count as
	// serving: three of its calls.
	servingWithin = time.Second
	// knownWithin is how lately one must have asked to count at all. Those that
	// were taken away count for this long.
	knownWithin = 15 * time.Second
	// forgetAfter drops an instance that is gone for good.
	forgetAfter = time.Minute
)

// presence is who calls this instance or, as relayed by others, another control instance. The zero value is ready.
type presence struct {
	// fleet holds the entry and store instances, and reports what is relayed of those that call here.
	fleet   relay.Fleet
	reports relay.Reports

	mu sync.Mutex
	// control holds the control instances, all of which call each other.
	control map[string]membership.Peer
}

// receive takes a call. It returns the sequence to acknowledge of what the caller relays, and the calls of followers that
// ended.
func (r *presence) receive(now time.Time, req *fleetpb.WatchRequest) (acknowledged uint64, ended []*fleetpb.EndpointUse) {
	if req.GetRole() != fleetpb.Role_ROLE_CONTROL {
		r.fleet.RecordCall(now, req)
		r.reports.RecordCall(now, req)
		return 0, nil
	}
	r.mu.Lock()
	if r.control == nil {
		r.control = map[string]membership.Peer{}
	}
	name := req.GetSender().GetInstance()
	r.control[name] = membership.Peer{Member: req.GetSender(), LastSeen: now, CopiedEpoch: req.GetCopiedEpoch()}
	r.mu.Unlock()
	if req.GetRelayed() == nil {
		return 0, nil
	}
	return r.fleet.ApplyRelayed(now, name, req.GetRelayed())
}

// refresh counts all as heard now, after this process stood still.
func (r *presence) refresh(now time.Time) {
	r.fleet.MarkAllHeard(now)
	r.reports.MarkAllHeard(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, p := range r.control {
		p.LastSeen = now
		r.control[name] = p
	}
}

// forget drops instances that were not heard for long.
func (r *presence) forget(now time.Time) {
	r.fleet.Expire(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, p := range r.control {
		if now.Sub(p.LastSeen) > forgetAfter {
			delete(r.control, name)
		}
	}
}

// members returns the instances of a role that were heard within a time, by name.
func (r *presence) members(now time.Time, role fleetpb.Role, within time.Duration) []membership.Peer {
	var out []membership.Peer
	if role == fleetpb.Role_ROLE_CONTROL {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.control {
			if now.Sub(p.LastSeen) < within {
				out = append(out, p)
			}
		}
		slices.SortFunc(out, func(a, b membership.Peer) int { return strings.Compare(a.Member.GetInstance(), b.Member.GetInstance()) })
		return out
	}
	for _, i := range r.fleet.Instances(now, role, within) {
		out = append(out, membership.Peer{Member: i.Member, LastSeen: i.LastHeard, CopiedEpoch: i.CopiedEpoch})
	}
	return out
}

// domains returns the failure domains of which any instance was heard lately, and the
// own one.
func (r *presence) domains(now time.Time, own string) map[string]bool {
	out := map[string]bool{own: true}
	for _, role := range []fleetpb.Role{fleetpb.Role_ROLE_CONTROL, fleetpb.Role_ROLE_ENTRY, fleetpb.Role_ROLE_STORE} {
		for _, p := range r.members(now, role, membership.LivenessTimeout) {
			out[p.Member.GetFailureDomain()] = true
		}
	}
	return out
}

// entryDomains counts the entry instances of each failure domain, by name, and those that are present in all.
func (r *presence) entryDomains(now time.Time) (out []*fleetpb.EntryDomain, present uint32) {
	at := map[string]*fleetpb.EntryDomain{}
	for _, i := range r.fleet.Instances(now, fleetpb.Role_ROLE_ENTRY, knownWithin) {
		name := i.Member.GetFailureDomain()
		if at[name] == nil {
			at[name] = &fleetpb.EntryDomain{FailureDomain: name}
			out = append(out, at[name])
		}
		at[name].Known++
		if now.Sub(i.LastHeard) < membership.LivenessTimeout {
			present++
		}
		if now.Sub(i.LastHeard) < servingWithin {
			at[name].Heard++
			if i.Serves {
				at[name].Serving++
			}
		}
	}
	return out, present
}

// control returns the control instances that this one knows, itself included.
func (c *Controller) control(now time.Time, within time.Duration) []*fleetpb.Member {
	out := []*fleetpb.Member{c.Self}
	for _, p := range c.presence.members(now, fleetpb.Role_ROLE_CONTROL, within) {
		if p.Member.GetInstance() != c.Self.GetInstance() {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b *fleetpb.Member) int {
		return strings.Compare(a.GetInstance(), b.GetInstance())
	})
	return out
}

// rank is this instance's place among the control instances heard lately.
func (c *Controller) rank(now time.Time) int {
	for i, m := range c.control(now, leaderWithin) {
		if m.GetInstance() == c.Self.GetInstance() {
			return i
		}
	}
	return 0
}
