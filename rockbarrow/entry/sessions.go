// SPDX-License-Identifier: MIT

package entry

import (
	"sync"

	"rockbarrow.dev/rockbarrow/incarnation"
)

// maxSessions bounds each of the two generations of remembered sessions, at a few times the
// programs in progress at one instance. An entry takes some 100 bytes.
const maxSessions = 8192

// sessionEndpoints remembers which endpoint served each session last, for programs whose
// history is not stored here: that endpoint has the prompt cached. The zero value is ready
// to use.
type sessionEndpoints struct {
	mu sync.Mutex
	// recent gets new entries. Once full, it replaces older.
	recent, older map[sessionKey]servedTurn
}

// sessionKey identifies a session of a program. An empty session stands for the whole program.
type sessionKey struct{ program, session string }

// servedTurn is the last turn of a session.
type servedTurn struct {
	endpoint incarnation.ID
	// tokens are those of its prompt and answer, which the endpoint has cached.
	tokens uint64
}

// record notes which endpoint served a turn, and the tokens of its prompt and answer.
func (s *sessionEndpoints) record(program, session string, endpoint incarnation.ID, tokens uint64) {
	if program == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recent == nil || len(s.recent) >= maxSessions {
		s.recent, s.older = map[sessionKey]servedTurn{}, s.recent
	}
	// How much of the program's prompt another session starts with is unknown.
	s.recent[sessionKey{program, ""}] = servedTurn{endpoint: endpoint}
	s.recent[sessionKey{program, session}] = servedTurn{endpoint: endpoint, tokens: tokens}
}

// lookup returns the endpoint that served a session last. For a new session it is the last
// endpoint of the program, whose prompt the session starts with. Without either it is fallback.
// The tokens are those of the session's last prompt and answer, 0 if unknown.
func (s *sessionEndpoints) lookup(program, session string, fallback incarnation.ID) (endpoint incarnation.ID, tokens uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := sessionKey{program, session}
	for _, key := range []sessionKey{own, {program, ""}} {
		for _, generation := range []map[sessionKey]servedTurn{s.recent, s.older} {
			t := generation[key]
			switch {
			case t.endpoint.EndpointID == "":
			case key == own:
				return t.endpoint, t.tokens
			default:
				return t.endpoint, 0
			}
		}
	}
	return fallback, 0
}

// isNewSession reports whether other sessions of the program were served here, and this one was not.
func (s *sessionEndpoints) isNewSession(program, session string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return session != "" && s.hasLocked(sessionKey{program, ""}) && !s.hasLocked(sessionKey{program, session})
}

// hasLocked reports whether a session was served; the caller holds mu.
func (s *sessionEndpoints) hasLocked(k sessionKey) bool {
	return s.recent[k].endpoint.EndpointID != "" || s.older[k].endpoint.EndpointID != ""
}

// hasProgram reports whether an endpoint served a turn of the program.
func (s *sessionEndpoints) hasProgram(program string) bool {
	last, _ := s.lookup(program, "", incarnation.ID{})
	return program != "" && last.EndpointID != ""
}
