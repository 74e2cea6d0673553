// SPDX-License-Identifier: MIT

// Package disk keeps journals in one file under the data folder.
//
// A [Store] collects the changes that wait, writes them in one transaction and
// syncs once, so that many journals share a sync. Everything read back carries
// a checksum; what does not match is a [CorruptError], and the instance refuses
// to start on it rather than vote on less than it promised. A sync that fails
// ends the store for good: no later write is tried.
package disk

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/durable"
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/peer/wire"
	"rockbarrow.dev/schema/peerpb"
)

const (
	fileName = "journals.db"
	// maxBatch bounds the changes of one transaction.
	maxBatch = 512
	// lockWait bounds the wait for another process that holds the file.
	lockWait = 2 * time.Second
)

var (
	journalsBucket = []byte("journals")
	metaBucket     = []byte("meta")
	headKey        = []byte("head")
	baseKey        = []byte("base")
	storageKey     = []byte("storage")
)

// CorruptError says that something read back is not what was written.
type CorruptError struct {
	// Journal and Key tell where it stands.
	Journal, Key string
	// Reason tells what does not fit.
	Reason string
}

// Error describes the place and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("disk: journal %q, key %q: %s", e.Journal, e.Key, e.Reason)
}

// FailedError says that the store has ended after a failed write.
type FailedError struct {
	// Cause is the first error.
	Cause error
}

// Error describes the cause.
func (e *FailedError) Error() string { return "disk: the store ended: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// Kept is a journal as it was read back.
type Kept struct {
	name    string
	replica *journal.Replica
}

// Name returns the journal's name.
func (k Kept) Name() string { return k.name }

// Replica returns the own copy.
func (k Kept) Replica() *journal.Replica { return k.replica }

// pending is a write's result, for any number who wait.
type pending struct {
	done chan struct{}
	err  error
}

func (p *pending) settle(err error) {
	p.err = err
	close(p.done)
}

// wait returns the result once there is one.
func (p *pending) wait() error {
	<-p.done
	return p.err
}

// write is one change on its way to the disk.
type write struct {
	name   string
	change journal.Change
	drop   bool
	key    string
	value  []byte
	result *pending
}

// Store is the file of one instance.
type Store struct {
	db      *bolt.DB
	storage uint64
	queue   chan write
	// cause is set once and never cleared.
	cause atomic.Pointer[FailedError]

	// mu is held while a write joins the queue, so that the queue keeps the
	// order of the calls and is never written to after its end.
	mu sync.Mutex
	// closed is true once no write is taken any more.
	closed bool
}

// Open opens or makes the file. The returned function writes what waits, syncs
// and closes.
func Open(dir string, storage uint64) (*Store, func() error, error) {
	if err := durable.MakeDir(dir); err != nil {
		return nil, nil, errors.Wrap(err, "disk: data folder")
	}
	db, err := bolt.Open(filepath.Join(dir, fileName), 0o600, &bolt.Options{Timeout: lockWait, FreelistType: bolt.FreelistMapType})
	if err != nil {
		return nil, nil, errors.Wrap(err, "disk: open")
	}
	s := &Store{db: db, queue: make(chan write, maxBatch)}
	err = s.prepare(storage)
	if err == nil {
		// The library syncs the file and not its name.
		err = durable.SyncDir(dir)
	}
	if err != nil {
		db.Close()
		return nil, nil, err
	}
	stopped := make(chan struct{})
	go s.run(stopped)
	return s, func() error { return s.close(stopped) }, nil
}

// Storage returns the number of this life of the file, which outlives the
// process.
func (s *Store) Storage() uint64 { return s.storage }

// prepare makes the buckets and gives a new file its number.
func (s *Store) prepare(storage uint64) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(journalsBucket); err != nil {
			return errors.Wrap(err, "disk: journals")
		}
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return errors.Wrap(err, "disk: meta")
		}
		if v := meta.Get(storageKey); v != nil {
			body, err := unseal(v)
			if err != nil || len(body) != 8 {
				return &CorruptError{Key: string(storageKey), Reason: "the checksum does not match"}
			}
			s.storage = binary.BigEndian.Uint64(body)
			return nil
		}
		s.storage = storage
		return meta.Put(storageKey, seal(binary.BigEndian.AppendUint64(nil, storage)))
	})
}

// Enqueue hands a change over; changes of one journal are kept in the order of
// the calls. The returned function waits until the change is synced, and gives
// nil or the error that ended the store; any number may call it.
func (s *Store) Enqueue(name string, c journal.Change) func() error {
	return s.enqueue(write{name: name, change: c})
}

