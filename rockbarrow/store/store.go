// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/durable"
	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// expiryInterval is the interval between removals of expired records.
const expiryInterval = 5 * time.Second

// FullError reports that a store holds more turns than it may.
type FullError struct{ HeldBytes, MaxBytes int64 }

func (e *FullError) Error() string {
	return fmt.Sprintf("store: turns of %d bytes are held, at most %d are allowed", e.HeldBytes, e.MaxBytes)
}

// Store is a store instance. The exported fields must be set before Open.
type Store struct {
	fleetpb.UnimplementedStoreServer

	Self    *fleetpb.Member
	DataDir string
	Watch   *watch.Client
	Pool    *dial.Pool
	Log     *logrus.Entry
	Metrics tally.Scope
	// MaxTurnBytes limits the bytes of the turns held; more are refused. Zero means no limit.
	MaxTurnBytes int64
	// Learns is true for a store that copies records while it is no member of the view, as it may become one.
	Learns bool

	log *durable.Log

	mu    sync.Mutex
	state ledger.StateMachine
	// refused are encoded records that are in state, and that the log's queue had no room for.
	refused [][]byte
	// epoch is the newest known view; calls under older views are refused. It
	// never decreases.
	epoch uint64
	// fenced is the newest view whose fence is on disk. Only calls under this
	// view are served.
	fenced atomic.Uint64

	// copiedEpoch is the newest view for which this store holds all records of
	// its groups, or zero. It is among the live records, and completeEpoch, which
	// is reported, follows once it is on disk.
	copiedEpoch, completeEpoch atomic.Uint64
	// viewChanged wakes the copier.
	viewChanged chan struct{}
	// stopping is closed by EndStreams. It ends the streams of calls.
	stopping   chan struct{}
	endStreams sync.Once
	refusals   refusalLog
}

// HasRecords reports whether a data directory holds records.
func HasRecords(dir string) (bool, error) { return durable.HasLog(dir) }

// Open replays the records on disk. The returned function closes the log.
func (s *Store) Open() (func(), error) {
	s.viewChanged, s.stopping = make(chan struct{}, 1), make(chan struct{})
	now := time.Now()
	log, stop, err := durable.OpenLog(s.DataDir, func(b []byte) error { return s.replay(now, b) })
	if err != nil {
		return nil, err
	}
	s.fenced.Store(s.epoch)
	log.Live = s.liveRecords
	log.Failed = func(err error) {
		s.Log.WithError(err).WithField("refused_bytes", log.Refused()).Error("records were not written")
	}
	log.Compacted = func(c durable.Compaction) {
		s.Log.WithFields(logrus.Fields{"before_bytes": c.Before(), "after_bytes": c.After()}).Info("the log was compacted")
	}
	s.log = log
	programs, turns, bytes := s.state.Size()
	s.Log.WithFields(logrus.Fields{"programs": programs, "turns": turns, "bytes": bytes, "view": s.epoch}).
		Info("records were replayed from disk")
	return stop, nil
}

func (s *Store) replay(now time.Time, b []byte) error {
	r := &fleetpb.Record{}
	if err := proto.Unmarshal(b, r); err != nil {
		s.Log.WithError(err).Error("a record on disk can't be decoded")
		return &durable.DamagedError{Dir: s.DataDir, What: "a record"}
	}
	switch k := r.GetKind().(type) {
	case *fleetpb.Record_Epoch:
		s.epoch = max(s.epoch, k.Epoch)
	case *fleetpb.Record_WholeEpoch:
		s.completeEpoch.Store(max(s.completeEpoch.Load(), k.WholeEpoch))
		s.copiedEpoch.Store(s.completeEpoch.Load())
	default:
		s.state.Apply(now, r)
	}
	return nil
}

// liveRecords yields the encoded records that a compacted log has to keep.
func (s *Store) liveRecords(yield func([]byte)) {
	for _, name := range s.programNames() {
		s.mu.Lock()
		records := s.state.Records(name)
		s.mu.Unlock()
		for _, r := range records {
			yield(s.encode(r))
		}
	}
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	yield(s.encode(&fleetpb.Record{Kind: &fleetpb.Record_Epoch{Epoch: epoch}}))
	yield(s.encode(&fleetpb.Record{Kind: &fleetpb.Record_WholeEpoch{WholeEpoch: s.copiedEpoch.Load()}}))
}

func (s *Store) programNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	s.state.Programs(func(name string) { out = append(out, name) })
	return out
}

// encode marshals a record. It does not fail in practice: strings were checked
// to be valid UTF-8 when they were received.
func (s *Store) encode(r *fleetpb.Record) []byte {
	b, err := proto.Marshal(r)
	if err != nil {
		s.Log.WithError(err).Error("a record was not encoded")
	}
	return b
}

// Run copies records when the view changes and removes expired ones until ctx ends.
// It must be called once.
func (s *Store) Run(ctx context.Context) {
	defer s.EndStreams()
	c := &copier{store: s}
	go c.loop(ctx)
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.expire()
		case <-ctx.Done():
			return
		}
	}
}

