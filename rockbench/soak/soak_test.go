// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"testing"
	"time"
)

// TestSoak plays the whole path with real processes under faults. Seeds that ever
// failed stay here, each with its cause.
func TestSoak(t *testing.T) {
	for _, cfg := range []Config{
		{Seed: 1, Last: 6 * time.Second, Programs: 4, EntriesEach: 1},
		// Control was killed three times before stores were chosen: entry instances called themselves
		// ready and refused each turn for 6 s.
		{Seed: 9203, Last: 12 * time.Second, Programs: 6, EntriesEach: 2, Domains: 4},
	} {
		t.Run(fmt.Sprint("seed ", cfg.Seed), func(t *testing.T) {
			cfg.Dir, cfg.Out = t.TempDir(), t.Output()
			report, err := Run(t.Context(), cfg)
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range report.Broken {
				t.Error(b)
			}
			if report.Counts["turns"] == 0 {
				t.Error("no turn was served")
			}
		})
	}
}
