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

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/membudget"
)

// repeating reads a beginning and then a piece until it has given size bytes, and ends with an error.
type repeating struct {
	beginning, piece string
	size             int
	read             int
}

func (r *repeating) Read(p []byte) (int, error) {
	if r.read >= r.size {
		return 0, errors.New("reset")
	}
	for i := range p {
		if at := r.read + i; at < len(r.beginning) {
			p[i] = r.beginning[at]
		} else {
			p[i] = r.piece[(at-len(r.beginning))%len(r.piece)]
		}
	}
	r.read += len(p)
	return len(p), nil
}

// respondEndlessly returns a response whose body goes on far beyond all limits.
func respondEndlessly(status int, beginning, piece string) func(EndpointRequest) (*Response, error) {
	return func(EndpointRequest) (*Response, error) {
		body := &repeating{beginning: beginning, piece: piece, size: 4 * minBodyLimit}
		return &Response{Status: status, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(body)}, nil
	}
}

// countWriter counts the bytes of a response.
type countWriter struct {
	fakeWriter
	bytes int
}

func (w *countWriter) Write(b []byte) error     { w.bytes += len(b); return nil }
func (w *countWriter) WriteLast(b []byte) error { return w.Write(b) }

// TestEndlessBodyIsEnded guards against a response that is buffered or forwarded without an end.
func TestEndlessBodyIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		long := strings.Repeat("d", 2000)
		for i, test := range []struct {
			name, path string
			response   func(EndpointRequest) (*Response, error)
			part       Part
			// maxBytes is the most that the client may get.
			maxBytes int
		}{
			{"a line", "plain", respondEndlessly(200, event(1)+"data: ", "d"), PartEvent, 0},
			{"lines of an event", "plain", respondEndlessly(200, event(1)+"id: 2\n", "data: "+long+"\n"), PartEvent, 0},
			{"fields of no meaning", "plain", respondEndlessly(200, event(1), "x\n"), PartEvent, 0},
			{"a line after a long stream", "plain", respondEndlessly(200, strings.Repeat(event(1), 100_000)+"data: ", "d"), PartEvent, 3 << 20},
			{"events without data", "plain", respondEndlessly(200, event(1), "id: 1\n\n"), PartEvent, 2 * maxEventBytes},
			{"empty lines", "plain", respondEndlessly(200, event(1), "\n"), PartEvent, 2 * maxEventBytes},
			{"comments", "plain", respondEndlessly(200, event(1), ": c\n\n"), PartEvent, 2 * maxEventBytes},
			{"events that were sent before", "plain", respondEndlessly(200, event(7), event(7)), PartEvent, 0},
			{"events", "plain", respondEndlessly(200, "", "data: "+long+"\n\n"), PartBody, minBodyLimit},
			{"events of a turn that is stored", "k", respondEndlessly(200, "", "data: "+long+"\n\n"), PartTurn, 2 * defaultBodyBytes},
			{"a body", "once", respondEndlessly(200, "", "b"), PartBody, minBodyLimit},
			{"an error response", "once", respondEndlessly(500, "", "b"), PartBody, minBodyLimit},
		} {
			scope := tally.NewTestScope("", nil)
			s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){test.response}}
			e := newStreamEntry(t, view, s)
			r := newTurn(test.path, fmt.Sprint("endless", i), fmt.Sprint("endless", i), 0)
			if test.path == "once" {
				e, r = newEntry(t, s), newRequest("/once/1")
			}
			e.Metrics = scope
			w := &countWriter{}
			if o, ok := e.Serve(t.Context(), r, w).(Aborted); !ok || w.bytes > max(test.maxBytes, len(event(1))) {
				t.Errorf("%s: %#v, the client got %d bytes of %d allowed", test.name, o, w.bytes, test.maxBytes)
			}
			counted := int64(0)
			for _, c := range scope.Snapshot().Counters() {
				if c.Name() == "oversized_responses" && c.Tags()["part"] == string(test.part) {
					counted += c.Value()
				}
			}
			if counted != 1 {
				t.Errorf("%s: counted %d times for the part %q", test.name, counted, test.part)
			}
		}
	})
}

