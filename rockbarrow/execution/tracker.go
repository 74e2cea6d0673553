// SPDX-License-Identifier: MIT

// Package execution tracks which requests are in progress at which endpoints, so that an endpoint that ends can be
// connected with the requests that it was executing.
package execution

import (
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/quarantine"
)

const (
	// lostFor is how long an execution without a known outcome is remembered: the endpoint's end may become known
	// only when it leaves the list.
	lostFor = 6 * time.Second
	// unresolvedFor is the same where the endpoint answers nobody, unless it answers or its end becomes known before.
	unresolvedFor = 10 * time.Minute
	// failedFor is how long after an error response the endpoint's end belongs to the same failure.
	failedFor = time.Second
	// maxLost bounds the remembered executions of one endpoint, at a few times its usual slots.
	maxLost = 256
)

// Result is how an execution ended.
type Result int

// The results. An execution is Lost if the response broke off or did not come, Abandoned if the client left, and Failed if the
// endpoint answered with an error of its own.
const (
	Running Result = iota
	Completed
	NotExecuted
	Lost
	Abandoned
	Failed
)

func (r Result) String() string {
	return [...]string{"running", "completed", "not executed", "lost", "abandoned", "failed"}[r]
}

// remembered returns how long the endpoint's end may still belong to an execution with this result.
func (r Result) remembered() time.Duration {
	switch r {
	case Lost, Abandoned:
		return lostFor
	case Failed:
		return failedFor
	}
	return 0
}

// Request is a request that is executed. Its methods are safe for concurrent use.
type Request interface {
	RequestID() string
	// Program and Route describe the request for operators.
	Program() string
	Route() string
	Keys() quarantine.Keys
}

// Execution is one request at one endpoint.
type Execution struct {
	request  Request
	endpoint incarnation.ID
	start    time.Time

	// The tracker's mu guards the fields below.

	// participant is set once the execution is over without an outcome; request is nil then.
	participant Participant
	result      Result
	// end is when the execution was over.
	end time.Time
	// unresolved is true while the endpoint answers nobody.
	unresolved bool
	// endpointEnded is true once the end of the endpoint was connected with the execution.
	endpointEnded bool
	basis         Basis
}

// remembered returns how long the endpoint's end may still belong to an execution that is over.
func (x *Execution) remembered() time.Duration {
	if x.unresolved {
		return unresolvedFor
	}
	return x.result.remembered()
}

// Basis is what an instance rested on when it sent a request.
type Basis struct {
	// Granted is true if a control instance granted the execution. Otherwise the request was not suspected.
	Granted bool
	// KnownEnds is how many endpoints this instance knew to have ended under the request.
	KnownEnds int
}

// Participant is a request that was in progress at an endpoint that ended.
type Participant struct {
	RequestID string
	Program   string
	Route     string
	Keys      quarantine.Keys
	// Endpoint is the incarnation that ended.
	Endpoint incarnation.ID
	// Exposure is how long it had been in progress there, until End: the loss of its response, or now.
	Exposure time.Duration
	End      time.Time
}

// Tracker holds the executions of one instance. The zero value is ready to use.
type Tracker struct {
	mu sync.Mutex
	// byEndpoint holds the executions that are running or were lost lately, by the endpoint's id.
	byEndpoint map[string][]*Execution
}

