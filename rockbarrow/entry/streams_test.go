// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

// streamDocument returns a document with a route for each kind of stream. The name has k if history
// is stored and r if the stream is resumable.
func streamDocument() *fleetpb.Document {
	d := testDocument()
	for _, name := range []string{"plain", "k", "r", "kr"} {
		d.Routes = append(d.Routes, &fleetpb.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: fleetpb.RouteKind_ROUTE_KIND_STREAM, TimeoutMs: 5000, MaxAttempts: 2,
			Shares:  []*fleetpb.Share{{Service: "s", Weight: 1}},
			History: strings.Contains(name, "k"), Resumable: strings.Contains(name, "r"), RetainMs: 60_000,
		})
	}
	return d
}

// newStreamEntry returns an entry with running stores and no state of earlier entries.
func newStreamEntry(t *testing.T, view *fleetpb.View, s Sender) *Entry {
	e := newEntry(t, s)
	e.Stores.Pool.Dial = memoryNetwork.dial
	e.Decode = func([]byte) (*fleetpb.Document, error) { return streamDocument(), nil }
	e.table.Store(nil)
	e.Watch.UpdateState(&fleetpb.State{Number: 2, Configuration: &fleetpb.Configuration{Version: 1}, View: view})
	e.refresh()
	return e
}

// newTurn returns a request for a turn of a program.
func newTurn(path, id, program string, budget uint64) *Request {
	r := newRequest("/" + path + "/1")
	r.ID, r.Program, r.BudgetTokens, r.MaxAnswerTokens = id, program, budget, 9
	return r
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", n, n) }

func events(from, to int) string {
	var out strings.Builder
	for n := from; n <= to; n++ {
		out.WriteString(event(n))
	}
	return out.String()
}

// TestBudgetOnEveryRouteKind guards against a budget that is not shared between instances or route
// kinds. Each response has three events of three tokens, so a budget of 20 allows two turns but not
// the maximum of a third.
func TestBudgetOnEveryRouteKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, path := range []string{"plain", "k", "r", "kr"} {
			s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
			var statuses []int
			for n := range 4 {
				// Each turn goes to a new instance.
				e := newStreamEntry(t, view, s)
				w := &fakeWriter{}
				o := e.Serve(t.Context(), newTurn(path, fmt.Sprint(path, n), path, 20), w)
				if r, ok := o.(Rejected); ok {
					w.status = r.Status
				}
				statuses = append(statuses, w.status)
				awaitSettled(t, e, path, 9*min(n+1, 2))
			}
			if fmt.Sprint(statuses) != "[200 200 402 402]" || len(s.requests) != 2 {
				t.Errorf("%s: statuses %v after %d dispatches", path, statuses, len(s.requests))
			}
		}
	})
}

// awaitSettled waits until a program has spent the given tokens.
func awaitSettled(t *testing.T, e *Entry, program string, spent int) {
	t.Helper()
	awaitBudget(t, e, program, 0, uint64(spent))
}

// awaitBudget waits until a turn of the given size fits into a program's budget.
func awaitBudget(t *testing.T, e *Entry, program string, most, budget uint64) {
	t.Helper()
	for n := 0; ; n++ {
		g, err := e.Stores.Reserve(t.Context(), stores.Turn{ID: fmt.Sprint("look-", budget, "-", n), Program: program, MaxTokens: most, Budget: budget})
		if err == nil {
			e.Stores.Release(t.Context(), g)
			return
		}
		if t.Context().Err() != nil {
			t.Fatal(err)
		}
		// Void releases each reservation in the background. Without a pause, these calls pile
		// up on a slow machine.
		<-time.After(budgetPollInterval)
	}
}

const budgetPollInterval = 50 * time.Millisecond

func TestBrokenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		tests := []struct {
			name, path string
			budget     uint64
			responses  []func(EndpointRequest) (*Response, error)
			// complete is true if the client gets all three events. dispatches counts endpoints.
			complete   bool
			dispatches int
			status     int
		}{
			{"resumed inside an event", "r", 100, []func(EndpointRequest) (*Response, error){truncated(event(1) + "id: 2\nda"), respond(200, events(2, 3))}, true, 2, 200},
			{"resumed without a budget", "r", 0, []func(EndpointRequest) (*Response, error){truncated(event(1)), respond(200, events(2, 3))}, true, 2, 200},
			{"ended inside an event", "r", 0, []func(EndpointRequest) (*Response, error){respond(200, event(1)+"id: 2\n"), respond(200, events(2, 3))}, true, 2, 200},
			{"repeated events are dropped", "r", 0, []func(EndpointRequest) (*Response, error){truncated(events(1, 2)), respond(200, events(1, 3))}, true, 2, 200},
			{"repeated after a lost connection", "r", 0, []func(EndpointRequest) (*Response, error){connectionReset, respond(200, events(1, 3))}, true, 2, 200},
			{"resumed past an endpoint at capacity", "r", 0, []func(EndpointRequest) (*Response, error){truncated(event(1)), notExecuted, respond(200, events(2, 3))}, true, 3, 200},
			{"up to the maximum attempts", "r", 0, []func(EndpointRequest) (*Response, error){truncated(event(1)), truncated(event(2)), respond(200, event(3))}, false, 2, 200},
			{"repeated after an error response", "r", 0, []func(EndpointRequest) (*Response, error){respond(500, "x"), respond(200, events(1, 3))}, true, 2, 200},
			{"error response on resumption", "r", 0, []func(EndpointRequest) (*Response, error){truncated(event(1)), respond(500, "x")}, false, 2, 200},
			{"not resumable: aborted", "plain", 100, []func(EndpointRequest) (*Response, error){truncated(event(1)), respond(200, events(2, 3))}, false, 1, 200},
			{"not resumable: not repeated", "plain", 0, []func(EndpointRequest) (*Response, error){connectionReset, respond(200, events(1, 3))}, false, 1, 502},
			{"stored history: aborted", "k", 100, []func(EndpointRequest) (*Response, error){truncated(event(1)), respond(200, events(2, 3))}, false, 1, 200},
			{"stored history and resumable", "kr", 100, []func(EndpointRequest) (*Response, error){truncated(event(1)), respond(200, events(2, 3))}, true, 2, 200},
		}
		for i, test := range tests {
			s := &fakeSender{responses: test.responses}
			w := &fakeWriter{}
			id := fmt.Sprint("break", i)
			e := newStreamEntry(t, view, s)
			o := e.Serve(t.Context(), newTurn(test.path, id, id, test.budget), w)
			status := w.status
			if r, ok := o.(Rejected); ok {
				status = r.Status
			}
			complete := o == (Completed{}) && w.body.String() == events(1, 3)
			if complete != test.complete || len(s.requests) != test.dispatches || status != test.status {
				t.Errorf("%s: %#v, status %d, %d dispatches, body %q", test.name, o, status, len(s.requests), w.body.String())
			}
			if test.complete && test.path == "kr" {
				g, err := e.Stores.Reserve(t.Context(), stores.Turn{ID: "next", Program: id, Previous: id, MaxTokens: 1})
				if err != nil || string(g.History()[0].GetOutput()) != "d1\nd2\nd3\n" {
					t.Errorf("%s: %v, stored %q", test.name, err, g.History()[0].GetOutput())
				}
			}
		}
	})
}

// TestStreamResumesAfterLastCompleteEvent checks the event id that endpoints are asked to resume after.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){truncated(event(6) + "id: 7"), respond(200, event(7))}}
		e := newStreamEntry(t, startStores(t), s)
		r := newTurn("r", "1", "p", 0)
		r.LastEventID = "5"
		w := &fakeWriter{}
		if o := e.Serve(t.Context(), r, w); o != (Completed{}) || w.body.String() != events(6, 7) {
			t.Errorf("%#v %q", o, w.body.String())
		}
		if s.requests[0].ResumeAfter != "5" || s.requests[1].ResumeAfter != "6" {
			t.Errorf("resumed after %q and %q", s.requests[0].ResumeAfter, s.requests[1].ResumeAfter)
		}
	})
}

func TestInvalidResumptionIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
		e := newStreamEntry(t, startStores(t), s)
		for path, after := range map[string]string{"r": "x", "kr": "2", "k": "2", "plain": "-1"} {
			r := newTurn(path, path, path, 0)
			r.LastEventID = after
			o, ok := e.Serve(t.Context(), r, &fakeWriter{}).(Rejected)
			if !ok || o.Status != http.StatusBadRequest {
				t.Errorf("%s after %q: %#v", path, after, o)
			}
		}
		if len(s.requests) > 0 {
			t.Error("an endpoint got the request")
		}
	})
}

// TestEventsAreForwardedImmediately guards against buffering: the endpoint writes an event only after
// the client has received the previous one.
func TestEventsAreForwardedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, path := range []string{"plain", "k", "r", "kr"} {
			read, write := io.Pipe()
			out := &stepWriter{seen: make(chan string)}
			e := newStreamEntry(t, view, &fakeSender{responses: []func(EndpointRequest) (*Response, error){func(EndpointRequest) (*Response, error) {
				return &Response{Status: 200, Header: http.Header{}, ContentLength: -1, Body: read}, nil
			}}})
			ended := make(chan Outcome, 1)
			go func() { ended <- e.Serve(t.Context(), newTurn(path, "step-"+path, "step-"+path, 50), out) }()
			for n := 1; n <= 3; n++ {
				go io.WriteString(write, event(n))
				if got := <-out.seen; got != event(n) {
					t.Fatalf("%s: event %d arrived as %q", path, n, got)
				}
			}
			write.Close()
			if o := <-ended; o != (Completed{}) {
				t.Errorf("%s: %#v", path, o)
			}
		}
	})
}

// stepWriter passes each write to a channel.
type stepWriter struct{ seen chan string }

func (w *stepWriter) Start(int, http.Header, int64) {}
func (w *stepWriter) Write(b []byte) error          { w.seen <- string(b); return nil }
func (w *stepWriter) WriteLast(b []byte) error      { return w.Write(b) }

