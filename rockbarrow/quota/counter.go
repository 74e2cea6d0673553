// SPDX-License-Identifier: MIT

package quota

import (
	"sync"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// Counter is a control instance's count of the requests of all customers. Set the exported field before Begin.
type Counter struct {
	Params Params

	mu    sync.Mutex
	began time.Time
	// customers are those with requests within the window.
	customers map[string]*counted
	// missing is the part of the entry instances that were not heard lately.
	missing float64
}

// counted is what is known of one customer.
type counted struct {
	window window
	// earlier are requests from before this counter began, as limiters have told.
	earlier window
	// promised is when the client that was refused last is to come back.
	promised time.Time
	// refused counts what was refused.
	refused uint64
}

// Begin starts to count. What was let in before is not known: it may have been up to the limit, and goes out
// of the window as time passes.
func (c *Counter) Start(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began, c.customers = now, map[string]*counted{}
}

// of returns a customer's count; the caller holds mu.
func (c *Counter) of(customer string) *counted {
	k := c.customers[customer]
	if k == nil {
		k = &counted{}
		c.customers[customer] = k
	}
	return k
}

// Add counts what an entry instance has let in by itself.
func (c *Counter) Add(now time.Time, uses []*fleetpb.CustomerUse) {
	if c.Params.Window <= 0 || len(uses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range uses {
		k := c.of(u.GetCustomer())
		w := &k.window
		if u.GetEarlier() {
			w = &k.earlier
		}
		w.add(now.Sub(c.began), c.Params.Window, u.GetRequests())
	}
}

// Miss tells which part of the entry instances was not heard lately. They may be cut off, and let in their even
// shares of each limit meanwhile.
func (c *Counter) SetMissingShare(part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.missing = part
}

// used returns how many requests within the window count against a limit; the caller holds mu. Instances that were
// lost can't tell what they had let in before the counter began: that may be as much as was allowed.
func (c *Counter) used(now time.Time, k *counted, limit float64) float64 {
	age := now.Sub(c.began)
	most := limit * (1 - age.Seconds()/c.Params.Window.Seconds())
	earlier := max(most, float64(k.earlier.count(age, c.Params.Window)))
	return earlier + float64(k.window.count(age, c.Params.Window)) + limit*c.missing
}

// Admit lets requests of a customer in, or none of them.
func (c *Counter) Admit(now time.Time, customer *fleetpb.Customer, n uint32, newProgram bool) Decision {
	limit, ok := c.Params.limit(customer)
	if !ok {
		return Granted{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.of(customer.GetName())
	bound := c.Params.bound(limit)
	if newProgram {
		bound = newProgramShare * limit
	}
	if used := c.used(now, k, limit); used > 0 && used+float64(n) > bound {
		k.refused += uint64(n)
		return Refused{RetryAfter: c.retryAfter(now, k, bound-float64(n), customer.GetRequestsPerSecond())}
	}
	k.window.add(now.Sub(c.began), c.Params.Window, n)
	return Granted{}
}

// retryAfter spreads the clients that are refused over the time to come, as fast as the customer's rate allows; the
// caller holds mu.
func (c *Counter) retryAfter(now time.Time, k *counted, left, perSecond float64) time.Duration {
	next := now.Add(k.window.until(now.Sub(c.began), c.Params.Window, left))
	step := time.Duration(float64(time.Second) / perSecond)
	if after := k.promised.Add(step); after.After(next) {
		next = after
	}
	if latest := now.Add(c.Params.Window); next.After(latest) {
		next = latest
	}
	k.promised = next
	return max(0, next.Sub(now))
}

// toldFrom is the part of its limit from which on a customer's count is told. Below it a limiter takes this part for the
// count, so that the many customers far below their limits cost no bytes.
const toldFrom = 0.5

// Counts returns the requests within the window of the customers that have used a good part of their limits, and
// forgets those that have none. Customer returns one by name, or nil.
func (c *Counter) Counts(now time.Time, customer func(name string) *fleetpb.Customer) []*fleetpb.CustomerCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*fleetpb.CustomerCount
	for name, k := range c.customers {
		age := now.Sub(c.began)
		if k.window.count(age, c.Params.Window)+k.earlier.count(age, c.Params.Window) == 0 && (k.refused == 0 || customer(name) == nil) {
			delete(c.customers, name)
			continue
		}
		limit, ok := c.Params.limit(customer(name))
		if !ok {
			continue
		}
		if used := c.used(now, k, limit); used > toldFrom*limit {
			out = append(out, &fleetpb.CustomerCount{Customer: name, Requests: uint32(used)})
		}
	}
	return out
}

// Usage is a customer's use of its quota.
type Usage struct {
	// Requests were let in within the window, and Refused not because of the limit since the counter began.
	Requests uint32
	Refused  uint64
	// Limit is zero if there is no bound.
	Limit float64
}

// Usage returns what a customer has used.
func (c *Counter) Usage(now time.Time, customer *fleetpb.Customer) Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, _ := c.Params.limit(customer)
	k := c.customers[customer.GetName()]
	if k == nil {
		return Usage{Limit: limit}
	}
	age := now.Sub(c.began)
	return Usage{Requests: k.window.count(age, c.Params.Window), Refused: k.refused, Limit: limit}
}
