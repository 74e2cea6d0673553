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

// target is one control instance that is watched.
type target struct {
	client  *Client
	address string
	member  *fleetpb.Member
	// rank orders the control instances, in an order of its own at each instance.
	rank uint64
	// listed is when it was told of last.
	listed time.Time
	// wanted is true while it is to be followed, and running while its loop runs.
	wanted, running bool
	// lastAnswer is when it answered last, or when the loop began; answered is true if it has answered this loop.
	lastAnswer time.Time
	answered   bool
	lost       bool
	// avoidUntil is until when others are preferred, and avoided how long it was avoided last.
	avoidUntil time.Time
	avoided    time.Duration
	// reach is whom it has heard, and control the control instances that it knows.
	reach      *fleetpb.Reach
	control    []*fleetpb.Member
	controlSum uint64
	// relayed is the sequence that it has acknowledged of what this instance relays.
	relayed uint64
	// customers is what it has heard of the sender's requests of customers.
	customers customersTold
	// state and list are the newest numbers that it has told of.
	state, list uint64
	// whole is true after news from it could not be made whole: the next ones are to
	// come whole.
	whole bool
}

// loop calls one control instance while it is followed.
func (t *target) loop(ctx context.Context) {
	for ctx.Err() == nil && t.isFollowed() {
		asked := time.Now()
		if err := t.watch(ctx); err != nil {
			t.failed(err)
			wait.For(ctx, retryPause+rand.N(retryPause)-time.Since(asked))
		}
	}
	if ctx.Err() == nil {
		t.client.Pool.Release(t.address)
	}
}

// failed logs the loss of an instance once.
func (t *target) failed(err error) {
	c := t.client
	now := time.Now()
	c.mu.Lock()
	silent := now.Sub(t.lastAnswer) > silentAfter
	lost := silent && !t.lost
	if silent && t.avoidance(now) == 0 {
		t.avoid(now)
		c.follow(now)
	}
	t.lost = t.lost || silent
	c.mu.Unlock()
	if lost {
		c.Log.WithError(err).WithField("control", t.address).Warn("control instance is not reached")
	}
}

func (t *target) watch(ctx context.Context) error {
	c := t.client
	conn, err := c.Pool.Get(t.address)
	if err != nil {
		return err
	}
	held := c.LongPollTimeout
	if held == 0 {
		held = longPollTimeout
	}
	if c.Role == fleetpb.Role_ROLE_CONTROL && !t.hasAnswered() {
		// What the other one has accepted is wanted at once: leases rest on it.
		held = 0
	}
	ctx, cancel := context.WithTimeout(ctx, held+answerSlack)
	defer cancel()
	asked := time.Now()
	req := c.request(held)
	primary := c.primary(asked)
	req.WantsNews = primary == nil || primary == t || c.Role == fleetpb.Role_ROLE_CONTROL || t.hasNewer(req)
	var uses reported
	if c.EndpointUses != nil && primary == t {
		req.WantsLoads = true
		req.Uses, uses = c.reportedUses().since(c.EndpointUses())
	}
	t.compact(req)
	customers := t.customerUses(req)
	req.Unconfirmed = c.AwaitsConfirmation != nil && c.AwaitsConfirmation()
	if req.GetWantsNews() && !t.whole {
		req.Held = c.Documents.Held()
		if c.Role != fleetpb.Role_ROLE_STORE {
			req.HeldLists = c.Lists.Held()
		}
	}
	// The call goes out in the moment in which there is a connection.
	r, err := fleetpb.NewControlClient(conn).Watch(ctx, req, grpc.WaitForReady(true))
	if err != nil {
		t.logMissed(req, err, time.Since(asked))
		return err
	}
	if uses != nil {
		c.usesReported(uses)
	}
	t.state, t.list = r.GetStateNumber(), r.GetListNumber()
	size, arrived := 0, time.Now()
	if r.GetState() != nil || r.GetPackedList() != nil || r.GetListChange() != nil {
		size = proto.Size(r)
	}
	list, unreadable := c.unpack(req, r)
	t.whole = unreadable != nil
	if t.whole {
		c.Log.WithError(unreadable).WithField("control", t.address).Warn("news are not readable and are asked for whole")
	}
	t.logUpdate(r, size, arrived.Sub(asked), time.Since(arrived))
	t.toldCustomers(customers, r.GetProcess())
	// The age of the list counts from when the answer was given; for a call that
	// was held that is about now, and a little late is safe.
	by := asked
	if time.Since(asked) >= held {
		by = asked.Add(held)
	}
	c.received(t, r, list, asked, by)
	return unreadable
}

