// SPDX-License-Identifier: MIT

package watch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/schema/fleetpb"
)

// suspectTimeout bounds one call about suspects: a round trip between failure domains and the scheduling of the control
// instance's process. A client's next attempt comes 100 ms after the last one.
const suspectTimeout = 100 * time.Millisecond

// trialTimeout bounds a call that asks for an execution, in which a control instance asks all others.
const trialTimeout = 200 * time.Millisecond

// UnsupportedError reports that the control instances that answer are of an earlier version, which knows no suspects.
type UnsupportedError struct{}

func (e *UnsupportedError) Error() string {
	return "watch: control instances of an earlier version know no suspects"
}

// worseError returns the more telling one of two errors of calls about suspects, where the first may be nil.
func worseError(known, err error) error {
	if status.Code(err) != codes.Unimplemented {
		return err
	}
	if known == nil {
		return &UnsupportedError{}
	}
	return known
}

// suspectCursor is how much of a control instance's suspects is known.
type suspectCursor struct{ process, sequence uint64 }

// addSuspects asks for the suspects that changed since the last reply.
func (t *target) addSuspects(req *fleetpb.WatchRequest) {
	if t.client.OnSuspects == nil {
		return
	}
	req.WantsSuspects, req.SuspectProcess, req.SuspectSequence = true, t.suspects.process, t.suspects.sequence
}

// receiveSuspects passes on what changed. A process that was not heard before is told of the suspects known here.
func (t *target) receiveSuspects(ctx context.Context, r *fleetpb.WatchReply) {
	u := r.GetSuspects()
	if u == nil || t.client.OnSuspects == nil {
		return
	}
	isNew := u.GetProcess() != t.suspects.process
	t.suspects = suspectCursor{process: u.GetProcess(), sequence: u.GetSequence()}
	if isNew && t.client.KnownSuspects != nil {
		if known := t.client.KnownSuspects(); len(known) > 0 {
			t.client.tellSuspects(ctx, t.address, known)
		}
	}
	t.client.OnSuspects(u.GetSuspects())
}

// tellSuspects tells a control instance of the suspects known here.
func (c *Client) tellSuspects(ctx context.Context, address string, known []*fleetpb.Suspect) {
	if _, err := c.reportEnds(ctx, address, &fleetpb.EndReport{Known: known}); err != nil {
		c.Log.WithError(err).WithFields(logrus.Fields{"control": address, "suspects": len(known)}).
			Warn("a control instance could not be told of suspects")
	}
}

// ReportEnds reports to all control instances that answer, and returns what they know then. It fails if none
// answers.
func (c *Client) ReportEnds(ctx context.Context, report *fleetpb.EndReport) ([]*fleetpb.Suspect, error) {
	addresses := c.presentControl(time.Now())
	var mu sync.Mutex
	var out []*fleetpb.Suspect
	var failed error
	told := 0
	var calls sync.WaitGroup
	for _, a := range addresses {
		calls.Go(func() {
			reply, err := c.reportEnds(ctx, a, report)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = worseError(failed, err)
				return
			}
			told++
			out = append(out, reply.GetSuspects()...)
		})
	}
	calls.Wait()
	switch {
	case told > 0:
		return out, nil
	case failed == nil:
		return nil, errors.New("watch: no control instance is reachable")
	}
	return nil, failed
}

func (c *Client) reportEnds(ctx context.Context, address string, report *fleetpb.EndReport) (*fleetpb.EndReportReply, error) {
	conn, err := c.Pool.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	return fleetpb.NewControlClient(conn).ReportEnds(ctx, report)
}

// RequestTrial asks a control instance whether a suspect may be sent to an endpoint. All senders that reach the same control
// instances ask the same one about a service.
func (c *Client) RequestTrial(ctx context.Context, req *fleetpb.TrialRequest) (*fleetpb.TrialReply, error) {
	var failed error
	for _, address := range c.trialOrder(req.GetService(), time.Now()) {
		reply, err := c.requestTrial(ctx, address, req)
		if err == nil {
			return reply, nil
		}
		failed = worseError(failed, err)
	}
	if failed == nil {
		failed = errors.New("watch: no control instance is reachable")
	}
	return nil, failed
}

func (c *Client) requestTrial(ctx context.Context, address string, req *fleetpb.TrialRequest) (*fleetpb.TrialReply, error) {
	conn, err := c.Pool.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	return fleetpb.NewControlClient(conn).RequestTrial(ctx, req)
}

// trialOrder returns the control instances to ask about a service, in order: those that all senders prefer, and then one
// that is known to answer.
func (c *Client) trialOrder(service string, now time.Time) []string {
	out := c.presentControl(now)
	rank := func(address string) uint64 { return xxhash.Sum64String(address + "\x00" + service) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	out = out[:min(len(out), maxAdmitAttempts)]
	if p := c.primary(now); p != nil && !slices.Contains(out, p.address) {
		out = append(out, p.address)
	}
	return out
}

// presentControl returns the addresses of the control instances that answer here, or that one of these names and that are not
// known to be silent here.
func (c *Client) presentControl(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	add := func(address string) {
		if address != c.Self.GetAddress() && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	for _, t := range c.targets {
		if !t.answeredWithin(now, unreachableAfter) {
			continue
		}
		add(t.address)
		for _, m := range t.knownControl {
			if o := c.targets[m.GetAddress()]; o == nil || !o.unreachable {
				add(m.GetAddress())
			}
		}
	}
	return out
}
