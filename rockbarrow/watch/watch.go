// SPDX-License-Identifier: MIT

// Package watch is the client of control instances: it learns the state of the
// deployment and the list of endpoints, and tells control that the sender lives.
//
// A [Client] holds one long call to each control instance that it follows: all of them for a control instance, a few
// for the others, which replace one that does not answer. What is newer comes back at once from the one that is near,
// and from the others if they have it first. What is in force never goes back to an older state within the life of a
// process.
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
	// longPollTimeout is how long a call waits for news. Shorter costs calls: each is about
	// 0.1 ms of processor time on both sides.
	longPollTimeout = 300 * time.Millisecond
	// answerSlack is how much longer than hold an answer may take.
	answerSlack = 250 * time.Millisecond
	// retryPause lies between the beginnings of calls to an instance that fails, twice that at
	// the most.
	retryPause = 150 * time.Millisecond
	// silentAfter is when a control instance counts as lost.
	silentAfter = 2*longPollTimeout + answerSlack
)

// Client watches control instances. Set the exported fields before Run.
type Client struct {
	// Self is the sender, Role its job.
	Self *fleetpb.Member
	Role fleetpb.Role
	// Seeds are addresses of control instances to begin with.
	Seeds []string
	Pool  *dial.Pool
	Log   *logrus.Entry
	// LongPollTimeout bounds one call; zero means the default.
	LongPollTimeout time.Duration
	// PartTimeout bounds the wait for a part of a routing table; zero means the default.
	PartTimeout time.Duration
	// CopiedEpoch returns the newest view whose records the sender holds; may be nil.
	CopiedEpoch func() uint64
	// Serves reports whether an entry instance takes requests; may be nil.
	Serves func() bool
	// OnChange is told of each newer state or list, if set. It must not block.
	OnChange func()
	// EndpointUses returns the sender's calls at endpoints, and OnLoads is told of those of
	// other instances; both are nil where the sender has none.
	EndpointUses func() []EndpointUse
	OnLoads      func(*fleetpb.EndpointLoads)
	// OnConfirmed is told up to which moment a version of the configuration was known to be the newest; may be
	// nil.
	OnConfirmed func(version uint64, at time.Time)
	// AwaitsConfirmation reports whether the sender waits for the first of these; may be nil.
	AwaitsConfirmation func() bool
	// CustomerUses returns how many requests of each customer were let in since the process began, but for those
	// that one control instance granted, and OnCustomerCounts is told who was let in at all entry instances, by a control
	// instance that was asked at a moment. Both are nil where the sender lets nobody in.
	CustomerUses     func(control string, whole bool) []CustomerUse
	OnCustomerCounts func(counts []*fleetpb.CustomerCount, asked time.Time)
	// FollowAll reports whether every control instance is to be called, as quotas need it; nil is no.
	FollowAll func() bool
	// Relayed returns what a control instance passes on to one that has acknowledged a sequence; nil for other roles.
	Relayed func(acknowledged uint64) *fleetpb.Relayed
	// Documents holds the documents that were met lately, so that news of them come as
	// differences.
	Documents document.Cache
	// Lists is the same for lists of endpoints from control instances of an earlier version.
	Lists document.Cache

	state   atomic.Pointer[fleetpb.State]
	list    atomic.Pointer[ListSnapshot]
	entries atomic.Uint32
	domains atomic.Pointer[[]*fleetpb.EntryDomain]

	mu sync.Mutex
	// targets are the addresses that a loop watches.
	targets map[string]*target
	// uses is what has been reported of the sender's calls at endpoints.
	uses reported
	// votes is what voters have told.
	votes lease.Votes
	ctx   context.Context
}

