// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one event a line.
type record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, writer: bufio.NewWriter(f)}, nil
}

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.start) }

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%9.3f  ", r.now().Seconds())
	fmt.Fprintf(r.writer, format+"\n", args...)
}

// print writes one line to the record and to standard output.
func (r *record) print(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%9.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	r.file.Close()
}
