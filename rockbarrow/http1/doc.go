// SPDX-License-Identifier: MIT

// Package http1 checks what the servers of HTTP/1.x connections send, before net/http parses it.
//
// net/http accepts heads that the protocol does not allow, among them names that contain blanks, whose fields it neither understands nor
// drops, and statuses below 100. [Scanner] refuses them.
//
// The parser of net/http takes any end of a connection for the end of a body without a length. It has no way to know that the connection
// was reset: the system reports a reset once, to a reader or to a writer, and the other one sees an end. [Reader] asks how the writer
// fared before it reports an end.
package http1
