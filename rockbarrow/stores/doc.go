// SPDX-License-Identifier: MIT

// Package stores is the client of store instances. Entry instances use it to
// reserve and settle the tokens of turns and to read the history of a program.
//
// A [Client] replicates each record to the program's group of stores and
// proceeds once a quorum has acknowledged it, so that the loss of one store
// adds no latency. Turns are immutable, so recently read turns are cached.
package stores
