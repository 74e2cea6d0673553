// SPDX-License-Identifier: MIT

// Package placement chooses the endpoint of a call.
//
// Only endpoints in the binding's failure domains are candidates. The [Cost]
// policy estimates the latency of the call at each candidate, in milliseconds:
// the queued work, the uncached part of the prompt, and the output at the
// measured decoding speed. It adds the time to recompute a prefix that another
// candidate has cached. [Weights] sets the relative weight of the two parts.
//
// A [Fleet] is an immutable index of the endpoints of one configuration
// version. Mutable state is kept in atomic fields of its [Endpoint] values, so
// that choosing takes no lock:
//
//	choice, ok := fleet.Choose(now, placement.Request{Class: class, PromptTokens: 900}, r)
//	if ok {
//		defer choice.Endpoint().Done(now, placement.Result{OK: true})
//	}
package placement