// TestClientDisconnectCancelsRequest checks a disconnect before the first event.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, path := range []string{"plain", "k", "r"} {
			received, ended := make(chan struct{}), make(chan error, 1)
			e := newStreamEntry(t, view, senderFunc(func(ctx context.Context, r EndpointRequest) (*Response, error) {
				close(received)
				<-ctx.Done()
				ended <- ctx.Err()
				return nil, &OutcomeUnknownError{Endpoint: r.Endpoint.GetName(), Reason: "closed"}
			}))
			ctx, disconnect := context.WithCancel(t.Context())
			go e.Serve(ctx, newTurn(path, "left-"+path, "left-"+path, 50), &fakeWriter{})
			<-received
			disconnect()
			if err := <-ended; err != context.Canceled {
				t.Errorf("%s: %v", path, err)
			}
		}
	})
}

type senderFunc func(ctx context.Context, r EndpointRequest) (*Response, error)

func (f senderFunc) Send(ctx context.Context, r EndpointRequest) (*Response, error) { return f(ctx, r) }

// TestSessionAffinity checks a program without stored history whose turns each go to a new instance.
func TestSessionAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
		for n := range 6 {
			e := newStreamEntry(t, view, s)
			e.Serve(t.Context(), newTurn("r", fmt.Sprint("stay", n), "stay", 500), &fakeWriter{})
			awaitSettled(t, e, "stay", 9*(n+1))
		}
		for _, r := range s.requests {
			if r.Endpoint.GetName() != s.requests[0].Endpoint.GetName() {
				t.Errorf("turn went to %s after %s", r.Endpoint.GetName(), s.requests[0].Endpoint.GetName())
			}
		}
	})
}

func TestNotExecutedTurnIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		e := newStreamEntry(t, view, &fakeSender{responses: []func(EndpointRequest) (*Response, error){notExecuted}})
		for n := range 3 {
			o := e.Serve(t.Context(), newTurn("r", fmt.Sprint("void", n), "void", 1000), &fakeWriter{})
			if r, ok := o.(Rejected); !ok || r.Status != http.StatusServiceUnavailable {
				t.Fatalf("%#v", o)
			}
			// Fits only if the previous turn was not charged.
			awaitBudget(t, e, "void", 9, 9)
		}
	})
}

// pauseBriefly lets other goroutines run.
func pauseBriefly() { <-time.After(time.Millisecond) }

// TestUnresponsiveEndpoint checks that a repeatable request is repeated elsewhere, and that another
// one times out without being reported as not executed.
func TestUnresponsiveEndpoint(t *testing.T) {
	for path, want := range map[string]int{"/repeat/1": 200, "/once/1": 504} {
		n := 0
		e := newEntry(t, senderFunc(func(ctx context.Context, r EndpointRequest) (*Response, error) {
			if n++; n > 1 {
				return respond(200, "ok")(r)
			}
			<-ctx.Done()
			return connectionReset(r)
		}))
		r := newRequest(path)
		r.ClientTimeout = 200 * time.Millisecond
		w := &fakeWriter{}
		if o, ok := e.Serve(t.Context(), r, w).(Rejected); ok {
			w.status = o.Status
		}
		if w.status != want {
			t.Errorf("%s: status %d, want %d", path, w.status, want)
		}
	}
}

// TestStalledStreamIsResumed checks a stream that stalls while its connection stays open.
func TestStalledStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		e := newStreamEntry(t, startStores(t), senderFunc(func(ctx context.Context, r EndpointRequest) (*Response, error) {
			if n++; n > 1 {
				return respond(200, events(2, 3))(r)
			}
			read, write := io.Pipe()
			go io.WriteString(write, event(1))
			context.AfterFunc(ctx, func() { read.CloseWithError(ctx.Err()) })
			return &Response{Status: 200, Header: http.Header{}, ContentLength: -1, Body: read}, nil
		}))
		w := &fakeWriter{}
		if o := e.Serve(t.Context(), newTurn("r", "1", "p", 0), w); o != (Completed{}) || w.body.String() != events(1, 3) {
			t.Errorf("%#v %q", o, w.body.String())
		}
	})
}

// TestLastEventIsFlushedWithTheEnd guards against a last event that waits for the storage of
// its turn, or for an end that has not been received.
func TestLastEventIsFlushedWithTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, test := range []struct {
			path, body string
			withEnd    bool
			want       bool
		}{{"plain", events(1, 3), true, true}, {"plain", events(1, 3), false, false}, {"k", events(1, 3), true, false}} {
			s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){func(r EndpointRequest) (*Response, error) {
				resp, err := respond(200, test.body)(r)
				if test.withEnd {
					resp.Body = io.NopCloser(iotest.DataErrReader(resp.Body))
				}
				return resp, err
			}}}
			w := &fakeWriter{}
			id := fmt.Sprint(test.path, test.withEnd)
			o := newStreamEntry(t, view, s).Serve(t.Context(), newTurn(test.path, id, id, 0), w)
			if o != (Completed{}) || w.body.String() != test.body || w.last != test.want {
				t.Errorf("%s, end received %v: %v, %d bytes, flushed with the end %v, want %v", test.path, test.withEnd, o, w.body.Len(), w.last, test.want)
			}
		}
	})
}
