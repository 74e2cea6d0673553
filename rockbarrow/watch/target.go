// SPDX-License-Identifier: MIT

package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

// target is a known control instance.
type target struct {
	client  *Client
	address string
	member  *fleetpb.Member
	// rank orders the control instances; the order differs between clients.
	rank uint64
	// lastListed is when a control instance last named this one.
	lastListed time.Time
	// wanted is true if the target should be followed, and running while its loop runs.
	wanted, running bool
	// lastAnswer is when it last answered, or when the loop started. answered is
	// true if it has answered since then.
	lastAnswer  time.Time
	answered    bool
	unreachable bool
	// backoffUntil is until when other targets are preferred, and backoff the last
	// backoff's duration.
	backoffUntil time.Time
	backoff      time.Duration
	// reach tells which other control instances it has heard from just now, as it reports, and
	// knownControl which ones it knows.
	reach *fleetpb.Reach
	// minorityAt is when it reported that it reaches no majority of the voters, zero if its last report says otherwise.
	minorityAt   time.Time
	knownControl []*fleetpb.Member
	controlSum   uint64
	// relayedSequence is the last sequence number of relayed data that it acknowledged.
	relayedSequence uint64
	// suspects is how much of its suspects is known here. Only its loop uses it.
	suspects suspectCursor
	// customerReport is what it has been told of admitted requests.
	customerReport customerReport
	// stateNumber and listNumber are the newest versions that it has reported. Only its loop writes them.
	stateNumber, listNumber uint64
	// needsWhole is true after an update from it could not be decoded: the next one
	// must not be a difference.
	needsWhole bool
}

// loop polls the control instance while it is followed.
func (t *target) loop(ctx context.Context) {
	for ctx.Err() == nil && t.shouldContinue() {
		asked := time.Now()
		if err := t.poll(ctx); err != nil {
			t.handleFailure(err)
			wait.For(ctx, retryInterval+rand.N(retryInterval)-time.Since(asked))
		}
	}
	if ctx.Err() == nil {
		t.client.Pool.Release(t.address)
	}
}

// handleFailure backs off from an unresponsive instance and logs the transition once.
func (t *target) handleFailure(err error) {
	c := t.client
	now := time.Now()
	c.mu.Lock()
	silent := now.Sub(t.lastAnswer) > unreachableAfter
	newlyUnreachable := silent && !t.unreachable
	if silent && t.backoffRemaining(now) == 0 {
		t.startBackoff(now)
		c.updateFollowed(now)
	}
	t.unreachable = t.unreachable || silent
	c.mu.Unlock()
	if newlyUnreachable {
		c.Log.WithError(err).WithField("control", t.address).Warn("control instance is not reached")
	}
}

func (t *target) poll(ctx context.Context) error {
	c := t.client
	conn, err := c.Pool.Get(t.address)
	if err != nil {
		return err
	}
	maxWait := c.LongPollTimeout
	if maxWait == 0 {
		maxWait = longPollTimeout
	}
	if !t.hasAnswered() {
		// Leases depend on the peer's accepted state, and whom to follow on its reach, so the first answer must not wait.
		maxWait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait+answerSlack)
	defer cancel()
	asked := time.Now()
	req := c.newRequest(maxWait)
	primary := c.primary(asked)
	req.WantsNews = primary == nil || primary == t || c.Role == fleetpb.Role_ROLE_CONTROL || t.hasNewer(req)
	var uses reportedUses
	if c.EndpointUses != nil && primary == t {
		req.WantsLoads = true
		req.Uses, uses = c.lastReported().delta(c.EndpointUses())
	}
	t.addKnownVersions(req)
	t.addSuspects(req)
	customers := t.addCustomerUses(req)
	req.Unconfirmed = c.AwaitsConfirmation != nil && c.AwaitsConfirmation()
	if req.GetWantsNews() && !t.needsWhole {
		req.Held = c.Documents.Held()
		if c.Role != fleetpb.Role_ROLE_STORE {
			req.HeldLists = c.Lists.Held()
		}
	}
	// The call starts as soon as a connection is ready.
	r, err := fleetpb.NewControlClient(conn).Watch(ctx, req, grpc.WaitForReady(true))
	if err != nil {
		t.logTimeout(req, err, time.Since(asked))
		return err
	}
	if uses != nil {
		c.setReported(uses)
	}
	t.receiveSuspects(ctx, r)
	c.mu.Lock()
	t.stateNumber, t.listNumber = r.GetStateNumber(), r.GetListNumber()
	c.mu.Unlock()
	size, arrived := 0, time.Now()
	if r.GetState() != nil || r.GetPackedList() != nil || r.GetListChange() != nil {
		size = proto.Size(r)
	}
	list, unpackErr := c.unpack(req, r)
	t.needsWhole = unpackErr != nil
	if t.needsWhole {
		c.Log.WithError(unpackErr).WithField("control", t.address).Warn("news are not readable and are asked for whole")
	}
	t.logUpdate(r, size, arrived.Sub(asked), time.Since(arrived))
	t.recordCustomerUses(customers, r.GetProcess())
	// The list's age counts from when the answer was sent, which for a call that
	// was held is close to the end of the wait. An earlier time is safe.
	earliestSent := asked
	if time.Since(asked) >= maxWait {
		earliestSent = asked.Add(maxWait)
	}
	c.handleReply(t, r, list, asked, earliestSent)
	return unpackErr
}

