// SPDX-License-Identifier: MIT

package quota

import "time"

// buckets is how many parts a window has. A count is late by one of them at the most.
const buckets = 100

// window counts requests over the last span of time. The zero value is ready.
type window struct {
	// counts are those of the last buckets, one more than the window has, each at its number modulo their length.
	counts [buckets + 1]uint32
	// last is the number of the newest bucket, sum that of all counts.
	last int64
	sum  uint32
}

// number returns the bucket of a time since some beginning.
func number(at, span time.Duration) int64 { return int64(at / (span / buckets)) }

// advance drops what is older than the window.
func (w *window) advance(at, span time.Duration) {
	n := number(at, span)
	if n-w.last > buckets {
		w.counts, w.sum, w.last = [buckets + 1]uint32{}, 0, n
		return
	}
	for w.last < n {
		w.last++
		i := w.last % (buckets + 1)
		w.sum -= w.counts[i]
		w.counts[i] = 0
	}
}

// add counts requests.
func (w *window) add(at, span time.Duration, n uint32) {
	w.advance(at, span)
	w.counts[w.last%(buckets+1)] += n
	w.sum += n
}

// count returns the requests within the window.
func (w *window) count(at, span time.Duration) uint32 {
	w.advance(at, span)
	return w.sum
}

// until returns how long it takes until no more than so many of the requests of now are left.
func (w *window) until(at, span time.Duration, left float64) time.Duration {
	w.advance(at, span)
	sum := float64(w.sum)
	for age := int64(buckets); age >= 0 && sum > left; age-- {
		sum -= float64(w.counts[(w.last-age+buckets+1)%(buckets+1)])
		if sum <= left {
			width := span / buckets
			return time.Duration(w.last-age+buckets+1)*width - at
		}
	}
	return 0
}
