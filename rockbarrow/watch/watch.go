// SPDX-License-Identifier: MIT

// Package watch is the client of control instances: it learns the state of the
// deployment and the list of endpoints, and tells control that the sender lives.
//
// A [Client] holds one long call to each control instance that it knows. What
// is newer comes back at once from whichever instance has it first, so that no
// single one has to be reached. What is in force never goes back to an older
// state within the life of a process.
package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// hold is how long a call waits for news. Shorter costs calls: each is about
	// 0.1 ms of processor time on both sides.
	hold = 300 * time.Millisecond
	// reply is how much longer than hold an answer may take.
	reply = 250 * time.Millisecond
	// pause lies between calls to an instance that fails.
	pause = 150 * time.Millisecond
	// silentAfter is when a control instance counts as lost.
	silentAfter = 2*hold + reply
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
	// Hold bounds one call; zero means the default.
	Hold time.Duration
	// Copied returns the newest view whose records the sender holds; may be nil.
	Copied func() uint64
	// Serves reports whether an entry instance takes requests; may be nil.
	Serves func() bool
	// Changed is told of each newer state or list, if set. It must not block.
	Changed func()

	state   atomic.Pointer[fleetpb.State]
	list    atomic.Pointer[Reading]
	entries atomic.Uint32
	domains atomic.Pointer[[]*fleetpb.EntryDomain]

	mu sync.Mutex
	// targets are the addresses that a loop watches.
	targets map[string]*target
	ctx     context.Context
}

// Reading is the list of endpoints with the time of its newest confirmation.
type Reading struct {
	list *fleetpb.EndpointList
	at   time.Time
}

// List returns the list, or nil if there is no reading.
func (r *Reading) List() *fleetpb.EndpointList {
	if r == nil {
		return nil
	}
	return r.list
}

// At returns when the list was last known to be current.
func (r *Reading) At() time.Time { return r.at }

// target is one control instance that is watched.
type target struct {
	client  *Client
	address string
	member  *fleetpb.Member
	// heard is when it answered last, or when the watch began.
	heard    time.Time
	answered bool
	lost     bool
}

// Run watches until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	for _, a := range c.Seeds {
		c.add(a, nil)
	}
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			c.Pool.Sweep(now)
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
func (c *Client) List() *Reading { return c.list.Load() }

// Entries returns how many entry instances there are, at least one.
func (c *Client) Entries() int { return max(1, int(c.entries.Load())) }

// EntryDomains returns the entry instances of each failure domain, as a control
// instance counted them last.
func (c *Client) EntryDomains() []*fleetpb.EntryDomain {
	if d := c.domains.Load(); d != nil {
		return *d
	}
	return nil
}

// Control returns the control instances that were heard within a time.
func (c *Client) Control(within time.Duration) []*fleetpb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*fleetpb.Member
	for _, t := range c.targets {
		if t.member != nil && t.answered && time.Since(t.heard) < within {
			out = append(out, t.member)
		}
	}
	return out
}

// reachedWithin is how lately a control instance must have answered to count as
// reached: a call's length and a little more.
const reachedWithin = hold + reply + 100*time.Millisecond

// freshWithin is how lately one must have answered where another sign of a cut is
// there already: a call's length and some round trips.
const freshWithin = hold + 100*time.Millisecond

// CutOff reports whether most of the voters have not answered just now: an
// instance that reaches few stores either is then likely to be apart from the rest.
func (c *Client) CutOff() bool {
	voters := c.State().GetVoters()
	reached := 0
	for _, m := range c.Control(freshWithin) {
		for _, v := range voters {
			if v.GetInstance() == m.GetInstance() {
				reached++
			}
		}
	}
	return 2*reached <= len(voters)
}

// ReachesDomain reports whether a control instance of a failure domain answers.
func (c *Client) ReachesDomain(domain string) bool {
	for _, m := range c.Control(reachedWithin) {
		if m.GetFailureDomain() == domain {
			return true
		}
	}
	return false
}

