// SPDX-License-Identifier: MIT

// Package control decides on changes of the configuration and indexes it.
//
// # Commands
//
// Operators send commands to a [Leader], which writes the control journal. The
// leader stores one outcome per command id and returns it again if the command
// is resent. A command may name the version that it was based on. Of several
// commands based on the same version, one is accepted and the others get a
// conflict that names the accepted one.
//
// # Snapshots
//
// Every instance holds a [Snapshot], an immutable index of one version. It is
// replaced through an atomic pointer, so that requests read it without a lock:
//
//	s := control.NewSnapshot(doc)
//	p, ok := s.Program("coach")
//	b, ok := s.Binding(p.GetBinding())
//	ok = b.Allows("east")
package control
