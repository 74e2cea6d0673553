// SPDX-License-Identifier: MIT

// Package watch is the client of control instances. It learns the deployment's
// state and the list of endpoints, and reports that the sender is alive.
//
// A [Client] keeps one long poll open to each control instance that it follows.
// Control instances follow all others; entry and store instances follow a few and
// replace those that do not answer. One followed instance, the primary, returns
// updates as soon as they exist. The others report only their version numbers and
// are asked for updates that the primary lacks. Within a process, the state and
// the list never revert to older versions.
package watch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/rockbarrow/lease"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// longPollTimeout is how long a call waits for an update. A shorter wait
	// costs more calls, each about 0.1 ms of processor time on both sides.
	longPollTimeout = 300 * time.Millisecond
	// answerSlack is how long an answer may take beyond the long poll's timeout.
	answerSlack = 250 * time.Millisecond
	// retryInterval is the minimum time between the starts of calls to a failing
	// instance; jitter extends it to at most twice that.
	retryInterval = 150 * time.Millisecond
	// unreachableAfter is the silence after which a control instance counts as unreachable for
	// backoff and for the choice of those to follow, to report to, to ask about quotas and to
	// fetch tables from.
	unreachableAfter = 2*longPollTimeout + answerSlack
)

// Client follows control instances. Set the exported fields before calling Run.
type Client struct {
	// Self is the sender and Role its role.
	Self *fleetpb.Member
	Role fleetpb.Role
	// Seeds are the addresses of the control instances to contact first.
	Seeds []string
	Pool  *dial.Pool
	Log   *logrus.Entry
	// LongPollTimeout is how long a call waits for an update; zero means the default.
	LongPollTimeout time.Duration
	// PartTimeout bounds the wait for each part of a routing table; zero means the default.
	PartTimeout time.Duration
	// CopiedEpoch returns the newest view for which the sender holds all its records; may be nil.
	CopiedEpoch func() uint64
	// Standby is true if the sender is a control instance that can keep records.
	Standby bool
	// Serves reports whether an entry instance accepts requests; may be nil.
	Serves func() bool
	// OnChange is called after each newer state or list; may be nil. It must not block.
	OnChange func()
	// EndpointUses returns the sender's calls at endpoints, and OnLoads receives
	// those of other instances. Both are nil if the sender calls no endpoints.
	EndpointUses func() []EndpointUse
	OnLoads      func(*fleetpb.EndpointLoads)
	// OnConfirmed receives a version of the configuration and the latest time at
	// which it was known to be the newest; may be nil.
	OnConfirmed func(version uint64, at time.Time)
	// AwaitsConfirmation reports whether the sender has received no confirmation yet; may be nil.
	AwaitsConfirmation func() bool
	// CustomerUses returns the number of requests admitted for each customer since
	// the process started, without those that the given control instance granted,
	// or, if window is set, those within the window of quotas.
	// OnCustomerCounts receives the requests admitted at all entry instances, with
	// the time at which the control instance was asked. Both are nil if the sender
	// admits no requests.
	CustomerUses     func(control string, window bool) []CustomerUse
	OnCustomerCounts func(counts []*fleetpb.CustomerCount, asked time.Time)
	// OnSuspects receives what changed of requests under which endpoints ended, and KnownSuspects returns those known here, for
	// a control instance that may have just started. Both may be nil.
	OnSuspects    func([]*fleetpb.Suspect)
	KnownSuspects func() []*fleetpb.Suspect
	// FollowAll reports whether to follow every control instance, as quotas require; nil means no.
	FollowAll func() bool
	// Relayed returns what a control instance relays to a peer that has acknowledged
	// a sequence number; nil for other roles.
	Relayed func(acknowledged uint64) *fleetpb.Relayed
	// Documents caches recent documents, so that updates arrive as differences.
	Documents document.Cache
	// Lists does the same for endpoint lists from control instances of an earlier version.
	Lists document.Cache

	state        atomic.Pointer[fleetpb.State]
	list         atomic.Pointer[ListSnapshot]
	entryCount   atomic.Uint32
	entryDomains atomic.Pointer[[]*fleetpb.EntryDomain]

	mu sync.Mutex
	// targets are the known control instances by address.
	targets map[string]*target
	// reported is what control instances have been told about calls at endpoints.
	reported reportedUses
	// votes are the answers of voters.
	votes lease.VoterStates
	// rotated counts the followed control instances that made room for others since rotatedAt, as none of those followed
	// reached a majority of the voters.
	rotatedAt time.Time
	rotated   int
	// minoritySince is when no followed control instance reached a majority of the voters any more, zero while one does.
	minoritySince time.Time
	ctx           context.Context
}

