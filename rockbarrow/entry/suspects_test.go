// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/fleetpb"
)

// endedProber takes each endpoint that loses a response for ended.
type endedProber struct{}

func (endedProber) Probe(context.Context, *configpb.Endpoint, incarnation.ID, time.Time, int) ProbeResult {
	return ProbeRefused
}

// fakeControl decides like a control instance, unless it is cut off.
type fakeControl struct {
	registry quarantine.Registry
	cutOff   atomic.Bool
	calls    atomic.Int64
}

func (c *fakeControl) ReportEnds(_ context.Context, r *fleetpb.EndReport) ([]*fleetpb.Suspect, error) {
	c.calls.Add(1)
	if c.cutOff.Load() {
		return nil, context.DeadlineExceeded
	}
	now := time.Now()
	for _, p := range r.GetEnds() {
		e, err := quarantine.EndFromProto(now, p, 9)
		if err != nil {
			return nil, err
		}
		c.registry.RecordEnd(now, e)
	}
	for _, p := range r.GetCompleted() {
		k, err := quarantine.KeysFromProto(p)
		if err != nil {
			return nil, err
		}
		c.registry.Completed(now, k)
	}
	for _, p := range r.GetFinished() {
		k, err := quarantine.KeysFromProto(p.GetKeys())
		if err != nil {
			return nil, err
		}
		if !p.GetUnknown() {
			c.registry.Finish(now, k, incarnation.ID{EndpointID: p.GetEndpoint(), StartMS: p.GetBornMs()}, p.GetAsker())
		}
	}
	c.registry.RecordLost(now, quarantine.LostFromProto(r.GetLost()))
	return c.registry.List(now), nil
}

func (c *fakeControl) RequestTrial(_ context.Context, r *fleetpb.TrialRequest) (*fleetpb.TrialReply, error) {
	c.calls.Add(1)
	if c.cutOff.Load() {
		return nil, context.DeadlineExceeded
	}
	now := time.Now()
	k, err := quarantine.KeysFromProto(r.GetKeys())
	if err != nil {
		return nil, err
	}
	d := c.registry.Ask(now, quarantine.Question{Keys: k, Endpoint: incarnation.ID{EndpointID: r.GetEndpoint()}, Asker: r.GetAsker(), Until: now.Add(time.Second)})
	reply := &fleetpb.TrialReply{Decision: fleetpb.TrialReply_DECISION_GRANTED, Suspects: c.registry.Of(now, k)}
	switch d := d.(type) {
	case quarantine.Refused:
		reply.Decision = fleetpb.TrialReply_DECISION_REFUSED
	case quarantine.Busy:
		reply.Decision = fleetpb.TrialReply_DECISION_BUSY
	case quarantine.Held:
		reply.Decision, reply.RetryAfterMs = fleetpb.TrialReply_DECISION_HELD, uint64(d.RetryAfter.Milliseconds())
	}
	return reply, nil
}

// slowReset is an endpoint that ends while it executes a request, and starts again under its id.
func slowReset(r EndpointRequest) (*Response, error) {
	time.Sleep(50 * time.Millisecond)
	return connectionReset(r)
}

// newSuspectEntry returns an entry whose endpoints end under each request that is lost, and that asks control.
func newSuspectEntry(t *testing.T, s Sender, control *fakeControl) *Entry {
	e := newEntry(t, s)
	e.Prober, e.SuspectControl = endedProber{}, control
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); e.runSuspectReports(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return e
}

// serveAttempt serves one attempt of a request, and returns the status.
func serveAttempt(t *testing.T, e *Entry, path, id string) int {
	r := newRequest(path)
	r.ID, r.Program, r.Body = id, "p", []byte("deadly")
	w := &fakeWriter{}
	if o, ok := e.Serve(t.Context(), r, w).(Rejected); ok {
		return o.Status
	}
	return w.status
}

// TestEndsCountOverAttemptsAndInstances guards against a request that is sent on because each attempt, at another instance, begins to
// count anew: it is sent to three endpoints over all, and refused for good then.
func TestEndsCountOverAttemptsAndInstances(t *testing.T) {
	for _, path := range []string{"/repeat/1", "/once/1"} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){slowReset}}
			control := &fakeControl{}
			last := 0
			for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
				// Endpoints are back under their ids by then.
				time.Sleep(time.Second)
				e := newSuspectEntry(t, s, control)
				e.ReceiveSuspects(control.registry.List(time.Now()))
				last = serveAttempt(t, e, path, id)
			}
			if len(s.requests) != quarantine.MaxEnds || last != http.StatusBadRequest {
				t.Errorf("%s: sent to %d endpoints, status %d at last", path, len(s.requests), last)
			}
		})
	}
}

// TestWithoutControlASuspectIsNotSent: an instance that is cut off can't know what others send, and promises that the attempt has
// not run. The end is reported once control is back.
func TestWithoutControlASuspectIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){slowReset}}
		control := &fakeControl{}
		control.cutOff.Store(true)
		e := newSuspectEntry(t, s, control)
		last := 0
		for _, id := range []string{"1", "2", "3", "4", "5"} {
			last = serveAttempt(t, e, "/once/1", id)
		}
		control.cutOff.Store(false)
		time.Sleep(time.Second)
		if control.registry.Len() == 0 {
			t.Error("the end was never reported")
		}
		if len(s.requests) != 1 || last != http.StatusServiceUnavailable {
			t.Errorf("sent to %d endpoints, status %d at last", len(s.requests), last)
		}
	})
}

