// SPDX-License-Identifier: MIT

package durable

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

func replayed(t *testing.T, dir string) []string {
	t.Helper()
	var out []string
	_, stop, err := OpenLog(dir, func(b []byte) error { out = append(out, string(b)); return nil })
	if err != nil {
		t.Fatal(err)
	}
	stop()
	return out
}

func TestLogKeepsWhatWasSynced(t *testing.T) {
	dir := t.TempDir()
	l, stop, err := OpenLog(dir, func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if err := l.Append(context.Background(), fmt.Appendf(nil, "record %d", i)); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	if got := replayed(t, dir); len(got) != 3 || got[2] != "record 2" {
		t.Errorf("replayed %q, want three records", got)
	}
	if err := l.Append(context.Background(), []byte("late")); err == nil {
		t.Error("a closed log took a record")
	}
}

func TestTornTailIsDroppedAndLaterSegmentsCount(t *testing.T) {
	dir := t.TempDir()
	frames := appendFrame(nil, []byte("kept"))
	frames = append(frames, appendFrame(nil, []byte("torn"))[:9]...)
	if err := os.WriteFile(filepath.Join(dir, segmentID+"0000000001"), frames, 0o600); err != nil {
		t.Fatal(err)
	}
	l, stop, err := OpenLog(dir, func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Append(context.Background(), []byte("later")); err != nil {
		t.Fatal(err)
	}
	stop()
	if got := replayed(t, dir); len(got) != 2 || got[0] != "kept" || got[1] != "later" {
		t.Errorf("replayed %q, want kept and later", got)
	}
}

func TestFailedWriteGoesToAnotherSegment(t *testing.T) {
	dir := t.TempDir()
	l, stop, err := OpenLog(dir, func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	failures := 0
	l.Failed = func(error) { failures++ }
	if err := l.Append(context.Background(), []byte("first")); err != nil {
		t.Fatal(err)
	}
	l.file.Close()
	if err := l.Append(context.Background(), []byte("second")); err == nil {
		t.Error("a write to a closed file counts as synced")
	}
	if err := l.Append(context.Background(), []byte("third")); err != nil {
		t.Errorf("the disk works again: %v", err)
	}
	stop()
	if got := replayed(t, dir); failures != 1 || len(got) != 3 {
		t.Errorf("replayed %q after %d failures, want all three records", got, failures)
	}
}

func TestCellSurvivesATornWrite(t *testing.T) {
	dir := t.TempDir()
	c, err := OpenCell(dir, "cell")
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []string{"one", "two", "three"} {
		if err := c.Save([]byte(v)); err != nil {
			t.Fatal(err)
		}
	}
	// The file of the newest value is torn: the value before it is in force.
	if err := os.Truncate(c.folder.path(c.file(c.seq)), 5); err != nil {
		t.Fatal(err)
	}
	c, err = OpenCell(dir, "cell")
	if err != nil || !bytes.Equal(c.Value(), []byte("two")) {
		t.Errorf("value %q, %v, want two", c.Value(), err)
	}
}

// TestADamagedCellIsNoNewOne: an acceptor that took its lost promises for none would give others.
func TestADamagedCellIsNoNewOne(t *testing.T) {
	dir := t.TempDir()
	c, err := OpenCell(dir, "cell")
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []string{"one", "two"} {
		if err := c.Save([]byte(v)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range uint64(2) {
		if err := os.Truncate(c.folder.path(c.file(i)), 5); err != nil {
			t.Fatal(err)
		}
	}
	var damaged *DamagedError
	if _, err := OpenCell(dir, "cell"); !errors.As(err, &damaged) {
		t.Errorf("%v, want that the cell is damaged", err)
	}
}
