// SPDX-License-Identifier: MIT

package durable

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxWaiting bounds the calls that wait for the disk; at about 2 KB each
	// they hold 8 MB while a disk stalls.
	maxWaiting = 4096
	// maxRefused in bytes is what is kept of records that the disk has refused, some five hundred.
	// Beyond that all live records are written once the disk takes writes again.
	maxRefused = 1 << 20
	// rewriteEvery is how often that is tried meanwhile.
	rewriteEvery = 200 * time.Millisecond
)

// BusyError says that the disk takes no more records now.
type BusyError struct{ Waiting int }

// Error tells how many records wait.
func (e *BusyError) Error() string {
	return fmt.Sprintf("durable: %d records wait for the disk", e.Waiting)
}

// RefusedError says that the disk has refused records before and was not tried again for this one.
type RefusedError struct{ Cause error }

// Error tells the cause.
func (e *RefusedError) Error() string { return "durable: the disk refuses writes: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

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

	folder  *folder
	queue   chan *pending
	closing chan struct{}
	closed  chan struct{}
	once    sync.Once

	// file is the open segment, nil after a failure until the next write. Only
	// the log's goroutine uses the fields from here to cause.
	file   *os.File
	number uint64
	// synced is true if the open segment holds anything that was synced.
	synced bool
	// size counts the bytes of all segments, live those that the last compaction wrote.
	size, live int64
	// unsynced are frames of records whose write failed; they go out before the
	// next ones, since the owner counts them among its live records.
	unsynced []byte
	// behind is true if more than that was refused: the disk lacks records that only the owner
	// holds. tried is when writing them failed last, and cause why.
	behind bool
	tried  time.Time
	cause  error
	// compactAfter is when a compaction may be tried again.
	compactAfter time.Time

	written atomic.Int64
	// refused is the size in bytes of unsynced.
	refused atomic.Int64
}

// pending are records that wait for their sync.
type pending struct {
	payloads [][]byte
	done     chan error
}

// OpenLog replays the records of a folder, in the order in which they were
// written, and opens the log for more. The returned function closes it.
func OpenLog(dir string, replay func([]byte) error) (*Log, func(), error) {
	f, err := openFolder(dir)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{folder: f, queue: make(chan *pending, maxWaiting), closing: make(chan struct{}), closed: make(chan struct{})}
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

// Append writes records and returns once all are synced. After an error each may
// or may not be there; after a [TooLargeError] none is.
func (l *Log) Append(ctx context.Context, payloads ...[]byte) error {
	if len(payloads) == 0 {
		return nil
	}
	for _, payload := range payloads {
		if err := checkSize(payload); err != nil {
			return err
		}
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
	err := l.put(batch)
	for _, p := range batch {
		p.done <- err
	}
	if err == nil {
		l.compact()
	}
}

// put writes a batch after what was refused before.
func (l *Log) put(batch []*pending) error {
	if l.behind && time.Since(l.tried) < rewriteEvery {
		return &RefusedError{Cause: l.cause}
	}
	frames := l.unsynced
	for _, p := range batch {
		for _, payload := range p.payloads {
			frames = appendFrame(frames, payload)
		}
	}
	var err error
	if l.behind {
		err = l.rewrite(frames)
	} else {
		err = l.write(frames)
	}
	if err != nil {
		l.fail(frames, err)
		return err
	}
	l.unsynced, l.behind = nil, false
	l.refused.Store(0)
	return nil
}

// fail leaves the segment, whose tail is in doubt, and keeps the records for a new one, if they are few.
// A failed sync is never repeated on the same file.
func (l *Log) fail(frames []byte, err error) {
	l.abandon()
	l.tried, l.cause = time.Now(), err
	if len(frames) > maxRefused && l.Live != nil {
		frames, l.behind = nil, true
	}
	l.unsynced = frames
	l.refused.Store(int64(len(frames)))
	l.report(err)
}

// abandon closes the open segment, and removes it if nothing in it counts, so that a disk that is full does
// not fill up with tries.
func (l *Log) abandon() {
	if l.file == nil {
		return
	}
	name := segmentName(l.number)
	info, err := os.Stat(l.folder.path(name))
	l.file.Close()
	l.file = nil
	if l.synced {
		return
	}
	// If the disk refuses that too, the segment is read and compacted as others are.
	if l.folder.remove(name) == nil && err == nil {
		l.size -= info.Size()
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
	if err := l.folder.syncFile(l.file); err != nil {
		return errors.Wrap(err, "durable: sync a segment")
	}
	l.synced = true
	return nil
}

// open starts the next segment.
func (l *Log) open() error {
	l.number++
	f, err := l.folder.create(segmentName(l.number), os.O_EXCL|os.O_APPEND)
	if err != nil {
		return errors.Wrap(err, "durable: open a segment")
	}
	l.file, l.synced = f, false
	return nil
}

func (l *Log) report(err error) {
	if l.Failed != nil {
		l.Failed(err)
	}
}
