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
	// lastRetryAt is the retry time given to the last refused client.
	lastRetryAt time.Time
	refused     uint64
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
	unknown := limit * (1 - age.Seconds()/c.Params.Window.Seconds())
	earlier := max(unknown, float64(cc.earlier.count(age, c.Params.Window)))
	return earlier + float64(cc.window.count(age, c.Params.Window)) + limit*c.missing
}

// Admit admits either all n requests of a customer or none of them. With n = 0, it decides on a new program whose first
// request is already counted.
func (c *Counter) Admit(now time.Time, customer *fleetpb.Customer, n uint32, newProgram bool) Decision {
	limit, ok := c.Params.limit(customer)
	if !ok {
		return Granted{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.countOf(customer.GetName())
	allowed := c.Params.counterLimit(limit)
	if newProgram {
		allowed = newProgramShare * limit
	}
	used := c.effectiveCount(now, cc, limit)
	if n == 0 {
		used = max(0, used-1)
	}
	if added := float64(max(1, n)); used > 0 && used+added > allowed {
		cc.refused += uint64(max(1, n))
		return Refused{RetryAfter: c.retryAfter(now, cc, allowed-added, customer.GetRequestsPerSecond())}
	}
	cc.window.add(now.Sub(c.started), c.Params.Window, n)
	return Granted{}
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

// reportThreshold is the fraction of its limit above which a customer's count is sent to limiters. Limiters assume this
// fraction for all others, which keeps updates small.
const reportThreshold = 0.5

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
	return Usage{Requests: cc.window.count(age, c.Params.Window), Refused: cc.refused, Limit: limit}
}
