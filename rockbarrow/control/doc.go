// SPDX-License-Identifier: MIT

// Package control decides and indexes the configuration.
//
// # Deciding
//
// Operators send commands. A [Leader] writes the control journal; it gives each
// command one outcome, stores it, and answers a resend of the same command id
// with the first outcome. A command names the version that its operator saw; of
// two that name the same version one is accepted and the other learns of the
// winner.
//
// # Using
//
// Every instance keeps a [Snapshot], an index of one whole version. It never
// changes and is swapped by an atomic pointer, so that a request reads it
// without a lock:
//
//	s := control.NewSnapshot(doc)
//	p, ok := s.Program("coach")
//	b, ok := s.Binding(p.GetBinding())
//	ok = b.Allows("east")
package control
