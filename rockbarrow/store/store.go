// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/durable"
	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// expireEvery is how often records are looked at whose time is over.
const expireEvery = 5 * time.Second

// Store is one store instance. Set the exported fields before Open.
type Store struct {
	fleetpb.UnimplementedStoreServer

	Self    *fleetpb.Member
	DataDir string
	Watch   *watch.Client
	Pool    *dial.Pool
	Log     *logrus.Entry
	Metrics tally.Scope

	log *durable.Log

	mu   sync.Mutex
	book ledger.StateMachine
	// epoch is the newest view heard of; calls under older ones are refused. It
	// never goes back, also over a restart.
	epoch uint64

	// whole is the newest view for which all records are held here, or zero. It
	// lasts over a restart, as what was acknowledged is on the disk.
	whole atomic.Uint64
	// changed wakes the copier.
	changed chan struct{}
}

// HasRecords reports whether a data folder holds records.
func HasRecords(dir string) (bool, error) { return durable.HasLog(dir) }

// Open replays the disk. The returned function closes it.
func (s *Store) Open() (func(), error) {
	s.changed = make(chan struct{}, 1)
	now := time.Now()
	log, stop, err := durable.OpenLog(s.DataDir, func(b []byte) error { return s.replay(now, b) })
	if err != nil {
		return nil, err
	}
	log.Live = s.live
	log.Failed = func(err error) {
		s.Log.WithError(err).WithField("refused_bytes", log.Refused()).Error("records were not written")
	}
	log.Compacted = func(c durable.Compaction) {
		s.Log.WithFields(logrus.Fields{"before_bytes": c.Before(), "after_bytes": c.After()}).Info("the log was compacted")
	}
	s.log = log
	programs, turns, bytes := s.book.Size()
	s.Log.WithFields(logrus.Fields{"programs": programs, "turns": turns, "bytes": bytes, "view": s.epoch}).
		Info("records were read from the disk")
	return stop, nil
}

func (s *Store) replay(now time.Time, b []byte) error {
	r := &fleetpb.Record{}
	if err := proto.Unmarshal(b, r); err != nil {
		s.Log.WithError(err).Error("a record on the disk can't be read")
		return &durable.DamagedError{Dir: s.DataDir, What: "a record"}
	}
	switch k := r.GetKind().(type) {
	case *fleetpb.Record_Epoch:
		s.epoch = max(s.epoch, k.Epoch)
	case *fleetpb.Record_WholeEpoch:
		s.whole.Store(max(s.whole.Load(), k.WholeEpoch))
	default:
		s.book.Apply(now, r)
	}
	return nil
}

// live hands over all records that still count.
func (s *Store) live(yield func([]byte)) {
	for _, name := range s.programs() {
		s.mu.Lock()
		records := s.book.Records(name)
		s.mu.Unlock()
		for _, r := range records {
			yield(s.encode(r))
		}
	}
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	yield(s.encode(&fleetpb.Record{Kind: &fleetpb.Record_Epoch{Epoch: epoch}}))
	yield(s.encode(&fleetpb.Record{Kind: &fleetpb.Record_WholeEpoch{WholeEpoch: s.whole.Load()}}))
}

func (s *Store) programs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	s.book.Programs(func(name string) { out = append(out, name) })
	return out
}

// encode never fails for records made here: their texts are valid UTF-8, as the
// wire has checked them.
func (s *Store) encode(r *fleetpb.Record) []byte {
	b, err := proto.Marshal(r)
	if err != nil {
		s.Log.WithError(err).Error("a record was not encoded")
	}
	return b
}

// Run copies records when the view changes and forgets old ones, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	c := &copier{store: s}
	go c.loop(ctx)
	t := time.NewTicker(expireEvery)
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

func (s *Store) expire() {
	s.mu.Lock()
	s.book.Expire(time.Now())
	programs, turns, bytes := s.book.Size()
	s.mu.Unlock()
	s.Metrics.Gauge("programs").Update(float64(programs))
	s.Metrics.Gauge("turns").Update(float64(turns))
	s.Metrics.Gauge("turn_bytes").Update(float64(bytes))
	s.Metrics.Gauge("disk_bytes_written").Update(float64(s.log.Written()))
	s.Metrics.Gauge("disk_bytes_refused").Update(float64(s.log.Refused()))
}

// Wake looks at the view; package watch calls it when the state changes.
func (s *Store) Wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// CompleteEpoch returns the newest view for which this store holds all its records.
func (s *Store) CompleteEpoch() uint64 { return s.whole.Load() }

// admit checks a call's view and storage, and raises the fence if the caller
// knows a newer view. It returns nil if the call may go on.
func (s *Store) admit(ctx context.Context, epoch, storage uint64) (*fleetpb.StoreStatus, error) {
	if storage != s.Self.GetStorage() {
		return s.refusal(fleetpb.StoreStatus_REFUSED_OTHER_STORAGE), nil
	}
	s.mu.Lock()
	known := s.epoch
	s.mu.Unlock()
	switch {
	case epoch < known:
		return s.refusal(fleetpb.StoreStatus_REFUSED_STALE_VIEW), nil
	case epoch == known:
		return nil, nil
	}
	if err := s.raise(ctx, epoch); err != nil {
		return s.refusal(fleetpb.StoreStatus_REFUSED_DISK), nil
	}
	return nil, nil
}

// raise refuses all older views from now on, also after a restart.
func (s *Store) raise(ctx context.Context, epoch uint64) error {
	s.mu.Lock()
	old := s.epoch
	s.epoch = max(s.epoch, epoch)
	s.mu.Unlock()
	if epoch <= old {
		return nil
	}
	s.Log.WithFields(logrus.Fields{"view": epoch, "before": old}).Info("older views are refused")
	return s.log.Append(ctx, s.encode(&fleetpb.Record{Kind: &fleetpb.Record_Epoch{Epoch: epoch}}))
}

func (s *Store) refusal(why fleetpb.StoreStatus_Refused) *fleetpb.StoreStatus {
	st := s.status()
	st.Refused = why
	return st
}

func (s *Store) status() *fleetpb.StoreStatus {
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	return &fleetpb.StoreStatus{Epoch: epoch, WholeEpoch: s.whole.Load()}
}

// write applies records, syncs them and checks that the view is still the one
// that the call came under.
func (s *Store) write(ctx context.Context, epoch uint64, records ...*fleetpb.Record) *fleetpb.StoreStatus {
	now := time.Now()
	s.mu.Lock()
	for _, r := range records {
		s.book.Apply(now, r)
	}
	s.mu.Unlock()
	if err := s.append(ctx, records); err != nil {
		s.Log.WithError(err).Debug("a record is not on the disk")
		return s.refusal(fleetpb.StoreStatus_REFUSED_DISK)
	}
	st := s.status()
	if st.GetEpoch() != epoch {
		st.Refused = fleetpb.StoreStatus_REFUSED_STALE_VIEW
	}
	return st
}

// append writes records and returns once all are synced.
func (s *Store) append(ctx context.Context, records []*fleetpb.Record) error {
	payloads := make([][]byte, 0, len(records))
	for _, r := range records {
		payloads = append(payloads, s.encode(r))
	}
	return s.log.Append(ctx, payloads...)
}
