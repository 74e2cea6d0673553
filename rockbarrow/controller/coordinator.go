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
	// coordinatorInterval is the interval between checks.
	coordinatorInterval = 250 * time.Millisecond
	// stallThreshold is the gap between checks after which knowledge about present instances is
	// considered stale.
	stallThreshold = time.Second
	// settlePeriod is how long the set of stores must be unchanged before the first view is formed,
	// so that it includes all stores that start together, within 0.3 s of each other.
	settlePeriod = 1200 * time.Millisecond
	// rankTimeout is how recently a control instance must have called to be ranked. Instances
	// call every peerLongPoll.
	rankTimeout = time.Second
	// confirmDelay is how long an accepted value may stay unconfirmed before this instance runs a
	// round to find out whether it was chosen.
	confirmDelay = 250 * time.Millisecond
	// changeTimeout bounds a single change of the state.
	changeTimeout = 1500 * time.Millisecond
	// seedWait is how long to wait for all seeds after a start. Instances start within 0.3 s of
	// each other.
	seedWait = 2 * time.Second
	// fallbackDelay is when instances other than the first in rank start trying to bootstrap the
	// deployment, on average in one of fallbackOdds checks to avoid colliding rounds.
	fallbackDelay = 6 * time.Second
	fallbackOdds  = 8
	// unformedLogInterval is the interval between log messages while no deployment is known. The
	// first start of a deployment takes half a second.
	unformedLogInterval = 2 * time.Second
)

// coordinator performs the tasks of a control instance for the whole deployment: it bootstraps the
// first state, changes the members and voters, and determines whether accepted values were chosen.
type coordinator struct {
	controller *Controller
	startedAt  time.Time
	lastTick   time.Time
	// unconfirmedSince is when the own vote was first seen to be newer than the known state, or
	// when the last round to confirm it began, plus a random delay of less than confirmDelay. It
	// is zero while the own vote is not newer.
	unconfirmedSince time.Time
	// lastStoreChange is when the number of present stores last changed.
	lastStoreChange time.Time
	presentStores   int
	// lastLogged is when the missing deployment was last logged.
	lastLogged time.Time
	viewChange viewChangeLog
}

func (d *coordinator) loop(ctx context.Context) {
	d.startedAt, d.lastTick = time.Now(), time.Now()
	d.lastLogged = d.startedAt
	for wait.For(ctx, coordinatorInterval) {
		now := time.Now()
		if now.Sub(d.lastTick) > stallThreshold {
			d.controller.Log.WithField("gap_ms", now.Sub(d.lastTick).Milliseconds()).Warn("the process was stalled")
			d.controller.presence.markAllHeard(now)
		}
		d.tick(ctx, now)
		d.controller.presence.expire(now)
		d.controller.loads.expire(now)
		// Only the pause after a tick indicates a stall; the tick itself may take long.
		d.lastTick = time.Now()
	}
}

func (d *coordinator) tick(ctx context.Context, now time.Time) {
	if !d.controller.hearsMajority(now) {
		d.controller.resetObservation(now)
	}
	if v := d.controller.State().GetView(); v != nil {
		d.controller.silence.observe(now, v)
	}
	d.confirmAccepted(ctx, now)
	d.recordFormed()
	d.logUnformed(now)
	c := d.controller
	// If the first in rank cannot reach enough seeds, others try after fallbackDelay.
	first := c.rank(now) == 0
	if c.State() != nil {
		if first {
			d.reconcile(ctx, now)
		}
		d.logViewChange(now, first)
		return
	}
	seed := slices.Contains(c.InitialSeeds, c.Self.GetAddress())
	if first && seed || now.Sub(d.startedAt) > fallbackDelay && rand.N(fallbackOdds) == 0 {
		d.bootstrap(ctx, now)
	}
}

// confirmAccepted runs a round if the own vote is newer than the known state, since the proposer
// may have failed before it announced the outcome.
func (d *coordinator) confirmAccepted(ctx context.Context, now time.Time) {
	c := d.controller
	if c.savedRecord.Load().GetState().GetNumber() <= c.State().GetNumber() {
		d.unconfirmedSince = time.Time{}
		return
	}
	if d.unconfirmedSince.IsZero() {
		d.unconfirmedSince = now.Add(rand.N(confirmDelay))
		return
	}
	if now.Sub(d.unconfirmedSince) < confirmDelay {
		return
	}
	d.unconfirmedSince = now.Add(rand.N(confirmDelay))
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if _, err := c.Read(ctx); err != nil {
		c.Log.WithError(err).Warn("failed to confirm the newest state")
	}
}

// logUnformed logs why this instance does not know a deployment yet.
func (d *coordinator) logUnformed(now time.Time) {
	c := d.controller
	if c.State() != nil || now.Sub(d.lastLogged) < unformedLogInterval {
		return
	}
	d.lastLogged = now
	c.Log.WithFields(logrus.Fields{
		"seeds": c.Seeds, "heard": instanceNames(c.watch.ControlInstances(seedTimeout)), "founder": c.Founder, "rank": c.rank(now),
		"holds_state": c.savedRecord.Load().GetState().GetNumber(),
	}).Warn("no deployment is known yet")
}

// bootstrap proposes the first state once most of the seeds answer. It waits up to seedWait for all
// of them, because a deployment that starts with few voters tolerates no disk loss until the others
// join.
func (d *coordinator) bootstrap(ctx context.Context, now time.Time) {
	c := d.controller
	known, seeds := c.knownVoters()
	if known != nil {
		return
	}
	reachable := reachableSeeds(seeds)
	if 2*len(reachable) <= len(seeds) || len(reachable) < len(seeds) && now.Sub(d.startedAt) < seedWait {
		return
	}
	voters := initialVoters(reachable, c.controlMembers(now, rankTimeout), 2*c.FaultTolerance+1)
	d.applyChange(ctx, "first voters", register.InitialState(voters, seeds), nil)
}

