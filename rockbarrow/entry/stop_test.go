// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// hangingSender accepts requests that its endpoints answer after a time, or never if it is zero.
type hangingSender struct {
	after    time.Duration
	requests chan EndpointRequest
}

func newHangingSender(after time.Duration) *hangingSender {
	return &hangingSender{after: after, requests: make(chan EndpointRequest, 10)}
}

func (s *hangingSender) Send(ctx context.Context, r EndpointRequest) (*Response, error) {
	s.requests <- r
	var answered <-chan time.Time
	if s.after > 0 {
		answered = time.After(s.after)
	}
	select {
	case <-answered:
		return respond(http.StatusOK, "ok")(r)
	case <-ctx.Done():
		return nil, &OutcomeUnknownError{Endpoint: r.Endpoint.GetName(), Reason: "the time is over"}
	}
}

// serveStatus returns the status that a request gets.
func serveStatus(t *testing.T, e *Entry, path string) int {
	w := &fakeWriter{}
	if r, ok := e.Serve(t.Context(), newRequest(path), w).(Rejected); ok {
		return r.Status
	}
	return w.status
}

// TestAStopBeginsOnlyWhatCanEnd guards against a stopping instance that begins a request whose time limit ends after the stop, and cuts
// it off. The routes have limits of 1 s.
func TestAStopBeginsOnlyWhatCanEnd(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name         string
		removed, end time.Duration
		timeout      time.Duration
		status, runs int
	}{
		{"the load balancer still sends clients here", time.Minute, time.Minute, 0, 200, 1},
		{"the time limit ends before the stop", -time.Second, time.Minute, 0, 200, 1},
		{"the time limit ends after the stop", -time.Second, 500 * time.Millisecond, 0, 503, 0},
		{"the client's time limit ends before the stop", -time.Second, 800 * time.Millisecond, 100 * time.Millisecond, 200, 1},
		{"the stop has ended", -time.Second, -time.Millisecond, 10 * time.Millisecond, 503, 0},
	} {
		for _, path := range []string{"/once/1", "/repeat/1"} {
			s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, "ok")}}
			e := newEntry(t, s)
			e.Stop(Stop{Removed: now.Add(test.removed), End: time.Now().Add(test.end)})
			r, w := newRequest(path), &fakeWriter{}
			r.ClientTimeout = test.timeout
			o := e.Serve(t.Context(), r, w)
			status := w.status
			if refused, ok := o.(Rejected); ok {
				status = refused.Status
			}
			if status != test.status || len(s.requests) != test.runs {
				t.Errorf("%s, %s: status %d after %d runs, want %d after %d", test.name, path, status, len(s.requests), test.status, test.runs)
			}
		}
	}
}

// TestAStopAnswersWhatItEnds guards against requests that are in progress at the end of a stop and get no answer, among them those whose
// client has left and that must not be repeated.
func TestAStopAnswersWhatItEnds(t *testing.T) {
	for _, path := range []string{"/once/1", "/repeat/1"} {
		s := newHangingSender(0)
		e := newEntry(t, s)
		status := make(chan int)
		go func() { status <- serveStatus(t, e, path) }()
		first := <-s.requests
		end := time.Now().Add(50 * time.Millisecond)
		e.Stop(Stop{Removed: time.Now(), End: end})
		if got := <-status; got != http.StatusGatewayTimeout || time.Now().Before(end) {
			t.Errorf("%s: status %d %v before the end of the stop, want 504 at it", path, got, time.Until(end))
		}
		if len(s.requests) > 0 {
			t.Errorf("%s: another attempt was begun after the end of the stop", path)
		}
		if !first.Deadline.After(end) {
			t.Errorf("%s: the endpoint was told of a stop that had not begun", path)
		}
	}
}

// TestAStopTellsEndpointsItsEnd guards against endpoints that work on for longer than a stopping instance waits.
func TestAStopTellsEndpointsItsEnd(t *testing.T) {
	s := newHangingSender(time.Millisecond)
	e := newEntry(t, s)
	end := time.Now().Add(300 * time.Millisecond)
	e.Stop(Stop{Removed: end, End: end})
	if got := serveStatus(t, e, "/once/1"); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	if r := <-s.requests; !r.Deadline.Equal(end) {
		t.Errorf("the endpoint's deadline is %v after the end of the stop", r.Deadline.Sub(end))
	}
}

// TestAStopBeginsNoAttemptThatCannotEnd guards against a retry at a stopping instance that is cut off at its end.
func TestAStopBeginsNoAttemptThatCannotEnd(t *testing.T) {
	for _, test := range []struct {
		path         string
		first        func(EndpointRequest) (*Response, error)
		status, runs int
	}{
		{"/repeat/1", connectionReset, http.StatusBadGateway, 1},
		{"/once/1", notExecuted, http.StatusServiceUnavailable, 1},
		{"/repeat/1", respond(500, "bad"), http.StatusInternalServerError, 1},
	} {
		s := &fakeSender{}
		e := newEntry(t, s)
		s.responses = []func(EndpointRequest) (*Response, error){
			func(r EndpointRequest) (*Response, error) {
				e.Stop(Stop{Removed: time.Now(), End: time.Now().Add(200 * time.Millisecond)})
				return test.first(r)
			},
			respond(200, "ok"),
		}
		if got := serveStatus(t, e, test.path); got != test.status || len(s.requests) != test.runs {
			t.Errorf("%s: status %d after %d runs, want %d after %d", test.path, got, len(s.requests), test.status, test.runs)
		}
	}
}

// TestATurnIsNotStoredPastAStop guards against a turn whose client gets no answer, as the process ends while it is stored.
func TestATurnIsNotStoredPastAStop(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	now := time.Now()
	x := &exchange{entry: e, request: newRequest("/turn/1"), route: testDocument().Routes[2], deadline: now.Add(time.Minute)}
	if got := x.settleDeadline(now); got.Before(now.Add(time.Minute)) {
		t.Errorf("without a stop a turn may be stored for %v", got.Sub(now))
	}
	end := now.Add(time.Second)
	e.Stop(Stop{Removed: now, End: end})
	if got := x.settleDeadline(now); !got.Equal(end.Add(stopSettleTime)) {
		t.Errorf("a turn may be stored until %v after the end of the stop", got.Sub(end))
	}
}
