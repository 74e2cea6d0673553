// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// maxTrial bounds how long an execution whose outcome is not reported keeps other attempts waiting.
	maxTrial = 30 * time.Second
	// maxExecution is the longest execution whose outcome is found out when nobody reports it.
	maxExecution = 10 * time.Minute
	// confirmTimeout bounds a call to another control instance before an execution is granted.
	confirmTimeout = 60 * time.Millisecond
)

// RequestTrial decides whether a suspect may be sent to an endpoint. Other control instances that answer have to agree: each may
// have granted another execution, or know of ends that this one does not.
func (c *Controller) RequestTrial(ctx context.Context, req *fleetpb.TrialRequest) (*fleetpb.TrialReply, error) {
	now, before := time.Now(), c.suspects.Sequence()
	k, err := quarantine.KeysFromProto(req.GetKeys())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	c.suspects.Merge(now, req.GetKnown(), false)
	known := c.suspects.Knowledge(now, k)
	q := quarantine.Question{
		Keys: k, Endpoint: incarnation.ID{EndpointID: req.GetEndpoint(), StartMS: req.GetBornMs()}, Asker: req.GetAsker(), Insist: req.GetInsist(),
		Until: now.Add(min(time.Duration(req.GetUntilMs())*time.Millisecond, maxTrial)),
	}
	if req.GetUntilMs() <= uint64(maxExecution.Milliseconds()) {
		q.Over = now.Add(time.Duration(req.GetUntilMs()) * time.Millisecond)
	}
	var d quarantine.Decision
	if req.GetRelayed() {
		d = c.suspects.Ask(now, q)
	} else {
		d = c.agreeOnTrial(ctx, q, req)
	}
	c.notifySuspects(before)
	c.Log.WithFields(logrus.Fields{
		"key": k.Request.String(), "endpoint": req.GetEndpoint(), "born_ms": req.GetBornMs(), "asker": req.GetAsker(), "decision": decisionProto(d).String(),
		"known_ends": known.Ends, "trials": known.Trials, "relayed": req.GetRelayed(),
	}).Info("a suspect is to be sent")
	out := &fleetpb.TrialReply{Decision: decisionProto(d), Suspects: c.suspects.Of(now, k)}
	out.Observed, out.EntryLost = c.entriesAround(known.FirstEnd)
	if h, ok := d.(quarantine.Held); ok {
		out.RetryAfterMs = uint64(h.RetryAfter.Milliseconds())
	}
	return out, nil
}

// agreeOnTrial asks the other control instances, and then decides with what they know.
func (c *Controller) agreeOnTrial(ctx context.Context, q quarantine.Question, req *fleetpb.TrialRequest) quarantine.Decision {
	now := time.Now()
	known := c.suspects.Knowledge(now, q.Keys)
	switch d := c.suspects.Lookup(now, q.Keys).(type) {
	case quarantine.Free, quarantine.Refused, quarantine.Held:
		return d
	}
	minority := !c.reach.Load().GetMajority()
	if minority && !q.Keys.Shared {
		// The other side of a partition may grant executions, too.
		return quarantine.Held{RetryAfter: minorityRetry}
	}
	replies, silent := c.askPeers(ctx, &fleetpb.TrialRequest{
		Keys: req.GetKeys(), Service: req.GetService(), Endpoint: req.GetEndpoint(), BornMs: req.GetBornMs(), Asker: req.GetAsker(),
		UntilMs: req.GetUntilMs(), Known: c.suspects.Of(now, q.Keys), Insist: req.GetInsist(), Relayed: true,
	})
	now = time.Now()
	observed, entryLost := c.entriesAround(known.FirstEnd)
	for _, r := range replies {
		c.suspects.Merge(now, r.GetSuspects(), false)
		observed, entryLost = observed || r.GetObserved(), entryLost || r.GetEntryLost()
	}
	q.Uncertain = minority || silent
	if entryLost || !observed {
		q.Unknown = 1
	}
	d := c.suspects.Ask(now, q)
	if _, granted := d.(quarantine.Granted); granted {
		objection := objectionOf(replies)
		if objection == nil {
			c.suspectStore.await(ctx, c.suspects.Sequence())
			if ctx.Err() == nil {
				return d
			}
			// The asker does not wait any more, and would never report an outcome.
			objection = quarantine.Busy{}
		}
		c.suspects.Finish(now, q.Keys, q.Endpoint, q.Asker)
		d = objection
	}
	go (&trialWithdrawal{controller: c, report: &fleetpb.EndReport{Finished: []*fleetpb.FinishedTrial{
		{Keys: req.GetKeys(), Endpoint: req.GetEndpoint(), BornMs: req.GetBornMs(), Asker: req.GetAsker()},
	}}}).run()
	return d
}

// objectionOf returns the decision of control instances that do not agree to an execution, the most lasting one, or nil.
func objectionOf(replies []*fleetpb.TrialReply) (objection quarantine.Decision) {
	for _, r := range replies {
		switch r.GetDecision() {
		case fleetpb.TrialReply_DECISION_HELD:
			return quarantine.Held{RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond}
		case fleetpb.TrialReply_DECISION_BUSY:
			objection = quarantine.Busy{}
		case fleetpb.TrialReply_DECISION_OCCUPIED:
			if objection == nil {
				objection = quarantine.Occupied{}
			}
		}
	}
	return objection
}

// minorityRetry is when to ask again where most control instances are out of reach.
const minorityRetry = time.Second

// askPeers asks all other control instances that were heard lately, and reports whether one did not answer.
func (c *Controller) askPeers(ctx context.Context, req *fleetpb.TrialRequest) (out []*fleetpb.TrialReply, silent bool) {
	var mu sync.Mutex
	c.callPeers(ctx, func(ctx context.Context, peer fleetpb.ControlClient) error {
		r, err := peer.RequestTrial(ctx, req)
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			out = append(out, r)
		}
		silent = silent || err != nil && status.Code(err) != codes.Unimplemented
		return err
	})
	return out, silent
}

// callPeers calls all other control instances that were heard lately, and waits for them.
func (c *Controller) callPeers(ctx context.Context, call func(context.Context, fleetpb.ControlClient) error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range c.watch.ControlInstances(seedTimeout) {
		if m.GetInstance() == c.Self.GetInstance() {
			continue
		}
		calls.Go(func() {
			conn, err := c.Pool.Get(m.GetAddress())
			if err == nil {
				err = call(ctx, fleetpb.NewControlClient(conn))
			}
			if err != nil {
				c.Log.WithError(err).WithField("control", m.GetInstance()).Info("a control instance was not asked about a suspect")
			}
		})
	}
	calls.Wait()
}

// trialWithdrawal tells other control instances that an execution that they agreed to is not granted.
type trialWithdrawal struct {
	controller *Controller
	report     *fleetpb.EndReport
}

func (w *trialWithdrawal) run() {
	w.controller.callPeers(context.Background(), func(ctx context.Context, peer fleetpb.ControlClient) error {
		_, err := peer.ReportEnds(ctx, w.report)
		return err
	})
}
