// SPDX-License-Identifier: MIT

package soak

import (
	"slices"
	"time"
)

// failures names the processes that ended by themselves, at any moment, and the promises on configurations that operators and probes saw
// broken.
func (f *fleet) failures() []string {
	v := f.operations.Judge(judgeWithin)
	if v.Undecided {
		f.ledger.Count("histories of operators without a verdict")
	}
	f.seen.Store(&v.Seen)
	out := v.Violations
	for _, in := range slices.Concat(f.all(), f.replaced, f.retired) {
		out = append(out, in.failures()...)
	}
	return out
}

// counts returns what was counted, with the stalls of the machine.
func (f *fleet) counts() map[string]int {
	out := f.ledger.Counts()
	f.watchdog.mu.Lock()
	defer f.watchdog.mu.Unlock()
	out["stalls of the machine"] = len(f.watchdog.stalls)
	if after := f.readAfter.Load(); after > 0 {
		out["ms until the configuration was read after the last fault"] = int(time.Duration(after).Milliseconds())
	}
	if v := f.afterLoss.Load(); v != nil {
		out["turns continued after the final loss"] = v.Asked
		out["turns continued after the final loss that reached an endpoint"] = v.Reached
		out["turns continued after the final loss while others were not served"] = v.Unserved
		out["turns continued after the final loss that reached an endpoint and got no whole answer"] = v.Unanswered
		out["first turns after the final loss"] = v.FirstAsked
		out["first turns after the final loss that reached an endpoint"] = v.FirstReached
		out["ms until a continued turn reached an endpoint"] = int(v.Earliest.Milliseconds())
		out["ms until the last continued turn reached an endpoint"] = int(v.Longest.Milliseconds())
	}
	if s := f.seen.Load(); s != nil {
		out["ms of the longest time until a version was in force"] = int(s.Lag.Milliseconds())
		out["answers judged by the version in force"] = s.Judged
		out["answers judged on added routes"] = s.Added
		out["requests that ran into their time limit"] = s.Limited
		out["requests without an answer half a second after their time limit"] = s.Late
	}
	return out
}
