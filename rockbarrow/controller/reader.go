// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// readEvery is the least age at which the first in rank reads the list again. Each
	// call has a price; a leaving endpoint must get nothing new within seconds.
	readEvery = 800 * time.Millisecond
	// callsShare is the part of the calls that the list takes which readings may use: the rest is for several
	// instances that read at once.
	callsShare = 0.1
	// ageShare is the part of the list's allowed age that may pass between two readings.
	ageShare = 1.0 / 3
	// rankDelay is how much older the list gets before the next in rank reads it
	// too; the age that others tell is up to peerHold late.
	rankDelay = 900 * time.Millisecond
	// readWithin bounds one reading, which may have many pages.
	readWithin = 5 * time.Second
	// firstReadDelay lies between the first readings of the seeds after a start, so that not all of them
	// read at once what one of them tells the others.
	firstReadDelay = 200 * time.Millisecond
	// spareDelays is over how many of these delays the first readings of instances spread that are no seeds.
	spareDelays = 20
	// readerTick is how often the age is looked at.
	readerTick = 100 * time.Millisecond
)

// reader reads the list of endpoints while nobody before it in rank does.
type reader struct {
	controller *Controller
	failing    bool
	// first is when this instance reads if it has no list by then.
	first time.Time
	// behind is since when others are known to have a newer list, zero if none have.
	behind time.Time
}

func (r *reader) loop(ctx context.Context) {
	r.first = time.Now().Add(r.controller.firstRead())
	for {
		if r.due(time.Now()) {
			r.read(ctx)
		}
		if !wait.For(ctx, readerTick) {
			return
		}
	}
}

// firstRead returns how long after a start this instance waits for another one's list: the first seed not at all, since
// after a loss of power everyone waits for it.
func (c *Controller) firstRead() time.Duration {
	if len(c.Seeds) == 0 {
		return 0
	}
	if i := slices.Index(c.Seeds, c.Self.GetAddress()); i >= 0 {
		return time.Duration(i) * firstReadDelay
	}
	return time.Duration(len(c.Seeds))*firstReadDelay + rand.N(spareDelays*firstReadDelay)
}

// readInterval returns the age at which a list is read again that takes so many calls: a long one less often, since the
// calls that it takes do not grow with it.
func (c *Controller) readInterval(calls uint32) time.Duration {
	if c.ListCallsPerSecond <= 0 || c.ListAge <= 0 {
		return readEvery
	}
	needed := time.Duration(float64(calls) / (callsShare * c.ListCallsPerSecond) * float64(time.Second))
	return max(readEvery, min(needed, time.Duration(ageShare*float64(c.ListAge))))
}

func (r *reader) due(now time.Time) bool {
	l := r.controller.watch.List()
	if l == nil {
		return !now.Before(r.first)
	}
	rank := time.Duration(r.controller.rank(now))
	if l.Version().Number() >= r.controller.listFloor.Load() {
		r.behind = time.Time{}
		return now.Sub(l.ConfirmedAt()) > r.controller.readInterval(l.List().GetCalls())+rank*rankDelay
	}
	if r.behind.IsZero() {
		r.behind = now
	}
	return now.Sub(r.behind) >= rank*rankDelay
}

func (r *reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	c := r.controller
	// The list is at least as new as the moment when it was asked for.
	asked := time.Now()
	read, err := c.List.Endpoints(ctx)
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
	known := c.watch.List().Version()
	named := &fleetpb.EndpointList{Endpoints: c.lives.name(time.Now(), known.List(), read.GetEndpoints()), Calls: read.GetCalls()}
	c.offerList(c.numberList(known, named), asked)
}

// numberList numbers a reading: the known number if nothing changed, else one above
// all that this instance has heard of. Other instances keep their newest list over a
// restart of all control instances, which begin with no list at all, and would take
// no list under a lower number. The low bits are drawn by each process, so that no
// two lists share a number.
func (c *Controller) numberList(known *catalog.List, read *fleetpb.EndpointList) *catalog.List {
	floor := c.listFloor.Load()
	read.Number = (max(known.Number(), floor)>>tagBits+1)<<tagBits | c.listTag
	l := catalog.New(read).Sharing(known)
	if known != nil && known.Number() >= floor && catalog.Same(known, l) {
		return known
	}
	return l
}

// tagBits are the low bits of a list's number that its reader draws.
const tagBits = 16

// sawList raises the newest list number met.
func (c *Controller) sawList(number uint64) { raise(&c.listFloor, number) }

// offerList makes a list that was read here the newest, unless it holds nothing new.
func (c *Controller) offerList(l *catalog.List, at time.Time) {
	if l != c.watch.List().Version() {
		raise(&c.madeList, l.Number())
	}
	c.watch.UpdateListVersion(l, at)
}
