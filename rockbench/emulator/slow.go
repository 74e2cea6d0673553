// SPDX-License-Identifier: MIT

package emulator

// Slow lets engines work more slowly for a while.
type Slow struct {
	AtS  float64 `toml:"at_s"`
	ForS float64 `toml:"for_s"`
	// Share of the engines take X times as long for a step.
	Share float64 `toml:"share"`
	X     float64 `toml:"x"`
}

func (s Slow) wrong() bool { return s.Share <= 0 || s.Share > 1 || s.X < 1 || s.ForS <= 0 }

// engines is how many of some engines are slow, one at least.
func (s Slow) engines(of int) int { return max(1, int(s.Share*float64(of))) }

// runSlow plays the slow times of a deployment.
func (w *world) runSlow() {
	for _, s := range w.deployment.Slow {
		slow := w.rand.Perm(len(w.names))[:s.engines(len(w.names))]
		set := func(x float64) func() {
			return func() {
				for _, i := range slow {
					w.engines[w.names[i]].slow = x
				}
			}
		}
		w.clock.after(ms(1000*s.AtS), set(s.X))
		w.clock.after(ms(1000*(s.AtS+s.ForS)), set(1))
	}
}
