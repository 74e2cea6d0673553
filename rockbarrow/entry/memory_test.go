// SPDX-License-Identifier: MIT

package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/membudget"
)

// TestAnswersWithinTheBudget guards against answers that change or whose bytes stay charged, with and
// without room to hold them.
func TestAnswersWithinTheBudget(t *testing.T) {
	for _, maxBytes := range []int64{1 << 20, 8 << 10} {
		for _, size := range []int{0, 1, firstAnswerBuffer, maxBufferedBody, maxBufferedBody + 1, 2 * maxBufferedBody} {
			for _, length := range []int{size, -1} {
				b := &membudget.Budget{MaxBytes: maxBytes, Metrics: tally.NoopScope}
				sent := strings.Repeat("x", size)
				e := newEntry(t, &fakeSender{responses: []func(EndpointRequest) (*Response, error){func(EndpointRequest) (*Response, error) {
					return &Response{Status: 200, Header: http.Header{}, ContentLength: int64(length), Body: io.NopCloser(strings.NewReader(sent))}, nil
				}}})
				r, w := newRequest("/once/1"), &fakeWriter{}
				r.Memory = b.Open(nil)
				if o := e.Serve(t.Context(), r, w); o != (Completed{}) || w.body.String() != sent || b.Held() != 0 {
					t.Errorf("%d bytes, announced as %d, budget %d: %#v, %d bytes, %d held", size, length, maxBytes, o, w.body.Len(), b.Held())
				}
			}
		}
	}
}

// TestHistoryWithoutRoomIsRefused guards against a prompt that exceeds the budget, and against a
// refused turn that was sent or stays reserved.
func TestHistoryWithoutRoomIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
		e := newStreamEntry(t, startStores(t), s)
		if o := e.Serve(t.Context(), newTurn("k", "one", "p", 50), &fakeWriter{}); o != (Completed{}) {
			t.Fatalf("%#v", o)
		}
		b := &membudget.Budget{MaxBytes: 1000, Metrics: tally.NoopScope}
		other := b.Open(nil)
		if err := other.ChargeBody(t.Context(), 1000); err != nil {
			t.Fatal(err)
		}
		next := newTurn("k", "two", "p", 50)
		next.PreviousTurn, next.Memory = "one", b.Open(nil)
		o, ok := e.Serve(t.Context(), next, &fakeWriter{}).(Rejected)
		if !ok || o.Status != http.StatusServiceUnavailable || o.RetryAfter != longRetryAfter || len(s.requests) != 1 {
			t.Errorf("%#v, %d requests were sent", o, len(s.requests))
		}
		other.Close()
		next = newTurn("k", "two", "p", 50)
		next.PreviousTurn, next.Memory = "one", b.Open(nil)
		if o := e.Serve(t.Context(), next, &fakeWriter{}); o != (Completed{}) || b.Held() == 0 {
			t.Errorf("%#v with %d bytes held", o, b.Held())
		}
	})
}

// TestGrownHistoriesShareAMemoryLimit guards against histories that have grown large, and take more than the memory of an instance
// without a budget for its clients, and against usual histories that are refused beside them.
func TestGrownHistoriesShareAMemoryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := "data: " + strings.Repeat("d", 2*freeStreamBytes) + "\n\n"
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, large), respond(200, event(1)), respond(200, event(1))}}
		e := newStreamEntry(t, startStores(t), s)
		for _, id := range []string{"large", "usual"} {
			if o := e.Serve(t.Context(), newTurn("k", id, id, 0), &fakeWriter{}); o != (Completed{}) {
				t.Fatalf("%#v", o)
			}
		}
		b := &membudget.Budget{MaxBytes: freeStreamBytes, Metrics: tally.NoopScope}
		other := b.Open(nil)
		if err := other.ChargeBody(t.Context(), freeStreamBytes); err != nil {
			t.Fatal(err)
		}
		e.SharedMemory = b
		next := func(id string) Outcome {
			r := newTurn("k", id+"-next", id, 0)
			r.PreviousTurn = id
			return e.Serve(t.Context(), r, &fakeWriter{})
		}
		o, ok := next("large").(Rejected)
		if !ok || o.Status != http.StatusServiceUnavailable || o.RetryAfter != longRetryAfter || len(s.requests) != 2 {
			t.Errorf("%#v, %d requests were sent", o, len(s.requests))
		}
		if o := next("usual"); o != (Completed{}) {
			t.Errorf("%#v", o)
		}
		other.Close()
		if held := b.Held(); held != 0 {
			t.Errorf("%d bytes are held after the requests", held)
		}
	})
}
