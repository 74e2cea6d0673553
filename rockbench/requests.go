// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbench/requestlog"
)

// runRequests prints how the requests in a log ended, what went wrong with programs, how
// instances started, how configurations came into force, which requests were in progress at
// endpoints that ended, which turns were lost, and which were refused in all their tries; "-" is standard input.
func runRequests(out io.Writer, file string) error {
	b, err := readLog(file)
	if err != nil {
		return errors.Wrap(err, "requests")
	}
	var table requestlog.Table
	var programs requestlog.Programs
	var lives requestlog.Lives
	var ends requestlog.Ends
	var turns requestlog.Turns
	var continued requestlog.Continued
	err = requestlog.Read(bytes.NewReader(b), func(l requestlog.Line) {
		table.Add(l)
		programs.Add(l)
		ends.Add(l)
		turns.Add(l)
		continued.Add(l)
	})
	if err != nil {
		return err
	}
	err = requestlog.ReadUnread(bytes.NewReader(b), continued.Add)
	if err != nil {
		return err
	}
	var versions requestlog.Versions
	err = requestlog.ReadEvents(bytes.NewReader(b), func(e requestlog.Event) {
		lives.Add(e)
		versions.Add(e)
		ends.AddEvent(e)
		turns.AddEvent(e)
	})
	if err != nil {
		return err
	}
	for _, t := range []interface{ Write(io.Writer) error }{&table, &programs, &lives, &versions, &ends, &turns, &continued} {
		if err := t.Write(out); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	return nil
}

func readLog(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}
