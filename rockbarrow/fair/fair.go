// SPDX-License-Identifier: MIT

// Package fair shares service among customers by their weights.
//
// Each customer has a virtual time: the work that it has had, over its weight. Who is behind the most is served next
// (start-time fair queueing). A customer that was away joins at the clock, the virtual time of who was served last, so
// that nobody saves up service.
package fair

// Clock is the virtual time of one queue. The zero value is ready.
type VirtualClock struct{ now float64 }

// Join returns the virtual time with which a customer that had nothing waiting joins the queue.
func (c *VirtualClock) StartTag(virtual float64) float64 { return max(virtual, c.now) }

// Serve notes that a customer with a virtual time is served.
func (c *VirtualClock) Advance(virtual float64) { c.now = max(c.now, virtual) }

// Behind reports whether a virtual time is not ahead of the clock: a customer with it may be forgotten.
func (c *VirtualClock) Passed(virtual float64) bool { return virtual <= c.now }

// Charge returns a customer's virtual time after some work. A weight of 0 counts as 1.
func FinishTag(virtual, work, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	return virtual + work/weight
}