// Run follows control instances until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	for _, a := range c.Seeds {
		c.addTarget(a, nil)
	}
	sweep, reselect := time.NewTicker(sweepInterval), time.NewTicker(selectInterval)
	defer sweep.Stop()
	defer reselect.Stop()
	for {
		select {
		case now := <-sweep.C:
			c.Pool.CloseIdle(now)
		case now := <-reselect.C:
			c.mu.Lock()
			c.expireTargets(now)
			c.updateFollowed(now)
			c.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

const (
	// sweepInterval is how often unused connections are closed.
	sweepInterval = 10 * time.Second
	// expireAfter is how long an unresponsive control instance that is not a seed stays known.
	expireAfter = time.Minute
)

// State returns the newest state, or nil if none is known.
func (c *Client) State() *fleetpb.State { return c.state.Load() }

// List returns the newest list, or nil if none is known.
func (c *Client) List() *ListSnapshot { return c.list.Load() }

// EntryCount returns the number of entry instances, at least one.
func (c *Client) EntryCount() int { return max(1, int(c.entryCount.Load())) }

// EntryDomains returns the number of entry instances in each failure domain, as
// last reported by a control instance.
func (c *Client) EntryDomains() []*fleetpb.EntryDomain {
	if d := c.entryDomains.Load(); d != nil {
		return *d
	}
	return nil
}

// ControlInstances returns the control instances that answered within the given duration.
func (c *Client) ControlInstances(within time.Duration) []*fleetpb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*fleetpb.Member
	now := time.Now()
	for _, t := range c.targets {
		if t.member != nil && t.answeredWithin(now, within) {
			out = append(out, t.member)
		}
	}
	return out
}

// reachableWindow is how recently a control instance must have answered to prove
// that its failure domain is reachable (ReachesDomain): the length of a call with a
// margin.
const reachableWindow = longPollTimeout + answerSlack + 100*time.Millisecond

// recentWindow is how recently a control instance must have answered to count
// against a partition of this instance (CutOff): the length of a call and some round
// trips. It is narrower, because CutOff alone only starts probes of the stores;
// readiness also depends on whether these are reachable.
const recentWindow = longPollTimeout + 100*time.Millisecond

// CutOff reports whether this instance is likely partitioned from the rest: no
// reachable control instance reports a majority of the voters, and no majority of
// them answers here.
func (c *Client) CutOff() bool {
	voters := c.State().GetVoters()
	c.mu.Lock()
	defer c.mu.Unlock()
	reached, now := 0, time.Now()
	for _, t := range c.targets {
		if !t.answeredWithin(now, recentWindow) {
			continue
		}
		if t.reach.GetMajority() {
			return false
		}
		if slices.ContainsFunc(voters, func(v *fleetpb.Member) bool { return v.GetInstance() == t.member.GetInstance() }) {
			reached++
		}
	}
	return 2*reached <= len(voters)
}

// ReachesDomain reports whether a control instance in a failure domain answers
// here, or answers another control instance that is reachable from here.
func (c *Client) ReachesDomain(domain string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, t := range c.targets {
		if !t.answeredWithin(now, reachableWindow) {
			continue
		}
		if t.member.GetFailureDomain() == domain || slices.Contains(t.reach.GetFailureDomains(), domain) {
			return true
		}
	}
	return false
}

// AddControlInstance adds the control instance at an address if it is not known yet.
func (c *Client) AddControlInstance(address string) { c.addTarget(address, nil) }

// addTarget adds a control instance and reconsiders which ones to follow.
func (c *Client) addTarget(address string, m *fleetpb.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.upsertTarget(address, m) {
		c.updateFollowed(time.Now())
	}
}

// Confirm returns a time at which no state newer than s had been chosen, according
// to the voters. AcceptedNumber is the number of the state that this instance itself had
// accepted at some time after asked.
func (c *Client) Confirm(s *fleetpb.State, acceptedNumber uint64, asked time.Time) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.votes.Record(c.Self.GetStorage(), acceptedNumber, asked)
	return c.votes.ConfirmedAt(s)
}

