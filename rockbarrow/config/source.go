// SPDX-License-Identifier: MIT

// Package config keeps the configuration in force at an instance.
//
// # Versions
//
// A [Source] holds the newest version behind an atomic pointer and only ever
// moves to a greater one. New versions are pushed by the control leader and
// pulled from peers.
//
// # Learning
//
// A process that starts, or finds that it was paused, acts on nothing until it
// has learned the newest version that a majority of the control instances
// knows, or, when cut off from them, a majority of its failure domain.
//
// # Control instances
//
// On a control instance the source also holds a copy of the control journal
// and, when it is the first such instance that lives, its [control.Leader].
package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/internal/mailbox"
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/operatorpb"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// JournalName is the control journal's name.
	JournalName = "control"
	// storeKey keeps the newest version on a disk.
	storeKey = "configuration"
	// period is how often the loop looks.
	period = 250 * time.Millisecond
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
	// campaignPause is the least time between two campaigns.
	campaignPause = time.Second
)

// PeerClient sends requests to other instances.
type PeerClient interface {
	Journal(ctx context.Context, name string, to journal.Member, m journal.Message) (journal.Reply, error)
	Pull(ctx context.Context, instance string, version uint64) (*peerpb.PullReply, error)
	// Push offers a version; a peer that has it already ignores it.
	Push(ctx context.Context, instance string, offer *peerpb.PullReply) error
	Command(ctx context.Context, instance string, req *peerpb.CommandRequest) (*operatorpb.ApplyReply, error)
}

// Store keeps the control journal and the newest version on a disk.
type Store interface {
	Enqueue(name string, c journal.Change) func() error
	Put(key string, value []byte) func() error
}

// held is a version with the journal index that it folds.
type held struct {
	snapshot *control.Snapshot
	folded   uint64
}

// Source is one for each instance. Set the exported fields before Run.
type Source struct {
	Instance           string
	Domain             string
	Incarnation        uint64
	StorageIncarnation uint64
	Peers              PeerClient
	// Store is nil without a disk.
	Store          Store
	FailureDomains []control.FailureDomain
	View           func() *roster.View
	// PullInterval is the period of pulls. PauseLimit is how long the loop may
	// be blocked before the configuration has to be learned again.
	PullInterval time.Duration
	PauseLimit   time.Duration
	// OnChange is called with each version that becomes active.
	OnChange func(*control.Snapshot)
	// DiskFailed is told when a sync fails; the process must end then.
	DiskFailed func(error)
	Log        *logrus.Entry
	Metrics    tally.Scope

	current atomic.Pointer[held]
	learned atomic.Bool
	// cutOff is true while the version was learned from the domain only.
	cutOff atomic.Bool
	// confirmed is when a control instance last told its version, in
	// nanoseconds since 1970.
	confirmed atomic.Int64
	rounds    atomic.Uint64
	commands  atomic.Uint64
	// advance serializes changes of current.
	advance sync.Mutex

	voter  voter
	box    mailbox.Box[control.Event]
	leadMu sync.Mutex
	leader *control.Leader
	// waiting are operators whose command is not decided yet.
	waiting map[control.RequestID]chan *recordpb.ControlOutcome
	next    time.Time
}

// Start prepares the source with what a disk kept; both may be nil.
func (s *Source) Start(kept []byte, r *journal.Replica) error {
	s.current.Store(&held{snapshot: control.NewSnapshot(&configpb.Document{})})
	s.box.Step = s.step
	s.waiting = map[control.RequestID]chan *recordpb.ControlOutcome{}
	s.voter = voter{source: s, replica: r}
	if kept == nil {
		return nil
	}
	var offer peerpb.PullReply
	if err := proto.Unmarshal(kept, &offer); err != nil {
		return &control.SnapshotError{Cause: err}
	}
	s.Update(offer.GetDocument(), offer.GetFoldedIndex())
	return nil
}

