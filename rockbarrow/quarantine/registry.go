// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
)

const (
	// MaxEnds is how many endpoints may end under one request.
	MaxEnds = 3
	// minSenders is how many senders of one content must have met an end before the content itself is a suspect.
	minSenders = 2
	// suspectTTL is how long a suspect is remembered after its last end. After that, a new build or another endpoint gets a
	// chance.
	suspectTTL = 10 * time.Minute
	// uncertainRetry is when to ask again for a request that is not sent because an end may be unknown.
	uncertainRetry = time.Second
	// restartTime is the least time in which an endpoint is back. Until then, an endpoint that is ending may accept connections
	// and reset them.
	restartTime = 500 * time.Millisecond
	// trialSlack is how long the outcome of a trial is waited for beyond the request's deadline.
	trialSlack = time.Second
	// maxSuspects, maxEnds and maxCleared bound the memory, at some hundred bytes each, and maxEvidence that of one suspect.
	maxSuspects, maxEnds, maxCleared = 4096, 1024, 4096
	maxEvidence                      = 16
)

// End reports that an incarnation of an endpoint ended while requests were in progress there.
type End struct {
	Endpoint incarnation.ID
	Service  string
	// ServiceEndpoints is the number of endpoints of the service, zero if it is not known.
	ServiceEndpoints int
	// At is when the end was noticed.
	At           time.Time
	Participants []Participant
}

// firstStart returns when the first of the participants was sent to the endpoint.
func (e End) firstStart() time.Time {
	at := e.At
	for _, p := range e.Participants {
		if start := e.At.Add(-p.Exposure); start.Before(at) {
			at = start
		}
	}
	return at
}

// Participant is a request that was in progress at an endpoint that ended.
type Participant struct {
	Keys Keys
	// Exposure is how long the request had been in progress.
	Exposure time.Duration
	// Program and Route describe the request for operators.
	Program, Route string
}

// suspect is a request or content under which endpoints ended.
type suspect struct {
	key     Key
	content bool
	// shared is true if several may send it at a time. Content always is.
	shared  bool
	service string
	// program and route are those of the last report.
	program, route string
	evidence       []evidence
	// trials are the executions whose outcome is not known yet: those that were granted, and lost ones.
	trials []*trial
	// refusedAt is when the request was refused first, zero if it is not refused.
	refusedAt time.Time
	updated   time.Time
	// sequence is that of the last change.
	sequence uint64
}

// evidence is one end of an endpoint under a suspect.
type evidence struct {
	endpoint incarnation.ID
	at       time.Time
	exposure time.Duration
	// sender tells the senders of one content apart.
	sender uint64
	// alone is true if no other suspect was being tried at the endpoint.
	alone bool
	// granted is true if the execution was granted when the request was suspected already.
	granted bool
	// explained is true if another request is refused for the end.
	explained bool
}

// trial is one execution of a suspect.
type trial struct {
	// asker is the attempt that it was granted to.
	asker    string
	endpoint incarnation.ID
	// until is how long other attempts wait for the outcome, and over when the execution is over at the latest, zero if that is not known.
	until, over time.Time
	// alone is true if there was no other trial at the endpoint.
	alone bool
	// lost is true if it was not granted, as no end was known then.
	lost bool
}

// ended is an incarnation that ended.
type ended struct {
	id               incarnation.ID
	service          string
	serviceEndpoints int
	at               time.Time
	participants     map[Key]bool
	// explained is true if the end counts against no other key than causedBy: that of a refused request, or zero for an end
	// that turned out to be none.
	explained bool
	causedBy  Key
}

// clearance is the news that a key is no longer suspected.
type clearance struct {
	at       time.Time
	sequence uint64
}

// Registry holds suspects. The zero value is ready to use. Its methods are safe for concurrent use.
type Registry struct {
	// Follower is true for a copy that refuses only what another registry does. Set it before the first call.
	Follower bool

	// size is the number of suspects.
	size atomic.Int64

	mu       sync.Mutex
	suspects map[Key]*suspect
	// ends holds recent ends by the endpoint's id.
	ends     map[string][]*ended
	endCount int
	cleared  map[Key]clearance
	// over holds when executions were over, by their askers, so that late news don't bring them back.
	over map[string]time.Time
	// sequence numbers the changes of suspects.
	sequence uint64
}

