// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"slices"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// suspectAfter is how long a call may stay unanswered before its store counts
	// as out of reach. A call takes some 5 ms, and 50 under a burst.
	suspectAfter = 250 * time.Millisecond
	// probeEvery is how often a store out of reach is asked again, probeWithin
	// how long it may take to answer.
	probeEvery  = 200 * time.Millisecond
	probeWithin = 300 * time.Millisecond
)

// health is which stores answer. Calls tell it; only stores out of reach are
// probed, so that it costs nothing on a calm day. The zero value is ready.
type health struct {
	mu sync.Mutex
	// out holds the storages that did not answer their last call.
	out map[uint64]bool
	// met holds the storages that have answered this process at least once.
	met map[uint64]bool
	// changed is closed when a storage goes out of reach or comes back.
	changed chan struct{}
}

// change returns a channel that is closed at the next change.
func (h *health) change() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

func (h *health) set(storage uint64, out bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.out == nil {
		h.out, h.met = map[uint64]bool{}, map[uint64]bool{}
	}
	if !out {
		h.met[storage] = true
	}
	if h.out[storage] == out {
		return false
	}
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	if out {
		h.out[storage] = true
	} else {
		delete(h.out, storage)
	}
	return true
}

func (h *health) allThere() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.out) == 0
}

func (h *health) isOut(storage uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.out[storage]
}

// proven reports whether a store has answered, also its last call.
func (h *health) proven(storage uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.met[storage] && !h.out[storage]
}

// known reports whether anything was told of a store.
func (h *health) known(storage uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.met[storage] || h.out[storage]
}

// allProven reports whether stores have all answered, also their last calls, and no other store is out. It is asked for with
// each request, and spares the look at groups while nothing is wrong.
func (h *health) allProven(list []*fleetpb.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.out) > 0 {
		return false
	}
	for _, m := range list {
		if !h.met[m.GetStorage()] {
			return false
		}
	}
	return true
}

// gone reports whether a store has answered once and no longer does. One that has never
// answered may be starting.
func (h *health) gone(storage uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.met[storage] && h.out[storage]
}

// observe tells how a store took a call.
func (c *Client) observe(m *fleetpb.Member, err error) {
	if !c.health.set(m.GetStorage(), err != nil) {
		return
	}
	l := c.Watch.Log.WithField("store", m.GetInstance())
	if err != nil {
		l.WithError(err).Warn("store is out of reach")
		return
	}
	l.Info("store is reached again")
}

// suspectError says that a call has no answer yet.
type suspectError struct{}

func (e *suspectError) Error() string { return "no answer within " + suspectAfter.String() }

// suspicion marks a store as out of reach while its call has no answer.
type suspicion struct {
	client *Client
	member *fleetpb.Member
	asked  time.Time
}

func (s *suspicion) run() {
	if !wasStalled(s.asked, suspectAfter) {
		s.client.observe(s.member, &suspectError{})
	}
}

// stallSlack is how late a timer may be before this process, and not the peer, is
// taken for the one that stood still.
const stallSlack = 150 * time.Millisecond

// wasStalled reports whether a timer that was set for a time fired much later:
// what came in meanwhile has not been read yet, so that silence means nothing.
func wasStalled(set time.Time, wait time.Duration) bool {
	return time.Since(set) > wait+stallSlack
}

// viewTick is how often a process that has just started looks for the first view.
const viewTick = 5 * time.Millisecond

// Run probes stores that are out of reach and a sample of those that have not answered yet, and all that are known while
// most voters are silent, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for c.Watch.State().GetView() == nil {
		if !wait.For(ctx, viewTick) {
			return
		}
	}
	c.probe(ctx)
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.probe(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// probe asks stores whether they are there. An instance that serves few turns would
// not notice by itself that it is cut off; the silence of most voters is the sign to
// look.
func (c *Client) probe(ctx context.Context) {
	v := c.Watch.State().GetView()
	cutOff := c.Watch.CutOff()
	ask := func(m *fleetpb.Member) {
		if cutOff || !c.health.proven(m.GetStorage()) {
			go (&prober{client: c, member: m, epoch: v.GetEpoch()}).run(ctx)
		}
	}
	sample := c.samples.of(v, c.Watch.Self)
	for _, m := range sample {
		ask(m)
	}
	if !cutOff && c.health.allThere() {
		return
	}
	for _, list := range [][]*fleetpb.Member{v.GetMembers(), v.GetPrior()} {
		for _, m := range list {
			if c.health.known(m.GetStorage()) && !slices.Contains(sample, m) {
				ask(m)
			}
		}
	}
}

// prober asks one store whether it is there.
type prober struct {
	client *Client
	member *fleetpb.Member
	epoch  uint64
}

func (p *prober) run(ctx context.Context) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeWithin)
	defer cancel()
	conn, err := p.client.Pool.Get(p.member.GetAddress())
	if err == nil {
		_, err = fleetpb.NewStoreClient(conn).Lookup(ctx, &fleetpb.LookupRequest{Epoch: p.epoch, Storage: p.member.GetStorage()})
	}
	switch {
	case err == nil:
		p.client.observe(p.member, nil)
	case !p.client.health.proven(p.member.GetStorage()):
		// It may be starting too. Requests try it, and wait for it a little.
	case !wasStalled(asked, probeWithin):
		p.client.observe(p.member, err)
	}
}
