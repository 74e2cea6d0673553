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

// event is a kind of note.
type event string

const (
	// opened is noted before a file is made.
	opened event = "opened"
	// synced is noted after a sync of a file, with its size, and before it is written from its beginning, with zero.
	synced event = "synced"
	// removed is noted before a file is moved aside in place of its removal.
	removed event = "removed"
	// folderSynced is noted after a sync of the folder.
	folderSynced event = "folder"
)

// Trace notes what a loss of power may undo in a directory. A nil trace notes nothing. A note is the name of an empty file beside
// the directory, so that it is written also while the size of files is limited.
type Trace struct {
	dir string

	// mu orders the notes as the operations that they tell of.
	mu sync.Mutex
	// next is the number of the next note.
	next int
	// sizes holds the last note of each file's size, as earlier ones are dropped, until the file is removed.
	sizes map[string]string
}

func traceDir(dir string) string { return dir + ".trace" }

// asideDir returns where the removed files of a folder are kept.
func asideDir(dir string) string { return dir + ".removed" }

func aside(dir, name string) string { return filepath.Join(asideDir(dir), name) }

// Open returns a trace that goes on after the notes that are there.
func Open(dir string) (*Trace, error) {
	t := &Trace{dir: dir, sizes: map[string]string{}}
	for _, d := range []string{traceDir(dir), asideDir(dir)} {
		if err := os.MkdirAll(d, 0o700); err != nil {
			return nil, errors.Wrap(err, "powerloss")
		}
	}
	notes, err := os.ReadDir(traceDir(dir))
	if err != nil {
		return nil, errors.Wrap(err, "powerloss")
	}
	if len(notes) > 0 {
		number, _, _ := strings.Cut(notes[len(notes)-1].Name(), " ")
		last, err := strconv.Atoi(number)
		if err != nil {
			return nil, errors.Wrap(err, "powerloss")
		}
		t.next = last + 1
	}
	return t, nil
}

// Opened notes that a file is made, or written from its beginning.
func (t *Trace) Opened(name string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sizes[name] == "" {
		t.note(opened, 0, name)
	}
	t.size(name, 0)
}

// Synced notes the size of a file that was synced.
func (t *Trace) Synced(f *os.File) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	info, err := f.Stat()
	check(err)
	t.size(filepath.Base(f.Name()), info.Size())
}

func (t *Trace) size(name string, size int64) {
	before := t.sizes[name]
	t.sizes[name] = t.note(synced, size, name)
	if before != "" {
		check(os.Remove(before))
	}
}

// Remove keeps a file aside in place of its removal, so that this can be undone.
func (t *Trace) Remove(name string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sizes, name)
	t.note(removed, 0, name)
	return os.Rename(filepath.Join(t.dir, name), aside(t.dir, name))
}

// SyncFolder syncs the directory and notes that all names in it last.
func (t *Trace) SyncFolder(sync func() error) error {
	if t == nil {
		return sync()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	err := sync()
	if err == nil {
		t.note(folderSynced, 0, "")
	}
	return err
}

// note writes a note and returns its path.
func (t *Trace) note(e event, size int64, name string) string {
	path := filepath.Join(traceDir(t.dir), fmt.Sprintf("%012d %s %d %s", t.next, e, size, name))
	t.next++
	check(os.WriteFile(path, nil, 0o600))
	return path
}

// check ends a process whose notes would be wrong from here on.
func check(err error) {
	if err != nil {
		panic(fmt.Sprintf("powerloss: %v", err))
	}
}

// file is what the notes tell of one name.
type file struct {
	// exists tells whether it does, and lasts whether its name did at the last sync of the folder.
	exists, lasts bool
	// synced is how many of its bytes were synced since it was opened.
	synced int64
}

// read returns what the notes of a directory tell, and the names in the order in which they came up.
func read(dir string) (files map[string]*file, order []string, err error) {
	notes, err := os.ReadDir(traceDir(dir))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	files = map[string]*file{}
	for _, n := range notes {
		// Number, event, size and name, which may have blanks.
		words := strings.SplitN(n.Name(), " ", 4)
		e, name := event(words[1]), words[3]
		size, err := strconv.ParseInt(words[2], 10, 64)
		if err != nil {
			return nil, nil, err
		}
		if e == folderSynced {
			for _, f := range files {
				f.lasts = f.exists
			}
			continue
		}
		f := files[name]
		if f == nil {
			// A file that is synced before it was opened was there at the sync of the folder before.
			f = &file{exists: e == synced, lasts: e == synced}
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
