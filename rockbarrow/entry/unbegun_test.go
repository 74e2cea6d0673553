// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/membudget"
)

// startWriter records whether the header of a response was forwarded.
type startWriter struct {
	fakeWriter
	started bool
}

func (w *startWriter) Start(status int, h http.Header, n int64) {
	w.started = true
	w.fakeWriter.Start(status, h, n)
}

// TestAResponseThatHasNotBegunIsAnswered guards against a client's connection that is closed without any answer because an endpoint
// broke its response off, or sent bytes without end, before the first part of it could be forwarded.
func TestAResponseThatHasNotBegunIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		full := &membudget.Budget{MaxBytes: 64 << 10, Metrics: tally.NoopScope}
		if err := full.Open(nil).ChargeBody(t.Context(), 63<<10); err != nil {
			t.Fatal(err)
		}
		type script = func(EndpointRequest) (*Response, error)
		for i, test := range []struct {
			name, path string
			memory     *membudget.Budget
			responses  []script
			// status is what the client gets, and body the whole body of a success.
			status int
			body   string
		}{
			{"a stream that breaks off before its first event", "plain", nil, []script{truncated("")}, 502, ""},
			{"a stream that breaks off inside its first event", "plain", nil, []script{truncated("id: 1\nda")}, 502, ""},
			{"a stream that ends without an event", "plain", nil, []script{respond(200, "")}, 502, ""},
			{"bytes that are no event", "plain", nil, []script{respondEndlessly(200, "", "b")}, 502, ""},
			{"a stream whose history is kept", "k", nil, []script{truncated("id: 1\nda")}, 502, ""},
			{"a stream, then an error response", "r", nil, []script{truncated("id: 1\nda"), respond(500, "x")}, 500, "x"},
			{"a stream of a turn, then an error response", "kr", nil, []script{truncated("id: 1\nda"), respond(500, "x")}, 500, "x"},
			{"a stream, then a refusal", "plain", nil, []script{truncated("id: 1\nda"), respond(200, events(1, 3))}, 502, ""},
			{"a resumable stream, as often as allowed", "r", nil, []script{truncated("id: 1\nda"), respondEndlessly(200, "", "b")}, 502, ""},
			{"a resumable stream", "r", nil, []script{truncated("id: 1\nda"), respond(200, events(1, 3))}, 200, events(1, 3)},
			{"a stream without memory for its first event", "plain", full, []script{respondEndlessly(200, "data: ", "b")}, 502, ""},
			{"a body without memory for its beginning", "once", full, []script{truncated("")}, 502, ""},
			{"a whole body without memory for its beginning", "once", full, []script{respond(200, strings.Repeat("b", 9000))}, 200, strings.Repeat("b", 9000)},
		} {
			s := &fakeSender{responses: test.responses}
			e, r := newStreamEntry(t, view, s), newTurn(test.path, fmt.Sprint("unbegun", i), fmt.Sprint("unbegun", i), 0)
			if test.path == "once" {
				e, r = newEntry(t, s), newRequest("/once/1")
			}
			r.Memory = test.memory.Open(nil)
			w := &startWriter{}
			o := e.Serve(t.Context(), r, w)
			r.Memory.Close()
			status := w.status
			if rejected, ok := o.(Rejected); ok {
				status = rejected.Status
				if w.started {
					t.Errorf("%s: the header was forwarded before the refusal", test.name)
				}
			}
			if _, aborted := o.(Aborted); aborted || status != test.status || w.body.String() != test.body {
				t.Errorf("%s: %#v, status %d, %d bytes, want %d", test.name, o, status, w.body.Len(), test.status)
			}
		}
	})
}