// initialVoters returns the reachable seeds, filled up with other control instances to the wanted
// number.
func initialVoters(seeds, control []*fleetpb.Member, wanted int) []*fleetpb.Member {
	out := slices.Clone(seeds)
	for _, m := range control {
		if len(out) < wanted && !register.ContainsStorage(out, m.GetStorage()) {
			out = append(out, m)
		}
	}
	return out
}

// recordFormed records on disk that a deployment exists if this instance holds no vote in it, so that
// it never helps to bootstrap another one.
func (d *coordinator) recordFormed() {
	c := d.controller
	if c.State() == nil || c.savedRecord.Load().GetFormed() || c.savedRecord.Load().GetState() != nil {
		return
	}
	if err := c.markFormed(); err != nil {
		c.Log.WithError(err).Warn("failed to save that a deployment exists")
	}
}

// reconcile performs the next step towards the planned view and voters.
func (d *coordinator) reconcile(ctx context.Context, now time.Time) {
	c := d.controller
	p := c.planner(now)
	p.StoresStable = d.settled(now)
	if p.Next(c.State()) == nil {
		return
	}
	d.applyChange(ctx, "members", p.Next, p.Step)
}

// viewStep tells what a change of the state does to the stores' view, and because of which members.
type viewStep func(before, after *fleetpb.State) (membership.Step, []string)

// hearsMajority reports whether most voters have called this instance recently, or no
// deployment is known yet.
func (c *Controller) hearsMajority(now time.Time) bool {
	voters, heard := c.State().GetVoters(), c.controlMembers(now, membership.LivenessTimeout)
	n := 0
	for _, v := range voters {
		if register.ContainsStorage(heard, v.GetStorage()) {
			n++
		}
	}
	return len(voters) == 0 || 2*n > len(voters)
}

func (c *Controller) resetObservation(now time.Time) { c.observingSince.Store(&now) }

// planner returns a planner with what this instance knows now, without StoresStable.
func (c *Controller) planner(now time.Time) membership.Planner {
	p := membership.Planner{
		Now:         now,
		Stores:      c.presence.members(now, fleetpb.Role_ROLE_STORE, expireAfter),
		Control:     c.presence.members(now, fleetpb.Role_ROLE_CONTROL, expireAfter),
		LiveDomains: c.presence.presentDomains(now, c.Self.GetFailureDomain()),
		Copies:      2*c.FaultTolerance + 1,
		Self:        c.Self,
		Uptime:      now.Sub(*c.observingSince.Load()),
	}
	if c.silence != nil {
		p.SilentBefore = c.silence.silentBefore()
	}
	for _, peer := range p.Control {
		if peer.Standby {
			p.Standbys = append(p.Standbys, peer)
		}
	}
	if c.standbyEpoch != nil {
		p.Standbys = append(p.Standbys, membership.Peer{Member: c.Self, LastSeen: now, CopiedEpoch: c.standbyEpoch(), Standby: true})
	}
	return p
}

// settled reports whether the number of present stores has been stable for settlePeriod.
func (d *coordinator) settled(now time.Time) bool {
	n := len(d.controller.presence.members(now, fleetpb.Role_ROLE_STORE, membership.LivenessTimeout))
	if n != d.presentStores {
		d.presentStores, d.lastStoreChange = n, now
	}
	return now.Sub(d.lastStoreChange) > settlePeriod
}

// applyChange changes the state. The stepOf is nil for a change that is none of the view.
func (d *coordinator) applyChange(ctx context.Context, what string, change register.Change, stepOf viewStep) {
	c := d.controller
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var before *fleetpb.State
	s, err := c.Change(ctx, func(s *fleetpb.State) *fleetpb.State {
		before = s
		return change(s)
	})
	if err != nil {
		c.Log.WithError(err).WithField("change", what).Warn("failed to change the deployment")
		return
	}
	log := c.Log
	if stepOf != nil {
		step, causes := stepOf(before, s)
		if step != "" && c.Metrics != nil {
			c.Metrics.Tagged(map[string]string{"step": string(step)}).Counter("view_steps").Inc(1)
		}
		log = log.WithFields(logrus.Fields{"view_step": string(step), "view_causes": causes})
	}
	log.WithFields(logrus.Fields{
		"change": what, "state": s.GetNumber(), "view": s.GetView().GetEpoch(),
		"stores": instanceNames(s.GetView().GetMembers()), "prior": instanceNames(s.GetView().GetPrior()),
		"abandoned": len(s.GetView().GetAbandoned()),
		"voters":    instanceNames(s.GetVoters()), "prior_voters": instanceNames(s.GetPriorVoters()),
	}).Info("deployment changed")
}

func instanceNames(list []*fleetpb.Member) []string {
	out := make([]string, 0, len(list))
	for _, m := range list {
		out = append(out, m.GetInstance())
	}
	return out
}

// Retire requests that a store be drained of its runs. It is idempotent.
func (c *Controller) Retire(ctx context.Context, name string) error {
	var refused error
	p := c.planner(time.Now())
	_, err := c.applyCommand(ctx, func(s *fleetpb.State) *fleetpb.State {
		refused = p.CheckRetire(s, name)
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

// Retired reports whether a store has been drained.
func (c *Controller) Retired(ctx context.Context, name string) (done bool, err error) {
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
