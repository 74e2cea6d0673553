// SPDX-License-Identifier: MIT

package placement

import "time"

// minOwnSlots is the even share of slots from which on an instance admits new programs by its own slots alone.
// With fewer, chance decides how many programs arrive at each instance.
const minOwnSlots = 8

// Capacity is what a service's endpoints can take, as one entry instance sees it.
type Capacity struct {
	// Slots is how many calls this instance may have at the endpoints.
	Slots int
	// SharedSlots is the number of slots of all usable endpoints, SharedInFlight the number of calls there of all
	// instances, and Instances their number. All are zero unless new programs are admitted by them.
	SharedSlots, SharedInFlight, Instances int
}

// Capacity returns the capacity of a service among the given number of instances. An instance with few slots that hears
// nothing of the others' calls gets an even share of the slots.
func (f *Fleet) Capacity(now time.Time, class Class, instances int) Capacity {
	c := f.classes[class]
	if c == nil || c.slots >= minOwnSlots*instances {
		return Capacity{Slots: f.Slots(now, class, instances)}
	}
	at := now.UnixNano()
	used, remotelyLoaded := f.tracked.snapshot()
	slots, all := c.usableSlots(at, class, used)
	if !f.tracked.isReportFresh(now) {
		return Capacity{Slots: min(slots, max(1, all/instances))}
	}
	remote := remoteCalls(at, class, remotelyLoaded)
	out := Capacity{Slots: min(slots, max(1, all/instances, all-remote)), SharedSlots: slots, SharedInFlight: remote, Instances: instances}
	for _, e := range used {
		if e.config.GetService() == class.Service && e.isUsable(at) {
			out.SharedInFlight += int(e.InFlight())
		}
	}
	return out
}

// isReportFresh reports whether the calls of other instances are known.
func (t *trackedEndpoints) isReportFresh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.loadsAt) < remoteStateTTL
}
