// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/rockbarrow/membership"
	"rockbarrow.dev/schema/fleetpb"
)

// Watch answers with what is newer than the sender knows, or waits for it.
func (c *Controller) Watch(ctx context.Context, req *fleetpb.WatchRequest) (*fleetpb.WatchReply, error) {
	acknowledged := c.received(time.Now(), req)
	wait := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer wait.Stop()
	majority := c.reach.Load().GetMajority()
	for first := true; ; first = false {
		news := c.updates()
		if c.hasUpdate(req, first) || req.GetUnconfirmed() && c.confirmed() != nil || c.reach.Load().GetMajority() != majority {
			return c.reply(req, acknowledged), nil
		}
		select {
		case <-news:
		case <-c.confirmations(req):
		case <-wait.C:
			return c.reply(req, acknowledged), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// received takes what the sender tells. It returns the sequence to acknowledge of what it relays.
func (c *Controller) received(now time.Time, req *fleetpb.WatchRequest) (acknowledged uint64) {
	acknowledged, ended := c.presence.receive(now, req)
	c.sawList(req.GetListNumber())
	switch req.GetRole() {
	case fleetpb.Role_ROLE_ENTRY:
		c.loads.receive(now, req.GetSender().GetInstance(), req.GetUses(), req.GetCompact())
		c.lives.suspect(now, req.GetUses())
		c.quotas.Add(now, req.GetCustomerUses())
	case fleetpb.Role_ROLE_CONTROL:
		if req.GetRelayed() != nil {
			c.loads.receiveRelayed(now, req.GetSender().GetInstance(), req.GetRelayed().GetRunning(), ended)
			c.lives.suspect(now, ended)
		}
	}
	return acknowledged
}

// relayed returns what another control instance lacks of the reports of this one's followers.
func (c *Controller) relayed(acknowledged uint64) *fleetpb.Relayed {
	return c.presence.reports.Since(time.Now(), acknowledged, c.loads.direct())
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

// hasUpdate reports whether the sender wants a state or list that it lacks. While its call waits, a control instance is
// told only of what was made here: it hears of the rest from where that was made, or with its next call.
func (c *Controller) hasUpdate(req *fleetpb.WatchRequest, first bool) bool {
	if !req.GetWantsNews() {
		return false
	}
	state, list := c.State().GetNumber(), c.watch.List().Version().Number()
	if req.GetRole() == fleetpb.Role_ROLE_CONTROL && !first {
		state, list = min(state, c.madeState.Load()), min(list, c.madeList.Load())
	}
	return state > req.GetStateNumber() || req.GetRole() != fleetpb.Role_ROLE_STORE && list > req.GetListNumber()
}

// hasList reports whether the sender lacks a list that it has a use for.
func (c *Controller) hasList(req *fleetpb.WatchRequest) bool {
	return req.GetRole() != fleetpb.Role_ROLE_STORE && c.watch.List().Version().Number() > req.GetListNumber()
}

// headcountFor is how long a headcount is used: a third of the time between two calls
// of one instance. Counting for each call would make control's work grow with the square
// of the number of instances; what that costs was not measured by itself.
const headcountFor = 100 * time.Millisecond

// headcount is who is present, as replies tell it. It does not change.
type headcount struct {
	at time.Time
	// control are the control instances, and controlSum their checksum.
	control      []*fleetpb.Member
	controlSum   uint64
	entries      uint32
	entryDomains []*fleetpb.EntryDomain
}

// headcount returns a recent count. Two calls may count at once; either is as good.
func (c *Controller) headcount(now time.Time) *headcount {
	if h := c.counted.Load(); h != nil && now.Sub(h.at) < headcountFor {
		return h
	}
	h := &headcount{at: now, control: c.control(now, membership.PresentWithin)}
	h.controlSum = sumMembers(h.control)
	h.entryDomains, h.entries = c.presence.entryDomains(now)
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

func (c *Controller) reply(req *fleetpb.WatchRequest, acknowledged uint64) *fleetpb.WatchReply {
	now := time.Now()
	h := c.headcount(now)
	r := &fleetpb.WatchReply{
		Responder: c.Self, Entries: h.entries, Process: c.process, ControlSum: h.controlSum,
		AcceptedNumber: c.saved.Load().GetState().GetNumber(), Reach: c.reach.Load(), RelayedSequence: acknowledged,
	}
	if !req.GetCompact() || req.GetControlSum() != h.controlSum {
		r.Control = h.control
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
		r.ListAgeMs = uint64(max(0, now.Sub(l.ConfirmedAt()).Milliseconds()))
		if req.GetWantsNews() && c.hasList(req) {
			c.putList(r, l.Version(), req)
		}
		if req.GetWantsLoads() {
			r.Customers = c.customerCounts(now)
			r.Loads = c.loads.of(now, req.GetSender().GetInstance(), l.Version(), req.GetCompact())
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

// putList puts a list into a reply: what changed for a compact sender, and whole or packed for one of an earlier
// version.
func (c *Controller) putList(r *fleetpb.WatchReply, l *catalog.List, req *fleetpb.WatchRequest) {
	if req.GetCompact() {
		change, err := c.lists.Change(req.GetListSum(), l)
		if err == nil {
			r.ListChange = change
			return
		}
		c.Log.WithError(err).Error("a list of endpoints is sent as it is")
	}
	if req.GetCompact() || req.GetHeldLists() == nil {
		r.List = l.List()
		return
	}
	known := c.listed.Load()
	if known.List() != l.List() {
		made, err := document.NewList(l.List())
		if err != nil {
			c.Log.WithError(err).Error("a list of endpoints is sent as it is")
			r.List = l.List()
			return
		}
		known = made
		c.listed.Store(made)
	}
	r.PackedList = c.watch.Lists.PackList(known, req.GetHeldLists())
}

// sumMembers names a set of instances.
func sumMembers(members []*fleetpb.Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum += xxhash.Sum64String(fmt.Sprint(m.GetInstance(), "\x00", m.GetStorage(), "\x00", m.GetFailureDomain(), "\x00", m.GetAddress()))
	}
	return sum
}
