// SPDX-License-Identifier: MIT

// Package powerloss does to a data folder what a loss of power may do: names that were made or removed since the last
// sync of the folder survive or are lost, each on its own, and so are bytes that were not synced.
//
// Processes of a build for such tests note their operations beside the folder ([Note]). After they were killed,
// [Apply] undoes some of what no sync covers.
package powerloss

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Event is a kind of note.
type Event string

const (
	// Opened is noted before a file is made, or written from its beginning.
	Opened Event = "opened"
	// Synced is noted after a sync of a file, with its size.
	Synced Event = "synced"
	// Removed is noted before a file is moved to [Aside] in place of its removal.
	Removed Event = "removed"
	// FolderSynced is noted after a sync of the folder.
	FolderSynced Event = "folder"
)

func tracePath(dir string) string { return dir + ".trace" }
func asideDir(dir string) string  { return dir + ".removed" }

// Aside returns where a removed file of a folder is kept.
func Aside(dir, name string) string { return filepath.Join(asideDir(dir), name) }

// Note appends a note. Size is that of [Synced].
func Note(dir string, e Event, name string, size int64) error {
	if err := os.MkdirAll(asideDir(dir), 0o700); err != nil {
		return errors.Wrap(err, "powerloss")
	}
	f, err := os.OpenFile(tracePath(dir), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "powerloss")
	}
	defer f.Close()
	_, err = fmt.Fprintln(f, e, size, name)
	return errors.Wrap(err, "powerloss")
}

// Forget drops the notes of a folder, as after its disk was lost.
func Forget(dir string) error {
	if err := os.RemoveAll(asideDir(dir)); err != nil {
		return errors.Wrap(err, "powerloss")
	}
	err := os.Remove(tracePath(dir))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return errors.Wrap(err, "powerloss")
}

// file is what the notes tell of one name.
type file struct {
	// exists tells whether it does, and lasts whether its name did at the last sync of the folder.
	exists, lasts bool
	// synced is how many of its bytes were synced since it was opened.
	synced int64
}

// Apply loses power: it undoes, drawn from r, some of what no sync covers. No process may use the folder. It returns what
// was undone.
func Apply(dir string, r *rand.Rand) ([]string, error) {
	b, err := os.ReadFile(tracePath(dir))
	if err != nil {
		return nil, errors.Wrap(err, "powerloss")
	}
	files, order := parse(string(b))
	var undone []string
	for _, name := range order {
		what, err := undo(dir, name, files[name], r)
		if err != nil {
			return undone, errors.Wrap(err, "powerloss")
		}
		if what != "" {
			undone = append(undone, what+" "+name)
		}
	}
	if err := Forget(dir); err != nil {
		return undone, err
	}
	return undone, noteAll(dir)
}

// noteAll notes that all that is in a folder lasts.
func noteAll(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "powerloss")
	}
	for _, e := range entries {
		info, err := e.Info()
		if err == nil {
			err = Note(dir, Opened, e.Name(), 0)
		}
		if err == nil {
			err = Note(dir, Synced, e.Name(), info.Size())
		}
		if err != nil {
			return errors.Wrap(err, "powerloss")
		}
	}
	return Note(dir, FolderSynced, "-", 0)
}

func parse(trace string) (files map[string]*file, order []string) {
	files = map[string]*file{}
	for line := range strings.Lines(trace) {
		var e Event
		var size int64
		var name string
		if n, _ := fmt.Sscan(line, &e, &size, &name); n < 2 {
			// The process was killed while it wrote the line.
			continue
		}
		if e == FolderSynced {
			for _, f := range files {
				f.lasts = f.exists
			}
			continue
		}
		f := files[name]
		if f == nil {
			f = &file{}
			files[name], order = f, append(order, name)
		}
		switch e {
		case Opened:
			f.exists, f.synced = true, 0
		case Synced:
			f.synced = size
		case Removed:
			f.exists = false
		}
	}
	return files, slices.Compact(order)
}

// undo does to one file what may happen to it, and returns what that was.
func undo(dir, name string, f *file, r *rand.Rand) (string, error) {
	path, chance := filepath.Join(dir, name), r.IntN(2) == 0
	switch {
	case f.exists && !f.lasts && chance:
		return "lost", ignoreMissing(os.Remove(path))
	case !f.exists && f.lasts && chance:
		return "restored", ignoreMissing(os.Rename(Aside(dir, name), path))
	case !f.exists:
		return "", nil
	}
	info, err := os.Stat(path)
	if err != nil || info.Size() <= f.synced {
		return "", ignoreMissing(err)
	}
	return "cut", os.Truncate(path, f.synced+r.Int64N(info.Size()-f.synced+1))
}

// ignoreMissing passes over a file that is not there, as the process was killed between a note and its operation.
func ignoreMissing(err error) error {
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}
