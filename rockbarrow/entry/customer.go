// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/rockbarrow/quota"
)

// denialFreshness is how recently the table must have been confirmed as the newest one to deny an unknown key. It is
// shorter than the time within which a configuration must apply everywhere, and spans a few of the confirmations, which
// arrive every 0.3 s.
const denialFreshness = 1500 * time.Millisecond

// HasCustomers reports whether the current configuration has customers.
func (e *Entry) HasCustomers() bool { return e.table.Load().CustomerCount() > 0 }

// authenticate determines the request's customer. It returns a non-nil outcome if the request is rejected.
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
		return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: x.entry.retryAfterUnconfirmed(now), Reason: "the key is not known here, which may lag behind", By: StepKey}
	case x.customer == nil:
		return Rejected{Status: http.StatusUnauthorized, Reason: "no customer holds such a key", By: StepKey}
	case !x.entry.hasValidKey(x, now):
		return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: x.entry.retryAfterUnconfirmed(now), Reason: "the key could not be confirmed lately", By: StepKey}
	}
	return nil
}

// hasValidKey reports whether a request may be sent to an endpoint under its customer's key, by the table that it was
// routed by or by the current one.
func (e *Entry) hasValidKey(x *exchange, now time.Time) bool {
	if x.customer == nil || e.Lease.Valid(now, x.table.Version()) {
		return true
	}
	t := e.table.Load()
	c, ok := t.CustomerByKey(x.request.Key)
	return ok && c.GetName() == x.customer.GetName() && e.Lease.Valid(now, t.Version())
}

// retryAfterUnconfirmed returns the retry delay for a client rejected because keys are not confirmed.
func (e *Entry) retryAfterUnconfirmed(now time.Time) time.Duration {
	if e.isPartitioned() {
		return e.retryElsewhere(now)
	}
	return longRetryAfter
}

// chargeQuota charges the request to its customer's quota. It returns a non-nil outcome if the quota is used up.
func (x *exchange) chargeQuota(ctx context.Context) Outcome {
	if x.customer == nil {
		return nil
	}
	firstTurn := x.mayBeFirstTurn()
	x.askStores = firstTurn && x.handling.reserved && !x.handling.history && x.request.Program != ""
	start := time.Now()
	d := x.entry.Quota.AdmitRequest(ctx, start, x.customer, x.quotaRequest(start, firstTurn && !x.askStores))
	x.ownTime += time.Since(start)
	x.entry.recordCustomerMetrics(x.customer.GetName(), d)
	o := quotaOutcome(d)
	x.charge, x.charged = d.(quota.Granted)
	x.firstTurn = firstTurn && !x.askStores
	return o
}

// quotaRequest returns the request as the quota needs it.
func (x *exchange) quotaRequest(now time.Time, firstTurn bool) quota.Request {
	r := quota.Request{NewProgram: firstTurn}
	if x.request.Program != "" {
		r.Program = xxhash.Sum64String(x.request.Program)
	}
	if firstTurn {
		r.Need = x.entry.needs.Need(now, x.route.GetName())
		if x.request.HasTimeToFinish {
			r.TimeToFinish = max(time.Millisecond, x.request.TimeToFinish-now.Sub(x.request.Arrived))
		}
	}
	return r
}

// checkNewProgram checks whether a new program may start, once the stores have been asked whether the request's program
// is new. The request is charged already. It returns a non-nil outcome if the program is refused.
func (x *exchange) checkNewProgram(ctx context.Context) Outcome {
	if !x.askStores || x.grant.Endpoint().EndpointID != "" {
		return nil
	}
	x.firstTurn = true
	start := time.Now()
	d := x.entry.Quota.AdmitProgram(ctx, start, x.customer, x.quotaRequest(start, true), x.charge)
	x.ownTime += time.Since(start)
	o := quotaOutcome(d)
	x.charge, x.charged = d.(quota.Granted)
	if o != nil {
		x.entry.recordCustomerMetrics(x.customer.GetName(), d)
	}
	return o
}

// quotaOutcome returns the outcome of a request that is not admitted, or nil.
func quotaOutcome(d quota.Decision) Outcome {
	switch d := d.(type) {
	case quota.Refused:
		reason := "the customer is at its limit"
		if d.Committed {
			reason = "the customer's programs in progress need the rest of its limit"
		}
		return Rejected{Status: http.StatusTooManyRequests, RetryAfter: max(d.RetryAfter, shortRetryAfter), Reason: reason, By: StepQuota}
	case quota.Unavailable:
		return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: longRetryAfter, Reason: "the customer's limit could not be looked up", By: StepQuota}
	}
	return nil
}

// mayBeFirstTurn reports whether the request is the first turn of a new program, as far as this instance knows. On routes
// with stored history, later turns name the previous one, and sub-agents' first turns that of their parent. On others, the
// stores may know the program.
func (x *exchange) mayBeFirstTurn() bool {
	return x.handling.streamed && x.request.PreviousTurn == "" && x.request.LastEventID == "" && !x.entry.sessions.hasProgram(x.request.Program)
}

// settleQuota returns the charge of a request that was not executed. Others are counted to measure the needs of programs.
func (x *exchange) settleQuota() {
	now := time.Now()
	switch {
	case !x.charged:
	case !x.mayHaveRun:
		x.entry.Quota.Refund(now, x.customer, x.charge)
		if x.charge.HasCommitment() {
			x.entry.background.Go(x.runEndProgram)
		}
	case x.handling.streamed:
		x.entry.needs.RecordTurn(now, x.route.GetName(), x.firstTurn, x.request.TimeToFinish)
	case x.request.Program != "" || x.request.HasTimeToFinish:
		x.entry.needs.RecordToolCall(now)
	}
}

// runEndProgram tells control that the request, a first turn, has not run. The client's response does not wait for it.
func (x *exchange) runEndProgram() {
	x.entry.Quota.EndProgram(context.Background(), x.customer, x.charge)
}

const (
	// routePriorities is the number of route priorities within each customer priority, on the endpoints' scale.
	routePriorities = 3
	// lowestEndpointPriority is the least urgent priority that endpoints support.
	lowestEndpointPriority = 9
)

// priority returns the request's priority in this instance's queues. The customer's priority outranks the route's.
func (x *exchange) priority() uint32 {
	const levels = 1 << 8
	return min(x.customer.GetPriority(), levels)*levels + min(x.route.GetPriority(), levels-1)
}

// endpointPriority returns the request's priority on the endpoints' scale.
func (x *exchange) endpointPriority() uint32 {
	if x.customer == nil {
		return x.route.GetPriority()
	}
	return min(x.customer.GetPriority(), lowestEndpointPriority)*routePriorities + min(x.route.GetPriority(), routePriorities-1)
}

// recordCustomerMetrics counts a quota decision for a customer.
func (e *Entry) recordCustomerMetrics(customer string, d quota.Decision) {
	name := "customer_requests"
	switch d.(type) {
	case quota.Refused:
		name = "customer_refused"
	case quota.Unavailable:
		name = "customer_unsure"
	}
	e.customerScopes.get(e.Metrics, "customer", customer).Counter(name).Inc(1)
}
