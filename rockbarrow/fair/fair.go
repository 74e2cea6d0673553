// SPDX-License-Identifier: MIT

// Package fair implements start-time fair queueing among customers with weights.
//
// Each customer has a virtual time: the work that it has received, divided by its weight. The customer with the lowest
// virtual time is served next. A customer that was idle starts at the virtual clock, the start tag of the last served
// request, so that idle customers accumulate no credit.
package fair

// VirtualClock is the virtual time of a queue. The zero value is ready to use.
type VirtualClock struct{ now float64 }

// StartTag returns the start tag of a customer's next request, given the customer's virtual time.
func (c *VirtualClock) StartTag(virtual float64) float64 { return max(virtual, c.now) }

// Advance moves the clock to the start tag of a request that is served.
func (c *VirtualClock) Advance(virtual float64) { c.now = max(c.now, virtual) }

// Passed reports whether a virtual time is not ahead of the clock. The state of an idle customer with such a time need
// not be kept.
func (c *VirtualClock) Passed(virtual float64) bool { return virtual <= c.now }

// FinishTag returns a customer's virtual time after some work. A weight of 0 counts as 1.
func FinishTag(virtual, work, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	return virtual + work/weight
}
