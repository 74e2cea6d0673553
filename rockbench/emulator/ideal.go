// SPDX-License-Identifier: MIT

package emulator

import (
	"cmp"
	"slices"
	"time"
)

// demand is what one program would take of the engines. Nobody who decides knows it.
type demand struct {
	kind *Kind
	// work is the time of one engine in milliseconds, with a full batch and each prompt read once.
	work           float64
	from, due, end time.Duration
}

// bucket is the span in which the ideal counts the engines' time.
const bucket = 100 * time.Millisecond

// capacity is the free time of all engines in each bucket, in milliseconds.
type capacity []float64

// take uses up a work within a time, the earliest first, or nothing if there is not enough.
func (c capacity) take(work float64, from, until time.Duration) bool {
	first, last := int(from/bucket), min(int(until/bucket), len(c)-1)
	free := 0.0
	for i := first; i <= last; i++ {
		free += c[i]
	}
	if free < work {
		return false
	}
	for i := first; work > 0 && i <= last; i++ {
		n := min(work, c[i])
		c[i] -= n
		work -= n
	}
	return true
}

// ideal is the share of worth that someone earns who knows all lengths: the programs that are worth most for the time
// of an engine come first, whenever there is room before they are due; engines pack perfectly and forget nothing. It
// leaves out that a turn waits for the one before it, so that it is a mark to go by and not to be reached.
func (w *world) ideal() float64 {
	if w.owed == 0 {
		return 0
	}
	free := w.capacity()
	order := slices.Clone(w.demands)
	slices.SortStableFunc(order, func(a, b demand) int { return cmp.Compare(b.kind.Worth/b.work, a.kind.Worth/a.work) })
	var had float64
	for _, d := range order {
		switch {
		case free.take(d.work, d.from, d.due):
			had += d.kind.Worth
		case free.take(d.work, d.from, d.end):
			had += d.kind.LateWorth
		}
	}
	return had / w.owed
}

// capacity is what the engines have, without the time in which they are away or slow.
func (w *world) capacity() capacity {
	d := w.deployment
	c := make(capacity, int((ms(1000*d.Seconds)+drain)/bucket))
	for i := range c {
		at := (time.Duration(i) * bucket).Seconds()
		engines := float64(d.Engine.Count)
		for _, r := range d.Restarts {
			if r.away(at) {
				engines -= float64(r.engines(d.Engine.Count))
			}
		}
		for _, s := range d.Slow {
			if at >= s.AtS && at < s.AtS+s.ForS {
				engines -= float64(s.engines(d.Engine.Count)) * (1 - 1/s.X)
			}
		}
		c[i] = max(0, engines) * float64(bucket.Milliseconds())
	}
	return c
}

// work is the least time of one engine in milliseconds for what is left of a line.
func (l *line) work(e *Engine, context int) float64 {
	var sum float64
	for _, s := range l.left {
		context += s.input
		sum += float64(s.input)/e.ReadPerMS + float64(s.output)*e.perToken(context)
		context += s.output
		for _, b := range s.beside {
			sum += b.work(e, context)
		}
	}
	return sum
}

// perToken is a call's part of a step of a full batch, in milliseconds.
func (e *Engine) perToken(context int) float64 {
	return e.StepMS/e.batch(context) + e.StepPerCallMS + e.StepPerKMS*float64(context)/1000
}

// batch is how many calls of a context run at once: as many as there are places for, and memory.
func (e *Engine) batch(context int) float64 {
	return max(1, min(float64(e.Slots), float64(e.CacheTokens)/float64(max(1, context))))
}