// Begin records that a request is sent to an endpoint.
func (t *Tracker) Begin(now time.Time, r Request, endpoint incarnation.ID) *Execution {
	x := &Execution{request: r, endpoint: endpoint, start: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byEndpoint == nil {
		t.byEndpoint = map[string][]*Execution{}
	}
	t.byEndpoint[endpoint.EndpointID] = append(t.byEndpoint[endpoint.EndpointID], x)
	return x
}

// SetBasis records what an execution rests on.
func (t *Tracker) SetBasis(x *Execution, b Basis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.basis = b
}

// SetUnresolved records that the endpoint of an execution answers nobody.
func (t *Tracker) SetUnresolved(x *Execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.unresolved = true
}

// Resolve records that an endpoint answers, which shows that executions did not end it.
func (t *Tracker) Resolve(endpoint incarnation.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.byEndpoint[endpoint.EndpointID] {
		if x.endpoint.Matches(endpoint) {
			x.unresolved = false
		}
	}
}

// Finish records the result of an execution, once.
func (t *Tracker) Finish(now time.Time, x *Execution, r Result) {
	var p Participant
	if r.remembered() > 0 {
		p = x.participantAt(now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x.result, x.end, x.participant, x.request = r, now, p, nil
	t.compact(now, x.endpoint.EndpointID)
}

// participantAt describes an execution that is running or has just ended.
func (x *Execution) participantAt(now time.Time) Participant {
	r := x.request
	return Participant{
		RequestID: r.RequestID(), Program: r.Program(), Route: r.Route(), Keys: r.Keys(),
		Endpoint: x.endpoint, Exposure: now.Sub(x.start), End: now,
	}
}

// compact drops the executions of an endpoint whose outcome is known or which are too old; the caller holds mu.
func (t *Tracker) compact(now time.Time, endpoint string) {
	list := t.byEndpoint[endpoint]
	kept, lost := list[:0], 0
	for i := len(list) - 1; i >= 0; i-- {
		if x := list[i]; x.result != Running {
			lost++
		}
	}
	for _, x := range list {
		if x.result == Running {
			kept = append(kept, x)
			continue
		}
		if now.Sub(x.end) < x.remembered() && lost <= maxLost && !x.endpointEnded {
			kept = append(kept, x)
			continue
		}
		lost--
	}
	clear(list[len(kept):])
	if len(kept) == 0 {
		delete(t.byEndpoint, endpoint)
		return
	}
	t.byEndpoint[endpoint] = kept
}

// EndpointEnded returns the requests that were in progress at incarnations of an endpoint that ended, and that no earlier call
// returned. The current incarnation, if any, goes on. Requests that completed there are not among them.
func (t *Tracker) EndpointEnded(now time.Time, endpoint string, current *incarnation.ID) []Participant {
	return t.claimParticipants(now, endpoint, func(x *Execution) bool { return current == nil || !x.endpoint.Matches(*current) })
}

// EndpointDrained is EndpointEnded for an endpoint that was draining: it returns those that lost their responses.
func (t *Tracker) EndpointDrained(now time.Time, endpoint string) []Participant {
	return t.claimParticipants(now, endpoint, func(x *Execution) bool { return x.result == Lost || x.unresolved })
}

func (t *Tracker) claimParticipants(now time.Time, endpoint string, met func(*Execution) bool) (out []Participant) {
	for _, x := range t.claim(now, endpoint, met) {
		if x.request != nil {
			out = append(out, x.participantAt(now))
			continue
		}
		out = append(out, x.participant)
	}
	return out
}

// claim marks the executions that met an end and returns copies of them.
func (t *Tracker) claim(now time.Time, endpoint string, met func(*Execution) bool) []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compact(now, endpoint)
	var out []Execution
	for _, x := range t.byEndpoint[endpoint] {
		if x.endpointEnded || !met(x) {
			continue
		}
		x.endpointEnded = true
		out = append(out, *x)
	}
	t.compact(now, endpoint)
	return out
}

// Summary describes an execution for logs.
type Summary struct {
	Endpoint string `json:"endpoint"`
	BornMS   uint64 `json:"born_ms"`
	TookMS   int64  `json:"took_ms"`
	Result   string `json:"result"`
	// Ended is true if the endpoint is known to have ended meanwhile.
	Ended bool `json:"ended"`
	// Granted and KnownEnds are those of its [Basis].
	Granted   bool `json:"granted"`
	KnownEnds int  `json:"known_ends"`
}

// Summarize describes executions for logs.
func (t *Tracker) Summarize(list []*Execution) []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Summary
	for _, x := range list {
		out = append(out, Summary{
			Endpoint: x.endpoint.EndpointID, BornMS: x.endpoint.StartMS, TookMS: max(0, x.end.Sub(x.start).Milliseconds()),
			Result: x.result.String(), Ended: x.endpointEnded, Granted: x.basis.Granted, KnownEnds: x.basis.KnownEnds,
		})
	}
	return out
}
