// SPDX-License-Identifier: MIT

// Package asynclog writes log lines without ever holding up who logs.
//
// A [Writer] keeps a bounded number of lines until its own goroutine has written
// them. While the output stands still, further lines are dropped and counted, as are
// those that can't be written, and the count is written as a line of its own.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxLines waits at the most; at some 400 bytes a line that is 0.8 MB.
	maxLines = 2048
	// flushWithin bounds the last writing at a stop.
	flushWithin = 500 * time.Millisecond
)

// Writer is an [io.Writer] of whole lines.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	out     io.Writer
}

// New returns a writer to out. The returned function writes what waits and ends
// it.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{lines: make(chan []byte, maxLines), done: make(chan struct{}), out: out}
	go w.loop()
	return w, w.close
}

// Write takes a line, or drops it when too many wait. It never fails.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(b):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped since the last one that told so.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) loop() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if !w.write(line) {
			w.dropped.Add(1)
		}
		w.tell()
	}
}

// tell writes how many lines were dropped. While that can't be written they stay counted: whoever reads
// the output may come back.
func (w *Writer) tell() {
	n := w.dropped.Load()
	if n > 0 && w.write(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"lines\":%d}\n", n)) {
		w.dropped.Add(-n)
	}
}

// write reports whether a line was written. There is nowhere to report why not.
func (w *Writer) write(b []byte) bool {
	_, err := w.out.Write(b)
	return err == nil
}

func (w *Writer) close() {
	t := time.NewTimer(flushWithin)
	defer t.Stop()
	select {
	case w.lines <- nil:
	case <-t.C:
		return
	}
	select {
	case <-w.done:
	case <-t.C:
	}
}