// Drop removes a journal.
func (s *Store) Drop(name string) func() error { return s.enqueue(write{name: name, drop: true}) }

// Put keeps a value outside the journals.
func (s *Store) Put(key string, value []byte) func() error {
	return s.enqueue(write{key: key, value: value})
}

// Get returns a value, or nil.
func (s *Store) Get(key string) ([]byte, error) {
	var out []byte
	err := s.db.View(func(tx *bolt.Tx) error {
		v := tx.Bucket(metaBucket).Get([]byte(key))
		if v == nil {
			return nil
		}
		body, err := unseal(v)
		if err != nil {
			return &CorruptError{Key: key, Reason: err.Error()}
		}
		out = append([]byte(nil), body...)
		return nil
	})
	return out, err
}

func (s *Store) enqueue(w write) func() error {
	w.result = &pending{done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		w.result.settle(&FailedError{Cause: os.ErrClosed})
		return w.result.wait
	}
	s.queue <- w
	return w.result.wait
}

// run writes batches until the queue is closed.
func (s *Store) run(stopped chan<- struct{}) {
	defer close(stopped)
	for w := range s.queue {
		batch := []write{w}
		for len(batch) < maxBatch && len(s.queue) > 0 {
			batch = append(batch, <-s.queue)
		}
		s.flush(batch)
	}
}

// flush writes a batch in one transaction, or refuses it after a failure.
func (s *Store) flush(batch []write) {
	if s.cause.Load() == nil {
		if err := s.db.Update(func(tx *bolt.Tx) error { return apply(tx, batch) }); err != nil {
			s.cause.Store(&FailedError{Cause: err})
		}
	}
	for _, w := range batch {
		if failed := s.cause.Load(); failed != nil {
			w.result.settle(failed)
			continue
		}
		w.result.settle(nil)
	}
}

func (s *Store) close(stopped <-chan struct{}) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	close(s.queue)
	<-stopped
	return errors.Wrap(s.db.Close(), "disk: close")
}

func apply(tx *bolt.Tx, batch []write) error {
	for _, w := range batch {
		if err := applyOne(tx, w); err != nil {
			return err
		}
	}
	return nil
}

func applyOne(tx *bolt.Tx, w write) error {
	journals := tx.Bucket(journalsBucket)
	switch {
	case w.key != "":
		return tx.Bucket(metaBucket).Put([]byte(w.key), seal(w.value))
	case w.drop:
		err := journals.DeleteBucket([]byte(w.name))
		if errors.Is(err, bolterrors.ErrBucketNotFound) {
			return nil
		}
		return err
	}
	b, err := journals.CreateBucketIfNotExists([]byte(w.name))
	if err != nil {
		return err
	}
	return store(b, w.change)
}

// store writes one change of a journal.
func store(b *bolt.Bucket, c journal.Change) error {
	head := &peerpb.JournalReply{Ballot: wire.Ballot(c.Promised), Commit: c.Commit}
	if err := putProto(b, headKey, head); err != nil {
		return err
	}
	if c.Base != nil {
		if err := putProto(b, baseKey, wire.Base(*c.Base)); err != nil {
			return err
		}
		if err := deleteUpTo(b, c.Base.Index()); err != nil {
			return err
		}
	}
	if c.Truncate > 0 {
		if err := deleteFrom(b, c.Truncate); err != nil {
			return err
		}
	}
	for _, e := range c.Entries {
		if err := putProto(b, entryKey(e.Index()), wire.Entry(e)); err != nil {
			return err
		}
	}
	return nil
}

func putProto(b *bolt.Bucket, key []byte, m proto.Message) error {
	v, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, seal(v))
}

// entryKey orders entries by index, behind a byte that no other key begins with.
func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{'e'}, index)
}

func deleteFrom(b *bolt.Bucket, index uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(entryKey(index)); isEntry(k); k, _ = c.Seek(entryKey(index)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func deleteUpTo(b *bolt.Bucket, index uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(entryKey(0)); isEntry(k) && binary.BigEndian.Uint64(k[1:]) <= index; k, _ = c.Seek(entryKey(0)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func isEntry(k []byte) bool { return len(k) == 9 && k[0] == 'e' }

// seal puts a checksum before a value.
func seal(v []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(v)), v...)
}

func unseal(v []byte) ([]byte, error) {
	if len(v) < 8 {
		return nil, errors.New("the value is torn")
	}
	if binary.BigEndian.Uint64(v) != xxhash.Sum64(v[8:]) {
		return nil, errors.New("the checksum does not match")
	}
	return v[8:], nil
}
