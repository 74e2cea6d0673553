// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/document"
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

// Watch answers with what is newer than the sender knows, or waits for it.
func (c *Controller) Watch(ctx context.Context, req *fleetpb.WatchRequest) (*fleetpb.WatchReply, error) {
	c.presence.heard(time.Now(), req)
	c.sawList(req.GetListNumber())
	if req.GetRole() == fleetpb.Role_ROLE_ENTRY {
		c.loads.heard(time.Now(), req.GetSender().GetInstance(), req.GetUses())
	}
	wait := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer wait.Stop()
	for {
		news := c.newsChannel()
		if c.hasNews(req) {
			return c.reply(req), nil
		}
		select {
		case <-news:
		case <-wait.C:
			return c.reply(req), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *Controller) hasNews(req *fleetpb.WatchRequest) bool {
	return req.GetWantsNews() && (c.State().GetNumber() > req.GetStateNumber() || c.hasList(req))
}

// hasList reports whether the sender lacks a list that it has a use for.
func (c *Controller) hasList(req *fleetpb.WatchRequest) bool {
	return req.GetRole() != fleetpb.Role_ROLE_STORE && c.watch.List().List().GetNumber() > req.GetListNumber()
}

// headcountFor is how long a headcount is used: a third of the time between two calls
// of one instance. Counting for each call would make control's work grow with the square
// of the number of instances; what that costs was not measured by itself.
const headcountFor = 100 * time.Millisecond

// headcount is who is present, as replies tell it. It does not change.
type headcount struct {
	at           time.Time
	control      []*fleetpb.Member
	entries      uint32
	entryDomains []*fleetpb.EntryDomain
}

// headcount returns a recent count. Two calls may count at once; either is as good.
func (c *Controller) headcount(now time.Time) *headcount {
	if h := c.counted.Load(); h != nil && now.Sub(h.at) < headcountFor {
		return h
	}
	h := &headcount{
		at: now, control: c.control(now, membership.PresentWithin),
		entries:      uint32(len(c.presence.of(now, fleetpb.Role_ROLE_ENTRY, membership.PresentWithin))),
		entryDomains: c.presence.entryDomains(now),
	}
	c.counted.Store(h)
	return h
}

func (c *Controller) reply(req *fleetpb.WatchRequest) *fleetpb.WatchReply {
	now := time.Now()
	h := c.headcount(now)
	r := &fleetpb.WatchReply{Responder: c.Self, Control: h.control, Entries: h.entries}
	if req.GetRole() == fleetpb.Role_ROLE_ENTRY {
		r.EntryDomains = h.entryDomains
	}
	s := c.State()
	r.StateNumber = s.GetNumber()
	if req.GetWantsNews() && s.GetNumber() > req.GetStateNumber() {
		r.State = c.watch.Documents.PackState(s, req.GetHeld())
	}
	if l := c.watch.List(); l != nil {
		r.ListKnown, r.ListNumber = true, l.List().GetNumber()
		r.ListAgeMs = uint64(max(0, now.Sub(l.At()).Milliseconds()))
		if req.GetWantsNews() && c.hasList(req) {
			c.tellList(r, l.List(), req.GetHeldLists())
		}
		if req.GetWantsLoads() {
			r.Loads = c.loads.of(now, req.GetSender().GetInstance(), l.List())
		}
	}
	return r
}

// tellList puts a list into a reply, whole for who understands nothing else.
func (c *Controller) tellList(r *fleetpb.WatchReply, l *fleetpb.EndpointList, held *fleetpb.Held) {
	if held == nil {
		r.List = l
		return
	}
	known := c.listed.Load()
	if known.List() != l {
		made, err := document.NewList(l)
		if err != nil {
			c.Log.WithError(err).Error("a list of endpoints is told whole")
			r.List = l
			return
		}
		known = made
		c.listed.Store(made)
	}
	r.PackedList = c.watch.Lists.PackList(known, held)
}
