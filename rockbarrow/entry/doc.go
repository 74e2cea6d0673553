// SPDX-License-Identifier: MIT

// Package entry implements the request path of an entry instance: it routes a
// client's request to a service, sends it to an endpoint and forwards the response.
//
// An [Entry] reads the routing table and the endpoint list through atomic pointers,
// so requests take no lock for them. The tokens of a turn are reserved on the stores
// before an endpoint gets the request and settled there before its response ends. A
// request that may have been executed is never sent again unless its route allows it.
//
// The package is independent of the wire protocol: requests arrive as [Request], are
// sent through a [Sender] and answered through a [ResponseWriter].
package entry
