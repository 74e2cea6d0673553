// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
)

const (
	// settleTime is how long after an execution is over it may still end its endpoint: endpoints end late, and an entry instance that was
	// paused gives up late.
	settleTime = 2 * time.Second
	// maxSavedTrial is the longest rest of an execution that may be resolved after its registry was restored, which does not know its end.
	maxSavedTrial = 30 * time.Second
)

// Unresolved is an execution that is over, and whose outcome nobody has reported: its entry instance was lost, or can't tell.
type Unresolved struct {
	Endpoint incarnation.ID
	Asker    string
}

// Unresolved returns the executions that can't end their endpoints any more after now, and whose endpoints report a start time. If one
// answers with the same start time later on, it has not ended, and [Registry.Resolve] is to be called.
func (r *Registry) Unresolved(now time.Time) (out []Unresolved) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A request and its content have a trial each for one execution.
	seen := map[Unresolved]bool{}
	for _, s := range r.suspects {
		for _, t := range s.trials {
			u := Unresolved{Endpoint: t.endpoint, Asker: t.asker}
			if t.isSettled(now) && !seen[u] {
				seen[u] = true
				out = append(out, u)
			}
		}
	}
	return out
}

// isSettled reports whether an endpoint that answers with the same start time has not ended under the execution.
func (t *trial) isSettled(now time.Time) bool {
	return t.endpoint.StartMS != 0 && !t.over.IsZero() && now.After(t.over.Add(settleTime))
}

// Resolve ends an execution that has not ended its endpoint, as the same incarnation answered a request sent at asked.
func (r *Registry) Resolve(asked time.Time, u Unresolved) {
	r.mu.Lock()
	defer r.unlock()
	r.init()
	for key, s := range r.suspects {
		n := len(s.trials)
		counted := s.mayHaveEnded()
		s.trials = slices.DeleteFunc(s.trials, func(t *trial) bool {
			return t.asker == u.Asker && t.endpoint == u.Endpoint && t.isSettled(asked)
		})
		if len(s.trials) == n {
			continue
		}
		r.over[u.Asker] = asked
		if counted {
			r.sequence++
			s.sequence = r.sequence
		}
		if len(s.trials) == 0 && len(s.evidence) == 0 {
			delete(r.suspects, key)
		}
	}
}
