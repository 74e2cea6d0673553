// SPDX-License-Identifier: MIT

// Package placement chooses the endpoint of a call.
//
// The allowed places come first: an endpoint outside the binding's failure
// domains is not even a candidate. Among the candidates the least cost wins,
// in milliseconds: the work in front of the call, the prompt that the
// endpoint's cache lacks, the answer at the endpoint's present speed, and a
// price for context that some allowed endpoint already holds and would be
// computed again. Two weights say what the time and the waste are worth.
//
// A [Fleet] is an index of the endpoints of one configuration version. It
// never changes; what moves are the atomics of its [Endpoint] values, so that a
// choice takes no lock:
//
//	choice, ok := fleet.Choose(now, placement.Request{Class: class, Prompt: 900}, r)
//	if ok {
//		defer choice.Endpoint().Done(now, placement.Result{OK: true})
//	}
package placement
