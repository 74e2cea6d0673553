// SPDX-License-Identifier: MIT

package quota

import (
	"sync"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// Counter counts the requests of all customers on a control instance. Set Params before Start.
type Counter struct {
	Params Params
	// Process is that of the control instance, zero if unknown.
	Process uint64

	mu      sync.Mutex
	started time.Time
	// customers are those with recent requests or refusals.
	customers map[string]*customerCount
	// missing is the fraction of entry instances that have not reported recently.
	missing float64
}

// customerCount is the state of one customer.
type customerCount struct {
	window slidingWindow
	// earlier counts requests admitted before this counter started, as reported by limiters.
	earlier slidingWindow
	// programs are the commitments of new programs that this counter has admitted.
	programs commitments
	// lastRetryAt is the retry time given to the last refused client, and lastProgramRetryAt that given to the last one
	// whose program did not fit beside the commitments.
	lastRetryAt, lastProgramRetryAt time.Time
	refused                         uint64
}

// Start starts counting. The requests admitted before are unknown, and assumed to be at the limit until they leave the
// window.
func (c *Counter) Start(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started, c.customers = now, map[string]*customerCount{}
}

// countOf returns the state of a customer. The caller must hold mu.
func (c *Counter) countOf(customer string) *customerCount {
	cc := c.customers[customer]
	if cc == nil {
		cc = &customerCount{}
		c.customers[customer] = cc
	}
	return cc
}

// Add counts requests that an entry instance has admitted by itself.
func (c *Counter) Add(now time.Time, uses []*fleetpb.CustomerUse) {
	if c.Params.Window <= 0 || len(uses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range uses {
		cc := c.countOf(u.GetCustomer())
		w := &cc.window
		if u.GetEarlier() {
			w = &cc.earlier
		}
		w.add(now.Sub(c.started), c.Params.Window, u.GetRequests())
	}
}

// SetMissingShare sets the fraction of entry instances that have not reported recently. They may be partitioned, and
// admit their even shares of each limit.
func (c *Counter) SetMissingShare(fraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.missing = fraction
}

// effectiveCount returns the requests within the window that count against a limit, including an upper bound of those
// that were admitted before the counter started: lost instances cannot report them. The caller must hold mu.
func (c *Counter) effectiveCount(now time.Time, cc *customerCount, limit float64) float64 {
	age := now.Sub(c.started)
	unknown := limit * c.unknownShare(age)
	earlier := max(unknown, float64(cc.earlier.count(age, c.Params.Window)))
	return earlier + float64(cc.window.count(age, c.Params.Window)) + limit*c.missing
}

// restartHold is how long after its start a counter assumes that the whole limit was used just before. Requests before a
// loss of all instances may have come in its last second, and then leave the window later than an even rate would.
const restartHold = time.Second

// unknownShare returns the fraction of a limit that requests from before the start may still use at an age of the counter.
func (c *Counter) unknownShare(age time.Duration) float64 {
	hold := min(restartHold, c.Params.Window/2)
	return max(0, min(1, float64(c.Params.Window-age)/float64(c.Params.Window-hold)))
}

// Admit admits either all n requests of a customer or none of them.
func (c *Counter) Admit(now time.Time, customer *fleetpb.Customer, n uint32, newProgram bool) Decision {
	return c.AdmitRequest(now, customer, &fleetpb.AdmitRequest{Requests: n, NewProgram: newProgram})
}

// AdmitRequest admits either all requests that an entry instance asks for or none of them. Without requests, it decides
// on a new program whose first request is already counted, or is told that the program has ended.
func (c *Counter) AdmitRequest(now time.Time, customer *fleetpb.Customer, req *fleetpb.AdmitRequest) Decision {
	n, newProgram := req.GetRequests(), req.GetNewProgram()
	limit, ok := c.Params.limit(customer)
	if !ok {
		return Granted{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.countOf(customer.GetName())
	if req.GetEnded() {
		cc.programs.cancel(c.Params.Window, req.GetProgram())
		return Granted{}
	}
	allowed := c.Params.counterLimit(limit)
	if newProgram {
		allowed = newProgramShare * limit
	}
	age, used := now.Sub(c.started), c.effectiveCount(now, cc, limit)
	if n == 0 {
		used = max(0, used-1)
	}
	var refused *Refused
	if added := float64(max(1, n)); used > 0 && used+added > allowed {
		refused = &Refused{RetryAfter: c.retryAfter(now, cc, allowed-added, customer.GetRequestsPerSecond())}
	} else if newProgram && !c.fits(now, cc, req, limit) {
		refused = &Refused{RetryAfter: c.programRetryAfter(now, cc, limit, neededRequests(req), customer.GetRequestsPerSecond()), Committed: true}
	}
	if refused != nil {
		cc.refused += uint64(max(1, n))
		if n == 0 && c.Process != 0 && req.GetCountedBy() == c.Process {
			refused.Uncounted = cc.window.remove(age, c.Params.Window)
		}
		return *refused
	}
	cc.window.add(age, c.Params.Window, n)
	if newProgram {
		finish := time.Duration(req.GetFinishMs()) * time.Millisecond
		cc.programs.add(age, c.Params.Window, req.GetProgram(), neededRequests(req), n, finish)
	} else {
		cc.programs.use(age, c.Params.Window, req.GetProgram(), n)
	}
	return Granted{}
}

// neededRequests returns the expected number of requests of a new program.
func neededRequests(req *fleetpb.AdmitRequest) float64 { return max(1, float64(req.GetNeed())) }

// fits reports whether a new program fits beside the commitments. Within a window from the start, these are incomplete
// and do not count. The caller must hold mu.
func (c *Counter) fits(now time.Time, cc *customerCount, req *fleetpb.AdmitRequest, limit float64) bool {
	age := now.Sub(c.started)
	cc.programs.advance(age, c.Params.Window)
	return age < c.Params.Window || cc.programs.fits(req.GetProgram(), neededRequests(req), limit)
}

// programRetryAfter returns the retry time for a client whose program does not fit beside the commitments. Successive
// clients get increasing times, at the rate of such programs. The caller must hold mu.
func (c *Counter) programRetryAfter(now time.Time, cc *customerCount, limit, need, perSecond float64) time.Duration {
	next := now.Add(cc.programs.timeUntil(now.Sub(c.started), c.Params.Window, limit-need))
	step := time.Duration(need / perSecond * float64(time.Second))
	next = later(next, cc.lastProgramRetryAt.Add(step))
	if latest := now.Add(c.Params.Window); next.After(latest) {
		next = latest
	}
	cc.lastProgramRetryAt = next
	return max(0, next.Sub(now))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// retryAfter returns the retry time for a refused client. Successive clients get increasing times, at the customer's
// rate. The caller must hold mu.
func (c *Counter) retryAfter(now time.Time, cc *customerCount, left, perSecond float64) time.Duration {
	next := now.Add(cc.window.timeUntil(now.Sub(c.started), c.Params.Window, left))
	step := time.Duration(float64(time.Second) / perSecond)
	if after := cc.lastRetryAt.Add(step); after.After(next) {
		next = after
	}
	if latest := now.Add(c.Params.Window); next.After(latest) {
		next = latest
	}
	cc.lastRetryAt = next
	return max(0, next.Sub(now))
}

// reportThreshold is the fraction of its limit above which a customer's count is sent to limiters, which ask for its new
// programs then. The others are left out, which keeps updates small.
const reportThreshold = 0.25

// Counts returns the request counts of customers above reportThreshold, and removes customers without requests. The
// function customer returns a customer by name, or nil.
func (c *Counter) Counts(now time.Time, customer func(name string) *fleetpb.Customer) []*fleetpb.CustomerCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*fleetpb.CustomerCount
	for name, cc := range c.customers {
		age := now.Sub(c.started)
		if cc.window.count(age, c.Params.Window)+cc.earlier.count(age, c.Params.Window) == 0 && (cc.refused == 0 || customer(name) == nil) {
			delete(c.customers, name)
			continue
		}
		limit, ok := c.Params.limit(customer(name))
		if !ok {
			continue
		}
		if used := c.effectiveCount(now, cc, limit); used > reportThreshold*limit {
			out = append(out, &fleetpb.CustomerCount{Customer: name, Requests: uint32(used)})
		}
	}
	return out
}

// Usage is a customer's use of its quota.
type Usage struct {
	// Requests counts the requests admitted within the window.
	Requests uint32
	// Refused counts the requests refused since the counter started.
	Refused uint64
	// Limit is zero if there is none.
	Limit float64
	// Committed is how many requests the programs admitted within the window are expected to need in all.
	Committed float64
}

// Usage returns the usage of a customer.
func (c *Counter) Usage(now time.Time, customer *fleetpb.Customer) Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, _ := c.Params.limit(customer)
	cc := c.customers[customer.GetName()]
	if cc == nil {
		return Usage{Limit: limit}
	}
	age := now.Sub(c.started)
	cc.programs.advance(age, c.Params.Window)
	return Usage{Requests: cc.window.count(age, c.Params.Window), Refused: cc.refused, Limit: limit, Committed: cc.programs.total}
}
