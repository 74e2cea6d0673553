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
	for wait.For(ctx, readerTick) {
		if r.due(time.Now()) {
			r.read(ctx)
		}
	}
}

func (r *reader) due(now time.Time) bool {
	l := r.controller.watch.List()
	if l == nil {
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
	c.watch.OfferList(next(c.watch.List().List(), endpoints, c.Self.GetStorage()), asked)
}

// next numbers a reading: the known number if nothing changed. The low bits tell
// apart the numbers of two instances that read at the same time.
func next(known *fleetpb.EndpointList, endpoints []*fleetpb.Endpoint, storage uint64) *fleetpb.EndpointList {
	l := &fleetpb.EndpointList{Number: known.GetNumber(), Endpoints: endpoints}
	if known != nil && proto.Equal(known, l) {
		return known
	}
	l.Number = (known.GetNumber()>>16+1)<<16 | storage&0xffff
	return l
}
