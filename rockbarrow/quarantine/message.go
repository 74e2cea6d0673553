// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

// Proto returns the message for the keys of a request.
func (k Keys) Proto() *fleetpb.RequestKeys {
	out := &fleetpb.RequestKeys{Request: k.Request[:], Shared: k.Shared}
	if k.HasContent {
		out.Content = k.Content[:]
	}
	return out
}

// KeysFromProto reads the keys of a request.
func KeysFromProto(p *fleetpb.RequestKeys) (k Keys, err error) {
	if k.Request, err = keyFromBytes(p.GetRequest()); err != nil {
		return Keys{}, err
	}
	k.Shared = p.GetShared()
	if len(p.GetContent()) > 0 {
		k.HasContent = true
		k.Content, err = keyFromBytes(p.GetContent())
	}
	return k, err
}

// Proto returns the message for an end.
func (e End) Proto(now time.Time) *fleetpb.EndpointEnd {
	out := &fleetpb.EndpointEnd{Endpoint: e.Endpoint.EndpointID, BornMs: e.Endpoint.StartMS, Service: e.Service, AgeMs: ageMS(now, e.At)}
	for _, p := range e.Participants {
		out.Participants = append(out.Participants, &fleetpb.EndParticipant{Keys: p.Keys.Proto(), ExposureMs: uint64(max(0, p.Exposure.Milliseconds())), Program: p.Program, Route: p.Route})
	}
	return out
}

// EndFromProto reads an end. Participants whose keys are malformed are an error.
func EndFromProto(now time.Time, p *fleetpb.EndpointEnd, serviceEndpoints int) (End, error) {
	out := End{
		Endpoint: incarnation.ID{EndpointID: p.GetEndpoint(), StartMS: p.GetBornMs()}, Service: p.GetService(),
		ServiceEndpoints: serviceEndpoints, At: before(now, p.GetAgeMs()),
	}
	for _, m := range p.GetParticipants() {
		k, err := KeysFromProto(m.GetKeys())
		if err != nil {
			return End{}, err
		}
		out.Participants = append(out.Participants, Participant{Keys: k, Exposure: milliseconds(m.GetExposureMs()), Program: m.GetProgram(), Route: m.GetRoute()})
	}
	return out, nil
}

// maxAge bounds ages in messages, so that sums of durations don't overflow.
const maxAge = 24 * time.Hour

func milliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}

func before(now time.Time, ageMS uint64) time.Time { return now.Add(-milliseconds(ageMS)) }

func ageMS(now, at time.Time) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }

// Changes returns what changed after a sequence number, and the number of the last change. Requests that only lost executions are
// left out as long as that decides nothing.
func (r *Registry) Changes(now time.Time, since uint64) ([]*fleetpb.Suspect, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since == r.sequence {
		return nil, r.sequence
	}
	var out []*fleetpb.Suspect
	for _, s := range r.suspects {
		if s.sequence > since && !s.isExpired(now) && s.mayHaveEnded() {
			out = append(out, s.proto(now))
		}
	}
	for key, c := range r.cleared {
		if c.sequence > since {
			out = append(out, &fleetpb.Suspect{Key: key[:], Cleared: true, ClearedAgeMs: ageMS(now, c.at)})
		}
	}
	return out, r.sequence
}

// Sequence returns the number of the last change.
func (r *Registry) Sequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence
}

// List returns all suspects, those refused first, then by the number of ends.
func (r *Registry) List(now time.Time) []*fleetpb.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*fleetpb.Suspect
	for _, s := range r.suspects {
		if !s.isExpired(now) {
			out = append(out, r.protoOf(now, s))
		}
	}
	slices.SortFunc(out, func(a, b *fleetpb.Suspect) int {
		return cmp.Or(compareBool(b.GetRefused(), a.GetRefused()), cmp.Compare(len(b.GetEnds()), len(a.GetEnds())), slices.Compare(a.GetKey(), b.GetKey()))
	})
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Of returns the suspects with the keys of a request, content included whoever sent it.
func (r *Registry) Of(now time.Time, k Keys) []*fleetpb.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*fleetpb.Suspect
	for _, key := range k.all() {
		if s := r.suspects[key]; s != nil && !s.isExpired(now) {
			out = append(out, r.protoOf(now, s))
		} else if c, ok := r.cleared[key]; ok {
			out = append(out, &fleetpb.Suspect{Key: key[:], Cleared: true, ClearedAgeMs: ageMS(now, c.at)})
		}
	}
	return out
}

// protoOf returns the message for a suspect, without lost executions if they are another registry's news.
func (r *Registry) protoOf(now time.Time, s *suspect) *fleetpb.Suspect {
	out := s.proto(now)
	if r.Follower {
		out.Trials = slices.DeleteFunc(out.Trials, (*fleetpb.SuspectTrial).GetLost)
	}
	return out
}

