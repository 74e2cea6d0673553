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
	// peerLongPoll is how long control instances hold each other's Watch calls, so that each hears
	// from the others several times a second.
	peerLongPoll = 300 * time.Millisecond
	// seedTimeout is how recently a seed must have answered to count as reachable.
	seedTimeout = 2 * time.Second
	// servingTimeout is how recently an entry instance must have called to count as serving; it
	// spans three calls.
	servingTimeout = time.Second
	// knownTimeout is how recently an entry instance must have called to be counted at all. Removed
	// instances are counted until then.
	knownTimeout = 15 * time.Second
	// expireAfter is how long a silent instance is remembered.
	expireAfter = time.Minute
)

// presence tracks the instances that call this control instance or, as relayed, another one. The
// zero value is ready to use.
type presence struct {
	// fleet holds the entry and store instances; reports collects what is relayed about those that
	// call this instance directly.
	fleet   relay.Fleet
	reports relay.Reports

	mu sync.Mutex
	// controlPeers holds the control instances, all of which call each other.
	controlPeers map[string]membership.Peer
}

// recordCall records a Watch call. It returns the sequence number to acknowledge for relayed
// reports, and the ended calls they contain.
func (r *presence) recordCall(now time.Time, req *fleetpb.WatchRequest) (acknowledged uint64, ended []*fleetpb.EndpointUse) {
	if req.GetRole() != fleetpb.Role_ROLE_CONTROL {
		r.fleet.RecordCall(now, req)
		r.reports.RecordCall(now, req)
		return 0, nil
	}
	r.mu.Lock()
	if r.controlPeers == nil {
		r.controlPeers = map[string]membership.Peer{}
	}
	name := req.GetSender().GetInstance()
	r.controlPeers[name] = membership.Peer{Member: req.GetSender(), LastSeen: now, CopiedEpoch: req.GetCopiedEpoch(), Standby: req.GetStandby()}
	r.mu.Unlock()
	if req.GetRelayed() == nil {
		return 0, nil
	}
	return r.fleet.ApplyRelayed(now, name, req.GetRelayed())
}

// markAllHeard treats all instances as heard now, after this process was stalled.
func (r *presence) markAllHeard(now time.Time) {
	r.fleet.MarkAllHeard(now)
	r.reports.MarkAllHeard(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, p := range r.controlPeers {
		p.LastSeen = now
		r.controlPeers[name] = p
	}
}

// expire drops instances that have been silent for expireAfter.
func (r *presence) expire(now time.Time) {
	r.fleet.Expire(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, p := range r.controlPeers {
		if now.Sub(p.LastSeen) > expireAfter {
			delete(r.controlPeers, name)
		}
	}
}

// members returns the instances of a role that were heard within the given time, sorted by name.
func (r *presence) members(now time.Time, role fleetpb.Role, within time.Duration) []membership.Peer {
	var out []membership.Peer
	if role == fleetpb.Role_ROLE_CONTROL {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.controlPeers {
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

// presentDomains returns the failure domains with recently heard instances, including own.
func (r *presence) presentDomains(now time.Time, own string) map[string]bool {
	out := map[string]bool{own: true}
	for _, role := range []fleetpb.Role{fleetpb.Role_ROLE_CONTROL, fleetpb.Role_ROLE_ENTRY, fleetpb.Role_ROLE_STORE} {
		for _, p := range r.members(now, role, membership.LivenessTimeout) {
			out[p.Member.GetFailureDomain()] = true
		}
	}
	return out
}

// entryDomains counts the entry instances per failure domain, and returns the total number present and whether one of those
// that are known was not heard for entrySilence.
func (r *presence) entryDomains(now time.Time) (out []*fleetpb.EntryDomain, present uint32, silent bool) {
	byName := map[string]*fleetpb.EntryDomain{}
	for _, i := range r.fleet.Instances(now, fleetpb.Role_ROLE_ENTRY, knownTimeout) {
		name := i.Member.GetFailureDomain()
		if byName[name] == nil {
			byName[name] = &fleetpb.EntryDomain{FailureDomain: name}
			out = append(out, byName[name])
		}
		byName[name].Known++
		silent = silent || now.Sub(i.LastHeard) > entrySilence
		if now.Sub(i.LastHeard) < membership.LivenessTimeout {
			present++
		}
		if now.Sub(i.LastHeard) < servingTimeout {
			byName[name].Heard++
			if i.AcceptsRequests {
				byName[name].Serving++
			}
		}
	}
	return out, present, silent
}

// controlMembers returns the control instances heard within the given time, including this one,
// sorted by name.
func (c *Controller) controlMembers(now time.Time, within time.Duration) []*fleetpb.Member {
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

// rank returns this instance's position among the control instances heard recently.
func (c *Controller) rank(now time.Time) int {
	for i, m := range c.controlMembers(now, rankTimeout) {
		if m.GetInstance() == c.Self.GetInstance() {
			return i
		}
	}
	return 0
}
