// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/schema/fleetpb"
)

// streams returns a document with a route for each kind of stream: the name tells
// whether history is kept (k) and whether it may be resumed (r).
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

// newStreamEntry returns an entry on running stores, as another process would be.
func newStreamEntry(t *testing.T, view *fleetpb.View, s Sender) *Entry {
	e := newEntry(t, s)
	e.Stores.Pool.Dial = memoryNetwork.dial
	e.Decode = func([]byte) (*fleetpb.Document, error) { return streamDocument(), nil }
	e.table.Store(nil)
	e.Watch.UpdateState(&fleetpb.State{Number: 2, Configuration: &fleetpb.Configuration{Version: 1}, View: view})
	e.refresh()
	return e
}

// turnOf asks for a turn of a program.
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

// TestBudgetOnEveryRouteKind: each answer has three events of three tokens, so that a
// budget of 20 has room for two turns and not for the most of a third, whichever
// instance is asked and however its routes are served.
func TestBudgetOnEveryRouteKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, path := range []string{"plain", "k", "r", "kr"} {
			s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
			var statuses []int
			for n := range 4 {
				// Each turn comes to an instance that has never seen the program.
				e := newStreamEntry(t, view, s)
				out := &fakeWriter{}
				o := e.Serve(t.Context(), newTurn(path, fmt.Sprint(path, n), path, 20), out)
				if r, ok := o.(Rejected); ok {
					out.status = r.Status
				}
				statuses = append(statuses, out.status)
				awaitSettled(t, e, path, 9*min(n+1, 2))
			}
			if fmt.Sprint(statuses) != "[200 200 402 402]" || len(s.offers) != 2 {
				t.Errorf("%s: %v after %d offers", path, statuses, len(s.offers))
			}
		}
	})
}

// awaitSettled waits until a program has spent so much.
func awaitSettled(t *testing.T, e *Entry, program string, spent int) {
	t.Helper()
	awaitBudget(t, e, program, 0, uint64(spent))
}

// awaitRoom waits until a turn of so many tokens fits into a program's budget.
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
		// Each try is given back in the background, by calls that outlive it: without a pause
		// a slow machine gets more of them than it ends, and no try has its answer in time.
		<-time.After(budgetPollInterval)
	}
}

// lookEvery lies between two looks at a budget, as between the tries of a client.
const budgetPollInterval = 50 * time.Millisecond

func TestBrokenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		tests := []struct {
			name, path string
			budget     uint64
			answers    []func(EndpointRequest) (*Response, error)
			// whole is true if the client gets all three events; offers counts endpoints.
			whole  bool
			offers int
			status int
		}{
			{"resumed inside an event", "r", 100, []func(EndpointRequest) (*Response, error){truncated(event(1) + "id: 2\nda"), respond(200, events(2, 3))}, true, 2, 200},
			{"resumed without a budget", "r", 0, []func(EndpointRequest) (*Response, error){truncated(event(1)), respond(200, events(2, 3))}, true, 2, 200},
			{"an endpoint that ends inside an event", "r", 0, []func(EndpointRequest) (*Response, error){respond(200, event(1)+"id: 2\n"), respond(200, events(2, 3))}, true, 2, 200},
			{"nothing is given twice", "r", 0, []func(EndpointRequest) (*Response, error){truncated(events(1, 2)), respond(200, events(1, 3))}, true, 2, 200},
			{"asked again from its start", "r", 0, []func(EndpointRequest) (*Response, error){connectionReset, respond(200, events(1, 3))}, true, 2, 200},
			{"resumed past one that is full", "r", 0, []func(EndpointRequest) (*Response, error){truncated(event(1)), notExecuted, respond(200, events(2, 3))}, true, 3, 200},
			{"within the attempts", "r", 0, []func(EndpointRequest) (*Response, error){truncated(event(1)), truncated(event(2)), respond(200, event(3))}, false, 2, 200},
			{"its own failure is asked again elsewhere", "r", 0, []func(EndpointRequest) (*Response, error){respond(500, "x"), respond(200, events(1, 3))}, true, 2, 200},
			{"a failure after the head ends it", "r", 0, []func(EndpointRequest) (*Response, error){truncated(event(1)), respond(500, "x")}, false, 2, 200},
			{"not resumable: cut", "plain", 100, []func(EndpointRequest) (*Response, error){truncated(event(1)), respond(200, events(2, 3))}, false, 1, 200},
			{"not resumable: not asked again", "plain", 0, []func(EndpointRequest) (*Response, error){connectionReset, respond(200, events(1, 3))}, false, 1, 502},
			{"history kept: cut", "k", 100, []func(EndpointRequest) (*Response, error){truncated(event(1)), respond(200, events(2, 3))}, false, 1, 200},
			{"history kept and resumable", "kr", 100, []func(EndpointRequest) (*Response, error){truncated(event(1)), respond(200, events(2, 3))}, true, 2, 200},
		}
		for i, test := range tests {
			s := &fakeSender{answers: test.answers}
			out := &fakeWriter{}
			id := fmt.Sprint("break", i)
			e := newStreamEntry(t, view, s)
			o := e.Serve(t.Context(), newTurn(test.path, id, id, test.budget), out)
			status := out.status
			if r, ok := o.(Rejected); ok {
				status = r.Status
			}
			whole := o == (Completed{}) && out.body.String() == events(1, 3)
			if whole != test.whole || len(s.offers) != test.offers || status != test.status {
				t.Errorf("%s: %#v, status %d, %d offers, body %q", test.name, o, status, len(s.offers), out.body.String())
			}
			if test.whole && test.path == "kr" {
				g, err := e.Stores.Reserve(t.Context(), stores.Turn{ID: "next", Program: id, Previous: id, MaxTokens: 1})
				if err != nil || string(g.History()[0].GetOutput()) != "d1\nd2\nd3\n" {
					t.Errorf("%s: %v, kept %q", test.name, err, g.History()[0].GetOutput())
				}
			}
		}
	})
}

