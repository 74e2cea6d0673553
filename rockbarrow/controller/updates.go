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

// Watch is a long poll: it returns as soon as there is a newer state or list than the sender has,
// or when the sender's wait time is over.
func (c *Controller) Watch(ctx context.Context, req *fleetpb.WatchRequest) (*fleetpb.WatchReply, error) {
	acknowledged := c.recordRequest(time.Now(), req)
	wait := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer wait.Stop()
	majority := c.reach.Load().GetMajority()
	for first := true; ; first = false {
		updated := c.updateChan()
		if c.hasUpdateFor(req, first) || c.hasSuspectsFor(req) || req.GetUnconfirmed() && c.confirmation() != nil || c.reach.Load().GetMajority() != majority {
			return c.reply(req, acknowledged), nil
		}
		select {
		case <-updated:
		case <-c.confirmationTimer(req):
		case <-wait.C:
			return c.reply(req, acknowledged), nil
		case <-c.stopping:
			return c.reply(req, acknowledged), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recordRequest records the reports in a request. It returns the sequence number to acknowledge for
// relayed reports.
func (c *Controller) recordRequest(now time.Time, req *fleetpb.WatchRequest) (acknowledged uint64) {
	acknowledged, ended := c.presence.recordCall(now, req)
	c.observeListNumber(req.GetListNumber())
	switch req.GetRole() {
	case fleetpb.Role_ROLE_ENTRY:
		if req.GetWantsSuspects() && req.GetSuspectProcess() == 0 {
			// It has just started, and an earlier process of it may have ended.
			c.entryLosses.add(now)
		}
		c.loads.record(now, req.GetSender().GetInstance(), req.GetUses(), req.GetCompact())
		c.incarnations.probeAfterLoss(now, req.GetUses())
		c.quotas.Add(now, req.GetCustomerUses())
	case fleetpb.Role_ROLE_CONTROL:
		c.propagation.record(req.GetSender().GetInstance(), req.GetStateNumber())
		if req.GetRelayed() != nil {
			c.loads.recordRelayed(now, req.GetSender().GetInstance(), req.GetRelayed().GetRunning(), ended)
			c.incarnations.probeAfterLoss(now, ended)
		}
	}
	return acknowledged
}

// relayReports returns the followers' reports that another control instance has not acknowledged.
func (c *Controller) relayReports(acknowledged uint64) *fleetpb.Relayed {
	return c.presence.reports.Since(time.Now(), acknowledged, c.loads.relayedRunning())
}

// confirmPollInterval is the interval at which a call that waits for the first confirmation checks
// for it.
const confirmPollInterval = 20 * time.Millisecond

// confirmationTimer returns a timer channel for calls that wait for the first confirmation, and nil
// for all others.
func (c *Controller) confirmationTimer(req *fleetpb.WatchRequest) <-chan time.Time {
	if !req.GetUnconfirmed() {
		return nil
	}
	return time.After(confirmPollInterval)
}

// hasUpdateFor reports whether there is a state or list that the sender wants and lacks. A sender
// that gets updates from another control instance is notified of a newer state too, since the other
// one may have stalled. While its call waits, a control instance is notified only of updates
// that originated here; it receives others from their origin or with its next call.
func (c *Controller) hasUpdateFor(req *fleetpb.WatchRequest, first bool) bool {
	if !req.GetWantsNews() {
		return c.State().GetNumber() > req.GetStateNumber()
	}
	state, list := c.State().GetNumber(), c.watch.List().Version().Number()
	if req.GetRole() == fleetpb.Role_ROLE_CONTROL && !first {
		state, list = min(state, c.originatedState.Load()), min(list, c.originatedList.Load())
	}
	return state > req.GetStateNumber() || req.GetRole() != fleetpb.Role_ROLE_STORE && list > req.GetListNumber()
}

// lacksList reports whether the sender uses lists and lacks the newest one.
func (c *Controller) lacksList(req *fleetpb.WatchRequest) bool {
	return req.GetRole() != fleetpb.Role_ROLE_STORE && c.watch.List().Version().Number() > req.GetListNumber()
}

// memberSummaryTTL is how long a member summary is reused: a third of the time between two calls of
// an instance. Counting for each call would make the work grow with the square of the number of
// instances.
const memberSummaryTTL = 100 * time.Millisecond

// memberSummary is an immutable summary of the present instances as included in replies.
type memberSummary struct {
	at time.Time
	// control are the control instances, and controlChecksum identifies the set.
	control         []*fleetpb.Member
	controlChecksum uint64
	presentEntries  uint32
	entryDomains    []*fleetpb.EntryDomain
}

// memberSummary returns a recent summary. Concurrent calls may compute it twice.
func (c *Controller) memberSummary(now time.Time) *memberSummary {
	if summary := c.cachedSummary.Load(); summary != nil && now.Sub(summary.at) < memberSummaryTTL {
		return summary
	}
	summary := &memberSummary{at: now, control: c.controlMembers(now, membership.LivenessTimeout)}
	summary.controlChecksum = membersChecksum(summary.control)
	var silent bool
	summary.entryDomains, summary.presentEntries, silent = c.presence.entryDomains(now)
	if silent {
		c.entryLosses.add(now)
	}
	c.cachedSummary.Store(summary)
	c.quotas.SetMissingShare(silentShare(summary.entryDomains))
	return summary
}

// silentShare returns the share of the known entry instances that were not heard recently.
func silentShare(domains []*fleetpb.EntryDomain) float64 {
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
	summary := c.memberSummary(now)
	r := &fleetpb.WatchReply{
		Responder: c.Self, Entries: summary.presentEntries, Process: c.processID, ControlSum: summary.controlChecksum,
		AcceptedNumber: c.savedRecord.Load().GetState().GetNumber(), Reach: c.reach.Load(), RelayedSequence: acknowledged,
		Suspects: c.suspectsFor(now, req),
	}
	if !req.GetCompact() || req.GetControlSum() != summary.controlChecksum {
		r.Control = summary.control
	}
	if req.GetRole() == fleetpb.Role_ROLE_ENTRY {
		r.EntryDomains, r.Confirmed = summary.entryDomains, c.confirmation()
	}
	s := c.State()
	r.StateNumber = s.GetNumber()
	if req.GetWantsNews() && s.GetNumber() > req.GetStateNumber() {
		r.State = c.stateFor(s, req)
	}
	if l := c.watch.List(); l != nil {
		r.ListKnown, r.ListNumber = true, l.List().GetNumber()
		r.ListAgeMs = uint64(max(0, now.Sub(l.ConfirmedAt()).Milliseconds()))
		if req.GetWantsNews() && c.lacksList(req) {
			c.setList(r, l.Version(), req)
		}
		if req.GetWantsLoads() {
			r.Customers = c.customerCounts(now)
			r.Loads = c.loads.forEntry(now, req.GetSender().GetInstance(), l.Version(), req.GetCompact())
		}
	}
	return r
}

// stateFor returns a state in the form that the sender of a request needs.
func (c *Controller) stateFor(s *fleetpb.State, req *fleetpb.WatchRequest) *fleetpb.State {
	if req.GetWithoutDocument() && c.Decode != nil {
		return document.WithoutDocument(s)
	}
	return c.watch.Documents.PackState(s, req.GetHeld())
}

// setList adds a list to a reply: a change for a compact sender, otherwise the whole or packed list
// for a sender of an earlier version.
func (c *Controller) setList(r *fleetpb.WatchReply, l *catalog.List, req *fleetpb.WatchRequest) {
	if req.GetCompact() {
		change, err := c.listHistory.ChangeFrom(req.GetListSum(), l)
		if err == nil {
			r.ListChange = change
			return
		}
		c.Log.WithError(err).Error("failed to encode a list of endpoints, sending it unencoded")
	}
	if req.GetCompact() || req.GetHeldLists() == nil {
		r.List = l.Proto()
		return
	}
	known := c.packableList.Load()
	if known.List() != l.Proto() {
		packable, err := document.NewList(l.Proto())
		if err != nil {
			c.Log.WithError(err).Error("failed to encode a list of endpoints, sending it unencoded")
			r.List = l.Proto()
			return
		}
		known = packable
		c.packableList.Store(packable)
	}
	r.PackedList = c.watch.Lists.PackList(known, req.GetHeldLists())
}

// membersChecksum returns a checksum of a set of instances that does not depend on their order.
func membersChecksum(members []*fleetpb.Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum += xxhash.Sum64String(fmt.Sprint(m.GetInstance(), "\x00", m.GetStorage(), "\x00", m.GetFailureDomain(), "\x00", m.GetAddress()))
	}
	return sum
}
