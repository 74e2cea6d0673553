// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/membership"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// dutyTick is how often the duties are looked at.
	dutyTick = 250 * time.Millisecond
	// stalledAfter is a gap between ticks after which this process knows nothing
	// of who is present.
	stalledAfter = time.Second
	// settleFor is how long no store may have come before the first view forms;
	// all instances start within 0.3 s of each other.
	settleFor = 1200 * time.Millisecond
	// leaderWithin is how lately a control instance must have asked to come
	// before others in rank; it asks every peerHold.
	leaderWithin = time.Second
	// learnAfter is how long an accepted value may stay unconfirmed before this
	// instance runs a round of its own to see whether it was chosen.
	learnAfter = 250 * time.Millisecond
	// dutyWithin bounds a change that a duty makes.
	dutyWithin = 1500 * time.Millisecond
	// seedsWithin is how long all seeds are waited for after a start. Instances start within 0.3 s of
	// each other.
	seedsWithin = 2 * time.Second
	// anyoneAfter is when others than the first in rank try to form a deployment, in one of rarely ticks
	// each, so that they seldom meet.
	anyoneAfter = 6 * time.Second
	rarely      = 8
	// unformedEvery is how often an instance says that it knows of no deployment. A first
	// start takes half a second.
	unformedEvery = 2 * time.Second
)

// duties are what one control instance does for all: forming the first view,
// moving stores and voters, and finding out what was chosen.
type duties struct {
	controller *Controller
	started    time.Time
	ticked     time.Time
	// unlearned is since when the own vote is newer than what is known.
	unlearned time.Time
	// lastJoin is when a store that was not known before was first heard.
	lastJoin time.Time
	known    int
	// told is when it was last logged that there is no deployment.
	told time.Time
}

func (d *duties) loop(ctx context.Context) {
	d.started, d.ticked = time.Now(), time.Now()
	d.told = d.started
	for wait.For(ctx, dutyTick) {
		now := time.Now()
		if now.Sub(d.ticked) > stalledAfter {
			d.controller.Log.WithField("gap_ms", now.Sub(d.ticked).Milliseconds()).Warn("this process stood still")
			d.controller.presence.refresh(now)
		}
		d.tick(ctx, now)
		d.controller.presence.forget(now)
		d.controller.loads.forget(now)
		// A duty may take its time; only the pause after it tells of a standstill.
		d.ticked = time.Now()
	}
}

func (d *duties) tick(ctx context.Context, now time.Time) {
	d.learn(ctx, now)
	d.markFormed()
	d.tellUnformed(now)
	c := d.controller
	// Whoever comes first may not have heard what others have, so they try after a while.
	first := c.rank(now) == 0
	if c.State() != nil {
		if first {
			d.reconcile(ctx, now)
		}
		return
	}
	seed := slices.Contains(c.FirstSeeds, c.Self.GetAddress())
	if first && seed || now.Sub(d.started) > anyoneAfter && rand.N(rarely) == 0 {
		d.found(ctx, now)
	}
}

// learn runs a round when the own vote holds a newer value than the one known
// to be chosen: the proposer may have died before it told anyone.
func (d *duties) learn(ctx context.Context, now time.Time) {
	c := d.controller
	if c.saved.Load().GetState().GetNumber() <= c.State().GetNumber() {
		d.unlearned = time.Time{}
		return
	}
	if d.unlearned.IsZero() {
		d.unlearned = now.Add(rand.N(learnAfter))
		return
	}
	if now.Sub(d.unlearned) < learnAfter {
		return
	}
	d.unlearned = now.Add(rand.N(learnAfter))
	ctx, cancel := context.WithTimeout(ctx, dutyWithin)
	defer cancel()
	if _, err := c.Read(ctx); err != nil {
		c.Log.WithError(err).Warn("the newest state is not learned")
	}
}

// tellUnformed logs what this instance waits for while it knows of no deployment.
func (d *duties) tellUnformed(now time.Time) {
	c := d.controller
	if c.State() != nil || now.Sub(d.told) < unformedEvery {
		return
	}
	d.told = now
	c.Log.WithFields(logrus.Fields{
		"seeds": c.Seeds, "heard": names(c.watch.ControlInstances(foundersWithin)), "founder": c.Founder, "rank": c.rank(now),
		"holds_state": c.saved.Load().GetState().GetNumber(),
	}).Warn("no deployment is known yet")
}

