// SPDX-License-Identifier: MIT

package emulator

import (
	"math"
	"testing"

	"rockbarrow.dev/rockbarrow/placement"
)

// crowded returns 80 entry instances before 210 slots. Load reports are 0.3 s old on average, and in a burst 24 programs
// arrive in that time, which need more than the slots.
func crowded() *Deployment {
	d := &Deployment{Entries: 80, Seconds: 14, PerSecond: 40, NewsMS: 200, WayMS: 10}
	d.Engine = Engine{Count: 35, Slots: 6, Queue: 18, CacheTokens: 120_000, StepMS: 6, ReadPerMS: 190, Piece: 2048}
	d.Kinds = []Kind{
		{Name: "short", Share: 1, Turns: 3, SharedTokens: 1000, Prefixes: 3, InputTokens: 600, OutputTokens: 75, PauseMS: 100, Aim: 1.45, ObjectiveMS: 250, Worth: 5.6, LateWorth: 0.22},
		{Name: "long", Share: 1, Priority: 2, Turns: 11, SharedTokens: 1000, Prefixes: 3, InputTokens: 400, OutputTokens: 75, PauseMS: 100, Aim: 1.45, ObjectiveMS: 250, Worth: 4.9, LateWorth: 0.74},
	}
	d.Bursts = []Burst{{AtS: 3, ForS: 6, X: 2}}
	return d
}

// TestManyEntriesDoNotOverfillEngines guards against entry instances that each start programs by their own few slots:
// together they started them until engines held 1.45 times their slots, and nearly all ended late.
func TestManyEntriesDoNotOverfillEngines(t *testing.T) {
	d := crowded()
	slots := float64(d.Engine.Count * d.Engine.Slots)
	for seed := range uint64(5) {
		r := Run{Deployment: d, Seed: seed, Limited: true, Policy: placement.Spread}.Play()
		if most := slots + 2*math.Sqrt(slots); float64(r.MostInFlight) > most || r.Refused == 0 {
			t.Errorf("seed %d: %d calls at the engines, %d refused, want at most %.0f calls", seed, r.MostInFlight, r.Refused, most)
		}
	}
}
