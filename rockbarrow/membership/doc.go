// SPDX-License-Identifier: MIT

// Package membership decides which stores hold records and which control instances vote.
//
// A [Planner] derives the next reconfiguration step from the instances seen lately: the
// first view, the replacement of a lost, wiped or leaving store, the end of a view
// change, or a change of voters. It performs no I/O and reads no clock; package
// controller proposes its steps to the register. [Planner.CheckRetire] tells whether operators
// may retire a store.
package membership
