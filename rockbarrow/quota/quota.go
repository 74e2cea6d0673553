// SPDX-License-Identifier: MIT

// Package quota bounds the requests of customers over all entry instances together.
//
// A customer may make so many requests in each span of time, the window: its limit. Some more may run, the overrun,
// which is what estimates may err by. A [Counter] on each control instance counts what was let in anywhere; a [Limiter] on each
// entry instance lets requests in.
//
// The counter lets in up to the limit and a part of the overrun, as it knows. The rest of the overrun is for what it
// does not know yet: a limiter lets in by itself, with each piece of news, an even share of a third of that rest, as it may
// have used three such shares before the counter hears of the first one. So the sum stays below the limit with the overrun
// whatever comes at once, but for shares of less than one request, which are drawn and make up the rest on average.
// Beyond its share a limiter asks one control instance, the same for all limiters while all hear the same instances, and that one
// grants requests one by one.
//
// What a customer has left goes to programs under way first: the first turn of a new program leaves a part of the
// limit free, as a program that has begun is worth more than one that has not.
package quota

import (
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// Terms say how quotas are counted. They are the same for all customers.
type Params struct {
	// Window is the span of time over which requests are counted; zero is no quota at all.
	Window time.Duration
	// Overrun and Slack are how much more than its limit may run of a customer: a part of it, and requests.
	Overrun, Slack float64
}

const (
	// newProgramShare is the part of its limit up to which new programs are let in.
	newProgramShare = 0.9
	// counterShare is the part of the overrun that the counter itself may use, for the width of its buckets and the lag of
	// what limiters tell. The rest is for the shares of limiters.
	counterShare = 0.3
)

// limit returns how many requests of a customer may be let in within the window, or false if there is no bound.
func (t Params) limit(c *fleetpb.Customer) (limit float64, ok bool) {
	if t.Window <= 0 || c.GetRequestsPerSecond() <= 0 {
		return 0, false
	}
	return c.GetRequestsPerSecond()*t.Window.Seconds() + c.GetBurst(), true
}

// most returns how many requests under a limit may run at all.
func (t Params) most(limit float64) float64 { return limit*(1+t.Overrun) + t.Slack }

// bound returns how many requests under a limit the counter lets in.
func (t Params) bound(limit float64) float64 { return limit + counterShare*(t.most(limit)-limit) }

// Decision is what becomes of requests: [Granted], [Refused] or [Unsure].
type Decision interface{ decision() }

// Granted says that requests are let in, and counted.
type Granted struct{}

// Refused says that the customer is at its limit.
type Refused struct {
	// RetryAfter is when there is likely room.
	RetryAfter time.Duration
}

// Unsure says that nobody who knows the counts could be asked.
type Unavailable struct{}

func (Granted) decision()     {}
func (Refused) decision()     {}
func (Unavailable) decision() {}