// TestEndlessBodyIsRepeatedElsewhere guards against a repeatable request that ends with the response of a faulty endpoint.
func TestEndlessBodyIsRepeatedElsewhere(t *testing.T) {
	tooLong := func(EndpointRequest) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, ContentLength: minBodyLimit + 1, Body: io.NopCloser(&repeating{piece: "b", size: 1 << 30})}, nil
	}
	oversized := &OversizedError{Part: PartHead, Limit: 1}
	for name, test := range map[string]struct {
		path  string
		first func(EndpointRequest) (*Response, error)
		want  int
	}{
		"an error response":          {"/repeat/1", respondEndlessly(500, "", "b"), 200},
		"a length beyond the limit":  {"/repeat/1", tooLong, 200},
		"once, beyond the limit":     {"/once/1", tooLong, 502},
		"a head":                     {"/repeat/1", func(EndpointRequest) (*Response, error) { return nil, &OutcomeUnknownError{Cause: oversized} }, 200},
		"once, a head":               {"/once/1", func(EndpointRequest) (*Response, error) { return nil, &OutcomeUnknownError{Cause: oversized} }, 502},
		"once, a refusal's body":     {"/once/1", func(EndpointRequest) (*Response, error) { return nil, &NotExecutedError{Cause: oversized} }, 200},
		"repeated, a refusal's body": {"/repeat/1", func(EndpointRequest) (*Response, error) { return nil, &NotExecutedError{Cause: oversized} }, 200},
	} {
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){test.first, respond(200, "ok")}}
		w := &fakeWriter{}
		e := newEntry(t, s)
		if o, ok := e.Serve(t.Context(), newRequest(test.path), w).(Rejected); ok {
			w.status = o.Status
		}
		if w.status != test.want {
			t.Errorf("%s: status %d, want %d", name, w.status, test.want)
		}
	}
}

// TestLargestSoundBodies guards against limits that end sound responses.
func TestLargestSoundBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		largeEvent := "id: 1\ndata: " + strings.Repeat("d", maxEventBytes-32) + "\n\n"
		// Keep-alives between two events have the size of one event.
		quiet := event(1) + strings.Repeat(":\n\n", maxEventBytes/4) + event(2)
		many := strings.Repeat("data: d\n\n", 500_000)
		turn := strings.Repeat("data: "+strings.Repeat("d", 1023)+"\n\n", defaultBodyBytes/1024)
		for i, test := range []struct {
			path      string
			responses []func(EndpointRequest) (*Response, error)
			want      string
		}{
			{"plain", []func(EndpointRequest) (*Response, error){respond(200, largeEvent)}, largeEvent},
			{"plain", []func(EndpointRequest) (*Response, error){respond(200, quiet)}, quiet},
			{"plain", []func(EndpointRequest) (*Response, error){respond(200, many)}, many},
			{"k", []func(EndpointRequest) (*Response, error){respond(200, turn)}, turn},
			{"r", []func(EndpointRequest) (*Response, error){truncated(events(1, 40_000)), respond(200, events(1, 40_001))}, events(1, 40_001)},
			{"once", []func(EndpointRequest) (*Response, error){respond(200, strings.Repeat("b", minBodyLimit))}, strings.Repeat("b", minBodyLimit)},
		} {
			s := &fakeSender{responses: test.responses}
			e := newStreamEntry(t, view, s)
			r := newTurn(test.path, fmt.Sprint("sound", i), fmt.Sprint("sound", i), 0)
			if test.path == "once" {
				e, r = newEntry(t, s), newRequest("/once/1")
			}
			w := &fakeWriter{}
			if o := e.Serve(t.Context(), r, w); o != (Completed{}) || w.body.String() != test.want {
				t.Errorf("%d: %#v, %d bytes, want %d", i, o, w.body.Len(), len(test.want))
			}
		}
	})
}

// TestStreamBuffersAreCharged guards against streams with large events that hold more than the memory budget of the instance.
func TestStreamBuffersAreCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		body := "data: " + strings.Repeat("d", maxEventBytes-32) + "\n\n"
		for _, test := range []struct {
			max  int64
			want Outcome
		}{
			{8 * maxEventBytes, Completed{}},
			// Nothing of the response was forwarded yet, so the client gets an answer.
			{freeStreamBytes, Rejected{Status: 502}},
		} {
			b := &membudget.Budget{MaxBytes: test.max, Metrics: tally.NoopScope}
			account := b.Open(nil)
			r := newTurn("plain", fmt.Sprint("charged", test.max), "p", 0)
			r.Memory = account
			o := newStreamEntry(t, view, &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, body)}}).Serve(context.Background(), r, &fakeWriter{})
			if r, ok := o.(Rejected); ok {
				o = Rejected{Status: r.Status}
			}
			if o != test.want {
				t.Errorf("budget of %d bytes: %#v, want %T", test.max, o, test.want)
			}
			if held := b.Held(); held < freeStreamBytes/2 || held > test.max {
				t.Errorf("budget of %d bytes: %d bytes held", test.max, held)
			}
			account.Close()
			if held := b.Held(); held != 0 {
				t.Errorf("budget of %d bytes: %d bytes held after the request", test.max, held)
			}
		}
	})
}
