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
	// tickPeriod is how often owned runs are ticked.
	tickPeriod = 500 * time.Millisecond
	// sweepEvery is how many ticks pass between sweeps for old journals.
	sweepEvery = 120
	// keyWindow is how long a creation may be resent under its key.
	keyWindow = 10 * time.Minute
	// peerTimeout bounds one journal message.
	peerTimeout = 2 * time.Second
	// campaignPause is the least time between two campaigns for one run.
	campaignPause = 500 * time.Millisecond
)

// Host holds all runs of an instance. Set the exported fields before Run.
type Host struct {
	Instance string
	Domain   string
	// Incarnation is the number of this life of the process.
	Incarnation uint64
	// StorageIncarnation is the number of the disk's life; 0 without a disk.
	StorageIncarnation uint64
	Peers              PeerClient
	// Backends sends calls to endpoints.
	Backends Backends
	// Store is nil without a disk.
	Store      Store
	Dispatcher *dispatch.Dispatcher
	// Config and View return what is in force; both are read on every request.
	Config func() *control.Snapshot
	View   func() *roster.View
	// Learned reports whether the configuration is known to be the newest.
	Learned func() bool
	// ConfigAge returns how long ago a control instance confirmed it.
	ConfigAge func() time.Duration
	// Lease is how old an intent may be when its call is sent.
	Lease time.Duration
	// CallTimeout bounds a request at its entry.
	CallTimeout time.Duration
	// Retention is how long an ended run's journal is kept.
	Retention time.Duration
	// DiskFailed is told once when a sync fails; the process must end then.
	DiskFailed func(error)
	Log        *logrus.Entry
	Metrics    tally.Scope

	shards [64]shard
	rounds atomic.Uint64
	calls  atomic.Uint64
	// stopping is set once and never cleared.
	stopping atomic.Bool
	started  time.Time
	begun    sync.Once
	// repairing counts owned runs that a loss would leave with too few copies, as
	// of the last tick; owned and held count runs.
	repairing, owned, held atomic.Int64
	// hints remembers owners of runs that were asked for here.
	hints hints
}

// shard is a part of the runs under one lock.
type shard struct {
	mu   sync.Mutex
	runs map[string]*run
}

// self returns the own member of a new journal.
func (h *Host) self() journal.Member {
	if h.StorageIncarnation != 0 {
		return journal.NewMember(h.Instance, h.StorageIncarnation).WithDisk()
	}
	return journal.NewMember(h.Instance, h.Incarnation)
}

// begin sets what the first event needs.
func (h *Host) begin() {
	h.begun.Do(func() { h.started = time.Now() })
}

// Restore hands over a journal that the disk kept.
func (h *Host) Restore(name string, r *journal.Replica) {
	h.begin()
	one := h.run(name, true)
	one.mu.Lock()
	defer one.mu.Unlock()
	one.replica = r
	one.changed = time.Now()
}

// Run ticks until ctx ends.
func (h *Host) Run(ctx context.Context) {
	h.begin()
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
			h.tick(n%sweepEvery == 0)
		}
	}
}

// tick steps all owned runs and takes over those whose owner is dead.
func (h *Host) tick(sweep bool) {
	view := h.View()
	repairing, owned, held := int64(0), int64(0), int64(0)
	for _, r := range h.all() {
		if r.owned() {
			owned++
			if r.exposed() {
				repairing++
			}
			r.tick(view)
			if sweep {
				r.rest()
			}
			continue
		}
		held++
		if h.Learned() && r.orphaned(view) {
			// Until the run is owned nobody copies it anew.
			repairing++
			r.claim(claimed{view: view})
		}
		if sweep && r.over(h.Retention) {
			h.drop(r)
		}
	}
	h.repairing.Store(repairing)
	h.owned.Store(owned)
	h.held.Store(held)
	h.Metrics.Gauge("runs_owned").Update(float64(owned))
	h.Metrics.Gauge("runs_replicated").Update(float64(held))
	h.Metrics.Gauge("runs_repairing").Update(float64(repairing))
	h.Metrics.Gauge("calls_queued").Update(float64(h.Dispatcher.QueueLen()))
}

// RunCounts returns owned runs, replicated runs, and owned runs that lack replicas.
func (h *Host) RunCounts() (owned, held, repairing int64) {
	return h.owned.Load(), h.held.Load(), h.repairing.Load()
}

// Stop refuses new work and reports, when called again, how many runs still
// have a call under way.
func (h *Host) Stop() int {
	h.stopping.Store(true)
	busy := 0
	for _, r := range h.all() {
		if r.busy() {
			busy++
		}
	}
	return busy
}

// run finds or makes the run of a name.
func (h *Host) run(name string, create bool) *run {
	s := h.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[name]
	if r == nil && create {
		if s.runs == nil {
			s.runs = map[string]*run{}
		}
		r = &run{host: h, name: name, callers: map[program.CallID]*stream{}}
		r.box.Step = r.step
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

// all returns the runs of this moment.
func (h *Host) all() []*run {
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

// drop forgets a run that has ended long ago.
func (h *Host) drop(r *run) {
	s := h.shard(r.name)
	s.mu.Lock()
	delete(s.runs, r.name)
	s.mu.Unlock()
	if h.Store != nil {
		h.Store.Drop(r.name)
	}
}

// pause returns a random time before the next campaign, so that two instances
// that want one run do not depose each other without end.
func pause() time.Duration {
	return campaignPause + time.Duration(rand.Int64N(int64(campaignPause)))
}
