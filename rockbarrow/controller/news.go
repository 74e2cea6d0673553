// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"time"

	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/rockbarrow/membership"
	"rockbarrow.dev/schema/fleetpb"
)

// Watch answers with what is newer than the sender knows, or waits for it.
func (c *Controller) Watch(ctx context.Context, req *fleetpb.WatchRequest) (*fleetpb.WatchReply, error) {
	c.presence.heard(time.Now(), req)
	c.sawList(req.GetListNumber())
	if req.GetRole() == fleetpb.Role_ROLE_ENTRY {
		c.loads.heard(time.Now(), req.GetSender().GetInstance(), req.GetUses())
		c.lives.doubt(time.Now(), req.GetUses())
		c.quotas.Heard(time.Now(), req.GetCustomerUses())
	}
	wait := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer wait.Stop()
	for {
		news := c.newsChannel()
		if c.hasNews(req) || req.GetUnconfirmed() && c.confirmed() != nil {
			return c.reply(req), nil
		}
		select {
		case <-news:
		case <-c.confirmations(req):
		case <-wait.C:
			return c.reply(req), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// confirmTick is how often a call that waits for the first confirmation looks for it.
const confirmTick = 20 * time.Millisecond

// confirmations returns a channel that wakes a call which waits for the first confirmation, and never any other.
func (c *Controller) confirmations(req *fleetpb.WatchRequest) <-chan time.Time {
	if !req.GetUnconfirmed() {
		return nil
	}
	return time.After(confirmTick)
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
	c.quotas.Miss(missing(h.entryDomains))
	return h
}

// missing returns the part of the entry instances that were heard some time ago and not just now.
func missing(domains []*fleetpb.EntryDomain) float64 {
	known, heard := uint32(0), uint32(0)
	for _, d := range domains {
		known += d.GetKnown()
		heard += d.GetHeard()
	}
	if known == 0 {
		return 0
	}
	return float64(known-heard) / float64(known)
}

func (c *Controller) reply(req *fleetpb.WatchRequest) *fleetpb.WatchReply {
	now := time.Now()
	h := c.headcount(now)
	r := &fleetpb.WatchReply{
		Responder: c.Self, Control: h.control, Entries: h.entries, Process: c.process,
		AcceptedNumber: c.saved.Load().GetState().GetNumber(),
	}
	if req.GetRole() == fleetpb.Role_ROLE_ENTRY {
		r.EntryDomains, r.Confirmed = h.entryDomains, c.confirmed()
	}
	s := c.State()
	r.StateNumber = s.GetNumber()
	if req.GetWantsNews() && s.GetNumber() > req.GetStateNumber() {
		r.State = c.stateFor(s, req)
	}
	if l := c.watch.List(); l != nil {
		r.ListKnown, r.ListNumber = true, l.List().GetNumber()
		r.ListAgeMs = uint64(max(0, now.Sub(l.At()).Milliseconds()))
		if req.GetWantsNews() && c.hasList(req) {
			c.tellList(r, l.List(), req.GetHeldLists())
		}
		if req.GetWantsLoads() {
			r.Customers = c.customerCounts(now)
			r.Loads = c.loads.of(now, req.GetSender().GetInstance(), l.List())
		}
	}
	return r
}

// stateFor returns a state as the sender of a request needs it.
func (c *Controller) stateFor(s *fleetpb.State, req *fleetpb.WatchRequest) *fleetpb.State {
	if req.GetWithoutDocument() && c.Decode != nil {
		return document.WithoutDocument(s)
	}
	return c.watch.Documents.PackState(s, req.GetHeld())
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