// Verdict is the judgement of a suspect under which [MaxEnds] endpoints ended.
type Verdict struct {
	Key Key
	// Refused is true if the suspect is refused. Otherwise its ends may be chance, with a probability of Chance, or Rival is true:
	// another request was in progress at all these endpoints.
	Refused bool
	Chance  float64
	Rival   bool
	// Unexplained is how many of the ends no other refused request explains.
	Unexplained int
}

// RecordEnd records an end, and returns the verdicts that follow from it.
func (r *Registry) RecordEnd(now time.Time, e End) []Verdict {
	r.mu.Lock()
	defer r.unlock()
	r.init()
	known := r.endOf(e)
	var touched []*suspect
	for _, p := range e.Participants {
		for i, key := range p.Keys.all() {
			known.participants[key] = true
			if c, ok := r.cleared[key]; ok && c.at.After(e.At) {
				continue
			}
			s := r.suspectOf(now, key)
			s.content, s.shared = i > 0, i > 0 || p.Keys.Shared
			s.service, s.program, s.route = e.Service, p.Program, p.Route
			r.addEvidence(now, s, evidence{endpoint: known.id, at: known.at, exposure: p.Exposure, sender: p.Keys.Request.sender(), explained: known.explained && known.causedBy != key})
			touched = append(touched, s)
		}
	}
	out := r.judgeAll(now, touched)
	r.evict(now)
	return out
}

// addEvidence adds an end to a suspect unless it is known; the caller holds mu.
func (r *Registry) addEvidence(now time.Time, s *suspect, e evidence) {
	if i := slices.IndexFunc(s.trials, func(t *trial) bool { return t.endpoint.Matches(e.endpoint) }); i >= 0 {
		e.alone, e.granted = s.trials[i].alone, !s.trials[i].lost
		s.trials = slices.Delete(s.trials, i, i+1)
	}
	for i, known := range s.evidence {
		if known.isSame(e) {
			s.evidence[i].alone, s.evidence[i].granted = known.alone || e.alone, known.granted || e.granted
			return
		}
	}
	s.evidence = append(s.evidence, e)
	s.evidence = s.evidence[max(0, len(s.evidence)-maxEvidence):]
	r.touch(now, s)
}

// isSame reports whether both are of one end. An endpoint whose start time is unknown may have ended again: an execution that
// began restartTime after the earlier end met a later one.
func (e evidence) isSame(o evidence) bool {
	if !e.endpoint.Matches(o.endpoint) {
		return false
	}
	known := e.endpoint.StartMS != 0 && o.endpoint.StartMS != 0
	return known || e.at.Add(-e.exposure).Before(o.at.Add(restartTime)) && o.at.Add(-o.exposure).Before(e.at.Add(restartTime))
}

// touch notes a change of a suspect; the caller holds mu.
func (r *Registry) touch(now time.Time, s *suspect) {
	r.sequence++
	s.updated, s.sequence = now, r.sequence
}

// Completed clears a request that completed, and identical content with it. A request of one sender that has met [MaxEnds]
// stays: an attempt that began before may complete, and its sender may send it again all the same.
func (r *Registry) Completed(now time.Time, k Keys) {
	r.mu.Lock()
	defer r.unlock()
	for _, key := range k.all() {
		if s := r.suspects[key]; s != nil && !s.shared && s.count() >= MaxEnds {
			continue
		}
		r.clear(now, key)
	}
}

// Clear clears one key, and reports whether it was suspected.
func (r *Registry) Clear(now time.Time, key Key) bool {
	r.mu.Lock()
	defer r.unlock()
	return r.clear(now, key)
}

// clear removes a suspect; the caller holds mu.
func (r *Registry) clear(now time.Time, key Key) bool {
	if r.suspects[key] == nil {
		return false
	}
	delete(r.suspects, key)
	r.sequence++
	r.cleared[key] = clearance{at: now, sequence: r.sequence}
	return true
}

// Empty reports whether there are no suspects. Each request asks it.
func (r *Registry) Empty() bool { return r.Len() == 0 }

