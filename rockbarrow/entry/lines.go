// SPDX-License-Identifier: MIT

package entry

import (
	"sync"

	"rockbarrow.dev/rockbarrow/incarnation"
)

// maxLines bounds each of the two generations of lines that are remembered: a few times
// the programs under way at one instance, at some 100 bytes each.
const maxLines = 8192

// lines remembers which endpoint served each line of turns last, for programs whose
// history is not kept here: its endpoint still holds the prompt. The zero value is ready.
type lines struct {
	mu sync.Mutex
	// young takes what is new; once it is full it becomes old, and what was old is
	// forgotten.
	young, old map[line]incarnation.ID
}

// line is a line of turns of a program; an empty name stands for the whole program.
type line struct{ program, name string }

// add notes where a turn was served.
func (l *lines) add(program, name string, endpoint incarnation.ID) {
	if program == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.young == nil || len(l.young) >= maxLines {
		l.young, l.old = map[line]incarnation.ID{}, l.young
	}
	l.young[line{program, name}] = endpoint
	l.young[line{program, ""}] = endpoint
}

// find returns the endpoint that served a line last; for a new line that of its program,
// whose prompt it begins with; or else what others have told.
func (l *lines) find(program, name string, told incarnation.ID) incarnation.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range []line{{program, name}, {program, ""}} {
		for _, m := range []map[line]incarnation.ID{l.young, l.old} {
			if e := m[key]; e.EndpointID != "" {
				return e
			}
		}
	}
	return told
}