// EndStreams ends the streams of calls, each after the replies to its calls in progress. Clients send further calls one by one, or
// elsewhere if the process stops.
func (s *Store) EndStreams() { s.endStreams.Do(func() { close(s.stopping) }) }

func (s *Store) expire() {
	s.mu.Lock()
	s.state.Expire(time.Now())
	programs, turns, bytes := s.state.Size()
	s.mu.Unlock()
	if err := s.checkRoom(); err != nil {
		s.Log.WithError(err).Error("records are refused")
	}
	s.Metrics.Gauge("programs").Update(float64(programs))
	s.Metrics.Gauge("turns").Update(float64(turns))
	s.Metrics.Gauge("turn_bytes").Update(float64(bytes))
	s.Metrics.Gauge("disk_bytes_written").Update(float64(s.log.Written()))
	s.Metrics.Gauge("disk_bytes_refused").Update(float64(s.log.Refused()))
}

// Wake makes the store check for a new view. Package watch calls it when the
// state changes.
func (s *Store) Wake() {
	select {
	case s.viewChanged <- struct{}{}:
	default:
	}
}

// CompleteEpoch returns the newest view for which this store holds all records of
// its groups, or zero.
func (s *Store) CompleteEpoch() uint64 { return s.completeEpoch.Load() }

// admit checks a call's storage and view, and fences older views if the caller
// knows a newer one. It returns nil if the call may proceed.
func (s *Store) admit(ctx context.Context, epoch, storage uint64) (*fleetpb.StoreStatus, error) {
	if storage != s.Self.GetStorage() {
		return s.refuse(refusedOtherStorage, epoch), nil
	}
	s.mu.Lock()
	known := s.epoch
	s.mu.Unlock()
	switch {
	case epoch < known:
		return s.refuse(refusedStaleView, epoch), nil
	case epoch <= s.fenced.Load():
		return nil, nil
	}
	if err := s.fence(ctx, epoch); err != nil {
		return s.refuse(refusedDisk, epoch), nil
	}
	return nil, nil
}

// fence durably refuses calls under views older than epoch. Concurrent calls wait for the disk too.
func (s *Store) fence(ctx context.Context, epoch uint64) error {
	if epoch <= s.fenced.Load() {
		return nil
	}
	s.mu.Lock()
	old := s.epoch
	s.epoch = max(s.epoch, epoch)
	s.mu.Unlock()
	if epoch > old {
		s.Log.WithFields(logrus.Fields{"view": epoch, "before": old}).Info("a newer view fences older ones")
	}
	if err := s.log.Append(ctx, s.encode(&fleetpb.Record{Kind: &fleetpb.Record_Epoch{Epoch: epoch}})); err != nil {
		return err
	}
	for fenced := s.fenced.Load(); fenced < epoch && !s.fenced.CompareAndSwap(fenced, epoch); {
		fenced = s.fenced.Load()
	}
	return nil
}

func (s *Store) status() *fleetpb.StoreStatus {
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	return &fleetpb.StoreStatus{Epoch: epoch, WholeEpoch: s.completeEpoch.Load()}
}

// write applies and syncs records. It refuses if the view has changed meanwhile,
// as the records may then be missing from copies.
func (s *Store) write(ctx context.Context, epoch uint64, records ...*fleetpb.Record) *fleetpb.StoreStatus {
	if err := s.checkRoom(); err != nil {
		s.Log.WithError(err).Debug("a record was refused")
		return s.refuse(refusedFull, epoch)
	}
	now := time.Now()
	s.mu.Lock()
	for _, r := range records {
		s.state.Apply(now, r)
	}
	s.mu.Unlock()
	if err := s.append(ctx, records); err != nil {
		s.Log.WithError(err).Debug("a record was not written to disk")
		return s.refuse(refusedDisk, epoch)
	}
	st := s.status()
	if st.GetEpoch() != epoch {
		return s.refuse(refusedViewChanged, epoch)
	}
	return st
}

func (s *Store) checkRoom() error {
	if s.MaxTurnBytes == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, _, held := s.state.Size(); held > s.MaxTurnBytes {
		return &FullError{HeldBytes: held, MaxBytes: s.MaxTurnBytes}
	}
	return nil
}

// append writes records and returns once all are synced.
func (s *Store) append(ctx context.Context, records []*fleetpb.Record) error {
	payloads := make([][]byte, 0, len(records))
	for _, r := range records {
		payloads = append(payloads, s.encode(r))
	}
	return s.appendEncoded(ctx, payloads)
}

// appendEncoded keeps what a full queue refuses for [Store.appendRefused]: the records are known in memory by then.
func (s *Store) appendEncoded(ctx context.Context, payloads [][]byte) error {
	err := s.log.Append(ctx, payloads...)
	var busy *durable.BusyError
	if errors.As(err, &busy) {
		s.mu.Lock()
		s.refused = append(s.refused, payloads...)
		s.mu.Unlock()
	}
	return err
}

// appendRefused writes the records that a full queue has refused, and returns once all are synced.
func (s *Store) appendRefused(ctx context.Context) error {
	s.mu.Lock()
	payloads := s.refused
	s.refused = nil
	s.mu.Unlock()
	return s.appendEncoded(ctx, payloads)
}