// TestACompletedSuspectIsCleared guards against asking control for ever about a request that ended nothing.
func TestACompletedSuspectIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){connectionReset, respond(200, "ok")}}
		control := &fakeControl{}
		e := newSuspectEntry(t, s, control)
		if got := serveAttempt(t, e, "/repeat/1", "1"); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		synctest.Wait()
		if !e.suspects.Empty() || !control.registry.Empty() {
			t.Error("still suspected")
		}
		calls := control.calls.Load()
		if got := serveAttempt(t, e, "/repeat/1", "2"); got != http.StatusOK || control.calls.Load() != calls {
			t.Errorf("status %d, %d calls to control", got, control.calls.Load()-calls)
		}
	})
}

// TestAnErrorResponseClearsNoSuspect guards against a request that ends endpoints, and is taken for harmless as one of them
// answered with an error first.
func TestAnErrorResponseClearsNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){slowReset, respond(http.StatusInternalServerError, "panic")}}
		control := &fakeControl{}
		e := newSuspectEntry(t, s, control)
		serveAttempt(t, e, "/once/1", "1")
		if got := serveAttempt(t, e, "/once/1", "2"); got != http.StatusInternalServerError {
			t.Errorf("status %d", got)
		}
		synctest.Wait()
		if control.registry.Empty() || e.suspects.Empty() {
			t.Error("no longer suspected")
		}
	})
}

// TestTheClientWaitsUntilControlKnowsOfAnEnd guards against a next attempt at an instance that knows of no end, as no control
// instance could be told of it.
func TestTheClientWaitsUntilControlKnowsOfAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &fakeControl{}
		control.cutOff.Store(true)
		e := newSuspectEntry(t, &fakeSender{responses: []func(EndpointRequest) (*Response, error){slowReset}}, control)
		const cutOff = 500 * time.Millisecond
		time.AfterFunc(cutOff, func() { control.cutOff.Store(false) })
		start := time.Now()
		serveAttempt(t, e, "/once/1", "1")
		if took := time.Since(start); control.registry.Empty() || took > cutOff+2*reportRetryInterval {
			t.Errorf("answered after %v, known %v", took, !control.registry.Empty())
		}
	})
}

// TestEachExecutionOfAnAttemptIsATrial guards against an attempt whose second execution takes the place of the first one, though it is not
// known what became of that one's endpoint.
func TestEachExecutionOfAnAttemptIsATrial(t *testing.T) {
	x := &exchange{entry: newEntry(t, &fakeSender{}), request: newRequest("/repeat/1")}
	first := x.nextAsker()
	if first != x.nextAsker() {
		t.Error("an execution that has not begun has two names")
	}
	x.dispatches++
	if first == x.nextAsker() {
		t.Error("two executions have one name")
	}
}

// TestNoCallWithoutAnEnd: requests that nothing ended under cost a look-up, also where responses are lost.
func TestNoCallWithoutAnEnd(t *testing.T) {
	s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){connectionReset, respond(200, "ok")}}
	control := &fakeControl{}
	e := newSuspectEntry(t, s, control)
	e.Prober = nil
	if got := serveAttempt(t, e, "/repeat/1", "1"); got != http.StatusOK || control.calls.Load() != 0 {
		t.Errorf("status %d, %d calls to control", got, control.calls.Load())
	}
}

// TestTheListShowsEnds guards against ends that no connection shows: an endpoint that leaves the list ended with the requests that
// lost their responses there, also if it was draining.
func TestTheListShowsEnds(t *testing.T) {
	for _, draining := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){slowReset}}
			control := &fakeControl{}
			e := newSuspectEntry(t, s, control)
			e.Prober = nil
			serveAttempt(t, e, "/once/1", "1")
			lost := s.requests[0].Endpoint.GetName()
			if draining {
				e.Watch.UpdateList(endpointList(2, lost), time.Now())
				e.refresh()
			}
			l := endpointList(3)
			l.Endpoints = slices.DeleteFunc(l.Endpoints, func(p *fleetpb.Endpoint) bool { return p.GetId() == lost })
			e.Watch.UpdateList(l, time.Now())
			e.refresh()
			synctest.Wait()
			if control.registry.Len() == 0 {
				t.Errorf("draining %v: not reported", draining)
			}
		})
	}
}

// closingProber shows each endpoint as an ending process does: its listener accepts once more.
type closingProber struct{ probed sync.Map }

func (p *closingProber) Probe(_ context.Context, _ *configpb.Endpoint, i incarnation.ID, _ time.Time, _ int) ProbeResult {
	if _, again := p.probed.LoadOrStore(i, true); again {
		return ProbeRefused
	}
	return ProbeAccepted
}

// TestAnEndIsKnownBeforeTheRetry guards against a retry within an attempt that is sent while no control instance knows of the end
// before it, since the ending endpoint still accepted a connection: both ends are lost with this instance.
func TestAnEndIsKnownBeforeTheRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &fakeControl{}
		sent, known := 0, 0
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){func(r EndpointRequest) (*Response, error) {
			sent++
			if control.registry.Len() > 0 {
				known++
			}
			return slowReset(r)
		}}}
		e := newSuspectEntry(t, s, control)
		e.Prober = &closingProber{}
		serveAttempt(t, e, "/repeat/1", "1")
		if sent > 1 && known != sent-1 {
			t.Errorf("%d of %d retries were sent with the end before them known", known, sent-1)
		}
	})
}
