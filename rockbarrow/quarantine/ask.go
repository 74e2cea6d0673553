// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
)

// Decision is the answer to [Registry.Ask] and [Registry.Lookup]: [Free], [Granted], [Busy], [Occupied], [Held] or [Refused].
type Decision interface{ decision() }

// Free means that no endpoint is known to have ended under the request.
type Free struct{}

// Granted means that the suspect may be sent to the endpoint, and that its outcome must be reported.
type Granted struct{}

// Busy means that the suspect is in progress at as many endpoints as may still end under it.
type Busy struct{}

// Occupied means that another suspect is being tried at the endpoint.
type Occupied struct{}

// Held means that the request is not sent: it has met as many ends as it may, which may be chance, or may have met them. In that
// case, more is known after RetryAfter; otherwise it is zero.
type Held struct{ RetryAfter time.Duration }

// Refused means that the request is not sent any more.
type Refused struct {
	// Key is the refused one.
	Key Key
	// Endpoints are the ended incarnations.
	Endpoints []incarnation.ID
}

func (Free) decision()     {}
func (Granted) decision()  {}
func (Busy) decision()     {}
func (Occupied) decision() {}
func (Held) decision()     {}
func (Refused) decision()  {}

// Lookup returns what is known of a request, without a grant: [Free], [Refused], [Held], or [Busy] for another suspect.
func (r *Registry) Lookup(now time.Time, k Keys) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.suspectsOf(now, k)
	if len(list) == 0 {
		return Free{}
	}
	if s := firstRefused(list); s != nil {
		return s.refusal()
	}
	if isExhausted(list) {
		return Held{}
	}
	return Busy{}
}

// Knowledge is what a registry knows of a request. Of several suspects that it matches, it is the most.
type Knowledge struct {
	// Ends are the endpoints that ended under it, and Trials the executions whose outcome is not known. Lost are those of them that
	// were not granted, as no end was known when they were sent.
	Ends, Trials, Lost int
	// FirstEnd is when the first of the ends, or of the lost executions, was noticed.
	FirstEnd time.Time
}

// note notes an end or a lost execution.
func (k *Knowledge) note(at time.Time) {
	if k.FirstEnd.IsZero() || at.Before(k.FirstEnd) {
		k.FirstEnd = at
	}
}

// Knowledge returns what is known of a request.
func (r *Registry) Knowledge(now time.Time, k Keys) (out Knowledge) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.suspectsOf(now, k) {
		out.Ends, out.Trials = max(out.Ends, len(s.evidence)), max(out.Trials, len(s.trials))
		for _, e := range s.evidence {
			out.note(e.at)
		}
		lost := 0
		for _, t := range s.trials {
			if t.lost {
				lost++
				out.note(t.until)
			}
		}
		out.Lost = max(out.Lost, lost)
	}
	return out
}

// Question asks for a request to be sent to an endpoint.
type Question struct {
	Keys     Keys
	Endpoint incarnation.ID
	// Asker identifies one execution of the client's attempt. If it asks again, it has not begun.
	Asker string
	// Insist is true if the suspect may share the endpoint with others: there may be more suspects than endpoints.
	Insist bool
	// Until is how long other attempts wait for its outcome, and Over when the execution is over at the latest, zero if that is not known.
	Until, Over time.Time
	// Unknown is how many ends may never be known, as instances that may have sent the request are lost, and Uncertain is true if
	// one more may be known later. Neither counts for a request that many clients may send.
	Unknown   int
	Uncertain bool
}

