// SPDX-License-Identifier: MIT

// Package quarantine decides which requests are no longer sent to endpoints because endpoints end under them: queries of
// death.
//
// A [Registry] collects which requests were in progress at endpoints that ended, and how they fared elsewhere:
//
//   - A request that was in progress at an endpoint that ended is a suspect. It is identified by its [Key], which is the same for all
//     its attempts. Identical content is a suspect of its own if several senders sent it.
//   - A suspect that completes anywhere is cleared, unless one sender has met [MaxEnds] ends under it.
//   - A suspect is sent only as [Registry.Ask] grants it: to no more endpoints at a time than may still end under it, and if
//     possible to those without other suspects.
//   - A suspect under which [MaxEnds] endpoints ended is not sent any more. It is refused, unless endpoints of the service end so
//     often by themselves that this is likely to be chance: then it is held, which differs in what the client is told. Ends
//     under a refused request are no evidence against others.
//   - What may be an end counts like one: a trial until its outcome is known, an execution at an endpoint that may have fallen silent
//     ([LostExecution]) until the endpoint answers, and one end more if an instance that may have sent the request was lost.
//   - A trial or lost execution whose outcome nobody reports ends nothing if the same incarnation of the endpoint answers after it
//     ([Registry.Resolve]).
//
// A registry does no I/O and reads no clock. Control instances decide; entry instances hold a copy, by which they look up
// requests, and decide alone only if no control instance answers.
package quarantine
