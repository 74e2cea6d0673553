// SPDX-License-Identifier: MIT

// Package routing decides which service a request belongs to.
//
// A [Table] is one version of the configuration, validated and indexed. It is
// immutable, so that requests read it through an atomic pointer without a lock.
// Versions share unchanged parts, so that an update costs time proportional to what
// changed.
//
// Operators write whole configurations. A control instance builds a table from each
// ([Table.ApplyDocument]) and sends the change to other instances, which apply it to
// their own table ([Update]). A table's digest is computed incrementally and shows
// whether a change was applied to the right table and completely.
//
// A table also maps digests of keys to the customers that hold them.
package routing
