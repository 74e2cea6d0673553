// SPDX-License-Identifier: MIT

// Package limiter is a concurrency limiter with a priority queue for the requests of
// agent programs: it starts them, queues them or rejects them with a retry time.
//
// A program is of use only if all its turns are answered, so admission is by program:
// turns of programs in progress have priority over the first turns of new ones, and a
// new program is rejected as soon as its expected wait is too long. This finishes
// programs that have started and keeps their prompts in the endpoints' caches.
//
// A [Limiter] is a state machine for one service at one instance: [Limiter.Handle] takes
// an event and returns actions. It does no I/O, reads no clock and starts no goroutine.
package limiter