// TestStreamResumesAfterLastCompleteEvent looks at what endpoints are asked.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){truncated(event(6) + "id: 7"), respond(200, event(7))}}
		e := newStreamEntry(t, startStores(t), s)
		r := newTurn("r", "1", "p", 0)
		r.LastEventID = "5"
		out := &fakeWriter{}
		if o := e.Serve(t.Context(), r, out); o != (Completed{}) || out.body.String() != events(6, 7) {
			t.Errorf("%#v %q", o, out.body.String())
		}
		if s.offers[0].ResumeAfter != "5" || s.offers[1].ResumeAfter != "6" {
			t.Errorf("asked to go on after %q and %q", s.offers[0].ResumeAfter, s.offers[1].ResumeAfter)
		}
	})
}

func TestInvalidResumptionIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
		e := newStreamEntry(t, startStores(t), s)
		for path, after := range map[string]string{"r": "x", "kr": "2", "k": "2", "plain": "-1"} {
			r := newTurn(path, path, path, 0)
			r.LastEventID = after
			o, ok := e.Serve(t.Context(), r, &fakeWriter{}).(Rejected)
			if !ok || o.Status != http.StatusBadRequest {
				t.Errorf("%s after %q: %#v", path, after, o)
			}
		}
		if len(s.offers) > 0 {
			t.Error("an endpoint was asked")
		}
	})
}

// TestEventsAreForwardedImmediately: the endpoint writes an event only after the client
// has the one before.
func TestEventsAreForwardedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, path := range []string{"plain", "k", "r", "kr"} {
			read, write := io.Pipe()
			out := &stepWriter{seen: make(chan string)}
			e := newStreamEntry(t, view, &fakeSender{answers: []func(EndpointRequest) (*Response, error){func(EndpointRequest) (*Response, error) {
				return &Response{Status: 200, Header: http.Header{}, ContentLength: -1, Body: read}, nil
			}}})
			ended := make(chan Outcome, 1)
			go func() { ended <- e.Serve(t.Context(), newTurn(path, "step-"+path, "step-"+path, 50), out) }()
			for n := 1; n <= 3; n++ {
				go io.WriteString(write, event(n))
				if got := <-out.seen; got != event(n) {
					t.Fatalf("%s: event %d came as %q", path, n, got)
				}
			}
			write.Close()
			if o := <-ended; o != (Completed{}) {
				t.Errorf("%s: %#v", path, o)
			}
		}
	})
}

// stepOut hands each write over.
type stepWriter struct{ seen chan string }

