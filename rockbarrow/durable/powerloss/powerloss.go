// SPDX-License-Identifier: MIT

// Package powerloss does to a data folder what a loss of power may do: names that were made or removed since the last
// sync of the folder survive or are lost, each on its own, and so are bytes that were not synced.
//
// Processes of a build for such tests note their operations beside the folder ([Trace]). After they were killed,
// [Apply] undoes some of what no sync covers.
package powerloss

import (
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Forget drops the notes of a folder, as after its disk was lost.
func Forget(dir string) error {
	for _, d := range []string{traceDir(dir), asideDir(dir)} {
		if err := os.RemoveAll(d); err != nil {
			return errors.Wrap(err, "powerloss")
		}
	}
	return nil
}

// Apply loses power: it undoes, drawn from r, some of what no sync covers. No process may use the folder. It returns what
// was undone.
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
	// All that is left lasts, and the next process syncs the folder before it notes anything else.
	return undone, Forget(dir)
}

// undo does to one file what may happen to it, and returns what that was.
func undo(dir, name string, f *file, r *rand.Rand) (string, error) {
	path, chance := filepath.Join(dir, name), r.IntN(2) == 0
	switch {
	case f.exists && !f.lasts && chance:
		return "lost", ignoreMissing(os.Remove(path))
	case !f.exists && f.lasts && chance:
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

// ignoreMissing passes over a file that is not there, as the process was killed between a note and its operation.
func ignoreMissing(err error) error {
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}
