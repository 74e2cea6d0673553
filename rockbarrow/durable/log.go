// SPDX-License-Identifier: MIT

package durable

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxWaiting bounds the calls that wait for the disk; at about 2 KB each
	// they hold 8 MB while a disk stalls.
	maxWaiting = 4096
	// compactAt is the least size in bytes at which live records are written
	// anew; a disk of 300 MB then never holds more than a third of it in waste.
	compactAt = 48 << 20
	// liveChunk is how many bytes of live records are framed at once in memory.
	liveChunk = 1 << 20
	segmentID = "records-"
	// segmentDigits is how many digits follow.
	segmentDigits = 10
)

// BusyError says that the disk takes no more records now.
type BusyError struct{ Waiting int }

// Error tells how many records wait.
func (e *BusyError) Error() string {
	return fmt.Sprintf("durable: %d records wait for the disk", e.Waiting)
}

// ClosedError says that the log was closed before the record was synced.
type ClosedError struct{}

// Error describes the end.
func (e *ClosedError) Error() string { return "durable: the log is closed" }

// Log is a list of records on a disk.
type Log struct {
	// Live calls yield with each record that still counts. It is called from the
	// log's own goroutine and sees at least all records appended before. Set it
	// before the first Append.
	Live func(yield func([]byte))
	// Failed is told of each failed write, from the log's own goroutine.
	Failed func(error)
	// Compacted is told of each compaction, from the log's own goroutine; may be nil.
	Compacted func(Compaction)

	dir     string
	queue   chan *pending
	closing chan struct{}
	closed  chan struct{}
	once    sync.Once

	// file is the open segment, nil after a failure until the next write. Only
	// the log's goroutine uses file, number, size and unsynced.
	file   *os.File
	number uint64
	// size counts the bytes of all segments.
	size int64
	// unsynced are frames of records whose write failed; they go out before the
	// next ones, since the owner counts them among its live records.
	unsynced []byte
	written  atomic.Int64
	// refused is the size in bytes of unsynced.
	refused atomic.Int64
}

// Compaction is what one compaction did.
type Compaction struct{ before, after int64 }

// Before returns the size of all segments in bytes before, After that of the live records.
func (c Compaction) Before() int64 { return c.before }

// After returns the size in bytes of the records that were written anew.
func (c Compaction) After() int64 { return c.after }

// pending are records that wait for their sync.
type pending struct {
	payloads [][]byte
	done     chan error
}

// OpenLog replays the records of a folder, in the order in which they were
// written, and opens the log for more. The returned function closes it.
func OpenLog(dir string, replay func([]byte) error) (*Log, func(), error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, errors.Wrap(err, "durable: make the data folder")
	}
	l := &Log{dir: dir, queue: make(chan *pending, maxWaiting), closing: make(chan struct{}), closed: make(chan struct{})}
	kept, err := segments(dir)
	if err != nil {
		return nil, nil, err
	}
	for _, s := range kept {
		if err := l.replay(s, replay); err != nil {
			return nil, nil, err
		}
	}
	go l.loop()
	return l, l.close, nil
}

// HasLog reports whether a folder holds a log.
func HasLog(dir string) (bool, error) {
	list, err := segments(dir)
	return len(list) > 0, err
}

// segment is one file of a log.
type segment struct {
	name   string
	number uint64
}

// segments returns those of a folder, oldest first. What else is there has another owner and is left alone.
func segments(dir string) ([]segment, error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "durable: list the data folder")
	}
	var out []segment
	for _, e := range list {
		if number, ok := segmentNumber(e); ok {
			out = append(out, segment{name: e.Name(), number: number})
		}
	}
	slices.SortFunc(out, func(a, b segment) int { return cmp.Compare(a.number, b.number) })
	return out, nil
}