// found forms the first value once most of the seeds answer. All of them are waited for a little, since
// a deployment that begins with few voters bears no loss of a disk until the others have come.
func (d *duties) found(ctx context.Context, now time.Time) {
	c := d.controller
	known, seeds := c.electorate()
	if known != nil {
		return
	}
	heard := heardOf(seeds)
	if 2*len(heard) <= len(seeds) || len(heard) < len(seeds) && now.Sub(d.started) < seedsWithin {
		return
	}
	voters := firstVoters(heard, c.control(now, leaderWithin), 2*c.Losses+1)
	d.change(ctx, "first voters", register.First(voters, seeds))
}

// firstVoters are the seeds that were heard and, while these are fewer than wanted, others: what a majority
// of them keeps outlasts the tolerated losses.
func firstVoters(seeds, control []*fleetpb.Member, wanted int) []*fleetpb.Member {
	out := slices.Clone(seeds)
	for _, m := range control {
		if len(out) < wanted && !register.Has(out, m.GetStorage()) {
			out = append(out, m)
		}
	}
	return out
}

// markFormed remembers on the disk that there is a deployment, on an instance that has no vote in it. It
// will never help to form another.
func (d *duties) markFormed() {
	c := d.controller
	if c.State() == nil || c.saved.Load().GetFormed() || c.saved.Load().GetState() != nil {
		return
	}
	if err := c.form(); err != nil {
		c.Log.WithError(err).Warn("that there is a deployment was not saved")
	}
}

// reconcile makes one step towards the view and the voters that should be.
func (d *duties) reconcile(ctx context.Context, now time.Time) {
	c := d.controller
	p := membership.Plan{
		Now:     now,
		Stores:  c.presence.members(now, fleetpb.Role_ROLE_STORE, forgetAfter),
		Control: c.presence.members(now, fleetpb.Role_ROLE_CONTROL, forgetAfter),
		Domains: c.presence.domains(now, c.Self.GetFailureDomain()),
		Copies:  2*c.Losses + 1,
		Settled: d.settled(now),
		Self:    c.Self,
		Ran:     now.Sub(d.started),
	}
	if p.Next(c.State()) == nil {
		return
	}
	d.change(ctx, "members", p.Next)
}

// settled reports whether no store has come for a while, so that the first view
// holds them all.
func (d *duties) settled(now time.Time) bool {
	n := len(d.controller.presence.members(now, fleetpb.Role_ROLE_STORE, membership.PresentWithin))
	if n != d.known {
		d.known, d.lastJoin = n, now
	}
	return now.Sub(d.lastJoin) > settleFor
}

func (d *duties) change(ctx context.Context, what string, change func(*fleetpb.State) *fleetpb.State) {
	c := d.controller
	ctx, cancel := context.WithTimeout(ctx, dutyWithin)
	defer cancel()
	s, err := c.Change(ctx, change)
	if err != nil {
		c.Log.WithError(err).WithField("change", what).Warn("a change of the deployment failed")
		return
	}
	c.Log.WithFields(logrus.Fields{
		"change": what, "state": s.GetNumber(), "view": s.GetView().GetEpoch(),
		"stores": names(s.GetView().GetMembers()), "prior": names(s.GetView().GetPrior()),
		"voters": names(s.GetVoters()), "prior_voters": names(s.GetPriorVoters()),
	}).Info("the deployment has changed")
}

func names(list []*fleetpb.Member) []string {
	out := make([]string, 0, len(list))
	for _, m := range list {
		out = append(out, m.GetInstance())
	}
	return out
}

// Retire asks for a store to be emptied. Asking again changes nothing.
func (c *Controller) Retire(ctx context.Context, name string) error {
	var refused error
	now := time.Now()
	stores := c.presence.members(now, fleetpb.Role_ROLE_STORE, membership.PresentWithin)
	_, err := c.Change(ctx, func(s *fleetpb.State) *fleetpb.State {
		refused = membership.MayRetire(s, stores, name, c.Losses+1)
		if refused != nil || slices.Contains(s.GetView().GetLeaving(), name) || slices.Contains(s.GetRetired(), name) {
			return nil
		}
		s.View.Leaving = append(s.View.Leaving, name)
		return s
	})
	if err != nil {
		return err
	}
	return refused
}

// Retirement reports whether a store has been emptied.
func (c *Controller) Retirement(ctx context.Context, name string) (done bool, err error) {
	s, err := c.Read(ctx)
	if err != nil {
		return false, err
	}
	if slices.Contains(s.GetRetired(), name) {
		return true, nil
	}
	if slices.Contains(s.GetView().GetLeaving(), name) {
		return false, nil
	}
	return false, &membership.UnknownStoreError{Name: name}
}
