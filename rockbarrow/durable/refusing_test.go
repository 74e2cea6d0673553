// SPDX-License-Identifier: MIT

package durable

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// TestADiskThatRefusesTakesNoMemory tells an incident: a store whose disk refused writes kept each
// refused record in memory for its next try, 2 KB a record and 3 MB for each 1,500, until the process
// was killed for its memory. Its owner holds what was refused anyway, among its live records.
func TestADiskThatRefusesTakesNoMemory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	l, stop, err := OpenLog(dir, func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	live := map[string]bool{}
	l.Live = func(yield func([]byte)) {
		for r := range live {
			yield([]byte(r))
		}
	}
	away := dir + "-away"
	if err := os.Rename(dir, away); err != nil {
		t.Fatal(err)
	}
	const records, size = 3000, 2 << 10
	for i := range records {
		r := append(fmt.Appendf(nil, "record %d ", i), bytes.Repeat([]byte{'x'}, size)...)
		live[string(r)] = true
		if err := l.Append(t.Context(), r); err == nil {
			t.Fatal("a folder that is gone took a record")
		}
	}
	const most = 1 << 20
	if got := l.Refused(); got > most {
		t.Errorf("%d bytes of refused records are held", got)
	}
	if err := os.Rename(away, dir); err != nil {
		t.Fatal(err)
	}
	// The disk is not tried for each record while it refuses.
	var refused *RefusedError
	for err := l.Append(t.Context(), []byte("after")); err != nil; err = l.Append(t.Context(), []byte("after")) {
		if !errors.As(err, &refused) {
			t.Fatalf("the disk works again: %v", err)
		}
	}
	stop()
	got := map[string]bool{}
	for _, r := range replayed(t, dir) {
		got[r] = true
	}
	if len(got) != records+1 {
		t.Errorf("%d records are on the disk, want all %d that count", len(got), records+1)
	}
}

// TestADiskThatIsFullIsNotFilledFurther: a compaction that fails half way leaves nothing behind, is not tried
// again at every sync, and what was there before it still counts.
func TestADiskThatIsFullIsNotFilledFurther(t *testing.T) {
	dir := t.TempDir()
	l, stop, err := OpenLog(dir, func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	var failures, tries int
	l.Failed = func(error) { failures++ }
	large := bytes.Repeat([]byte{'x'}, 1<<20)
	l.Live = func(yield func([]byte)) {
		tries++
		yield(large)
		// The open segment fails from here on, as on a disk without room.
		if l.file != nil {
			l.file.Close()
		}
		yield(large)
		yield(large)
	}
	for range compactAt>>20 + 2 {
		if err := l.Append(t.Context(), large); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	if tries != 1 || failures != 1 {
		t.Errorf("%d compactions were tried and %d failures told, want one", tries, failures)
	}
	left, err := segments(dir)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(replayed(t, dir)); got != compactAt>>20+2 || len(left) != 2 {
		t.Errorf("%d records in %d segments are left", got, len(left))
	}
}

// TestCompactionGoesWithWhatIsDead tells an incident: once the live records of a store were larger than
// the size at which the log is compacted, every sync wrote all of them again, 2.4 GB for fifty records of
// 1 KB, and took 70 ms. What is due is told by the dead records.
func TestCompactionGoesWithWhatIsDead(t *testing.T) {
	l, stop, err := OpenLog(t.TempDir(), func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	const size, records = 1 << 20, compactAt>>20 + 2
	live := bytes.Repeat([]byte{'x'}, size)
	l.Live = func(yield func([]byte)) {
		for range records {
			yield(live)
		}
	}
	for range records {
		if err := l.Append(t.Context(), live); err != nil {
			t.Fatal(err)
		}
	}
	before := l.Written()
	const more = 50
	for range more {
		if err := l.Append(t.Context(), live[:1<<10]); err != nil {
			t.Fatal(err)
		}
	}
	// One compaction may have been due.
	if wrote := l.Written() - before; wrote > (records+1)*(size+headerSize) {
		t.Errorf("%d bytes were written for %d records of 1 KB", wrote, more)
	}
}
