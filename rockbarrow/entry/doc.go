// SPDX-License-Identifier: MIT

// Package entry is the job of an entry instance: it takes a request, finds its
// service and an endpoint, and answers.
//
// An [Entry] reads the configuration and the list of endpoints through atomic
// pointers, so that a request takes no lock. A turn of a program is reserved on
// the stores before an endpoint hears of it and settled there before its answer
// ends; between the two, only this process knows of it, and a request that may
// have run is never sent again.
//
// The wire is not here: requests come in as [Request], go out through a
// [Sender], and are answered through an [ResponseWriter].
package entry
