// SPDX-License-Identifier: MIT

package emulator

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their simulated times; equal times keep the order
// in which they were asked for. The zero value is ready.
type clock struct {
	now   time.Duration
	n     uint64
	queue timers
}

type timer struct {
	at time.Duration
	n  uint64
	do func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].n < q[j].n
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for package heap.
func (q *timers) Push(x any) { *q = append(*q, x.(timer)) }

// Pop is for package heap.
func (q *timers) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after calls do once d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.n++
	heap.Push(&c.queue, timer{at: c.now + max(0, d), n: c.n, do: do})
}

// run goes on until nothing is left to do or the time is over.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.do()
	}
}

// epoch is when simulated time begins, for code that wants a time of day.
var epoch = time.Unix(1_000_000, 0)

// time returns the simulated time of day.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
