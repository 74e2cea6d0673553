// SPDX-License-Identifier: MIT

package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/dispatch"
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/rockbarrow/roster"
)

const (
	// tickPeriod is the interval between ticks of owned runs.
	tickPeriod = 500 * time.Millisecond
	// sweepTicks is the number of ticks between sweeps for expired journals.
	sweepTicks = 120
	// idempotencyWindow is how long a create request may be resent under its
	// idempotency key.
	idempotencyWindow = 10 * time.Minute
	// peerTimeout bounds one journal message.
	peerTimeout = 2 * time.Second
	// campaignBackoff is the minimum time between two campaigns for a run.
	campaignBackoff = 500 * time.Millisecond
)

// Host manages the runs of an instance. The exported fields must be set before
// Run.
type Host struct {
	Instance string
	Domain   string
	// Incarnation identifies the process since its start.
	Incarnation uint64
	// StorageIncarnation identifies the disk's contents; it is 0 without a disk.
	StorageIncarnation uint64
	Peers              PeerClient
	// Backends sends calls to endpoints.
	Backends Backends
	// Store is nil without a disk.
	Store      Store
	Dispatcher *dispatch.Dispatcher
	// Config and View return the current configuration and membership. They are
	// called on every request.
	Config func() *control.Snapshot
	View   func() *roster.View
	// Learned reports whether the configuration is known to be up to date.
	Learned func() bool
	// ConfigAge returns the time since a control instance confirmed the
	// configuration.
	ConfigAge func() time.Duration
	// Lease is the maximum age of an intent when its call is sent.
	Lease time.Duration
	// CallTimeout bounds the processing of a request.
	CallTimeout time.Duration
	// Retention is how long the journal of an ended run is kept.
	Retention time.Duration
	// DiskFailed is called when a sync fails; the process must then exit.
	DiskFailed func(error)
	Log        *logrus.Entry
	Metrics    tally.Scope

	shards [64]shard
	round  atomic.Uint64
	calls  atomic.Uint64
	// stopping is never cleared once it is set.
	stopping atomic.Bool
	// callsRefused is set once no call and no run begins here or is forwarded from here. It is never cleared.
	callsRefused atomic.Bool
	started      time.Time
	initOnce     sync.Once
	// underReplicated counts runs that lack replicas, owned the owned runs and
	// replicated the others, all as of the last tick.
	underReplicated, owned, replicated atomic.Int64
	// owners caches the owners of runs requested on this instance.
	owners ownerCache
}

// shard holds a part of the runs to reduce lock contention.
type shard struct {
	mu   sync.Mutex
	runs map[string]*run
}

// self returns the journal member of this instance.
func (h *Host) self() journal.Member {
	if h.StorageIncarnation != 0 {
		return journal.NewMember(h.Instance, h.StorageIncarnation).WithDisk()
	}
	return journal.NewMember(h.Instance, h.Incarnation)
}

// init sets the start time, once.
func (h *Host) init() {
	h.initOnce.Do(func() { h.started = time.Now() })
}

// Restore adds a journal that was loaded from disk.
func (h *Host) Restore(name string, replica *journal.Replica) {
	h.init()
	r := h.findRun(name, true)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replica = replica
	r.changedAt = time.Now()
}

// Run ticks all runs until ctx is done.
func (h *Host) Run(ctx context.Context) {
	h.init()
	h.loop(ctx)
}

func (h *Host) loop(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.tick(n%sweepTicks == 0)
		}
	}
}

// tick ticks all owned runs and takes over runs whose owner is dead.
func (h *Host) tick(sweep bool) {
	view := h.View()
	underReplicated, owned, replicated := int64(0), int64(0), int64(0)
	for _, r := range h.allRuns() {
		if r.owned() {
			owned++
			if r.underReplicated() {
				underReplicated++
			}
			r.tick(view)
			if sweep {
				r.releaseIfSettled()
			}
			continue
		}
		replicated++
		if h.Learned() && r.needsOwner(view) {
			// A run without an owner is not re-replicated.
			underReplicated++
			r.claim(claimOptions{view: view})
		}
		if sweep && r.expired(h.Retention) {
			h.removeRun(r)
		}
	}
	h.underReplicated.Store(underReplicated)
	h.owned.Store(owned)
	h.replicated.Store(replicated)
	h.Metrics.Gauge("runs_owned").Update(float64(owned))
	h.Metrics.Gauge("runs_replicated").Update(float64(replicated))
	h.Metrics.Gauge("runs_repairing").Update(float64(underReplicated))
	h.Metrics.Gauge("calls_queued").Update(float64(h.Dispatcher.QueueLen()))
}

// RunCounts returns the numbers of owned runs, of runs replicated for other
// owners, and of runs that lack replicas.
func (h *Host) RunCounts() (owned, replicated, underReplicated int64) {
	return h.owned.Load(), h.replicated.Load(), h.underReplicated.Load()
}

// findRun returns the run of a name, and creates it if requested.
func (h *Host) findRun(name string, create bool) *run {
	s := h.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[name]
	if r == nil && create {
		if s.runs == nil {
			s.runs = map[string]*run{}
		}
		r = &run{host: h, name: name, callers: map[program.CallID]*stream{}}
		r.mailbox.Step = r.step
		s.runs[name] = r
	}
	return r
}

func (h *Host) shard(name string) *shard {
	sum := uint32(2166136261)
	for i := range len(name) {
		sum = (sum ^ uint32(name[i])) * 16777619
	}
	return &h.shards[sum%uint32(len(h.shards))]
}

// allRuns returns all current runs.
func (h *Host) allRuns() []*run {
	var out []*run
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for _, r := range s.runs {
			out = append(out, r)
		}
		s.mu.Unlock()
	}
	return out
}

// removeRun deletes a run and its journal.
func (h *Host) removeRun(r *run) {
	s := h.shard(r.name)
	s.mu.Lock()
	delete(s.runs, r.name)
	s.mu.Unlock()
	if h.Store != nil {
		h.Store.Drop(r.name)
	}
}

// randomBackoff returns a random time before the next campaign, so that two
// competing instances do not keep deposing each other.
func randomBackoff() time.Duration {
	return campaignBackoff + time.Duration(rand.Int64N(int64(campaignBackoff)))
}
