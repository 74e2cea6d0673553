// SPDX-License-Identifier: MIT

// Package config maintains the active configuration of an instance.
//
// # Versions
//
// A [Source] holds the active version behind an atomic pointer and replaces it
// only with a higher one. New versions are pushed by the control leader and
// pulled from peers.
//
// # Learning
//
// After a start or a pause of the process, the configuration is not used until
// the instance has learned the latest version known to a majority of the control
// instances or, if these are unreachable, to a majority of its failure domain.
//
// # Confirmation
//
// Control instances regularly pull from all others. A majority of them, none of
// which has a newer journal entry, confirms the version as of the time of the
// request. Replies to other instances pass on the age of that confirmation.
//
// # Control instances
//
// On a control instance the source also holds a replica of the control journal.
// The first live control instance runs the [control.Leader].
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
	// JournalName is the name of the control journal.
	JournalName = "control"
	// configurationKey is the key under which the active version is stored on
	// disk.
	configurationKey = "configuration"
	// loopInterval is the interval of the main loop.
	loopInterval = 250 * time.Millisecond
	// callTimeout bounds a call to a peer.
	callTimeout = 2 * time.Second
	// campaignBackoff is the minimum time between two campaigns.
	campaignBackoff = time.Second
	// propagationTimeout bounds how long the outcome of a command waits until other control instances have its version.
	propagationTimeout = 200 * time.Millisecond
)

// PeerClient sends requests to other instances.
type PeerClient interface {
	Journal(ctx context.Context, name string, to journal.Member, m journal.Message) (journal.Reply, error)
	Pull(ctx context.Context, instance string, version uint64) (*peerpb.PullReply, error)
	// Push sends a version to a peer, which ignores it if it is not newer.
	Push(ctx context.Context, instance string, reply *peerpb.PullReply) error
	Command(ctx context.Context, instance string, req *peerpb.CommandRequest) (*operatorpb.ApplyReply, error)
}

// Store stores the control journal and the active version on disk.
type Store interface {
	Enqueue(name string, c journal.Change) func() error
	Put(key string, value []byte) func() error
}

// versionedSnapshot is a version with the index of the last journal entry
// applied to it.
type versionedSnapshot struct {
	snapshot     *control.Snapshot
	appliedIndex uint64
}

// Source maintains the configuration of an instance. The exported fields must
// be set before Start.
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
	// DiskFailed is called when a sync fails; the process must then exit.
	DiskFailed func(error)
	Log        *logrus.Entry
	Metrics    tally.Scope

	current atomic.Pointer[versionedSnapshot]
	learned atomic.Bool
	// controlUnreachable is set if the version was learned from the own failure
	// domain only.
	controlUnreachable atomic.Bool
	// confirmedAt is the newest time at which the version is known to have been
	// the newest one that a majority of the control instances had, in nanoseconds
	// since 1970.
	confirmedAt atomic.Int64
	round       atomic.Uint64
	requests    atomic.Uint64
	// updateMu serializes updates of current.
	updateMu sync.Mutex

	voter    voter
	mailbox  mailbox.Box[control.Event]
	leaderMu sync.Mutex
	leader   *control.Leader
	// pending holds the response channels of undecided commands.
	pending      map[control.RequestID]chan *recordpb.ControlOutcome
	nextCampaign time.Time
	// propagation counts the pushes of the newest published version to control instances in progress.
	propagation *sync.WaitGroup
}

// Start initializes the source with the configuration and the replica loaded
// from disk. Both may be nil.
func (s *Source) Start(stored []byte, r *journal.Replica) error {
	s.current.Store(&versionedSnapshot{snapshot: control.NewSnapshot(&configpb.Document{})})
	s.mailbox.Step = s.step
	s.pending = map[control.RequestID]chan *recordpb.ControlOutcome{}
	s.voter = voter{source: s, replica: r}
	if stored == nil {
		return nil
	}
	var reply peerpb.PullReply
	if err := proto.Unmarshal(stored, &reply); err != nil {
		return &control.SnapshotError{Cause: err}
	}
	s.Update(reply.GetDocument(), reply.GetFoldedIndex())
	return nil
}

