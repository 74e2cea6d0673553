// SPDX-License-Identifier: MIT

package controller

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/membership"
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

// peer is what is known of one instance.
type peer struct {
	member *fleetpb.Member
	role   fleetpb.Role
	heard  time.Time
	copied uint64
	// serves is true if an entry instance takes requests.
	serves bool
}

// presence is who called this instance, and when. The zero value is ready.
type presence struct {
	mu    sync.Mutex
	peers map[string]*peer
}

func (r *presence) heard(now time.Time, req *fleetpb.WatchRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peers == nil {
		r.peers = map[string]*peer{}
	}
	r.peers[req.GetSender().GetInstance()] = &peer{
		member: req.GetSender(), role: req.GetRole(), heard: now,
		copied: req.GetCopiedEpoch(), serves: req.GetServes(),
	}
}

// refresh counts all as heard now, after this process stood still.
func (r *presence) refresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.peers {
		s.heard = now
	}
}

// forget drops instances that were not heard for long.
func (r *presence) forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.peers {
		if now.Sub(s.heard) > forgetAfter {
			delete(r.peers, name)
		}
	}
}

// of returns the instances of a role that were heard within a time, by name.
func (r *presence) of(now time.Time, role fleetpb.Role, within time.Duration) []peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []peer
	for _, s := range r.peers {
		if s.role == role && now.Sub(s.heard) < within {
			out = append(out, *s)
		}
	}
	slices.SortFunc(out, func(a, b peer) int {
		return strings.Compare(a.member.GetInstance(), b.member.GetInstance())
	})
	return out
}

// members returns the instances of a role as package membership needs them.
func (r *presence) members(now time.Time, role fleetpb.Role, within time.Duration) []membership.Peer {
	var out []membership.Peer
	for _, s := range r.of(now, role, within) {
		out = append(out, membership.Peer{Member: s.member, Heard: s.heard, Copied: s.copied})
	}
	return out
}

// domains returns the failure domains of which any instance was heard lately, and the
// own one.
func (r *presence) domains(now time.Time, own string) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]bool{own: true}
	for _, s := range r.peers {
		if now.Sub(s.heard) < membership.PresentWithin {
			out[s.member.GetFailureDomain()] = true
		}
	}
	return out
}

// entryDomains counts the entry instances of each failure domain, by name.
func (r *presence) entryDomains(now time.Time) []*fleetpb.EntryDomain {
	var out []*fleetpb.EntryDomain
	at := map[string]*fleetpb.EntryDomain{}
	for _, s := range r.of(now, fleetpb.Role_ROLE_ENTRY, knownWithin) {
		name := s.member.GetFailureDomain()
		if at[name] == nil {
			at[name] = &fleetpb.EntryDomain{FailureDomain: name}
			out = append(out, at[name])
		}
		at[name].Known++
		if now.Sub(s.heard) < servingWithin {
			at[name].Heard++
			if s.serves {
				at[name].Serving++
			}
		}
	}
	return out
}

// control returns the control instances that this one knows, itself included.
func (c *Controller) control(now time.Time, within time.Duration) []*fleetpb.Member {
	out := []*fleetpb.Member{c.Self}
	for _, s := range c.presence.of(now, fleetpb.Role_ROLE_CONTROL, within) {
		if s.member.GetInstance() != c.Self.GetInstance() {
			out = append(out, s.member)
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
