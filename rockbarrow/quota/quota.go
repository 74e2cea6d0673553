// SPDX-License-Identifier: MIT

// Package quota is a distributed rate limiter: it limits the requests of each customer over all entry instances.
//
// A customer may make a number of requests, its limit, within each window of time. The limit may be exceeded by the
// overrun, which allows for estimates. A [Counter] on each control instance counts the requests admitted by all entry
// instances; a [Limiter] on each entry instance admits requests.
//
// The counter admits requests up to the limit and a part of the overrun. The rest of the overrun covers requests that it
// has not been told of: with each update of the counts, a limiter may admit an even share of a third of that rest by
// itself, because it may use three such shares before the counter learns of the first one. The total therefore stays
// within the limit and the overrun for any load, except that shares of less than one request are rounded randomly and
// add up only on average. Beyond its share, a limiter asks a control instance for each request. All limiters ask the
// same control instance while they can reach the same ones.
//
// Programs in progress have priority: the first turn of a new program must leave a part of the limit free. A new program
// is admitted only if the requests that it is expected to make, its need, fit into the limit beside the needs of the
// programs admitted within the window, its commitments. The counter keeps them, and limiters ask it for new programs.
package quota

import (
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// Params are the parameters of all quotas.
type Params struct {
	// Window is the time over which requests are counted; zero disables quotas.
	Window time.Duration
	// Overrun, as a fraction of the limit, and Slack, in requests, are how far a limit may be exceeded.
	Overrun, Slack float64
}

const (
	// newProgramShare is the fraction of the limit up to which new programs are admitted.
	newProgramShare = 0.9
	// counterShare is the fraction of the overrun used by the counter. It covers the width of buckets and the delay of
	// reports. The rest is shared by the limiters.
	counterShare = 0.3
)

// limit returns the number of requests of a customer allowed within the window, or false if there is no limit.
func (t Params) limit(c *fleetpb.Customer) (limit float64, ok bool) {
	if t.Window <= 0 || c.GetRequestsPerSecond() <= 0 {
		return 0, false
	}
	return c.GetRequestsPerSecond()*t.Window.Seconds() + c.GetBurst(), true
}

// hardLimit returns the limit including the overrun.
func (t Params) hardLimit(limit float64) float64 { return limit*(1+t.Overrun) + t.Slack }

// counterLimit returns the number of requests up to which the counter admits.
func (t Params) counterLimit(limit float64) float64 {
	return limit + counterShare*(t.hardLimit(limit)-limit)
}

// Decision is the result of a request for admission: [Granted], [Refused] or [Unavailable].
type Decision interface{ decision() }

// Granted means that the requests are admitted and counted.
type Granted struct{ charge charge }

// charge tells where a limiter's request is counted.
type charge struct {
	// at is when it was charged, or when the request was whose place it took.
	at time.Time
	// refund is true if the request took the place of another one.
	refund bool
	// control and process are the control instance that counted it, if one did.
	control string
	process uint64
	// allowance is the update that allowed it, if one did.
	allowance *countUpdate
	// withoutControl is true if no control instance could decide.
	withoutControl bool
	// committed is the program to which a control instance has committed a part of the limit with this request, zero
	// if there is none.
	committed uint64
}

// HasCommitment reports whether a control instance must be told with [Limiter.EndProgram] if the request does not run.
func (g Granted) HasCommitment() bool { return g.charge.committed != 0 }

// Refused means that the customer is at its limit.
type Refused struct {
	// RetryAfter is the time until a request is expected to be admitted.
	RetryAfter time.Duration
	// Committed is true if the limit is not used up, but the customer's programs in progress need the rest.
	Committed bool
	// Uncounted is true if the counter no longer counts the first request of the refused program.
	Uncounted bool
}

// Unavailable means that no control instance could decide.
type Unavailable struct{}

func (Granted) decision()     {}
func (Refused) decision()     {}
func (Unavailable) decision() {}
