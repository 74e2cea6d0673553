// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"slices"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// unresponsiveAfter is how long a call may stay unanswered before its store
	// counts as unreachable. A call usually takes about 5 ms, and
	// 50 ms under a burst.
	unresponsiveAfter = 250 * time.Millisecond
	// probeInterval is the time between probes of an unreachable store,
	// probeTimeout the time limit of one probe.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// health tracks which stores answer. It is updated by calls and probes. Healthy
// stores are probed only while most voters are silent. The zero value is ready
// to use.
type health struct {
	mu sync.Mutex
	// unreachable holds the storages that did not answer their last call.
	unreachable map[uint64]bool
	// answered holds the storages that have answered this process at least once.
	answered map[uint64]bool
	// changed is closed when a storage becomes unreachable or reachable again.
	changed chan struct{}
}

// nextChange returns a channel that is closed at the next change of reachability.
func (h *health) nextChange() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

func (h *health) setUnreachable(storage uint64, unreachable bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable == nil {
		h.unreachable, h.answered = map[uint64]bool{}, map[uint64]bool{}
	}
	if !unreachable {
		h.answered[storage] = true
	}
	if h.unreachable[storage] == unreachable {
		return false
	}
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	if unreachable {
		h.unreachable[storage] = true
	} else {
		delete(h.unreachable, storage)
	}
	return true
}

func (h *health) noneUnreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.unreachable) == 0
}

func (h *health) isUnreachable(storage uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unreachable[storage]
}

// isHealthy reports whether a store has answered its last call.
func (h *health) isHealthy(storage uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered[storage] && !h.unreachable[storage]
}

// isKnown reports whether the outcome of any call to a store is known.
func (h *health) isKnown(storage uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered[storage] || h.unreachable[storage]
}

// allHealthy reports whether all listed stores have answered their last calls
// and no other store is unreachable. It is the fast path of each request, which
// then need not compute groups.
func (h *health) allHealthy(list []*fleetpb.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.unreachable) > 0 {
		return false
	}
	for _, m := range list {
		if !h.answered[m.GetStorage()] {
			return false
		}
	}
	return true
}

// isLost reports whether a store has answered before and no longer does. A store
// that has never answered may still be starting.
func (h *health) isLost(storage uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered[storage] && h.unreachable[storage]
}

// recordResult updates a store's health with the result of a call.
func (c *Client) recordResult(m *fleetpb.Member, err error) {
	if !c.health.setUnreachable(m.GetStorage(), err != nil) {
		return
	}
	l := c.Watch.Log.WithField("store", m.GetInstance())
	if err != nil {
		l.WithError(err).Warn("store is out of reach")
		return
	}
	l.Info("store is reached again")
}

// noResponseError reports that a call has not been answered yet.
type noResponseError struct{}

func (e *noResponseError) Error() string { return "no answer within " + unresponsiveAfter.String() }

// responseTimeout marks a store as unreachable if a call stays unanswered.
type responseTimeout struct {
	client  *Client
	member  *fleetpb.Member
	started time.Time
}

func (t *responseTimeout) run() {
	if !processStalled(t.started, unresponsiveAfter) {
		t.client.recordResult(t.member, &noResponseError{})
	}
}

// stallTolerance is how late a timer may fire before this process, rather than
// the store, is assumed to have been paused.
const stallTolerance = 150 * time.Millisecond

// processStalled reports whether a timer fired, or a call or probe ended, much
// later than the end of the wait that began at set.
// Answers may then be waiting unread, so a missing answer proves nothing.
func processStalled(set time.Time, wait time.Duration) bool {
	return time.Since(set) > wait+stallTolerance
}

// viewPollInterval is the polling interval for the first view after a start.
const viewPollInterval = 5 * time.Millisecond

// Run probes stores until ctx ends: the unreachable ones, a sample of those that
// have not answered yet and, while most voters are silent, all known ones.
func (c *Client) Run(ctx context.Context) {
	for c.Watch.State().GetView() == nil {
		if !wait.For(ctx, viewPollInterval) {
			return
		}
	}
	c.probeStores(ctx)
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.probeStores(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// probeStores starts the probes that are due. An instance that serves few turns
// would not notice a network partition by its own calls, so the silence of most
// voters triggers probes of all known stores.
func (c *Client) probeStores(ctx context.Context) {
	v := c.Watch.State().GetView()
	cutOff := c.Watch.CutOff()
	probeIfNeeded := func(m *fleetpb.Member) {
		if cutOff || !c.health.isHealthy(m.GetStorage()) {
			go (&probe{client: c, member: m, epoch: v.GetEpoch()}).run(ctx)
		}
	}
	sample := c.sampleCache.get(v, c.Watch.Self)
	for _, m := range sample {
		probeIfNeeded(m)
	}
	if !cutOff && c.health.noneUnreachable() {
		return
	}
	for _, list := range ledger.MemberLists(v) {
		for _, m := range list {
			if c.health.isKnown(m.GetStorage()) && !slices.Contains(sample, m) {
				probeIfNeeded(m)
			}
		}
	}
}

// probe checks whether one store answers.
type probe struct {
	client *Client
	member *fleetpb.Member
	epoch  uint64
}

func (p *probe) run(ctx context.Context) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := p.client.Pool.Get(p.member.GetAddress())
	if err == nil {
		_, err = fleetpb.NewStoreClient(conn).Lookup(ctx, &fleetpb.LookupRequest{Epoch: p.epoch, Storage: p.member.GetStorage()})
	}
	switch {
	case err == nil:
		p.client.recordResult(p.member, nil)
	case !p.client.health.isHealthy(p.member.GetStorage()):
		// The store may still be starting. Requests call it and wait briefly.
	case !processStalled(started, probeTimeout):
		p.client.recordResult(p.member, err)
	}
}
