// SPDX-License-Identifier: MIT

package soak

import (
	"time"
)

// failures names the processes that ended by themselves, at any moment, and the promises on configurations that operators saw
// broken.
func (f *fleet) failures() []string {
	v := f.operations.Judge(judgeWithin)
	if v.Undecided {
		f.ledger.Count("histories of operators without a verdict")
	}
	out := v.Violations
	for _, in := range append(f.all(), f.replaced...) {
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
	out["ms of the longest time until a version was in force"] = int(time.Duration(f.lag.Load()).Milliseconds())
	if after := f.readAfter.Load(); after > 0 {
		out["ms until the configuration was read after the last fault"] = int(time.Duration(after).Milliseconds())
	}
	out["answers judged by the version in force"] = int(f.judged.Load())
	return out
}

// noteLag records how long an undisturbed instance went on with an older version.
func (f *fleet) noteLag(lag time.Duration) {
	f.judged.Add(1)
	for old := f.lag.Load(); int64(lag) > old && !f.lag.CompareAndSwap(old, int64(lag)); old = f.lag.Load() {
	}
}
