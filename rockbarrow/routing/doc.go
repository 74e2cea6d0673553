// SPDX-License-Identifier: MIT

// Package routing decides which service a request belongs to.
//
// A [Table] is one version of the configuration, checked and indexed. It never
// changes, so that requests read it through an atomic pointer without a lock. The next
// version shares with it whatever is the same, so that its cost goes with what changed
// and not with what is configured.
//
// Operators write whole configurations. A control instance makes a table of each
// ([Table.ApplyDocument]) and tells others the change that leads to it ([Update]). A table's digest
// is a sum over its routes and services, so that it too is made of what changed; it
// shows whether a change was applied to the right table and came out whole.
//
// A table also knows the customers and by whom each key is held, of which it has digests only.
package routing