// Offer takes a state learned elsewhere. Older ones change nothing.
func (c *Client) Offer(s *fleetpb.State) bool {
	for {
		old := c.state.Load()
		if old != nil && s.GetNumber() <= old.GetNumber() {
			return false
		}
		if c.state.CompareAndSwap(old, s) {
			c.Log.WithFields(logrus.Fields{
				"state": s.GetNumber(), "config_version": s.GetConfiguration().GetVersion(),
				"view": s.GetView().GetEpoch(), "stores": len(s.GetView().GetMembers()),
			}).Info("a newer state is in force")
			c.changed()
			return true
		}
	}
}

// OfferList takes a reading of the list. Older ones change nothing but the time
// of a list already known.
func (c *Client) OfferList(l *fleetpb.EndpointList, at time.Time) {
	for {
		old := c.list.Load()
		next := &Reading{list: l, at: at}
		if old != nil && l.GetNumber() <= old.list.GetNumber() {
			if l.GetNumber() < old.list.GetNumber() || !at.After(old.at) {
				return
			}
			next.list = old.list
		}
		if !c.list.CompareAndSwap(old, next) {
			continue
		}
		if old == nil || next.list != old.list {
			c.Log.WithFields(logrus.Fields{"list": l.GetNumber(), "endpoints": len(l.GetEndpoints())}).
				Info("a newer list of endpoints is in force")
			c.changed()
		}
		return
	}
}

func (c *Client) changed() {
	if c.Changed != nil {
		c.Changed()
	}
}

// Add starts to watch the control instance at an address, if it is a new one.
func (c *Client) Add(address string) { c.add(address, nil) }

// add starts to watch an address.
func (c *Client) add(address string, m *fleetpb.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.Self.GetAddress() || c.ctx == nil {
		return
	}
	if c.targets == nil {
		c.targets = map[string]*target{}
	}
	if c.targets[address] != nil {
		return
	}
	t := &target{client: c, address: address, member: m, heard: time.Now()}
	c.targets[address] = t
	go t.loop(c.ctx)
}

// heard takes what a control instance answered.
func (c *Client) heard(t *target, r *fleetpb.WatchReply, asked time.Time) {
	c.mu.Lock()
	t.member, t.heard, t.answered = r.GetResponder(), time.Now(), true
	back := t.lost
	t.lost = false
	c.mu.Unlock()
	if back {
		c.Log.WithField("control", t.address).Info("control instance is reached again")
	}
	c.Hear(r)
	c.hearList(r, asked)
	for _, m := range r.GetControl() {
		c.add(m.GetAddress(), m)
	}
}

// Hear takes what a control instance tells of the state and of entry instances.
func (c *Client) Hear(r *fleetpb.WatchReply) {
	c.entries.Store(max(r.GetEntries(), 1))
	if counts := r.GetEntryDomains(); len(counts) > 0 {
		c.domains.Store(&counts)
	}
	if r.GetState() != nil {
		c.Offer(r.GetState())
	}
}

// hearList takes the list or the news that the known one was read again.
func (c *Client) hearList(r *fleetpb.WatchReply, asked time.Time) {
	if !r.GetListKnown() {
		return
	}
	list := r.GetList()
	if list == nil {
		known := c.list.Load()
		if known == nil {
			return
		}
		list = known.list
	}
	c.OfferList(list, asked.Add(-time.Duration(r.GetListAgeMs())*time.Millisecond))
}

// loop watches one control instance.
func (t *target) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := t.watch(ctx); err != nil {
			t.failed(err)
			if t.forgotten() {
				return
			}
			wait(ctx, pause+rand.N(pause))
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
	ctx, cancel := context.WithTimeout(ctx, held+reply)
	defer cancel()
	asked := time.Now()
	r, err := fleetpb.NewControlClient(conn).Watch(ctx, c.request(held))
	if err != nil {
		return err
	}
	// The age of the list counts from when the answer was given; for a call that
	// was held that is about now, and a little late is safe.
	if time.Since(asked) >= held {
		asked = asked.Add(held)
	}
	c.heard(t, r, asked)
	return nil
}

func (c *Client) request(held time.Duration) *fleetpb.WatchRequest {
	req := &fleetpb.WatchRequest{
		Sender: c.Self, Role: c.Role,
		StateNumber: c.State().GetNumber(), WaitMs: uint32(held.Milliseconds()),
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

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
