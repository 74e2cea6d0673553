// SPDX-License-Identifier: MIT

package durable

import (
	"fmt"
	"sync"

	"rockbarrow.dev/rockbarrow/durable/powerloss"
)

// tracing is set by the linker, to any text, in builds for tests of a loss of power. Processes then note beside each
// data folder what was synced.
var tracing string

// traces are those of the process by directory, as the files of a directory may have several owners.
var (
	tracesMu sync.Mutex
	traces   = map[string]*powerloss.Trace{}
)

// traceOf returns the trace of a directory, or nil if the process notes nothing.
func traceOf(dir string) *powerloss.Trace {
	if tracing == "" {
		return nil
	}
	tracesMu.Lock()
	defer tracesMu.Unlock()
	if traces[dir] == nil {
		t, err := powerloss.Open(dir)
		if err != nil {
			panic(fmt.Sprintf("durable: %v", err))
		}
		traces[dir] = t
	}
	return traces[dir]
}
