// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// suspectWakeDelay collects changes of suspects before the waiting calls are answered.
	suspectWakeDelay = 5 * time.Millisecond
	// falseEndAge is how long after its reported end an endpoint must still be listed as ready for the report to be
	// wrong. The platform lists a crashed endpoint for some seconds.
	falseEndAge = 15 * time.Second
	// falseEndInterval is how often that is checked.
	falseEndInterval = time.Second
	// clearTimeout bounds the call that passes an operator's lift on to another control instance.
	clearTimeout = 300 * time.Millisecond
)

// ReportEnds records which requests were in progress at endpoints that ended, and how suspects fared.
func (c *Controller) ReportEnds(ctx context.Context, report *fleetpb.EndReport) (*fleetpb.EndReportReply, error) {
	now, before := time.Now(), c.suspects.Sequence()
	out := &fleetpb.EndReportReply{}
	for _, p := range report.GetEnds() {
		e, err := quarantine.EndFromProto(now, p, c.serviceEndpoints(p.GetService()))
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		for _, v := range c.suspects.RecordEnd(now, e) {
			c.logVerdict(v, e)
		}
		for _, m := range e.Participants {
			out.Suspects = append(out.Suspects, c.suspects.Of(now, m.Keys)...)
		}
	}
	for _, p := range report.GetCompleted() {
		if k, err := quarantine.KeysFromProto(p); err == nil {
			c.suspects.Completed(now, k)
		}
	}
	for _, p := range report.GetFinished() {
		if k, err := quarantine.KeysFromProto(p.GetKeys()); err == nil {
			id := incarnation.ID{EndpointID: p.GetEndpoint(), StartMS: p.GetBornMs()}
			if p.GetUnknown() {
				c.suspects.Expire(now, k, id, p.GetAsker())
			} else {
				c.suspects.Finish(now, k, id, p.GetAsker())
			}
		}
	}
	lost := quarantine.LostFromProto(report.GetLost())
	c.suspects.RecordLost(now, lost)
	for _, l := range lost {
		out.Suspects = append(out.Suspects, c.suspects.Of(now, l.Keys)...)
	}
	c.suspects.Merge(now, report.GetKnown(), false)
	c.notifySuspects(before)
	if len(report.GetEnds()) > 0 {
		c.suspectStore.await(ctx, c.suspects.Sequence())
	}
	return out, nil
}

// logVerdict logs the verdict on a suspect that followed from an end.
func (c *Controller) logVerdict(v quarantine.Verdict, last quarantine.End) {
	c.Log.WithFields(logrus.Fields{
		"key": v.Key.String(), "service": last.Service, "endpoint": last.Endpoint.EndpointID, "born_ms": last.Endpoint.StartMS,
		"refused": v.Refused, "chance": v.Chance, "rival": v.Rival, "unexplained": v.Unexplained,
	}).Warn("endpoints ended under a request")
}

// serviceEndpoints returns the number of listed endpoints of a service.
func (c *Controller) serviceEndpoints(service string) int {
	n := 0
	for _, p := range c.watch.List().List().GetEndpoints() {
		if p.GetService() == service {
			n++
		}
	}
	return n
}

func decisionProto(d quarantine.Decision) fleetpb.TrialReply_Decision {
	switch d.(type) {
	case quarantine.Free:
		return fleetpb.TrialReply_DECISION_FREE
	case quarantine.Granted:
		return fleetpb.TrialReply_DECISION_GRANTED
	case quarantine.Busy:
		return fleetpb.TrialReply_DECISION_BUSY
	case quarantine.Occupied:
		return fleetpb.TrialReply_DECISION_OCCUPIED
	case quarantine.Held:
		return fleetpb.TrialReply_DECISION_HELD
	case quarantine.Refused:
		return fleetpb.TrialReply_DECISION_REFUSED
	}
	return fleetpb.TrialReply_DECISION_UNSPECIFIED
}

// Suspects reports the suspects to operators.
func (c *Controller) Suspects(context.Context, *fleetpb.SuspectsRequest) (*fleetpb.SuspectUpdate, error) {
	return &fleetpb.SuspectUpdate{Process: c.processID, Sequence: c.suspects.Sequence(), Suspects: c.suspects.List(time.Now())}, nil
}

