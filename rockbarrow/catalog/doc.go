// SPDX-License-Identifier: MIT

// Package catalog keeps versions of the list of endpoints and what leads from one to the next.
//
// A [List] is immutable, ordered by id and named by a checksum that is a sum over its endpoints, so that a change
// costs what it changes. Versions share the endpoints that they have in common: comparing two of them, and applying a
// [fleetpb.ListChange], copies pointers and reads only the endpoints that differ.
//
// A receiver tells the checksum of the list that it holds. It gets a change against that list, or the whole list where
// the sender does not remember it, and applies a change only if the base and the result have the checksums that the
// change names. Nothing is ever applied in part.
package catalog
