// SPDX-License-Identifier: MIT

package durable

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"rockbarrow.dev/rockbarrow/durable/powerloss"
)

// tracing is set by the linker, to any text, in builds for tests of a loss of power. Processes then note beside each
// data folder what was synced, for package powerloss.
var tracing string

// trace notes what a loss of power may undo in a directory. A nil trace notes nothing.
type trace struct {
	dir string
	// mu orders the notes as the operations that they tell of.
	mu sync.Mutex
}

// traces are those of the process by directory, as the files of a directory may have several owners.
var traces sync.Map

// traceOf returns the trace of a directory, or nil if the process notes nothing.
func traceOf(dir string) *trace {
	if tracing == "" {
		return nil
	}
	t, _ := traces.LoadOrStore(dir, &trace{dir: dir})
	return t.(*trace)
}

func (t *trace) opened(name string) {
	if t != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.note(powerloss.Opened, name, 0)
	}
}

func (t *trace) synced(f *os.File) {
	if t != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		info, err := f.Stat()
		t.check(err)
		t.note(powerloss.Synced, filepath.Base(f.Name()), info.Size())
	}
}

// remove keeps a file aside in place of its removal, so that this can be undone.
func (t *trace) remove(name string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.note(powerloss.Removed, name, 0)
	return os.Rename(filepath.Join(t.dir, name), powerloss.Aside(t.dir, name))
}

// folderSynced syncs the directory and notes that all names in it last.
func (t *trace) folderSynced(sync func() error) error {
	if t == nil {
		return sync()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	err := sync()
	if err == nil {
		t.note(powerloss.FolderSynced, "-", 0)
	}
	return err
}

func (t *trace) note(what powerloss.Event, name string, size int64) {
	t.check(powerloss.Note(t.dir, what, name, size))
}

// check ends a process whose notes would be wrong from here on.
func (t *trace) check(err error) {
	if err != nil {
		panic(fmt.Sprintf("durable: trace: %v", err))
	}
}