// Run watches until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	for _, a := range c.Seeds {
		c.add(a, nil)
	}
	sweep, choose := time.NewTicker(sweepEvery), time.NewTicker(chooseEvery)
	defer sweep.Stop()
	defer choose.Stop()
	for {
		select {
		case now := <-sweep.C:
			c.Pool.Sweep(now)
		case now := <-choose.C:
			c.mu.Lock()
			c.forget(now)
			c.follow(now)
			c.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

const (
	// sweepEvery is how often unused connections are looked for.
	sweepEvery = 10 * time.Second
	// forgetAfter is how long a control instance that is no seed is watched while
	// it does not answer.
	forgetAfter = time.Minute
)

// State returns the newest state, or nil before any is known.
func (c *Client) State() *fleetpb.State { return c.state.Load() }

// List returns the newest list, or nil before any is known.
func (c *Client) List() *ListSnapshot { return c.list.Load() }

// EntryCount returns how many entry instances there are, at least one.
func (c *Client) EntryCount() int { return max(1, int(c.entries.Load())) }

// EntryDomains returns the entry instances of each failure domain, as a control
// instance counted them last.
func (c *Client) EntryDomains() []*fleetpb.EntryDomain {
	if d := c.domains.Load(); d != nil {
		return *d
	}
	return nil
}

// ControlInstances returns the control instances that were heard within a time.
func (c *Client) ControlInstances(within time.Duration) []*fleetpb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*fleetpb.Member
	now := time.Now()
	for _, t := range c.targets {
		if t.member != nil && t.isFresh(now, within) {
			out = append(out, t.member)
		}
	}
	return out
}

// reachedWithin is how lately a control instance must have answered to count as
// reached: a call's length and a little more.
const reachedWithin = longPollTimeout + answerSlack + 100*time.Millisecond

// freshWithin is how lately one must have answered where another sign of a cut is
// there already: a call's length and some round trips.
const freshWithin = longPollTimeout + 100*time.Millisecond

// CutOff reports whether no control instance answers that has just heard a majority of the voters, nor most of the
// voters themselves: an instance that reaches few stores either is then likely to be apart from the rest.
func (c *Client) CutOff() bool {
	voters := c.State().GetVoters()
	c.mu.Lock()
	defer c.mu.Unlock()
	reached, now := 0, time.Now()
	for _, t := range c.targets {
		if !t.isFresh(now, freshWithin) {
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

// ReachesDomain reports whether a control instance of a failure domain answers, here or to another control instance
// that answers here.
func (c *Client) ReachesDomain(domain string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, t := range c.targets {
		if !t.isFresh(now, reachedWithin) {
			continue
		}
		if t.member.GetFailureDomain() == domain || slices.Contains(t.reach.GetFailureDomains(), domain) {
			return true
		}
	}
	return false
}

// AddControlInstance starts to watch the control instance at an address, if it is a new one.
func (c *Client) AddControlInstance(address string) { c.add(address, nil) }

// add notes a control instance, which may be followed.
func (c *Client) add(address string, m *fleetpb.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.note(address, m) {
		c.follow(time.Now())
	}
}

// Confirm returns a moment by which no state newer than s was chosen, as far as the voters have told. Own is the number
// of the state that this instance had accepted itself at some time after asked.
func (c *Client) Confirm(s *fleetpb.State, own uint64, asked time.Time) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.votes.Heard(c.Self.GetStorage(), own, asked)
	return c.votes.Confirm(s)
}

// received takes what a control instance answered to a question of a moment; by is when the answer's ages count from.
// List is the reply's list, nil if it brought none that is newer.
func (c *Client) received(t *target, r *fleetpb.WatchReply, list *catalog.List, asked, by time.Time) {
	if back := c.answered(t, r, asked); back {
		c.Log.WithField("control", t.address).Info("control instance is reached again")
	}
	c.ApplyReply(r)
	c.receiveList(r, list, by)
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

// answered notes that a target has answered, and reports whether it had been lost.
func (c *Client) answered(t *target, r *fleetpb.WatchReply, asked time.Time) (back bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t.member, t.lastAnswer, t.answered, t.reach = r.GetResponder(), now, true, r.GetReach()
	t.avoided, t.avoidUntil, t.relayed = 0, time.Time{}, r.GetRelayedSequence()
	if storage := r.GetResponder().GetStorage(); c.Role == fleetpb.Role_ROLE_CONTROL && storage != 0 {
		c.votes.Heard(storage, r.GetAcceptedNumber(), asked)
	}
	back, t.lost = t.lost, false
	if len(r.GetControl()) > 0 {
		t.control, t.controlSum = r.GetControl(), r.GetControlSum()
	}
	for _, m := range t.control {
		c.note(m.GetAddress(), m)
	}
	c.follow(now)
	return back
}
