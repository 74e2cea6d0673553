// SPDX-License-Identifier: MIT

package powerloss

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// event is a kind of record.
type event string

const (
	// opened precedes the creation of a file.
	opened event = "opened"
	// synced follows a sync of a file, with its size, and precedes its truncation, with zero.
	synced event = "synced"
	// removed precedes the removal of a file.
	removed event = "removed"
	// folderSynced follows a sync of the folder.
	folderSynced event = "folder"
)

// Trace records what a power loss may undo in a directory. A nil trace records nothing. Each record is the name of an empty file
// next to the directory, which can be created even while the size of files is limited.
type Trace struct {
	dir string

	// mu keeps the records in the order of the operations.
	mu sync.Mutex
	// next is the number of the next record.
	next int
	// sizes holds the path of the newest synced record of each file, which replaces earlier ones.
	sizes map[string]string
}

func traceDir(dir string) string { return dir + ".trace" }

// asideDir returns where the removed files of a folder are kept.
func asideDir(dir string) string { return dir + ".removed" }

func aside(dir, name string) string { return filepath.Join(asideDir(dir), name) }

// Open returns a trace that appends to the existing records.
func Open(dir string) (*Trace, error) {
	t := &Trace{dir: dir, sizes: map[string]string{}}
	for _, d := range []string{traceDir(dir), asideDir(dir)} {
		if err := os.MkdirAll(d, 0o700); err != nil {
			return nil, errors.Wrap(err, "powerloss")
		}
	}
	records, err := os.ReadDir(traceDir(dir))
	if err != nil {
		return nil, errors.Wrap(err, "powerloss")
	}
	if len(records) > 0 {
		number, _, _ := strings.Cut(records[len(records)-1].Name(), " ")
		last, err := strconv.Atoi(number)
		if err != nil {
			return nil, errors.Wrap(err, "powerloss")
		}
		t.next = last + 1
	}
	return t, nil
}

// Opened records that a file is created or truncated.
func (t *Trace) Opened(name string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sizes[name] == "" {
		t.record(opened, 0, name)
	}
	t.size(name, 0)
}

// Synced records the size of a file that was synced.
func (t *Trace) Synced(f *os.File) {
	if t == nil {
		return
	}
	t.awaitDisk()
	t.mu.Lock()
	defer t.mu.Unlock()
	info, err := f.Stat()
	check(err)
	t.size(filepath.Base(f.Name()), info.Size())
}

func (t *Trace) size(name string, size int64) {
	before := t.sizes[name]
	t.sizes[name] = t.record(synced, size, name)
	if before != "" {
		check(os.Remove(before))
	}
}

// Remove moves a file aside instead of removing it, so that the removal can be undone.
func (t *Trace) Remove(name string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sizes, name)
	t.record(removed, 0, name)
	return os.Rename(filepath.Join(t.dir, name), aside(t.dir, name))
}

// SyncFolder syncs the directory and records that.
func (t *Trace) SyncFolder(sync func() error) error {
	if t == nil {
		return sync()
	}
	t.awaitDisk()
	t.mu.Lock()
	defer t.mu.Unlock()
	err := sync()
	if err == nil {
		t.record(folderSynced, 0, "")
	}
	return err
}

// record writes a record and returns its path.
func (t *Trace) record(e event, size int64, name string) string {
	path := filepath.Join(traceDir(t.dir), fmt.Sprintf("%012d %s %d %s", t.next, e, size, name))
	t.next++
	check(os.WriteFile(path, nil, 0o600))
	return path
}

// check ends a process whose trace would be wrong from here on.
func check(err error) {
	if err != nil {
		panic(fmt.Sprintf("powerloss: %v", err))
	}
}

// file is the state of one name according to the trace.
type file struct {
	// exists reports whether it exists, and persisted whether it did at the last sync of the folder.
	exists, persisted bool
	// synced is the number of its bytes that were synced since it was opened.
	synced int64
}

// read returns the files in the trace of a directory, and their names in the order of appearance.
func read(dir string) (files map[string]*file, order []string, err error) {
	records, err := os.ReadDir(traceDir(dir))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	files = map[string]*file{}
	for _, n := range records {
		// Number, event, size and name, which may have blanks.
		words := strings.SplitN(n.Name(), " ", 4)
		e, name := event(words[1]), words[3]
		size, err := strconv.ParseInt(words[2], 10, 64)
		if err != nil {
			return nil, nil, err
		}
		if e == folderSynced {
			for _, f := range files {
				f.persisted = f.exists
			}
			continue
		}
		f := files[name]
		if f == nil {
			// A file that is synced without having been opened existed before the first sync of the folder.
			f = &file{exists: e == synced, persisted: e == synced}
			files[name], order = f, append(order, name)
		}
		switch e {
		case opened:
			f.exists = true
		case synced:
			f.synced = size
		case removed:
			f.exists = false
		}
	}
	return files, order, nil
}
