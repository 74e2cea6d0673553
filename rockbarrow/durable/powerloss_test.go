// SPDX-License-Identifier: MIT

package durable

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"rockbarrow.dev/rockbarrow/durable/powerloss"
)

// losses is how often a test loses power, each time drawn anew.
const losses = 100

// traced returns a new data folder whose operations are noted.
func traced(t *testing.T) string {
	t.Helper()
	tracing = "on"
	t.Cleanup(func() { tracing = "" })
	return filepath.Join(t.TempDir(), "data")
}

func losePower(t *testing.T, dir string, r *rand.Rand) []string {
	t.Helper()
	undone, err := powerloss.Apply(dir, r)
	if err != nil {
		t.Fatal(err)
	}
	tracesMu.Lock()
	defer tracesMu.Unlock()
	delete(traces, dir)
	return undone
}

// TestASavedValueOutlivesALossOfPower guards against a configuration that comes back older: names of new files were never
// synced, so that of two files of a cell the older one could survive alone.
func TestASavedValueOutlivesALossOfPower(t *testing.T) {
	for seed := range uint64(losses) {
		r, dir := rand.New(rand.NewPCG(seed, 0)), traced(t)
		want := ""
		for range 3 {
			c, err := OpenCell(dir, "cell")
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if got := string(c.Value()); got != want {
				t.Fatalf("seed %d: %q came back, %q was saved", seed, got, want)
			}
			for range r.IntN(4) {
				want = fmt.Sprint("value ", r.Uint64())
				if err := c.Save([]byte(want)); err != nil {
					t.Fatal(err)
				}
			}
			if want != "" {
				losePower(t, dir, r)
			}
		}
	}
}

// TestAValueThatWasReadBackStays guards against a vote that is told to others and then lost: a process that was killed
// before its sync read back what no sync covered, and went on from it.
func TestAValueThatWasReadBackStays(t *testing.T) {
	for seed := range uint64(losses) {
		r, dir := rand.New(rand.NewPCG(seed, 1)), traced(t)
		if c, err := OpenCell(dir, "cell"); err != nil {
			t.Fatal(err)
		} else if err := c.Save([]byte("saved")); err != nil {
			t.Fatal(err)
		}
		c, err := OpenCell(dir, "cell")
		if err != nil {
			t.Fatal(err)
		}
		f, err := c.folder.create(c.file(c.seq+1), os.O_TRUNC)
		if err != nil {
			t.Fatal(err)
		}
		frame := appendFrame(nil, append([]byte{0, 0, 0, 0, 0, 0, 0, 2}, "killed before the sync"...))
		if _, err := f.Write(frame); err != nil {
			t.Fatal(err)
		}
		f.Close()
		if c, err = OpenCell(dir, "cell"); err != nil {
			t.Fatal(err)
		}
		told := string(c.Value())
		losePower(t, dir, r)
		if c, err = OpenCell(dir, "cell"); err != nil || string(c.Value()) != told {
			t.Fatalf("seed %d: %q came back (%v), %q was read before", seed, c.Value(), err, told)
		}
	}
}

// TestAppendedRecordsOutliveALossOfPower guards against turns that are lost after they were acknowledged: names of new
// segments were never synced, and neither were records that were read back.
func TestAppendedRecordsOutliveALossOfPower(t *testing.T) {
	for seed := range uint64(losses) {
		r, dir := rand.New(rand.NewPCG(seed, 2)), traced(t)
		var live []string
		for range 3 {
			var got []string
			l, stop, err := OpenLog(dir, func(b []byte) error { got = append(got, string(b)); return nil })
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			for _, want := range live {
				if !slices.Contains(got, want) {
					t.Fatalf("seed %d: %q was appended and is lost; %q came back", seed, want, got)
				}
			}
			l.Live = func(yield func([]byte)) {
				for _, record := range live {
					yield([]byte(record))
				}
			}
			for range 1 + r.IntN(3) {
				record := fmt.Sprint("record ", r.Uint64())
				if err := l.Append(t.Context(), []byte(record)); err != nil {
					t.Fatal(err)
				}
				live = append(live, record)
			}
			stop()
			if r.IntN(2) == 0 {
				// The log's goroutine has ended.
				if err := l.rewrite(nil); err != nil {
					t.Fatal(err)
				}
				live = live[len(live)/2:]
			}
			losePower(t, dir, r)
		}
	}
}

// TestSegmentsComeBackInOrder guards against a compaction that is half undone: a segment that came back without the later
// ones would be replayed without what had revoked its records.
func TestSegmentsComeBackInOrder(t *testing.T) {
	for seed := range uint64(losses) {
		r, dir := rand.New(rand.NewPCG(seed, 3)), traced(t)
		for i := range 3 {
			l, stop, err := OpenLog(dir, func([]byte) error { return nil })
			if err != nil {
				t.Fatal(err)
			}
			if err := l.Append(t.Context(), fmt.Append(nil, i)); err != nil {
				t.Fatal(err)
			}
			stop()
			if i == 2 {
				l.Live = func(func([]byte)) {}
				if err := l.rewrite([]byte{}); err != nil {
					t.Fatal(err)
				}
			}
		}
		losePower(t, dir, r)
		if got := fmt.Sprint(replayed(t, dir)); got != "[0 1 2]" && got != "[1 2]" && got != "[2]" && got != "[]" {
			t.Errorf("seed %d: %s came back", seed, got)
		}
	}
}