// Len returns the number of suspects.
func (r *Registry) Len() int { return int(r.size.Load()) }

// Suspects reports whether a request is suspected.
func (r *Registry) Suspects(now time.Time, k Keys) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.suspectsOf(now, k)) > 0
}

// unlock notes the number of suspects and unlocks mu.
func (r *Registry) unlock() {
	r.size.Store(int64(len(r.suspects)))
	r.mu.Unlock()
}

// suspectsOf returns the suspects that a request matches; the caller holds mu.
func (r *Registry) suspectsOf(now time.Time, k Keys) []*suspect {
	var out []*suspect
	if s := r.suspects[k.Request]; s != nil && !s.isExpired(now) && s.mayHaveEnded() {
		out = append(out, s)
	}
	if s := r.suspects[k.Content]; s != nil && k.HasContent && s.senders() >= minSenders && !s.isExpired(now) {
		out = append(out, s)
	}
	return out
}

// count returns how many ends count against the bound: all, unless several clients may send the request at a time. Of their
// executions that overlapped, and were sent before any end was known, one counts, as each client has met one end. Once as many
// have ended as may, one more execution decides.
func (s *suspect) count() int {
	if !s.shared {
		return len(s.evidence)
	}
	list := slices.SortedFunc(slices.Values(s.evidence), func(a, b evidence) int { return a.at.Compare(b.at) })
	granted, distinct := 0, 0
	var last time.Time
	for _, e := range list {
		switch {
		case e.granted:
			granted++
		case distinct == 0 || !e.at.Add(-e.exposure).Before(last):
			distinct, last = distinct+1, e.at
		}
	}
	if len(list) >= MaxEnds {
		return max(granted+distinct, MaxEnds-1)
	}
	return granted + distinct
}

// mayHaveEnded reports whether an end is known, or executions may have ended as many endpoints as leaves one at the most. A single lost
// execution shows nothing: endpoints that are slow or cut off lose them, too.
func (s *suspect) mayHaveEnded() bool {
	granted := slices.ContainsFunc(s.trials, func(t *trial) bool { return !t.lost })
	return len(s.evidence) > 0 || granted || len(s.trials) >= MaxEnds-1
}

func (s *suspect) isExpired(now time.Time) bool { return now.Sub(s.updated) > suspectTTL }

// senders returns how many senders met an end.
func (s *suspect) senders() int {
	seen := map[uint64]bool{}
	for _, e := range s.evidence {
		seen[e.sender] = true
	}
	return len(seen)
}

func (s *suspect) refusal() Refused {
	out := Refused{Key: s.key}
	for _, e := range s.evidence {
		out.Endpoints = append(out.Endpoints, e.endpoint)
	}
	return out
}

func (r *Registry) init() {
	if r.suspects == nil {
		r.suspects, r.ends, r.cleared, r.over = map[Key]*suspect{}, map[string][]*ended{}, map[Key]clearance{}, map[string]time.Time{}
	}
}

// suspectOf returns the suspect of a key, a new one if there is none; the caller holds mu.
func (r *Registry) suspectOf(now time.Time, key Key) *suspect {
	s := r.suspects[key]
	if s == nil || s.isExpired(now) {
		s = &suspect{key: key, updated: now}
		r.suspects[key] = s
	}
	delete(r.cleared, key)
	return s
}

// endOf returns the record of an end, a new one if there is none; the caller holds mu.
func (r *Registry) endOf(e End) *ended {
	for _, known := range r.ends[e.Endpoint.EndpointID] {
		sameStart := known.id.StartMS != 0 && e.Endpoint.StartMS != 0
		if known.id.Matches(e.Endpoint) && (sameStart || e.firstStart().Before(known.at.Add(restartTime))) {
			if e.At.Before(known.at) {
				known.at = e.At
			}
			known.serviceEndpoints = max(known.serviceEndpoints, e.ServiceEndpoints)
			return known
		}
	}
	out := &ended{id: e.Endpoint, service: e.Service, serviceEndpoints: e.ServiceEndpoints, at: e.At, participants: map[Key]bool{}}
	r.ends[e.Endpoint.EndpointID] = append(r.ends[e.Endpoint.EndpointID], out)
	r.endCount++
	return out
}
