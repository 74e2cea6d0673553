// SPDX-License-Identifier: MIT

// Package document encodes documents as differences for transfer between processes:
// configurations as operators wrote them ([Cache.PackState]) and lists of endpoints
// ([Cache.PackList]).
//
// Documents are large, and successive versions differ little. They are identified by
// their digests. A receiver reports which documents it holds ([Cache.Held]). The
// sender omits a document that the receiver holds, sends a difference against a
// common base, or sends it whole ([Cache.Pack]). The receiver decodes the document
// and verifies its digest ([Cache.Unpack]). A receiver that reports nothing, such as
// a process of version 0.2.0, gets every document whole.
//
// In memory and on disk, a [fleetpb.State] of a control instance always contains its
// whole document and digest. Only messages contain differences, and a state that
// cannot be decoded is discarded. States of entry and store instances contain no
// document ([WithoutDocument]); entry instances receive a routing table instead
// (package routing).
package document
