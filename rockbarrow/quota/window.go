// SPDX-License-Identifier: MIT

package quota

import "time"

// buckets is the number of buckets in a window. Requests expire with a delay of at most one bucket.
const buckets = 100

// slidingWindow counts requests over a sliding window of time. The zero value is ready to use.
type slidingWindow struct {
	// counts is a ring of the newest buckets, indexed by bucket number; one more than a window has.
	counts [buckets + 1]uint32
	// last is the number of the newest bucket, and sum the total of all counts.
	last int64
	sum  uint32
}

// bucketNumber returns the number of the bucket for a time since a common origin.
func bucketNumber(at, span time.Duration) int64 { return int64(at / (span / buckets)) }

// advance removes buckets older than the window.
func (w *slidingWindow) advance(at, span time.Duration) {
	n := bucketNumber(at, span)
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
func (w *slidingWindow) add(at, span time.Duration, n uint32) {
	w.advance(at, span)
	w.counts[w.last%(buckets+1)] += n
	w.sum += n
}

// remove removes one of the newest requests. It reports whether there is one.
func (w *slidingWindow) remove(at, span time.Duration) bool {
	w.advance(at, span)
	for age := range int64(buckets + 1) {
		if n := &w.counts[(w.last-age+buckets+1)%(buckets+1)]; *n > 0 {
			*n--
			w.sum--
			return true
		}
	}
	return false
}

// count returns the requests within the window.
func (w *slidingWindow) count(at, span time.Duration) uint32 {
	w.advance(at, span)
	return w.sum
}

// timeUntil returns the time until enough requests have expired for at most left of them to remain.
func (w *slidingWindow) timeUntil(at, span time.Duration, left float64) time.Duration {
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
