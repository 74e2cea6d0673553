// SPDX-License-Identifier: MIT

// Package membership decides which stores hold records and which control instances vote.
//
// A [Planner] looks at who was heard and makes one step at a time: the first view, the
// replacement of a store that is lost, emptied or wanted away, the end of a move, another
// voter. It does no I/O and reads no clock; package controller proposes its steps to the
// register. [CheckRetire] tells whether operators may empty a store.
package membership
