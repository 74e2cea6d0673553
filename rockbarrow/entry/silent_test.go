// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/schema/configpb"
)

// silentSender sends to endpoints that accept connections and answer nothing until answers is true.
type silentSender struct {
	answers atomic.Bool
	sent    atomic.Int64
}

func (s *silentSender) Send(ctx context.Context, r EndpointRequest) (*Response, error) {
	s.sent.Add(1)
	if s.answers.Load() {
		return respond(http.StatusOK, "ok")(r)
	}
	<-ctx.Done()
	return nil, &OutcomeUnknownError{Endpoint: r.Endpoint.GetName(), Reason: "closed", Cause: net.ErrClosed}
}

func (s *silentSender) Probe(context.Context, *configpb.Endpoint, incarnation.ID, time.Time, int) ProbeResult {
	return ProbeAccepted
}

// serveFor serves one attempt of a program, and returns the status. The client comes again soon.
func serveFor(ctx context.Context, e *Entry, path, id, program string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, w := newRequest(path), &fakeWriter{}
	r.ID, r.Program, r.Body = id, program, []byte(program)
	o := e.Serve(ctx, r, w)
	time.Sleep(10 * time.Millisecond)
	if rejected, ok := o.(Rejected); ok {
		return rejected.Status
	}
	return w.status
}

// TestSilentEndpointsAreCounted guards against a request that is sent on while endpoints fall silent under it, because no end is
// known yet. Once they answer other requests, it is sent again.
func TestSilentEndpointsAreCounted(t *testing.T) {
	for _, path := range []string{"/once/1", "/repeat/1"} {
		synctest.Test(t, func(t *testing.T) {
			s, control := &silentSender{}, &fakeControl{}
			var entries []*Entry
			last := 0
			for i := range 6 {
				e := newSuspectEntry(t, s, control)
				e.Prober = s
				entries = append(entries, e)
				changes, _ := control.registry.Changes(time.Now(), 0)
				e.ReceiveSuspects(changes)
				last = serveFor(t.Context(), e, path, fmt.Sprint(i), "deadly")
			}
			if n := s.sent.Load(); n != quarantine.MaxEnds || last != http.StatusServiceUnavailable {
				t.Errorf("%s: sent to %d endpoints, status %d at last", path, n, last)
			}
			for _, answers := range []bool{false, true} {
				s.answers.Store(answers)
				for _, e := range entries {
					for i := range 30 {
						serveFor(t.Context(), e, "/once/1", fmt.Sprint(i), fmt.Sprint("innocent", i))
					}
				}
				time.Sleep(time.Minute)
				if status := serveFor(t.Context(), entries[0], path, "between", "deadly"); !answers && status != http.StatusServiceUnavailable {
					t.Errorf("%s: status %d although other requests got no answer either", path, status)
				}
			}
			if status := serveFor(t.Context(), entries[0], path, "later", "deadly"); status != http.StatusOK {
				t.Errorf("%s: status %d after all answer", path, status)
			}
		})
	}
}