// Snapshot returns the version in force.
func (s *Source) Snapshot() *control.Snapshot { return s.current.Load().snapshot }

// Learned reports whether the version in force is known to be the newest that
// this instance can know.
func (s *Source) Learned() bool { return s.learned.Load() }

// ControlUnreachable reports whether the version was confirmed by the own
// failure domain only.
func (s *Source) ControlUnreachable() bool { return s.cutOff.Load() }

// Age returns how long ago a control instance last confirmed the version.
func (s *Source) Age() time.Duration {
	at := s.confirmed.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(time.Unix(0, at))
}

// Update activates a version if it is newer than the active one.
func (s *Source) Update(doc *configpb.Document, folded uint64) bool {
	s.advance.Lock()
	defer s.advance.Unlock()
	now := s.current.Load()
	version := now.snapshot.Version()
	if doc.GetVersion() < version || doc.GetVersion() == version && folded <= now.folded {
		return false
	}
	next := &held{snapshot: now.snapshot, folded: max(folded, now.folded)}
	if doc.GetVersion() > version {
		next.snapshot = control.NewSnapshot(doc)
	}
	s.current.Store(next)
	if doc.GetVersion() > version {
		s.inForce(next)
	}
	return true
}

func (s *Source) inForce(h *held) {
	s.Metrics.Gauge("config_version").Update(float64(h.snapshot.Version()))
	s.OnChange(h.snapshot)
	s.Log.WithField("version", h.snapshot.Version()).Info("configuration in force")
	if s.Store == nil {
		return
	}
	b, err := proto.Marshal(s.offer(h))
	if err != nil {
		return
	}
	s.Store.Put(storeKey, b)
}

func (s *Source) offer(h *held) *peerpb.PullReply {
	return &peerpb.PullReply{Version: h.snapshot.Version(), Document: h.snapshot.Document(), FoldedIndex: h.folded}
}

// Pull answers a peer that has a version.
func (s *Source) Pull(version uint64) *peerpb.PullReply {
	h := s.current.Load()
	out := &peerpb.PullReply{Version: h.snapshot.Version(), FoldedIndex: h.folded, Learned: s.learned.Load()}
	if out.GetVersion() > version {
		out.Document = h.snapshot.Document()
	}
	if s.isControl() {
		out.Control = true
		out.ControlIndex = s.voter.lastIndex()
	}
	return out
}

// Push takes a version that a peer offers.
func (s *Source) Push(offer *peerpb.PullReply) {
	if offer.GetDocument() != nil {
		s.Update(offer.GetDocument(), offer.GetFoldedIndex())
	}
	s.confirmed.Store(time.Now().UnixNano())
}

// HandlePeerVersion pulls from a peer if its version is newer than the active
// one.
func (s *Source) HandlePeerVersion(instance string, version uint64) {
	if version > s.Snapshot().Version() {
		go (&pull{source: s, instance: instance}).run()
	}
}

func (s *Source) isControl() bool {
	i, ok := s.View().Find(s.Instance)
	return ok && i.Control()
}

// Run looks after the configuration until ctx ends.
func (s *Source) Run(ctx context.Context) { s.loop(ctx) }

func (s *Source) loop(ctx context.Context) {
	t := time.NewTicker(period)
	defer t.Stop()
	last := time.Now()
	lastPull := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		// The wall clock counts too: a suspended machine's monotonic clock may
		// stand still.
		if now.Sub(last) > s.PauseLimit || now.Round(0).Sub(last.Round(0)) > s.PauseLimit {
			s.learned.Store(false)
			s.Log.WithField("paused_ms", now.Sub(last).Milliseconds()).Warn("the process stood still; learning the configuration anew")
		}
		last = now
		if s.isControl() {
			s.lead(now)
		}
		if !s.learned.Load() {
			s.learn(ctx)
			continue
		}
		if now.Sub(lastPull) >= s.PullInterval {
			lastPull = now
			s.pullAny(ctx)
		}
	}
}
