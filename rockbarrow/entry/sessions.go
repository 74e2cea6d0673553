// SPDX-License-Identifier: MIT

package entry

import (
	"sync"

	"rockbarrow.dev/rockbarrow/incarnation"
)

// maxLines bounds each of the two generations of lines that are remembered: a few times
// the programs under way at one instance, at some 100 bytes each.
const maxSessions = 8192

// lines remembers which endpoint served each line of turns last, for programs whose
// history is not kept here: its endpoint still holds the prompt. The zero value is ready.
type sessionEndpoints struct {
	mu sync.Mutex
	// young takes what is new; once it is full it becomes old, and what was old is
	// forgotten.
	recent, older map[sessionKey]incarnation.ID
}

// line is a line of turns of a program; an empty name stands for the whole program.
type sessionKey struct{ program, session string }

// add notes where a turn was served.
func (l *sessionEndpoints) record(program, name string, endpoint incarnation.ID) {
	if program == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recent == nil || len(l.recent) >= maxSessions {
		l.recent, l.older = map[sessionKey]incarnation.ID{}, l.recent
	}
	l.recent[sessionKey{program, name}] = endpoint
	l.recent[sessionKey{program, ""}] = endpoint
}

// find returns the endpoint that served a line last; for a new line that of its program,
// whose prompt it begins with; or else what others have told.
func (l *sessionEndpoints) lookup(program, name string, told incarnation.ID) incarnation.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range []sessionKey{{program, name}, {program, ""}} {
		for _, m := range []map[sessionKey]incarnation.ID{l.recent, l.older} {
			if e := m[key]; e.EndpointID != "" {
				return e
			}
		}
	}
	return told
}