// logMissed logs a call that had no answer in its time although news were wanted: the step
// at which news are late is then the way here, not what is done with them.
func (t *target) logMissed(req *fleetpb.WatchRequest, err error, took time.Duration) {
	if !req.GetWantsNews() || !t.hasAnswered() {
		return
	}
	t.client.Log.WithError(err).WithFields(logrus.Fields{
		"control": t.address, "took_ms": took.Milliseconds(), "state": req.GetStateNumber(), "list": req.GetListNumber(),
	}).Info("no news in time")
}

// logUpdate logs what the steps of news took until they were whole. Calls are held until
// there are news, so that call_ms is an upper bound of their way here.
func (t *target) logUpdate(r *fleetpb.WatchReply, size int, call, unpacked time.Duration) {
	if r.GetState() == nil && r.GetList() == nil && r.GetListChange() == nil {
		return
	}
	t.client.Log.WithFields(logrus.Fields{
		"control": t.address, "state": r.GetStateNumber(), "list": r.GetListNumber(), "bytes": size,
		"call_ms": call.Milliseconds(), "unpack_ms": unpacked.Milliseconds(),
	}).Info("news have come")
}

// unpack makes the state and the list of a reply whole. What is not readable is taken out,
// and does not keep the other from being taken over. The list is nil if none came that is newer.
func (c *Client) unpack(req *fleetpb.WatchRequest, r *fleetpb.WatchReply) (*catalog.List, error) {
	state, unreadableState := c.Documents.UnpackState(r.GetState())
	r.State = state
	list, unreadableList := c.unpackList(req, r)
	if unreadableList != nil {
		return nil, unreadableList
	}
	return list, unreadableState
}

func (c *Client) unpackList(req *fleetpb.WatchRequest, r *fleetpb.WatchReply) (*catalog.List, error) {
	known := c.List().Version()
	switch {
	case r.GetListChange() != nil:
		return c.changedList(known, req.GetListSum(), r.GetListChange())
	case r.GetPackedList() != nil:
		l, err := c.Lists.UnpackList(r.GetPackedList())
		if err != nil {
			return nil, err
		}
		return catalog.New(l).Sharing(known), nil
	case r.GetList() != nil:
		return catalog.New(r.GetList()).Sharing(known), nil
	}
	return nil, nil
}

// changedList applies a change to the list that is held, unless another control instance was faster. Told is the
// checksum of the list that was held when the change was asked for.
func (c *Client) changedList(known *catalog.List, told uint64, change *fleetpb.ListChange) (*catalog.List, error) {
	if known != nil && change.GetNumber() <= known.Number() {
		return nil, nil
	}
	next, err := catalog.Apply(known, change)
	var base *catalog.BaseError
	if errors.As(err, &base) && base.Want == told {
		// The list has changed during the call; the next call tells the one that is held now.
		c.Log.WithError(err).Debug("a change of another list")
		return nil, nil
	}
	return next, err
}

// compact tells the control instance what it need not send.
func (t *target) compact(req *fleetpb.WatchRequest) {
	c := t.client
	c.mu.Lock()
	req.Compact, req.ControlSum = true, t.controlSum
	acknowledged := t.relayed
	c.mu.Unlock()
	if c.Relayed != nil {
		req.Relayed = c.Relayed(acknowledged)
	}
	if l := c.List(); l != nil && !t.whole {
		req.ListSum = l.list.Sum()
	}
}

// hasNewer reports whether the instance has told of something newer than what the
// primary has brought.
func (t *target) hasNewer(req *fleetpb.WatchRequest) bool {
	return t.state > req.GetStateNumber() || t.client.Role != fleetpb.Role_ROLE_STORE && t.list > req.GetListNumber()
}

func (c *Client) request(held time.Duration) *fleetpb.WatchRequest {
	req := &fleetpb.WatchRequest{
		Sender: c.Self, Role: c.Role,
		StateNumber: c.State().GetNumber(), WaitMs: uint32(held.Milliseconds()),
		WithoutDocument: c.Role != fleetpb.Role_ROLE_CONTROL,
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
