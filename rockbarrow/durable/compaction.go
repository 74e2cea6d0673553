// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// compactAt is the least size in bytes at which live records are written
	// anew; a disk of 300 MB then never holds more than a third of it in waste.
	compactAt = 48 << 20
	// compactGrowth times the live records of the last compaction is the least size for the next
	// one, so that all compactions together write no more than what was appended.
	compactGrowth = 2
	// compactPause follows a compaction that failed. It may have written all live records in vain,
	// and nothing but room depends on it.
	compactPause = 10 * time.Second
	// liveChunk is how many bytes of live records are framed at once in memory.
	liveChunk = 1 << 20
)

// Compaction is what one compaction did.
type Compaction struct{ before, after int64 }

// Before returns the size of all segments in bytes before, After that of the live records.
func (c Compaction) Before() int64 { return c.before }

// After returns the size in bytes of the records that were written anew.
func (c Compaction) After() int64 { return c.after }

// rewrite writes all live records, and then some frames, to a segment of their own and removes the older
// ones. After a power loss, a suffix of the older segments may reappear, without gaps.
func (l *Log) rewrite(frames []byte) error {
	old, err := segments(l.folder.dir)
	if err != nil {
		return err
	}
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	before := l.size
	if err := l.writeLive(frames); err != nil {
		return err
	}
	l.live = l.size - before
	for _, s := range old {
		err := l.folder.remove(s.name)
		if err == nil {
			err = l.folder.sync()
		}
		if err != nil {
			// What is written holds; the next compaction removes the rest.
			l.compactAfter = time.Now().Add(compactPause)
			l.report(errors.Wrap(err, "durable: remove a segment"))
			return nil
		}
	}
	l.size = l.live
	if l.Compacted != nil {
		l.Compacted(Compaction{before: before, after: l.live})
	}
	return nil
}

// writeLive writes all live records, a chunk at a time, and then some frames. Nothing of it counts until
// all of it is written.
func (l *Log) writeLive(last []byte) error {
	var frames []byte
	var failed error
	l.Live(func(payload []byte) {
		if failed != nil {
			return
		}
		frames = appendFrame(frames, payload)
		if len(frames) < liveChunk {
			return
		}
		failed = l.write(frames)
		l.synced = false
		frames = frames[:0]
	})
	if failed != nil {
		return failed
	}
	return l.write(append(frames, last...))
}

// compact writes the live records anew once the dead ones are as large.
func (l *Log) compact() {
	if l.Live == nil || l.size < max(compactAt, compactGrowth*l.live) || time.Now().Before(l.compactAfter) {
		return
	}
	if err := l.rewrite(nil); err != nil {
		// The older segments still hold everything.
		l.compactAfter = time.Now().Add(compactPause)
		l.abandon()
		l.report(err)
	}
}
