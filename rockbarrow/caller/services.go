// SPDX-License-Identifier: MIT

package caller

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// serviceIdle ends a one-call run that was created and never called.
	serviceIdle = 10 * 60 * 1000
	// serviceSequence is the only sequence of a one-call run.
	serviceSequence = 1
)

// service calls a plain service. The request id makes a run of one call on the
// same journals, so that one place remembers whether it ran.
func (s *Server) service(q *request) *peerpb.Problem {
	name := q.r.PathValue("service")
	v, ok := q.snapshot.Service(name)
	if !ok {
		return problem.New(problem.NotFound, "there is no such service")
	}
	body, p := q.body()
	if p != nil {
		return p
	}
	key, p := q.key()
	if p != nil {
		return p
	}
	if key == "" && !v.GetRepeatable() {
		return problem.New(problem.BadRequest, HeaderKey+": is needed, as the service's calls may not be repeated")
	}
	run, p := q.serviceRun(v, key)
	if p != nil {
		return p
	}
	turn := &peerpb.Turn{
		Sequence:    serviceSequence,
		RequestId:   key,
		Repeatable:  v.GetRepeatable(),
		ServiceBody: body,
		EntryDomain: s.Domain,
	}
	if key == "" {
		turn.RequestId = randomKey()
	}
	final, p := q.final(&peerpb.DoRequest{Run: run, Customer: q.customer.GetName(), Body: &peerpb.DoRequest_Turn{Turn: turn}})
	if p != nil {
		return p
	}
	q.w.Header().Set(HeaderRun, run)
	q.w.Header().Set("Content-Type", "application/json")
	if final.GetReplayed() {
		q.w.Header().Set("Rockbarrow-Replayed", "true")
	}
	q.w.WriteHeader(int(or(final.GetAnswered().GetStatus(), http.StatusOK)))
	q.w.Write([]byte(final.GetAnswered().GetContent()))
	return nil
}

// serviceRun creates, or finds, the run of a service call.
func (q *request) serviceRun(v *configpb.Service, key string) (string, *peerpb.Problem) {
	b, p := q.mayEnter(v.GetBinding())
	if p != nil {
		return "", p
	}
	if q.server.Stop.late() {
		return "", stopRefusal(key)
	}
	if key != "" {
		key = "service-" + v.GetName() + "-" + key
	}
	run, p := q.server.Homes.NewRunID(q.customer.GetName(), key, b)
	if p != nil {
		return "", p
	}
	created := &recordpb.Created{
		Run:           run,
		Program:       v.GetName(),
		Customer:      q.customer.GetName(),
		Binding:       v.GetBinding(),
		Service:       v.GetName(),
		Repeatable:    v.GetRepeatable(),
		MaxCalls:      1,
		IdleMs:        serviceIdle,
		ConfigVersion: q.snapshot.Version(),
	}
	_, p = q.view(&peerpb.DoRequest{
		Run:      run,
		Customer: q.customer.GetName(),
		Body:     &peerpb.DoRequest_Create{Create: &peerpb.Create{Created: created, Keyed: key != ""}},
	})
	return run, p
}

func randomKey() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