// segmentNumber returns a segment's number, if the entry of a folder is one.
func segmentNumber(e os.DirEntry) (uint64, bool) {
	digits, ok := strings.CutPrefix(e.Name(), segmentID)
	if !ok || len(digits) != segmentDigits || !e.Type().IsRegular() {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// replay hands over a segment's records up to the first broken one. The rest of
// the segment was never synced; a later segment starts anew.
func (l *Log) replay(s segment, replay func([]byte) error) error {
	l.number = max(l.number, s.number)
	b, err := os.ReadFile(filepath.Join(l.dir, s.name))
	if err != nil {
		return errors.Wrap(err, "durable: read a segment")
	}
	l.size += int64(len(b))
	for {
		payload, rest, ok := nextFrame(b)
		if !ok {
			return nil
		}
		if err := replay(payload); err != nil {
			return err
		}
		b = rest
	}
}

// Append writes records and returns once all are synced. After an error each may
// or may not be there.
func (l *Log) Append(ctx context.Context, payloads ...[]byte) error {
	if len(payloads) == 0 {
		return nil
	}
	p := &pending{payloads: payloads, done: make(chan error, 1)}
	select {
	case <-l.closing:
		return &ClosedError{}
	default:
	}
	select {
	case l.queue <- p:
	default:
		return &BusyError{Waiting: maxWaiting}
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-l.closed:
		return &ClosedError{}
	}
}

// Written returns the number of bytes written in this life.
func (l *Log) Written() int64 { return l.written.Load() }

// Refused returns the bytes of records that the disk has refused and that are kept for the
// next try.
func (l *Log) Refused() int64 { return l.refused.Load() }

func (l *Log) close() {
	l.once.Do(func() { close(l.closing) })
	<-l.closed
}

func (l *Log) loop() {
	defer close(l.closed)
	for {
		select {
		case p := <-l.queue:
			l.flush(l.gather(p))
		case <-l.closing:
			if l.file != nil {
				l.file.Close()
			}
			return
		}
	}
}

// gather takes all records that wait.
func (l *Log) gather(first *pending) []*pending {
	batch := []*pending{first}
	for len(batch) < maxWaiting {
		select {
		case p := <-l.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// flush writes a batch, syncs it and answers those who wait for it.
func (l *Log) flush(batch []*pending) {
	frames := l.unsynced
	for _, p := range batch {
		for _, payload := range p.payloads {
			frames = appendFrame(frames, payload)
		}
	}
	err := l.write(frames)
	if err != nil {
		l.failed(frames, err)
	} else {
		l.unsynced = nil
		l.refused.Store(0)
	}
	for _, p := range batch {
		p.done <- err
	}
	if err == nil {
		l.compact()
	}
}

// failed leaves the segment, whose tail is in doubt, and keeps the records for
// a new one. A failed sync is never repeated on the same file.
func (l *Log) failed(frames []byte, err error) {
	l.unsynced = frames
	l.refused.Store(int64(len(frames)))
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	if l.Failed != nil {
		l.Failed(err)
	}
}

func (l *Log) write(frames []byte) error {
	if l.file == nil {
		if err := l.open(); err != nil {
			return err
		}
	}
	n, err := l.file.Write(frames)
	l.size += int64(n)
	l.written.Add(int64(n))
	if err != nil {
		return errors.Wrap(err, "durable: write a segment")
	}
	return errors.Wrap(l.file.Sync(), "durable: sync a segment")
}

// open starts the next segment. Its name lasts with its first sync.
func (l *Log) open() error {
	l.number++
	path := filepath.Join(l.dir, fmt.Sprintf("%s%0*d", segmentID, segmentDigits, l.number))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "durable: open a segment")
	}
	l.file = f
	return nil
}

// writeLive writes all live records, a chunk at a time.
func (l *Log) writeLive() error {
	var frames []byte
	var failed error
	l.Live(func(payload []byte) {
		frames = appendFrame(frames, payload)
		if len(frames) < liveChunk || failed != nil {
			return
		}
		failed = l.write(frames)
		frames = frames[:0]
	})
	if failed != nil {
		return failed
	}
	return l.write(frames)
}

// compact writes the live records to a new segment and removes the older ones,
// once they are large. A removal that does not last costs nothing, as records
// may be replayed twice.
func (l *Log) compact() {
	if l.size < compactAt || l.Live == nil {
		return
	}
	old, err := segments(l.dir)
	if err != nil {
		l.Failed(err)
		return
	}
	l.file.Close()
	l.file = nil
	before := l.size
	if err := l.writeLive(); err != nil {
		l.failed(nil, err)
		return
	}
	for _, s := range old {
		if err := os.Remove(filepath.Join(l.dir, s.name)); err != nil {
			l.Failed(errors.Wrap(err, "durable: remove a segment"))
			return
		}
	}
	l.size -= before
	if l.Compacted != nil {
		l.Compacted(Compaction{before: before, after: l.size})
	}
}
