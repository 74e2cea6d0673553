// SPDX-License-Identifier: MIT

// Package stores is the client of store instances: an entry instance reserves
// and settles turns through it, and gets the history of a program.
//
// A [Client] calls all stores of a program's group at once and goes on with the
// first majority, so that the loss of a store costs no time. Turns never change,
// so that those seen lately are kept here and fetched from nowhere.
package stores
