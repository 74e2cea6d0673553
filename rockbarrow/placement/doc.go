// SPDX-License-Identifier: MIT

// Package placement chooses the endpoint of a call.
//
// If the call has a binding, only endpoints in its failure domains are candidates.
// The entry path uses no bindings: there the candidates are the endpoints of the
// service. The [Cost] policy estimates the latency of the call at each candidate,
// in milliseconds:
// the queued work, the uncached part of the prompt, and the output at the
// measured decoding speed. It adds the time to recompute a prefix that another
// candidate has cached. [Weights] sets the relative weight of the two parts.
// The [Spread] policy keeps a run on its last endpoint while that is available
// and healthy, and otherwise chooses the least loaded of a few. While the
// endpoints of a service are known to decode at different speeds, it compares
// the expected times of the call instead, and a new session of a program starts
// elsewhere if that takes considerably less time.
//
// A [Fleet] is an immutable index of the endpoints of one configuration
// version or of one endpoint list. Mutable state is kept in atomic fields of its
// [Endpoint] values, so that choosing takes no lock:
//
//	choice, ok := fleet.Choose(now, placement.Request{Class: class, PromptTokens: 900}, r)
//	if ok {
//		defer choice.Endpoint().Done(now, placement.Result{OK: true})
//	}
package placement
