// SPDX-License-Identifier: MIT

// Package admission queues calls that wait for an endpoint, and rejects calls when
// the queue is too long.
//
// Customers are served by weighted fair queueing. Within a customer, runs in
// progress have priority over new ones, and older runs over younger ones. A call
// that is not expected to be served in time is rejected on arrival with a retry
// time:
//
//	q := admission.Queue{MaxQueue: 512}
//	for _, a := range q.Handle(now, admission.Arrived{ID: 1, Customer: "club"}) {
//		switch a := a.(type) {
//		case admission.Try:
//			// find an endpoint; respond with admission.Placed or admission.NoCapacity
//		case admission.Reject:
//			// report the problem to the caller; the call did not run
//		}
//	}
package admission
