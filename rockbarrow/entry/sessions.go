// SPDX-License-Identifier: MIT

package entry

import (
	"sync"

	"rockbarrow.dev/rockbarrow/incarnation"
)

// maxSessions bounds each of the two generations of remembered sessions. An entry takes
// some 100 bytes.
const maxSessions = 8192

// sessionEndpoints remembers which endpoint served each session last, for programs whose
// history is not stored here: that endpoint has the prompt cached. The zero value is ready
// to use.
type sessionEndpoints struct {
	mu sync.Mutex
	// recent gets new entries. Once full, it replaces older.
	recent, older map[sessionKey]incarnation.ID
}

// sessionKey identifies a session of a program. An empty session stands for the whole program.
type sessionKey struct{ program, session string }

// record notes which endpoint served a turn.
func (s *sessionEndpoints) record(program, session string, endpoint incarnation.ID) {
	if program == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recent == nil || len(s.recent) >= maxSessions {
		s.recent, s.older = map[sessionKey]incarnation.ID{}, s.recent
	}
	s.recent[sessionKey{program, session}] = endpoint
	s.recent[sessionKey{program, ""}] = endpoint
}

// lookup returns the endpoint that served a session last. For a new session it is the last
// endpoint of the program, whose prompt the session starts with. Without either it is fallback.
func (s *sessionEndpoints) lookup(program, session string, fallback incarnation.ID) incarnation.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range []sessionKey{{program, session}, {program, ""}} {
		for _, generation := range []map[sessionKey]incarnation.ID{s.recent, s.older} {
			if e := generation[key]; e.EndpointID != "" {
				return e
			}
		}
	}
	return fallback
}

// hasProgram reports whether an endpoint served a turn of the program.
func (s *sessionEndpoints) hasProgram(program string) bool {
	return program != "" && s.lookup(program, "", incarnation.ID{}).EndpointID != ""
}
