// SPDX-License-Identifier: MIT

// Package document sends documents between processes as differences: configurations as
// operators wrote them ([Cache.PackState]) and lists of endpoints ([Cache.PackList]).
//
// A configuration of a thousand routes is some 250 KB, as is a list of three thousand
// endpoints, and most of their successors differ in one line. Control instances hold the
// configuration's document in force, and all but stores hold that of the list, so what has to
// travel is what changed. Documents are named by their digest: a receiver tells which it holds
// ([Cache.Held]), the sender leaves out a document that is held, makes a difference
// against one that is held, or sends it whole ([Cache.Pack]), and the receiver makes it
// whole again and checks its digest ([Cache.Unpack]). A receiver that tells nothing, such
// as a process of version 0.2.0, gets every document whole.
//
// The invariant: a [fleetpb.State] of a control instance, in memory or on a disk, holds its
// document whole, with its digest. Only messages hold anything else, and nothing of a
// message that can't be made whole is taken over. Entry and store instances have states
// without a document ([WithoutDocument]); what entry instances need of it comes as a
// routing table (package routing).
package document
