// SPDX-License-Identifier: MIT

// Package limiter decides which requests of agent programs may be at endpoints now,
// which of them wait, and which are told at once when to come back.
//
// A program earns nothing unless all its turns are answered, so it is programs that are
// admitted: a turn of one that is under way goes before the first turn of a new one, and
// a new one is rejected as soon as it is clear that it would wait too long. So what is
// begun is finished, and the prompts of programs under way stay in the endpoints' caches.
//
// A [Limiter] is a state machine for one service at one instance: [Limiter.Handle] takes
// an event and returns what is to be done. It does no I/O, reads no clock and starts no
// goroutine.
package limiter
