// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"rockbarrow.dev/rockbarrow/placement"
)

// maxBlockedShare is the largest fraction of a stream's duration that may be spent writing to the
// client. Beyond, the stream shows the client's speed rather than the endpoint's.
const maxBlockedShare = 0.1

// streamTimer measures the event stream of one attempt.
type streamTimer struct {
	sent time.Time
	// startCount is the number of events from earlier attempts, firstCount that after the first
	// read with an event of this one.
	startCount, firstCount int
	// first and last are when the first and the last events arrived.
	first, last time.Time
	// blocked is the time spent writing to the client before the last event.
	blocked, pending time.Duration
}

// recordEvents notes that events arrived, which makes the given number in all attempts.
func (t *streamTimer) recordEvents(now time.Time, count int) {
	if count == t.startCount {
		return
	}
	if t.first.IsZero() {
		t.first, t.firstCount = now, count
	} else {
		t.blocked += t.pending
	}
	t.last, t.pending = now, 0
}

// recordWritten notes that the events were passed to the client.
func (t *streamTimer) recordWritten(now time.Time) { t.pending = now.Sub(t.last) }

// timing returns the timing of a stream that completed with the given number of events, zero if it
// shows nothing of the endpoint.
func (t *streamTimer) timing(count int, tokensPerEvent uint32) placement.StreamTiming {
	if t.first.IsZero() || tokensPerEvent == 0 {
		return placement.StreamTiming{}
	}
	out := placement.StreamTiming{FirstEvent: t.first.Sub(t.sent)}
	if t.startCount == 0 {
		out.AnswerTokens = int64(count) * int64(tokensPerEvent)
	}
	if took := t.last.Sub(t.first); float64(t.blocked) <= maxBlockedShare*float64(took) {
		out.DecodedTokens, out.DecodeTime = int64(count-t.firstCount)*int64(tokensPerEvent), took
	}
	return out
}
