// SPDX-License-Identifier: MIT

// Package catalog implements versions of the list of endpoints and the differences between them.
//
// A [List] is immutable and sorted by id. It is identified by a checksum that is the sum of its
// endpoints' checksums, so that it can be updated in proportion to a change. Versions share the
// endpoints that they have in common: comparing two versions, or applying a [fleetpb.ListChange],
// copies pointers and reads only the endpoints that differ.
//
// A receiver sends the checksum of the list that it holds, and gets a change based on that list, or
// a snapshot if the sender no longer has it. The receiver applies a change only if the checksums of
// the base and of the result match those in the change. A change is never applied in part.
package catalog
