// SPDX-License-Identifier: MIT

package durable

import (
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/durable/powerloss"
)

// TestAStalledDiskHoldsUpWhatIsSaved guards against tests of stalled disks whose processes go on: a value counts as saved only once its
// disk has synced it.
func TestAStalledDiskHoldsUpWhatIsSaved(t *testing.T) {
	tracing = "on"
	t.Cleanup(func() { tracing = "" })
	dir := t.TempDir()
	c, err := OpenCell(dir, "value")
	if err != nil {
		t.Fatal(err)
	}
	const delay = 20 * time.Millisecond
	end, err := powerloss.Stall(dir, delay)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	if err := c.Save([]byte("slowly")); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); took < delay {
		t.Errorf("saved in %v", took)
	}
	if err := end(); err != nil {
		t.Fatal(err)
	}
	if end, err = powerloss.Stall(dir, 0); err != nil {
		t.Fatal(err)
	}
	saved := make(chan error, 1)
	go func() { saved <- c.Save([]byte("later")) }()
	select {
	case err := <-saved:
		t.Fatalf("saved during the stall, %v", err)
	case <-time.After(delay):
	}
	if err := end(); err != nil {
		t.Fatal(err)
	}
	if err := <-saved; err != nil {
		t.Error(err)
	}
}
