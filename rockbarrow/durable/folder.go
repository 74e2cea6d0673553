// SPDX-License-Identifier: MIT

package durable

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// folder makes, reads and removes the files of one directory.
type folder struct {
	dir   string
	trace *trace
}

// openFolder makes a directory if it is missing.
func openFolder(dir string) (folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return folder{}, errors.Wrap(err, "durable: make the data folder")
	}
	return folder{dir: dir, trace: traceOf(dir)}, nil
}

func (f folder) path(name string) string { return filepath.Join(f.dir, name) }

// create opens a file for writing and makes it if it is missing; flags are further ones of os.OpenFile.
func (f folder) create(name string, flags int) (*os.File, error) {
	f.trace.opened(name)
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_WRONLY|flags, 0o600)
}

// syncFile syncs a file of the folder.
func (f folder) syncFile(file *os.File) error {
	if err := file.Sync(); err != nil {
		return err
	}
	f.trace.synced(file)
	return nil
}

// read returns the content of a file.
func (f folder) read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

func (f folder) remove(name string) error {
	if f.trace != nil {
		return f.trace.remove(name)
	}
	return os.Remove(f.path(name))
}

// replace writes and syncs the whole content of a file.
func (f folder) replace(name string, b []byte) error {
	file, err := f.create(name, os.O_TRUNC)
	if err != nil {
		return errors.Wrap(err, "durable: open a cell")
	}
	_, err = file.Write(b)
	if err == nil {
		err = f.syncFile(file)
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	return errors.Wrap(err, "durable: write a cell")
}