// Snapshot returns the active version.
func (s *Source) Snapshot() *control.Snapshot { return s.current.Load().snapshot }

// Learned reports whether the active version is known to be the latest that
// this instance can learn.
func (s *Source) Learned() bool { return s.learned.Load() }

// ControlUnreachable reports whether the version was confirmed by the own
// failure domain only.
func (s *Source) ControlUnreachable() bool { return s.controlUnreachable.Load() }

// Age returns the time since the version was last confirmed by a majority of
// the control instances, asked by this instance or by the peer that it pulled
// from.
func (s *Source) Age() time.Duration {
	at := s.confirmedAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(time.Unix(0, at))
}

// Update activates a version if it is newer than the active one.
func (s *Source) Update(doc *configpb.Document, appliedIndex uint64) bool {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	current := s.current.Load()
	version := current.snapshot.Version()
	if doc.GetVersion() < version || doc.GetVersion() == version && appliedIndex <= current.appliedIndex {
		return false
	}
	next := &versionedSnapshot{snapshot: current.snapshot, appliedIndex: max(appliedIndex, current.appliedIndex)}
	if doc.GetVersion() > version {
		next.snapshot = control.NewSnapshot(doc)
	}
	s.current.Store(next)
	if doc.GetVersion() > version {
		s.activate(next)
	}
	return true
}

func (s *Source) activate(v *versionedSnapshot) {
	s.Metrics.Gauge("config_version").Update(float64(v.snapshot.Version()))
	s.OnChange(v.snapshot)
	s.Log.WithField("version", v.snapshot.Version()).Info("configuration activated")
	if s.Store == nil {
		return
	}
	b, err := proto.Marshal(s.pullReply(v))
	if err != nil {
		return
	}
	s.Store.Put(configurationKey, b)
}

func (s *Source) pullReply(v *versionedSnapshot) *peerpb.PullReply {
	return &peerpb.PullReply{Version: v.snapshot.Version(), Document: v.snapshot.Document(), FoldedIndex: v.appliedIndex}
}

// Pull replies to a peer that has the given version.
func (s *Source) Pull(version uint64) *peerpb.PullReply {
	// The age is read first: it must not be that of a version that comes after the one sent.
	confirmed, age := s.confirmedAt.Load() > 0, s.Age()
	current := s.current.Load()
	out := &peerpb.PullReply{Version: current.snapshot.Version(), FoldedIndex: current.appliedIndex, Learned: s.learned.Load()}
	if confirmed {
		out.ConfirmedAgeMs = proto.Uint64(uint64(max(0, age.Milliseconds()+1)))
	}
	if out.GetVersion() > version {
		out.Document = current.snapshot.Document()
	}
	if s.isControl() {
		out.Control = true
		out.ControlIndex = s.voter.lastIndex()
	}
	return out
}

// Push processes a version pushed by a peer.
func (s *Source) Push(reply *peerpb.PullReply) {
	if reply.GetDocument() != nil {
		s.Update(reply.GetDocument(), reply.GetFoldedIndex())
	}
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

// Run maintains the configuration until ctx is done.
func (s *Source) Run(ctx context.Context) { s.loop(ctx) }

func (s *Source) loop(ctx context.Context) {
	t := time.NewTicker(loopInterval)
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
		// The wall clock is compared too, because the monotonic clock may stop while
		// the machine is suspended.
		if now.Sub(last) > s.PauseLimit || now.Round(0).Sub(last.Round(0)) > s.PauseLimit {
			s.learned.Store(false)
			s.Log.WithField("paused_ms", now.Sub(last).Milliseconds()).Warn("process was paused; learning the configuration again")
		}
		last = now
		if s.isControl() {
			s.tickLeader(now)
		}
		if !s.learned.Load() {
			s.learn(ctx)
			continue
		}
		if now.Sub(lastPull) >= s.PullInterval {
			lastPull = now
			s.refresh(ctx)
		}
	}
}