// ClearSuspect lifts the refusal of a request, here and at the other control instances that answer.
func (c *Controller) ClearSuspect(ctx context.Context, req *fleetpb.ClearSuspectRequest) (*fleetpb.ClearSuspectReply, error) {
	key, err := quarantine.ParseKey(hex.EncodeToString(req.GetKey()))
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	before := c.suspects.Sequence()
	known := c.suspects.Clear(time.Now(), key)
	c.notifySuspects(before)
	c.Log.WithFields(logrus.Fields{"key": key.String(), "known": known, "relayed": req.GetRelayed()}).Info("an operator cleared a suspect")
	if req.GetRelayed() {
		return &fleetpb.ClearSuspectReply{Known: known}, nil
	}
	for _, m := range c.watch.ControlInstances(seedTimeout) {
		if c.relayClear(ctx, m, req.GetKey()) {
			known = true
		}
	}
	if !known {
		return nil, status.Error(codes.NotFound, "no such key is suspected")
	}
	return &fleetpb.ClearSuspectReply{Known: true}, nil
}

// relayClear passes a lift on to another control instance, and reports whether it knew the key.
func (c *Controller) relayClear(ctx context.Context, m *fleetpb.Member, key []byte) (known bool) {
	conn, err := c.Pool.Get(m.GetAddress())
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, clearTimeout)
		defer cancel()
		var reply *fleetpb.ClearSuspectReply
		reply, err = fleetpb.NewControlClient(conn).ClearSuspect(callCtx, &fleetpb.ClearSuspectRequest{Key: key, Relayed: true})
		known = reply.GetKnown()
	}
	if err != nil {
		c.Log.WithError(err).WithField("control", m.GetInstance()).Warn("a suspect could not be cleared at a control instance")
	}
	return known
}

// notifySuspects wakes waiting calls if suspects have changed, and has them saved.
func (c *Controller) notifySuspects(before uint64) {
	if c.suspects.Sequence() != before {
		c.suspectStore.notify()
	}
	if c.suspects.Sequence() != before && c.suspectWake.CompareAndSwap(false, true) {
		time.AfterFunc(suspectWakeDelay, func() {
			c.suspectWake.Store(false)
			c.wakeCalls()
		})
	}
}

// receiveSuspects adds what another control instance knows.
func (c *Controller) receiveSuspects(list []*fleetpb.Suspect) {
	before := c.suspects.Sequence()
	c.suspects.Merge(time.Now(), list, true)
	c.notifySuspects(before)
}

// hasSuspectsFor reports whether an entry instance lacks changes of suspects. Control instances get them with their next call.
func (c *Controller) hasSuspectsFor(req *fleetpb.WatchRequest) bool {
	return req.GetRole() == fleetpb.Role_ROLE_ENTRY && req.GetWantsSuspects() &&
		(req.GetSuspectSequence() != c.suspects.Sequence() || req.GetSuspectProcess() != c.processID)
}

// suspectsFor returns the changes of suspects that the sender of a request lacks, or nil.
func (c *Controller) suspectsFor(now time.Time, req *fleetpb.WatchRequest) *fleetpb.SuspectUpdate {
	since := req.GetSuspectSequence()
	if req.GetSuspectProcess() != c.processID {
		since = 0
	}
	if !req.GetWantsSuspects() || req.GetSuspectProcess() == c.processID && since == c.suspects.Sequence() {
		return nil
	}
	out := &fleetpb.SuspectUpdate{Process: c.processID}
	out.Suspects, out.Sequence = c.suspects.Changes(now, since)
	return out
}

// runFalseEnds withdraws reported ends of endpoints that are still listed, until ctx ends.
func (c *Controller) runFalseEnds(ctx context.Context) {
	t := time.NewTicker(falseEndInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			c.withdrawFalseEnds(now)
		case <-ctx.Done():
			return
		}
	}
}

// withdrawFalseEnds withdraws reported ends of incarnations that a current list still shows as ready.
func (c *Controller) withdrawFalseEnds(now time.Time) {
	l := c.watch.List()
	if l == nil || now.Sub(l.ConfirmedAt()) > falseEndAge/2 {
		return
	}
	before := c.suspects.Sequence()
	for _, id := range c.suspects.EndedBefore(now.Add(-falseEndAge)) {
		// Without a start time, the listed one may have started after the end.
		i, ok := indexOfIncarnation(l.Version(), id)
		if !ok || id.StartMS == 0 || l.List().GetEndpoints()[i].GetBornMs() != id.StartMS || l.List().GetEndpoints()[i].GetDraining() {
			continue
		}
		c.suspects.Withdraw(now, id)
		c.Log.WithFields(logrus.Fields{"endpoint": id.EndpointID, "born_ms": id.StartMS}).Warn("an endpoint that was reported to have ended is still listed")
	}
	c.notifySuspects(before)
}
