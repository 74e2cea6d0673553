// SPDX-License-Identifier: MIT

package durable

import (
	"fmt"
	"sync"

	"rockbarrow.dev/rockbarrow/durable/powerloss"
)

// tracing is set to any text by the linker, in builds for tests of power loss. Processes then record next to each data
// folder what was synced.
var tracing string

// traces holds the traces of this process by directory, since the files of a directory may have several owners.
var (
	tracesMu sync.Mutex
	traces   = map[string]*powerloss.Trace{}
)

// traceOf returns the trace of a directory, or nil if tracing is off.
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

// openTrace returns the trace of a directory if it was opened before, otherwise nil.
func openTrace(dir string) *powerloss.Trace {
	if tracing == "" {
		return nil
	}
	tracesMu.Lock()
	defer tracesMu.Unlock()
	return traces[dir]
}
