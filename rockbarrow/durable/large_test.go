// SPDX-License-Identifier: MIT

package durable

import (
	"errors"
	"testing"
)

// TestARecordThatCannotBeReadBackIsRefused guards against a record beyond the limit of a frame that counts as synced, and at the next
// start is taken for a torn tail, with all records behind it.
func TestARecordThatCannotBeReadBackIsRefused(t *testing.T) {
	dir := t.TempDir()
	l, stop, err := OpenLog(dir, func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	var large *TooLargeError
	largest := make([]byte, maxFrame)
	for i, records := range [][][]byte{
		{[]byte("first")}, {[]byte("refused, too"), make([]byte, maxFrame+1)}, {largest}, {make([]byte, maxFrame+1)}, {[]byte("last")},
	} {
		err := l.Append(t.Context(), records...)
		if refused := i == 1 || i == 3; errors.As(err, &large) != refused || !refused && err != nil {
			t.Errorf("append %d: %v", i, err)
		}
	}
	stop()
	if got := replayed(t, dir); len(got) != 3 || got[0] != "first" || len(got[1]) != maxFrame || got[len(got)-1] != "last" {
		t.Errorf("%d records were read back, want three", len(got))
	}
}

// TestAValueThatCannotBeReadBackIsRefused guards against a value that replaces the one before it and is gone after a restart.
func TestAValueThatCannotBeReadBackIsRefused(t *testing.T) {
	dir := t.TempDir()
	c, err := OpenCell(dir, "v")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Save([]byte("kept")); err != nil {
		t.Fatal(err)
	}
	var large *TooLargeError
	for range 2 {
		if err := c.Save(make([]byte, maxFrame)); !errors.As(err, &large) {
			t.Errorf("%v", err)
		}
	}
	if c, err = OpenCell(dir, "v"); err != nil || string(c.Value()) != "kept" {
		t.Errorf("%d bytes after a restart, %v", len(c.Value()), err)
	}
	if err := c.Save(make([]byte, maxFrame-seqSize)); err != nil {
		t.Error(err)
	}
	if c, err = OpenCell(dir, "v"); err != nil || len(c.Value()) != maxFrame-seqSize {
		t.Errorf("%d bytes after a restart, %v", len(c.Value()), err)
	}
}
