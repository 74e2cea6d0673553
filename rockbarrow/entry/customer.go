// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"time"

	"rockbarrow.dev/rockbarrow/quota"
)

// confirmedWithin is how lately the table must have been the newest one for a request to be denied by it: less than the
// time within which a configuration must be in force everywhere, and a few of the confirmations that come each 0.3 s.
const denialFreshness = 1500 * time.Millisecond

// HasCustomers reports whether the configuration in force has customers, whose quotas every control instance counts.
func (e *Entry) HasCustomers() bool { return e.table.Load().CustomerCount() > 0 }

// identify finds out whose request it is. It returns what the client hears if the request may not go on.
func (x *exchange) authenticate() Outcome {
	now := time.Now()
	if x.request.HasKey {
		x.customer, _ = x.table.CustomerByKey(x.request.Key)
	}
	switch {
	case !x.route.GetKeyed():
		if x.customer != nil && !x.entry.hasValidKey(x, now) {
			x.customer = nil
		}
		return nil
	case x.customer == nil && !x.entry.Lease.WasNewestWithin(now, x.table.Version(), denialFreshness):
		return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: x.entry.retryAfterUnconfirmed(now), Reason: "the key is not known here, which may lag behind"}
	case x.customer == nil:
		return Rejected{Status: http.StatusUnauthorized, Reason: "no customer holds such a key"}
	case !x.entry.hasValidKey(x, now):
		return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: x.entry.retryAfterUnconfirmed(now), Reason: "the key could not be confirmed lately"}
	}
	return nil
}

// hasValidKey reports whether a request may still be offered to an endpoint under its customer's key: by the table that it
// came under or by the one in force.
func (e *Entry) hasValidKey(x *exchange, now time.Time) bool {
	if x.customer == nil || e.Lease.Valid(now, x.table.Version()) {
		return true
	}
	t := e.table.Load()
	c, ok := t.CustomerByKey(x.request.Key)
	return ok && c.GetName() == x.customer.GetName() && e.Lease.Valid(now, t.Version())
}

// retryAfterUnconfirmed is when a client had better come back that was refused because keys could not be confirmed.
func (e *Entry) retryAfterUnconfirmed(now time.Time) time.Duration {
	if e.isPartitioned() {
		return e.retryElsewhere(now)
	}
	return longRetryAfter
}

// chargeQuota counts the request against its customer's quota. It returns what the client hears if there is no room.
func (x *exchange) chargeQuota(ctx context.Context) Outcome {
	if x.customer == nil {
		return nil
	}
	begun := time.Now()
	d := x.entry.Quota.Admit(ctx, begun, x.customer, x.isFirstTurn())
	x.ownTime += time.Since(begun)
	x.entry.recordCustomerMetrics(x.customer.GetName(), d)
	switch d := d.(type) {
	case quota.Refused:
		return Rejected{Status: http.StatusTooManyRequests, RetryAfter: max(d.RetryAfter, shortRetryAfter), Reason: "the customer is at its limit"}
	case quota.Unavailable:
		return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: longRetryAfter, Reason: "the customer's limit could not be looked up"}
	}
	x.charged = true
	return nil
}

// isFirstTurn reports whether the request is the first turn of a new program.
func (x *exchange) isFirstTurn() bool {
	return x.handling.streamed && x.request.PreviousTurn == "" && x.request.LastEventID == ""
}

// refundQuota lets another request in if this one certainly did not run.
func (x *exchange) refundQuota() {
	if x.charged && !x.mayHaveRun {
		x.entry.Quota.Refund(time.Now(), x.customer)
	}
}

const (
	// routePriorities is how many priorities of routes there are for each priority of customers in what endpoints
	// are told.
	routePriorities = 3
	// leastUrgent is the last of the ten priorities that endpoints know.
	lowestEndpointPriority = 9
)

// priority is how urgent the request is among those that wait here: the customer's priority goes before that of the
// route.
func (x *exchange) priority() uint32 {
	const routes = 1 << 8
	return min(x.customer.GetPriority(), routes)*routes + min(x.route.GetPriority(), routes-1)
}

// endpointPriority is the same for endpoints, on their scale.
func (x *exchange) endpointPriority() uint32 {
	if x.customer == nil {
		return x.route.GetPriority()
	}
	return min(x.customer.GetPriority(), lowestEndpointPriority)*routePriorities + min(x.route.GetPriority(), routePriorities-1)
}

// countCustomer counts what became of a request of a customer.
func (e *Entry) recordCustomerMetrics(customer string, d quota.Decision) {
	name := "customer_requests"
	switch d.(type) {
	case quota.Refused:
		name = "customer_refused"
	case quota.Unavailable:
		name = "customer_unsure"
	}
	e.customers.get(e.Metrics, "customer", customer).Counter(name).Inc(1)
}