// Ask decides whether a request may be sent to an endpoint. A suspect that is granted must be reported by [Registry.RecordEnd],
// [Registry.Completed] or [Registry.Finish]. Until then it counts like an end, as does one whose instance never reports, unless
// [Registry.Resolve] ends it.
func (r *Registry) Ask(now time.Time, q Question) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.suspectsOf(now, q.Keys)
	if len(list) == 0 {
		return Free{}
	}
	if s := firstRefused(list); s != nil {
		return s.refusal()
	}
	if isExhausted(list) {
		return Held{}
	}
	for _, s := range list {
		// What became of an execution of one client must not stop all others that send the same.
		s.trials = slices.DeleteFunc(s.trials, func(t *trial) bool { return t.asker == q.Asker || s.shared && !now.Before(t.until) })
		if d := s.roomFor(now, q); d != nil {
			return d
		}
	}
	others := r.trialsAt(now, q.Endpoint)
	if len(others) > 0 && !q.Insist {
		return Occupied{}
	}
	for _, t := range others {
		t.alone = false
	}
	r.sequence++
	for _, s := range list {
		s.trials = append(s.trials, &trial{asker: q.Asker, endpoint: q.Endpoint, until: q.Until.Add(trialSlack), over: q.Over, alone: len(others) == 0})
		s.sequence = r.sequence
	}
	return Granted{}
}

// Finish ends the trial of a request at an endpoint whose outcome says nothing, or all its trials there if asker is empty. A
// later trial at another endpoint goes on.
func (r *Registry) Finish(now time.Time, k Keys, endpoint incarnation.ID, asker string) {
	r.mu.Lock()
	defer r.unlock()
	r.init()
	r.over[asker] = now
	for _, key := range k.all() {
		if s := r.suspects[key]; s != nil {
			if s.mayHaveEnded() {
				r.sequence++
				s.sequence = r.sequence
			}
			s.trials = slices.DeleteFunc(s.trials, func(t *trial) bool {
				return t.endpoint.Matches(endpoint) && (asker == "" || t.asker == asker)
			})
			if len(s.trials) == 0 && len(s.evidence) == 0 {
				delete(r.suspects, key)
			}
		}
	}
}

// Expire ends the time of a trial that is over, and at whose endpoint nobody can tell what became of it.
func (r *Registry) Expire(now time.Time, k Keys, endpoint incarnation.ID, asker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range k.all() {
		s := r.suspects[key]
		if s == nil {
			continue
		}
		for _, t := range s.trials {
			if t.endpoint.Matches(endpoint) && t.asker == asker && now.Before(t.until) {
				t.until = now
			}
			if t.endpoint.Matches(endpoint) && t.asker == asker && now.Before(t.over) {
				t.over = now
			}
		}
	}
}

func firstRefused(list []*suspect) *suspect {
	for _, s := range list {
		if !s.refusedAt.IsZero() {
			return s
		}
	}
	return nil
}

// isExhausted reports whether a suspect has met as many ends as it may.
func isExhausted(list []*suspect) bool {
	return slices.ContainsFunc(list, func(s *suspect) bool { return s.count() >= MaxEnds })
}

// roomFor returns nil if the suspect may be sent to one more endpoint, even if each of its trials ends one and, unless many
// clients send it, all ends that may be unknown have happened.
func (s *suspect) roomFor(now time.Time, q Question) Decision {
	met := s.count() + len(s.trials)
	if !s.shared {
		met += q.Unknown
	}
	switch {
	case met+1 < MaxEnds, met < MaxEnds && (s.shared || !q.Uncertain):
		return nil
	case slices.ContainsFunc(s.trials, func(t *trial) bool { return now.Before(t.until) }):
		return Busy{}
	case met < MaxEnds, slices.ContainsFunc(s.trials, func(t *trial) bool { return t.lost }):
		return Held{RetryAfter: uncertainRetry}
	}
	return Held{}
}

// trialsAt returns the trials at an endpoint; the caller holds mu.
func (r *Registry) trialsAt(now time.Time, endpoint incarnation.ID) (out []*trial) {
	for _, s := range r.suspects {
		for _, t := range s.trials {
			if now.Before(t.until) && t.endpoint.Matches(endpoint) {
				out = append(out, t)
			}
		}
	}
	return out
}
