// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// minReadInterval is the shortest interval at which the first in rank reads the list. It
	// balances the cost of the calls against how soon draining endpoints are noticed.
	minReadInterval = 800 * time.Millisecond
	// readCallShare is the share of MaxListCallsPerSecond that regular readings may use. The rest
	// is left for instances that read at the same time.
	readCallShare = 0.1
	// readAgeShare is the share of MaxListAge that may pass between two readings.
	readAgeShare = 1.0 / 3
	// rankDelay is the additional age of the list at which the next in rank reads it. It exceeds
	// the delay with which the age is reported by others.
	rankDelay = 900 * time.Millisecond
	// readTimeout bounds one reading, which may consist of many pages.
	readTimeout = 5 * time.Second
	// seedReadDelay separates the first readings of the seeds after a start, so that later seeds
	// can use the list of an earlier one.
	seedReadDelay = 200 * time.Millisecond
	// nonSeedReadSpread is the number of such delays over which the first readings of other
	// instances are spread.
	nonSeedReadSpread = 20
	// readerTick is the interval between checks of the list's age.
	readerTick = 100 * time.Millisecond
)

// reader reads the list of endpoints if no instance before it in rank does.
type reader struct {
	controller *Controller
	failing    bool
	// incomplete is true while a part of the list can't be read.
	incomplete bool
	// initialReadAt is when this instance reads the list if it has none by then.
	initialReadAt time.Time
	// outdatedSince is since when other instances are known to have a newer list, or zero.
	outdatedSince time.Time
}

func (r *reader) loop(ctx context.Context) {
	r.initialReadAt = time.Now().Add(r.controller.initialReadDelay())
	for {
		if r.due(time.Now()) {
			r.read(ctx)
		}
		if !wait.For(ctx, readerTick) {
			return
		}
	}
}

// initialReadDelay returns how long to wait for another instance's list after a start. The first
// seed does not wait.
func (c *Controller) initialReadDelay() time.Duration {
	if len(c.Seeds) == 0 {
		return 0
	}
	if i := slices.Index(c.Seeds, c.Self.GetAddress()); i >= 0 {
		return time.Duration(i) * seedReadDelay
	}
	return time.Duration(len(c.Seeds))*seedReadDelay + rand.N(nonSeedReadSpread*seedReadDelay)
}

// readInterval returns the interval between readings of a list that takes the given number of calls
// to read.
func (c *Controller) readInterval(calls uint32) time.Duration {
	if c.MaxListCallsPerSecond <= 0 || c.MaxListAge <= 0 {
		return minReadInterval
	}
	needed := time.Duration(float64(calls) / (readCallShare * c.MaxListCallsPerSecond) * float64(time.Second))
	return max(minReadInterval, min(needed, time.Duration(readAgeShare*float64(c.MaxListAge))))
}

func (r *reader) due(now time.Time) bool {
	l := r.controller.watch.List()
	if l == nil {
		return !now.Before(r.initialReadAt)
	}
	rank := time.Duration(r.controller.rank(now))
	if l.Version().Number() >= r.controller.highestListNumber.Load() {
		r.outdatedSince = time.Time{}
		return now.Sub(l.ConfirmedAt()) > r.controller.readInterval(l.List().GetCalls())+rank*rankDelay
	}
	if r.outdatedSince.IsZero() {
		r.outdatedSince = now
	}
	return now.Sub(r.outdatedSince) >= rank*rankDelay
}

func (r *reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	c := r.controller
	// The list is at least as new as the start of the request.
	requestedAt := time.Now()
	read, err := c.EndpointSource.Endpoints(ctx)
	var incomplete *catalog.IncompleteError
	if errors.As(err, &incomplete) && len(read.GetEndpoints()) > 0 {
		err = nil
	}
	if err != nil {
		if !r.failing {
			c.Log.WithError(err).Warn("failed to read the list of endpoints")
		}
		r.failing = true
		wait.For(ctx, 2*readerTick)
		return
	}
	if r.failing {
		c.Log.Info("reading the list of endpoints succeeds again")
	}
	r.failing = false
	c.listMu.Lock()
	defer c.listMu.Unlock()
	known := c.watch.List().Version()
	r.complete(read, known.Proto(), incomplete)
	annotated := &fleetpb.EndpointList{Endpoints: c.incarnations.annotate(time.Now(), known.Proto(), read.GetEndpoints()), Calls: read.GetCalls()}
	c.offerList(c.numberList(known, annotated), requestedAt)
}

// complete adds the known endpoints to a list of which a part could not be read.
func (r *reader) complete(read, known *fleetpb.EndpointList, incomplete *catalog.IncompleteError) {
	log := r.controller.Log
	if incomplete == nil {
		if r.incomplete {
			log.Info("the whole list of endpoints can be read again")
		}
		r.incomplete = false
		return
	}
	listed := len(read.GetEndpoints())
	kept := catalog.Complete(read, known)
	if !r.incomplete {
		log.WithError(incomplete).WithFields(logrus.Fields{"listed": listed, "kept": kept}).Warn("a part of the list of endpoints can't be read")
	}
	r.incomplete = true
}

// numberList assigns a number to a reading: the known number if nothing changed, otherwise one
// above every number seen. After a restart of all control instances, other instances still hold
// lists and ignore lower numbers. The low bits are random per process, so that no two lists share a
// number.
func (c *Controller) numberList(known *catalog.List, read *fleetpb.EndpointList) *catalog.List {
	highest := c.highestListNumber.Load()
	read.Number = (max(known.Number(), highest)>>tagBits+1)<<tagBits | c.listTag
	l := catalog.New(read).ShareEndpoints(known)
	if known != nil && known.Number() >= highest && catalog.Equal(known, l) {
		return known
	}
	return l
}

// tagBits is the number of random low bits in a list number.
const tagBits = 16

// observeListNumber raises highestListNumber to at least number.
func (c *Controller) observeListNumber(number uint64) { storeMax(&c.highestListNumber, number) }

// offerList publishes a list produced by this instance unless it is already the newest.
func (c *Controller) offerList(l *catalog.List, at time.Time) {
	if l != c.watch.List().Version() {
		storeMax(&c.originatedList, l.Number())
	}
	c.watch.UpdateListVersion(l, at)
}
