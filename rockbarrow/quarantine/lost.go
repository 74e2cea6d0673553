// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

// LostExecution is an execution that was not granted and is over without a known outcome, at an endpoint that answers nobody.
type LostExecution struct {
	Keys     Keys
	Endpoint incarnation.ID
	Service  string
	// Asker identifies the execution.
	Asker string
	// Program and Route describe the request for operators.
	Program, Route string
}

// RecordLost records executions, each of which counts like a trial until [Registry.RecordEnd] or [Registry.Finish] tells its outcome.
// Those of requests that many clients may send are ignored.
func (r *Registry) RecordLost(now time.Time, list []LostExecution) {
	r.mu.Lock()
	defer r.unlock()
	r.init()
	for _, l := range list {
		_, cleared := r.cleared[l.Keys.Request]
		if _, over := r.over[l.Asker]; cleared || over || l.Keys.Shared {
			continue
		}
		s := r.suspectOf(now, l.Keys.Request)
		s.service, s.program, s.route = l.Service, l.Program, l.Route
		r.addLost(now, s, &trial{asker: l.Asker, endpoint: l.Endpoint, until: now, over: now, lost: true})
	}
	r.evict(now)
}

// addLost adds a lost execution unless its outcome is known; the caller holds mu.
func (r *Registry) addLost(now time.Time, s *suspect, lost *trial) {
	known := func(t *trial) bool { return t.asker == lost.asker }
	if slices.ContainsFunc(s.trials, known) || s.hasEvidence(evidence{endpoint: lost.endpoint}) || len(s.trials) >= maxEvidence {
		return
	}
	s.trials = append(s.trials, lost)
	s.updated = now
	if s.mayHaveEnded() {
		r.touch(now, s)
	}
}

// lostNews returns the lost executions in another registry's message that may be new here; the caller holds mu.
func (r *Registry) lostNews(p *fleetpb.Suspect, key Key) (out []*fleetpb.SuspectTrial) {
	if _, cleared := r.cleared[key]; cleared {
		return nil
	}
	for _, t := range p.GetTrials() {
		if _, over := r.over[t.GetAsker()]; t.GetLost() && !over {
			out = append(out, t)
		}
	}
	return out
}

// mergeLost adds lost executions that another registry knows; the caller holds mu.
func (r *Registry) mergeLost(now time.Time, s *suspect, list []*fleetpb.SuspectTrial) {
	for _, t := range list {
		at := before(now, t.GetLostAgeMs())
		r.addLost(now, s, &trial{asker: t.GetAsker(), endpoint: trialEndpoint(t), until: at, over: at, lost: true})
	}
}

func trialEndpoint(t *fleetpb.SuspectTrial) incarnation.ID {
	return incarnation.ID{EndpointID: t.GetEndpoint(), StartMS: t.GetBornMs()}
}

// Proto returns the message for a lost execution.
func (l LostExecution) Proto() *fleetpb.LostExecution {
	return &fleetpb.LostExecution{
		Keys: l.Keys.Proto(), Endpoint: l.Endpoint.EndpointID, BornMs: l.Endpoint.StartMS, Service: l.Service, Asker: l.Asker, Program: l.Program, Route: l.Route,
	}
}

// Suspect returns the message that has the execution as all that is known of its request.
func (l LostExecution) Suspect() *fleetpb.Suspect {
	return &fleetpb.Suspect{
		Key: l.Keys.Request[:], Service: l.Service, Program: l.Program, Route: l.Route,
		Trials: []*fleetpb.SuspectTrial{{Endpoint: l.Endpoint.EndpointID, BornMs: l.Endpoint.StartMS, Asker: l.Asker, Lost: true}},
	}
}

// LostFromProto reads lost executions. Those whose keys are malformed are skipped.
func LostFromProto(list []*fleetpb.LostExecution) (out []LostExecution) {
	for _, p := range list {
		k, err := KeysFromProto(p.GetKeys())
		if err != nil {
			continue
		}
		out = append(out, LostExecution{
			Keys: k, Endpoint: incarnation.ID{EndpointID: p.GetEndpoint(), StartMS: p.GetBornMs()}, Service: p.GetService(), Asker: p.GetAsker(),
			Program: p.GetProgram(), Route: p.GetRoute(),
		})
	}
	return out
}
