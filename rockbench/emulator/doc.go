// SPDX-License-Identifier: MIT

// Package emulator plays agent programs against model engines in simulated time, so that
// ways to admit and place their turns can be compared in seconds.
//
// It steps the product's own code: a [limiter.Limiter] and a [placement.Fleet] at each entry
// instance, which hear of each other's calls late. Engines, tools and clients are models: an
// engine runs a batch whose step time grows with its size and context, reads prompts in
// pieces between steps, and keeps prefixes in the memory that running calls leave. A
// [Deployment] and a seed decide everything, so that a run repeats exactly.
package emulator