// handleReply processes the answer to a call that was sent at asked. Ages in the
// answer count from earliestSent. List is the reply's list, nil if it contains no newer one.
func (c *Client) handleReply(t *target, r *fleetpb.WatchReply, list *catalog.List, asked, earliestSent time.Time) {
	if wasUnreachable := c.recordAnswer(time.Now(), t, r, asked); wasUnreachable {
		c.Log.WithField("control", t.address).Info("control instance is reached again")
	}
	c.ApplyReply(r)
	c.applyList(r, list, earliestSent)
	if r.GetLoads() != nil && c.OnLoads != nil {
		c.OnLoads(r.GetLoads())
	}
	if f := r.GetConfirmed(); f != nil && c.OnConfirmed != nil {
		c.OnConfirmed(f.GetVersion(), asked.Add(-time.Duration(f.GetAgeUs())*time.Microsecond))
	}
	if r.GetCustomers() != nil && c.OnCustomerCounts != nil {
		c.OnCustomerCounts(r.GetCustomers().GetCounts(), asked)
	}
}

// recordAnswer records that a target has answered, and reports whether it was
// unreachable before.
func (c *Client) recordAnswer(now time.Time, t *target, r *fleetpb.WatchReply, asked time.Time) (wasUnreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.member, t.lastAnswer, t.answered, t.reach = r.GetResponder(), now, true, r.GetReach()
	t.backoff, t.backoffUntil, t.relayedSequence = 0, time.Time{}, r.GetRelayedSequence()
	if storage := r.GetResponder().GetStorage(); c.Role == fleetpb.Role_ROLE_CONTROL && storage != 0 {
		c.votes.Record(storage, r.GetAcceptedNumber(), asked)
	}
	wasUnreachable, t.unreachable = t.unreachable, false
	if len(r.GetControl()) > 0 {
		t.knownControl, t.controlSum = r.GetControl(), r.GetControlSum()
	}
	for _, m := range t.knownControl {
		c.upsertTarget(m.GetAddress(), m)
	}
	t.recordReach(now)
	c.updateFollowed(now)
	c.logMajority(now)
	return wasUnreachable
}

// logMajority logs when no followed control instance reaches a majority of the voters any more, and when one does again. c.mu must be held.
func (c *Client) logMajority(now time.Time) {
	if c.Role == fleetpb.Role_ROLE_CONTROL {
		return
	}
	var answering []string
	for _, t := range c.targets {
		if t.answeredWithin(now, unreachableAfter) {
			answering = append(answering, t.address)
		}
	}
	majority := c.followsMajority(now)
	switch {
	case !majority && c.minoritySince.IsZero():
		c.minoritySince = now
		c.Log.WithField("control", answering).Warn("no followed control instance reaches a majority of the voters")
	case majority && !c.minoritySince.IsZero():
		c.Log.WithFields(logrus.Fields{"control": answering, "after_ms": now.Sub(c.minoritySince).Milliseconds()}).
			Info("a followed control instance reaches a majority of the voters again")
		c.minoritySince = time.Time{}
	}
}
