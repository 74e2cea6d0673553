// SPDX-License-Identifier: MIT

// Package powerloss simulates the effect of a power loss on a data folder, for tests. Names that were created or removed since the
// last sync of the folder survive or are lost independently of each other, and so do bytes that were not synced.
//
// Processes of a test build record their operations next to the folder ([Trace]). After they were killed, [Apply] undoes a random
// part of what no sync covers.
package powerloss

import (
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Forget removes the trace of a folder, as after the loss of its disk.
func Forget(dir string) error {
	for _, d := range []string{traceDir(dir), asideDir(dir)} {
		if err := os.RemoveAll(d); err != nil {
			return errors.Wrap(err, "powerloss")
		}
	}
	return nil
}

// Apply undoes a part, drawn from r, of what no sync covers, and returns descriptions of it. No process may use the folder.
func Apply(dir string, r *rand.Rand) (undone []string, err error) {
	files, order, err := read(dir)
	if err != nil {
		return nil, errors.Wrap(err, "powerloss")
	}
	for _, name := range order {
		what, err := undo(dir, name, files[name], r)
		if err != nil {
			return undone, errors.Wrap(err, "powerloss")
		}
		if what != "" {
			undone = append(undone, what+" "+name)
		}
	}
	// The next process syncs what is left before it records anything else.
	return undone, Forget(dir)
}

// undo applies the power loss to one file, and returns what it did.
func undo(dir, name string, f *file, r *rand.Rand) (string, error) {
	path, chance := filepath.Join(dir, name), r.IntN(2) == 0
	switch {
	case f.exists && !f.persisted && chance:
		return "lost", ignoreMissing(os.Remove(path))
	case !f.exists && f.persisted && chance:
		return "restored", ignoreMissing(os.Rename(aside(dir, name), path))
	case !f.exists:
		return "", nil
	}
	info, err := os.Stat(path)
	if err != nil || info.Size() <= f.synced {
		return "", ignoreMissing(err)
	}
	return "cut", os.Truncate(path, f.synced+r.Int64N(info.Size()-f.synced+1))
}

// ignoreMissing drops errors about a missing file: the process may have been killed between a record and its operation.
func ignoreMissing(err error) error {
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}
