// SPDX-License-Identifier: MIT

package soak

import (
	"testing"
	"time"
)

// TestSoak plays the whole path with real processes under faults. Seeds that ever
// failed stay here, each with its cause.
func TestSoak(t *testing.T) {
	seeds := []uint64{1}
	for _, seed := range seeds {
		report, err := Run(t.Context(), Config{Seed: seed, Last: 6 * time.Second, Programs: 4, EntriesEach: 1, Dir: t.TempDir(), Out: t.Output()})
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range report.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		if report.Counts["turns"] == 0 {
			t.Errorf("seed %d: no turn was served", seed)
		}
	}
}
