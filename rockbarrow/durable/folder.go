// SPDX-License-Identifier: MIT

package durable

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/durable/powerloss"
)

// folder manages the files of one directory. Content that read has returned, or that was written before a call of
// syncFile, survives a power loss, and so does the name of its file.
type folder struct {
	dir   string
	trace *powerloss.Trace

	mu sync.Mutex
	// persisted holds the names that a sync of the directory covers.
	persisted map[string]bool
}

// openFolder opens a directory, or creates it, and syncs it.
func openFolder(dir string) (*folder, error) {
	if err := MakeDir(dir); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "durable: list the data folder")
	}
	f := &folder{dir: dir, trace: traceOf(dir), persisted: map[string]bool{}}
	// An earlier process may have ended before it synced the names that it created or removed.
	if err := f.sync(); err != nil {
		return nil, err
	}
	for _, e := range entries {
		f.persisted[e.Name()] = true
	}
	return f, nil
}

// MakeDir creates a directory with its missing parents, and syncs their names.
func MakeDir(dir string) error {
	if entries, err := os.ReadDir(dir); err == nil {
		if len(entries) == 0 {
			// An earlier process may have been killed before it synced the name. A directory that others created
			// may have a parent that this process can't sync.
			_ = SyncDir(filepath.Dir(dir))
		}
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := MakeDir(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return errors.Wrap(err, "durable: create a folder")
	}
	return SyncDir(parent)
}

// SyncDir persists the names in a directory, and removals from it.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "durable: sync a folder")
	}
	defer d.Close()
	return errors.Wrap(openTrace(dir).SyncFolder(d.Sync), "durable: sync a folder")
}

// writeAndClose writes a file's content, syncs and closes it.
func writeAndClose(f *os.File, b []byte, sync func() error) error {
	_, err := f.Write(b)
	if err == nil {
		err = sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}

// WriteFile writes and syncs a file and its name.
func WriteFile(path string, b []byte, perm os.FileMode) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, perm)
	if err != nil {
		return errors.Wrap(err, "durable: write a file")
	}
	if err := writeAndClose(f, b, f.Sync); err != nil {
		return errors.Wrap(err, "durable: write a file")
	}
	return SyncDir(filepath.Dir(path))
}

func (f *folder) path(name string) string { return filepath.Join(f.dir, name) }

// create opens a file for writing and creates it if it is missing; flags are additional flags of os.OpenFile.
func (f *folder) create(name string, flags int) (*os.File, error) {
	f.trace.Opened(name)
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_WRONLY|flags, 0o600)
}

// syncFile syncs a file of the folder and, the first time, its name.
func (f *folder) syncFile(file *os.File) error {
	if err := file.Sync(); err != nil {
		return err
	}
	f.trace.Synced(file)
	name := filepath.Base(file.Name())
	f.mu.Lock()
	persisted := f.persisted[name]
	f.mu.Unlock()
	if persisted {
		return nil
	}
	if err := f.sync(); err != nil {
		return err
	}
	f.mu.Lock()
	f.persisted[name] = true
	f.mu.Unlock()
	return nil
}

// sync persists all names of the folder, and all removals.
func (f *folder) sync() error { return SyncDir(f.dir) }

// read syncs a file and returns its content. A killed process may have left content that was never synced, and the caller
// may act on it.
func (f *folder) read(name string) ([]byte, error) {
	file, err := os.Open(f.path(name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if err := f.syncFile(file); err != nil {
		return nil, err
	}
	return os.ReadFile(f.path(name))
}

// remove removes a file. The removal is persistent after the next sync.
func (f *folder) remove(name string) error {
	f.mu.Lock()
	delete(f.persisted, name)
	f.mu.Unlock()
	if f.trace != nil {
		return f.trace.Remove(name)
	}
	return os.Remove(f.path(name))
}

// replace writes and syncs the whole content of a file.
func (f *folder) replace(name string, b []byte) error {
	file, err := f.create(name, os.O_TRUNC)
	if err != nil {
		return errors.Wrap(err, "durable: open a cell")
	}
	err = writeAndClose(file, b, func() error { return f.syncFile(file) })
	return errors.Wrap(err, "durable: write a cell")
}
