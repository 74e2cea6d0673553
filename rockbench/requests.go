// SPDX-License-Identifier: MIT

package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbench/requestlog"
)

// runRequests prints how the requests in a log ended; "-" is standard input.
func runRequests(out io.Writer, file string) error {
	in := os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return errors.Wrap(err, "requests")
		}
		defer f.Close()
		in = f
	}
	var table requestlog.Table
	if err := requestlog.Read(in, table.Add); err != nil {
		return err
	}
	return table.Write(out)
}
