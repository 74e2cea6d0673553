// SPDX-License-Identifier: MIT

package pattern

import (
	"testing"

	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbench/emulator"
)

func play(p Pattern, seed uint64, limited bool) emulator.Result {
	return emulator.Run{Deployment: p.Deployment(), Seed: seed, Limited: limited, Policy: placement.Spread}.Play()
}

// TestTheLimiterHelpsUnderEachPattern: it wins over all of them, loses on none more than runs of one pattern differ, and
// nobody does better than who knows all lengths.
func TestTheLimiterHelpsUnderEachPattern(t *testing.T) {
	const noise = 0.04
	names := map[string]bool{}
	var with, without float64
	for _, p := range All() {
		if names[p.Name()] || p.About() == "" {
			t.Errorf("%q is not told apart", p.Name())
		}
		names[p.Name()] = true
		a, b := play(p, 1, true), play(p, 1, false)
		t.Logf("%s: %.3f, without a limiter %.3f, ideal %.3f", p.Name(), a.Share, b.Share, a.Ideal)
		with += a.Share
		without += b.Share
		if a.Share < b.Share-noise {
			t.Errorf("%s: %.3f with the limiter, %.3f without", p.Name(), a.Share, b.Share)
		}
		if a.Share > a.Ideal {
			t.Errorf("%s: %.3f, more than the ideal %.3f", p.Name(), a.Share, a.Ideal)
		}
	}
	if with <= without {
		t.Errorf("sum %.3f with the limiter, %.3f without", with, without)
	}
}

// TestACalmDayLosesNothing: what a policy loses under a pattern is due to the pattern.
func TestACalmDayLosesNothing(t *testing.T) {
	if r := play(All()[0], 2, true); r.Share < 0.995 || r.Refused > 0 || r.Ideal < 0.999 {
		t.Errorf("%+v", r)
	}
}

// TestPatternsShareNothing: a deployment may be changed without the next one.
func TestPatternsShareNothing(t *testing.T) {
	for _, p := range All() {
		d := p.Deployment()
		d.Kinds[0].Turns, d.Engine.Slots = 99, 1
		if again := p.Deployment(); again.Kinds[0].Turns == 99 || again.Engine.Slots == 1 {
			t.Errorf("%s is changed by who plays it", p.Name())
		}
	}
}