func (s *suspect) proto(now time.Time) *fleetpb.Suspect {
	out := &fleetpb.Suspect{Key: s.key[:], Content: s.content, Shared: s.shared, Service: s.service, Program: s.program, Route: s.route}
	if !s.refusedAt.IsZero() {
		out.Refused, out.RefusedAgeMs = true, ageMS(now, s.refusedAt)
	}
	for _, t := range s.trials {
		m := &fleetpb.SuspectTrial{Endpoint: t.endpoint.EndpointID, BornMs: t.endpoint.StartMS, Asker: t.asker, Lost: t.lost}
		if t.lost {
			m.LostAgeMs = ageMS(now, t.until)
		} else if t.over.IsZero() || t.over.Sub(now) > maxSavedTrial {
			// A registry that is restored from this takes it for over by then if the start time is known.
			m.BornMs = 0
		}
		out.Trials = append(out.Trials, m)
	}
	for _, e := range s.evidence {
		out.Ends = append(out.Ends, &fleetpb.SuspectEnd{
			Endpoint: e.endpoint.EndpointID, BornMs: e.endpoint.StartMS, AgeMs: ageMS(now, e.at),
			ExposureMs: uint64(max(0, e.exposure.Milliseconds())), Sender: e.sender, Alone: e.alone, Granted: e.granted,
		})
	}
	return out
}

// Merge adds what another registry knows. If verdicts is true, it decides, and its refusals are adopted; otherwise only its
// evidence is, and decided on here. Malformed keys are skipped.
func (r *Registry) Merge(now time.Time, list []*fleetpb.Suspect, verdicts bool) {
	r.mu.Lock()
	defer r.unlock()
	r.init()
	for _, p := range list {
		if key, err := keyFromBytes(p.GetKey()); err == nil {
			r.merge(now, key, p, verdicts)
		}
	}
	r.evict(now)
}

// Restore adds what an earlier process of this instance knew. The outcome of its trials is not known any more.
func (r *Registry) Restore(savedAt time.Time, list []*fleetpb.Suspect) {
	r.Merge(savedAt, list, true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range list {
		key, err := keyFromBytes(p.GetKey())
		s := r.suspects[key]
		if err != nil || s == nil {
			continue
		}
		for _, t := range p.GetTrials() {
			if !t.GetLost() {
				s.trials = append(s.trials, &trial{asker: t.GetAsker(), endpoint: trialEndpoint(t), until: savedAt, over: savedAt.Add(maxSavedTrial)})
			}
		}
	}
}

// merge adds what another registry knows of a key; the caller holds mu.
func (r *Registry) merge(now time.Time, key Key, p *fleetpb.Suspect, verdicts bool) {
	if p.GetCleared() {
		s, at := r.suspects[key], before(now, p.GetClearedAgeMs())
		if verdicts && s != nil && !s.lastEnd().After(at) {
			r.clear(now, key)
		}
		return
	}
	var news []evidence
	for _, e := range p.GetEnds() {
		at := before(now, e.GetAgeMs())
		id := incarnation.ID{EndpointID: e.GetEndpoint(), StartMS: e.GetBornMs()}
		if c, ok := r.cleared[key]; ok && c.at.After(at) || now.Sub(at) > suspectTTL || r.isExplainedFor(id, key) {
			continue
		}
		news = append(news, evidence{
			endpoint: id, at: at,
			exposure: milliseconds(e.GetExposureMs()), sender: e.GetSender(), alone: e.GetAlone(), granted: e.GetGranted(),
		})
	}
	lost := r.lostNews(p, key)
	if len(news) == 0 && len(lost) == 0 {
		return
	}
	s := r.suspectOf(now, key)
	s.content, s.shared, s.service, s.program, s.route = p.GetContent(), p.GetShared(), p.GetService(), p.GetProgram(), p.GetRoute()
	for _, e := range news {
		r.addEvidence(now, s, e)
	}
	r.mergeLost(now, s, lost)
	if verdicts && p.GetRefused() && s.refusedAt.IsZero() {
		s.refusedAt = before(now, p.GetRefusedAgeMs())
	}
	if !verdicts {
		r.judgeAll(now, []*suspect{s})
	}
}

// isExplainedFor reports whether an end counts against another key or none; the caller holds mu.
func (r *Registry) isExplainedFor(id incarnation.ID, key Key) bool {
	return slices.ContainsFunc(r.ends[id.EndpointID], func(e *ended) bool {
		return e.id.Matches(id) && e.explained && e.causedBy != key
	})
}

// lastEnd returns when the last end was noticed.
func (s *suspect) lastEnd() (at time.Time) {
	for _, e := range s.evidence {
		if e.at.After(at) {
			at = e.at
		}
	}
	return at
}
