// SPDX-License-Identifier: MIT

// Package durable keeps bytes on a disk that may lose power, stall or fill up.
//
// A [Cell] holds one value in two files that are written in turn, so that a torn
// write spoils only the file that was not needed. A [Log] appends records to
// segments, syncs many records at once, and writes the live records anew when
// the dead ones outweigh them. Each record carries its length and a checksum:
// what lies behind the first broken one was never synced and is dropped.
//
//	l, stop, err := durable.OpenLog(dir, replay)
//	defer stop()
//	err = l.Append(ctx, record) // returns once the record is synced
package durable
