// SPDX-License-Identifier: MIT

package placement

import "time"

// minOwnSlots is the even share of slots from which on an instance admits new programs by its own slots alone.
// With fewer, chance decides how many programs arrive at each instance.
const minOwnSlots = 4

// sharedQueueShare is the number of calls that may wait at endpoints before new programs are refused, as a fraction of
// the slots. It is less than queueShare, which also serves programs in progress.
const sharedQueueShare = 0.1

// Capacity is what a service's endpoints can take, as one entry instance sees it.
type Capacity struct {
	// Slots is how many calls this instance may have at the endpoints.
	Slots int
	// SharedSlots is the number of slots of all usable endpoints and some places in their queues, SharedInFlight the number of calls there of all
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
	slots, all, own := c.slots, c.slots+c.queueSlots, 0
	remote, reported := f.tracked.reported(now, class.Service)
	used, _ := f.tracked.snapshot()
	for _, e := range used {
		// Only endpoints with calls from this instance can be ejected or unresponsive.
		switch {
		case e.config.GetService() != class.Service || e.config.GetDraining():
		case e.isUsable(at):
			own += int(e.InFlight())
		default:
			n := int(e.maxCalls())
			slots -= n
			all -= n + queueSlots(n)
			remote -= int(e.remote.inFlightAt(at))
		}
	}
	if !reported {
		return Capacity{Slots: min(slots, max(1, all/instances))}
	}
	return Capacity{Slots: min(slots, max(1, all/instances, all-remote)), SharedSlots: slots + int(sharedQueueShare*float64(slots)), SharedInFlight: remote + own, Instances: instances}
}
