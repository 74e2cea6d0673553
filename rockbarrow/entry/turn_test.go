// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// TestATurnThatCannotBeStoredEndsWithItsTimeLimit guards against responses that wait for stores up to a second beyond the time limit
// of their route.
func TestATurnThatCannotBeStoredEndsWithItsTimeLimit(t *testing.T) {
	arrived := time.Now()
	const limit = 4 * time.Second
	for _, test := range []struct {
		name           string
		deadline, done time.Duration
		want           time.Duration
	}{
		{"early", limit, time.Second, limit},
		{"just before the limit", limit, limit - 10*time.Millisecond, limit + maxOverrun},
		{"a second before the limit", limit, limit - time.Second, limit},
		{"the client's deadline is near", 2 * time.Second, 1990 * time.Millisecond, 2990 * time.Millisecond},
		{"the client's deadline and the limit are near", limit - 100*time.Millisecond, limit - 110*time.Millisecond, limit + maxOverrun},
	} {
		x := &exchange{
			entry:   &Entry{},
			request: &Request{Arrived: arrived}, route: &fleetpb.Route{TimeoutMs: uint32(limit.Milliseconds())}, deadline: arrived.Add(test.deadline),
		}
		if got := x.settleDeadline(arrived.Add(test.done)).Sub(arrived); got != test.want {
			t.Errorf("%s: settling ends after %v, want %v", test.name, got, test.want)
		}
	}
}
