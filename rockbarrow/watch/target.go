// SPDX-License-Identifier: MIT

package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

// target is one control instance that is watched.
type target struct {
	client  *Client
	address string
	member  *fleetpb.Member
	// heard is when it answered last, or when the watch began.
	heard    time.Time
	answered bool
	lost     bool
	// told is what it has heard of the sender's calls at endpoints, and customers of its requests.
	told      reported
	customers customersTold
	// state and list are the newest numbers that it has told of.
	state, list uint64
	// whole is true after news from it could not be made whole: the next ones are to
	// come whole.
	whole bool
}

// loop watches one control instance.
func (t *target) loop(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		if err := t.watch(ctx); err != nil {
			t.failed(err)
			if t.forgotten() {
				return
			}
			wait.For(ctx, pause+rand.N(pause)-time.Since(asked))
		}
	}
}

// forgotten gives up an instance that was taken away. Others tell of it again
// should it come back.
func (t *target) forgotten() bool {
	c := t.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.Seeds, t.address) || time.Since(t.heard) < forgetAfter {
		return false
	}
	delete(c.targets, t.address)
	return true
}

// failed logs the loss of an instance once.
func (t *target) failed(err error) {
	c := t.client
	c.mu.Lock()
	news := !t.lost && time.Since(t.heard) > silentAfter
	if news {
		t.lost = true
	}
	c.mu.Unlock()
	if news {
		c.Log.WithError(err).WithField("control", t.address).Warn("control instance is not reached")
	}
}

func (t *target) watch(ctx context.Context) error {
	c := t.client
	conn, err := c.Pool.Get(t.address)
	if err != nil {
		return err
	}
	held := c.Hold
	if held == 0 {
		held = hold
	}
	if c.Role == fleetpb.Role_ROLE_CONTROL && !t.answered {
		// What the other one has accepted is wanted at once: leases rest on it.
		held = 0
	}
	ctx, cancel := context.WithTimeout(ctx, held+reply)
	defer cancel()
	asked := time.Now()
	req := c.request(held)
	teller, told := c.teller(asked), t.told
	req.WantsNews = teller == nil || teller == t || c.Role == fleetpb.Role_ROLE_CONTROL || t.knowsMore(req)
	if c.Uses != nil {
		req.Uses, told = t.told.since(c.Uses())
		req.WantsLoads = teller == t
	}
	customers := t.customerUses(req)
	req.Unconfirmed = c.Unconfirmed != nil && c.Unconfirmed()
	if req.GetWantsNews() && !t.whole {
		req.Held = c.Documents.Held()
		if c.Role != fleetpb.Role_ROLE_STORE {
			req.HeldLists = c.Lists.Held()
		}
	}
	// The call goes out in the moment in which there is a connection.
	r, err := fleetpb.NewControlClient(conn).Watch(ctx, req, grpc.WaitForReady(true))
	if err != nil {
		t.missed(req, err, time.Since(asked))
		return err
	}
	t.told, t.state, t.list = told, r.GetStateNumber(), r.GetListNumber()
	size, arrived := proto.Size(r), time.Now()
	unreadable := c.unpack(r)
	t.whole = unreadable != nil
	if t.whole {
		c.Log.WithError(unreadable).WithField("control", t.address).Warn("news are not readable and are asked for whole")
	}
	t.logNews(r, size, arrived.Sub(asked), time.Since(arrived))
	t.toldCustomers(customers, r.GetProcess())
	// The age of the list counts from when the answer was given; for a call that
	// was held that is about now, and a little late is safe.
	by := asked
	if time.Since(asked) >= held {
		by = asked.Add(held)
	}
	c.heard(t, r, asked, by)
	return unreadable
}

// missed logs a call that had no answer in its time although news were wanted: the step
// at which news are late is then the way here, not what is done with them.
func (t *target) missed(req *fleetpb.WatchRequest, err error, took time.Duration) {
	if !req.GetWantsNews() || !t.answered {
		return
	}
	t.client.Log.WithError(err).WithFields(logrus.Fields{
		"control": t.address, "took_ms": took.Milliseconds(), "state": req.GetStateNumber(), "list": req.GetListNumber(),
	}).Info("no news in time")
}

// logNews logs what the steps of news took until they were whole. Calls are held until
// there are news, so that call_ms is an upper bound of their way here.
func (t *target) logNews(r *fleetpb.WatchReply, size int, call, unpacked time.Duration) {
	if r.GetState() == nil && r.GetList() == nil {
		return
	}
	t.client.Log.WithFields(logrus.Fields{
		"control": t.address, "state": r.GetStateNumber(), "list": r.GetListNumber(), "bytes": size,
		"call_ms": call.Milliseconds(), "unpack_ms": unpacked.Milliseconds(),
	}).Info("news have come")
}

// unpack makes the state and the list of a reply whole. What is not readable is taken out,
// and does not keep the other from being taken over.
func (c *Client) unpack(r *fleetpb.WatchReply) error {
	state, unreadableState := c.Documents.UnpackState(r.GetState())
	r.State = state
	if r.GetPackedList() == nil {
		return unreadableState
	}
	list, unreadableList := c.Lists.UnpackList(r.GetPackedList())
	if unreadableList != nil {
		return unreadableList
	}
	r.List = list
	return unreadableState
}

// knowsMore reports whether the instance has told of something newer than what the
// teller has brought.
func (t *target) knowsMore(req *fleetpb.WatchRequest) bool {
	return t.state > req.GetStateNumber() || t.client.Role != fleetpb.Role_ROLE_STORE && t.list > req.GetListNumber()
}

func (c *Client) request(held time.Duration) *fleetpb.WatchRequest {
	req := &fleetpb.WatchRequest{
		Sender: c.Self, Role: c.Role,
		StateNumber: c.State().GetNumber(), WaitMs: uint32(held.Milliseconds()),
		WithoutDocument: c.Role != fleetpb.Role_ROLE_CONTROL,
	}
	if l := c.List(); l != nil {
		req.ListNumber = l.list.GetNumber()
	}
	if c.Copied != nil {
		req.CopiedEpoch = c.Copied()
	}
	if c.Serves != nil {
		req.Serves = c.Serves()
	}
	return req
}
