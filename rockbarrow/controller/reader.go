// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// readEvery is the age at which the first in rank reads the list again. Each
	// call has a price; a leaving endpoint must get nothing new within seconds.
	readEvery = 800 * time.Millisecond
	// rankDelay is how much older the list gets before the next in rank reads it
	// too; the age that others tell is up to peerHold late.
	rankDelay = 900 * time.Millisecond
	// readWithin bounds one reading.
	readWithin = 900 * time.Millisecond
	// readerTick is how often the age is looked at.
	readerTick = 100 * time.Millisecond
)

// reader reads the list of endpoints while nobody before it in rank does.
type reader struct {
	controller *Controller
	failing    bool
}

func (r *reader) loop(ctx context.Context) {
	// The first reading comes at once: after a loss of power everyone waits for it.
	for {
		if r.due(time.Now()) {
			r.read(ctx)
		}
		if !wait.For(ctx, readerTick) {
			return
		}
	}
}

func (r *reader) due(now time.Time) bool {
	l := r.controller.watch.List()
	if l == nil || l.List().GetNumber() < r.controller.listFloor.Load() {
		return true
	}
	return now.Sub(l.At()) > readEvery+time.Duration(r.controller.rank(now))*rankDelay
}

func (r *reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	c := r.controller
	// The list is at least as new as the moment when it was asked for.
	asked := time.Now()
	endpoints, err := c.List.Endpoints(ctx)
	if err != nil {
		if !r.failing {
			c.Log.WithError(err).Warn("the list of endpoints is not read")
		}
		r.failing = true
		wait.For(ctx, 2*readerTick)
		return
	}
	if r.failing {
		c.Log.Info("the list of endpoints is read again")
	}
	r.failing = false
	c.listing.Lock()
	defer c.listing.Unlock()
	known := c.watch.List().List()
	c.watch.OfferList(c.numberList(known, c.lives.name(time.Now(), known, endpoints)), asked)
}

// numberList numbers a reading: the known number if nothing changed, else one above
// all that this instance has heard of. Other instances keep their newest list over a
// restart of all control instances, which begin with no list at all, and would take
// no list under a lower number. The low bits are drawn by each process, so that no
// two lists share a number.
func (c *Controller) numberList(known *fleetpb.EndpointList, endpoints []*fleetpb.Endpoint) *fleetpb.EndpointList {
	floor := c.listFloor.Load()
	l := &fleetpb.EndpointList{Number: known.GetNumber(), Endpoints: endpoints}
	if known != nil && known.GetNumber() >= floor && proto.Equal(known, l) {
		return known
	}
	l.Number = (max(known.GetNumber(), floor)>>tagBits+1)<<tagBits | c.listTag
	return l
}

// tagBits are the low bits of a list's number that its reader draws.
const tagBits = 16

// sawList raises the newest list number met.
func (c *Controller) sawList(number uint64) {
	for old := c.listFloor.Load(); old < number; old = c.listFloor.Load() {
		if c.listFloor.CompareAndSwap(old, number) {
			return
		}
	}
}