// logTimeout logs a call for updates that got no answer in time. It separates slow
// delivery from slow processing.
func (t *target) logTimeout(req *fleetpb.WatchRequest, err error, took time.Duration) {
	if !req.GetWantsNews() || !t.hasAnswered() {
		return
	}
	t.client.Log.WithError(err).WithFields(logrus.Fields{
		"control": t.address, "took_ms": took.Milliseconds(), "state": req.GetStateNumber(), "list": req.GetListNumber(),
	}).Info("no news in time")
}

// logUpdate logs how long an update took to arrive and to decode. Calls wait for
// updates, so call_ms is an upper bound of the transfer time.
func (t *target) logUpdate(r *fleetpb.WatchReply, size int, call, unpacked time.Duration) {
	if r.GetState() == nil && r.GetList() == nil && r.GetListChange() == nil {
		return
	}
	t.client.Log.WithFields(logrus.Fields{
		"control": t.address, "state": r.GetStateNumber(), "list": r.GetListNumber(), "bytes": size,
		"call_ms": call.Milliseconds(), "unpack_ms": unpacked.Milliseconds(),
	}).Info("news have come")
}

// unpack decodes the state and the list of a reply. If one of them cannot be
// decoded, it is dropped and the other is still applied. The list is nil if the
// reply contains no newer one.
func (c *Client) unpack(req *fleetpb.WatchRequest, r *fleetpb.WatchReply) (*catalog.List, error) {
	state, stateErr := c.Documents.UnpackState(r.GetState())
	r.State = state
	list, listErr := c.unpackList(req, r)
	if listErr != nil {
		return nil, listErr
	}
	return list, stateErr
}

func (c *Client) unpackList(req *fleetpb.WatchRequest, r *fleetpb.WatchReply) (*catalog.List, error) {
	known := c.List().Version()
	switch {
	case r.GetListChange() != nil:
		return c.applyListChange(known, req.GetListSum(), r.GetListChange())
	case r.GetPackedList() != nil:
		l, err := c.Lists.UnpackList(r.GetPackedList())
		if err != nil {
			return nil, err
		}
		return catalog.New(l).ShareEndpoints(known), nil
	case r.GetList() != nil:
		return catalog.New(r.GetList()).ShareEndpoints(known), nil
	}
	return nil, nil
}

// applyListChange applies a change to the current list, unless a newer list has
// arrived already. requestedSum is the checksum of the list that the request named.
func (c *Client) applyListChange(known *catalog.List, requestedSum uint64, change *fleetpb.ListChange) (*catalog.List, error) {
	if known != nil && change.GetNumber() <= known.Number() {
		return nil, nil
	}
	next, err := catalog.Apply(known, change)
	var base *catalog.BaseError
	if errors.As(err, &base) && base.WantChecksum == requestedSum {
		// The list changed during the call; the next request names the current one.
		c.Log.WithError(err).Debug("list change was made for a superseded list")
		return nil, nil
	}
	return next, err
}

// addKnownVersions adds what the client already holds, so that the reply omits it,
// and the relayed reports that the instance has not acknowledged.
func (t *target) addKnownVersions(req *fleetpb.WatchRequest) {
	c := t.client
	c.mu.Lock()
	req.Compact, req.ControlSum = true, t.controlSum
	acknowledged := t.relayedSequence
	c.mu.Unlock()
	if c.Relayed != nil {
		req.Relayed = c.Relayed(acknowledged)
	}
	if l := c.List(); l != nil && !t.needsWhole {
		req.ListSum = l.list.Checksum()
	}
}

// hasNewer reports whether the instance has reported a newer state or list than
// the request names.
func (t *target) hasNewer(req *fleetpb.WatchRequest) bool {
	return t.stateNumber > req.GetStateNumber() || t.client.Role != fleetpb.Role_ROLE_STORE && t.listNumber > req.GetListNumber()
}

func (c *Client) newRequest(maxWait time.Duration) *fleetpb.WatchRequest {
	req := &fleetpb.WatchRequest{
		Sender: c.Self, Role: c.Role,
		StateNumber: c.State().GetNumber(), WaitMs: uint32(maxWait.Milliseconds()),
		WithoutDocument: c.Role != fleetpb.Role_ROLE_CONTROL, Standby: c.Standby,
	}
	if l := c.List(); l != nil {
		req.ListNumber = l.list.Number()
	}
	if c.CopiedEpoch != nil {
		req.CopiedEpoch = c.CopiedEpoch()
	}
	if c.Serves != nil {
		req.Serves = c.Serves()
	}
	return req
}
