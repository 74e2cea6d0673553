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

// silentSender sends to endpoints that never answer.
type silentSender struct{ sent atomic.Int64 }

func (s *silentSender) Send(ctx context.Context, r EndpointRequest) (*Response, error) {
	s.sent.Add(1)
	<-ctx.Done()
	return nil, &OutcomeUnknownError{Endpoint: r.Endpoint.GetName(), Reason: "closed", Cause: net.ErrClosed}
}

// silentProber finds that endpoints answer nobody until answers is true.
type silentProber struct{ answers atomic.Bool }

func (p *silentProber) Probe(context.Context, *configpb.Endpoint, incarnation.ID, time.Time, int) ProbeResult {
	if p.answers.Load() {
		return ProbeAccepted
	}
	time.Sleep(probeTimeout)
	return ProbeUnanswered
}

// TestSilentEndpointsAreCounted guards against a request that is sent on while endpoints fall silent under it, because no end is
// known yet. Once they answer, it is sent again.
func TestSilentEndpointsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control, prober := &silentSender{}, &fakeControl{}, &silentProber{}
		attempt := func(id string) int {
			e := newSuspectEntry(t, s, control)
			e.Prober = prober
			changes, _ := control.registry.Changes(time.Now(), 0)
			e.ReceiveSuspects(changes)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			r := newRequest("/once/1")
			r.ID, r.Program, r.Body = id, "p", []byte("deadly")
			o := e.Serve(ctx, r, &fakeWriter{})
			// The client comes again before a probe is over.
			time.Sleep(10 * time.Millisecond)
			if rejected, ok := o.(Rejected); ok {
				return rejected.Status
			}
			return 0
		}
		last := 0
		for i := range 6 {
			last = attempt(fmt.Sprint(i))
		}
		if n := s.sent.Load(); n != quarantine.MaxEnds || last != http.StatusServiceUnavailable {
			t.Errorf("sent to %d endpoints, status %d at last", n, last)
		}
		prober.answers.Store(true)
		time.Sleep(time.Minute)
		attempt("later")
		if n := s.sent.Load(); n != quarantine.MaxEnds+1 {
			t.Errorf("sent to %d endpoints after all answer", n)
		}
		time.Sleep(time.Minute)
	})
}