func (o *stepWriter) Start(int, http.Header, int64) {}
func (o *stepWriter) Write(b []byte) error          { o.seen <- string(b); return nil }

// TestClientDisconnectCancelsRequest: also before the first event.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, path := range []string{"plain", "k", "r"} {
			asked, ended := make(chan struct{}), make(chan error, 1)
			e := newStreamEntry(t, view, senderFunc(func(ctx context.Context, o EndpointRequest) (*Response, error) {
				close(asked)
				<-ctx.Done()
				ended <- ctx.Err()
				return nil, &OutcomeUnknownError{Endpoint: o.Endpoint.GetName(), Reason: "closed"}
			}))
			ctx, leave := context.WithCancel(t.Context())
			go e.Serve(ctx, newTurn(path, "left-"+path, "left-"+path, 50), &fakeWriter{})
			<-asked
			leave()
			if err := <-ended; err != context.Canceled {
				t.Errorf("%s: %v", path, err)
			}
		}
	})
}

type senderFunc func(ctx context.Context, o EndpointRequest) (*Response, error)

func (f senderFunc) Send(ctx context.Context, o EndpointRequest) (*Response, error) { return f(ctx, o) }

// TestSessionAffinity: programs whose history is not kept here, too, also at an
// instance that has not seen them.
func TestSessionAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
		for n := range 6 {
			e := newStreamEntry(t, view, s)
			e.Serve(t.Context(), newTurn("r", fmt.Sprint("stay", n), "stay", 500), &fakeWriter{})
			awaitSettled(t, e, "stay", 9*(n+1))
		}
		for _, o := range s.offers {
			if o.Endpoint.GetName() != s.offers[0].Endpoint.GetName() {
				t.Errorf("%s after %s", o.Endpoint.GetName(), s.offers[0].Endpoint.GetName())
			}
		}
	})
}

func TestNotExecutedTurnIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		e := newStreamEntry(t, view, &fakeSender{answers: []func(EndpointRequest) (*Response, error){notExecuted}})
		for n := range 3 {
			o := e.Serve(t.Context(), newTurn("r", fmt.Sprint("void", n), "void", 1000), &fakeWriter{})
			if r, ok := o.(Rejected); !ok || r.Status != http.StatusServiceUnavailable {
				t.Fatalf("%#v", o)
			}
			// Only if nothing of the turn before counts.
			awaitBudget(t, e, "void", 9, 9)
		}
	})
}

// pauseBriefly lets other goroutines go on.
func pauseBriefly() { <-time.After(time.Millisecond) }

// TestUnresponsiveEndpoint: one that may run again gets its answer
// elsewhere, the other one ends with its time and is not told that it did not run.
func TestUnresponsiveEndpoint(t *testing.T) {
	for path, want := range map[string]int{"/repeat/1": 200, "/once/1": 504} {
		n := 0
		e := newEntry(t, senderFunc(func(ctx context.Context, o EndpointRequest) (*Response, error) {
			if n++; n > 1 {
				return respond(200, "ok")(o)
			}
			<-ctx.Done()
			return connectionReset(o)
		}))
		r := newRequest(path)
		r.ClientTimeout = 200 * time.Millisecond
		out := &fakeWriter{}
		if o, ok := e.Serve(t.Context(), r, out).(Rejected); ok {
			out.status = o.Status
		}
		if out.status != want {
			t.Errorf("%s: status %d, want %d", path, out.status, want)
		}
	}
}

// TestStalledStreamIsResumed: also without a sign from the network.
func TestStalledStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		e := newStreamEntry(t, startStores(t), senderFunc(func(ctx context.Context, o EndpointRequest) (*Response, error) {
			if n++; n > 1 {
				return respond(200, events(2, 3))(o)
			}
			read, write := io.Pipe()
			go io.WriteString(write, event(1))
			context.AfterFunc(ctx, func() { read.CloseWithError(ctx.Err()) })
			return &Response{Status: 200, Header: http.Header{}, ContentLength: -1, Body: read}, nil
		}))
		out := &fakeWriter{}
		if o := e.Serve(t.Context(), newTurn("r", "1", "p", 0), out); o != (Completed{}) || out.body.String() != events(1, 3) {
			t.Errorf("%#v %q", o, out.body.String())
		}
	})
}
