// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// stalledEndpoint simulates a partitioned endpoint: it sends the events of before, and then nothing
// while the connection stays open.
func stalledEndpoint(before string) func(ctx context.Context, r EndpointRequest) (*Response, error) {
	return func(ctx context.Context, r EndpointRequest) (*Response, error) {
		if before == "" {
			<-ctx.Done()
			return connectionReset(r)
		}
		read, write := io.Pipe()
		go io.WriteString(write, before)
		context.AfterFunc(ctx, func() { read.CloseWithError(ctx.Err()) })
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: read}, nil
	}
}

// longTimeoutDocument is streamDocument with a timeout that no test reaches.
func longTimeoutDocument() *fleetpb.Document {
	d := streamDocument()
	for _, r := range d.GetRoutes() {
		r.TimeoutMs = uint32((10 * time.Minute).Milliseconds())
	}
	return d
}

// TestUnreachableEndpointIsAbandoned guards against waiting for an endpoint in an unreachable failure
// domain. The requests have minutes left, so that a wait makes the test hang.
func TestUnreachableEndpointIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tests := []struct {
			name, route, before string
			want                Outcome
		}{
			{"a stream before its first event", "plain", "", Rejected{Status: http.StatusBadGateway}},
			{"a started stream", "plain", event(1), Aborted{}},
			{"a turn with stored history", "k", event(1), Aborted{}},
		}
		view := startStores(t)
		for _, test := range tests {
			e := newStreamEntry(t, view, senderFunc(stalledEndpoint(test.before)))
			e.domains.setUnreachable([]string{"a", "b"})
			e.Decode = func([]byte) (*fleetpb.Document, error) { return longTimeoutDocument(), nil }
			e.table.Store(nil)
			e.refresh()
			switch o := e.Serve(t.Context(), newTurn(test.route, test.name, "p "+test.name, 0), &fakeWriter{}).(type) {
			case Rejected:
				if want, ok := test.want.(Rejected); !ok || want.Status != o.Status {
					t.Errorf("%s: %#v", test.name, o)
				}
			case Aborted:
				if _, ok := test.want.(Aborted); !ok {
					t.Errorf("%s: %#v", test.name, o)
				}
			default:
				t.Errorf("%s: %#v", test.name, o)
			}
		}
	})
}

// TestStallDetector checks which pauses count as stalls. A reachable endpoint may be slow.
func TestStallDetector(t *testing.T) {
	d := &domainHealth{}
	d.setUnreachable([]string{"far"})
	tests := []struct {
		name  string
		p     *stallDetector
		pause time.Duration
		want  bool
	}{
		{"reachable domain", &stallDetector{domains: d, domain: "near", streaming: true}, time.Minute, false},
		{"no endpoint chosen", &stallDetector{domains: d}, time.Minute, false},
		{"short pause in an unreachable domain", &stallDetector{domains: d, domain: "far", streaming: true}, unreachableStallTimeout - 1, false},
		{"pause in an unreachable domain", &stallDetector{domains: d, domain: "far"}, unreachableStallTimeout, true},
		{"queued at a reachable endpoint", &stallDetector{domains: d, domain: "near", canResume: true, mayResume: func() bool { return true }}, time.Minute, false},
		{"resumable stream", &stallDetector{domains: d, domain: "near", canResume: true, mayResume: func() bool { return true }, streaming: true}, stallTimeout, true},
	}
	for _, test := range tests {
		if got := test.p.isStalled(test.pause); got != test.want {
			t.Errorf("%s: stalled is %v, want %v", test.name, got, test.want)
		}
	}
}

// TestStallIsDetectedInTime guards against checks that are late because of the events before
// a pause.
func TestStallIsDetectedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		far := &domainHealth{}
		far.setUnreachable([]string{"far"})
		for _, test := range []struct {
			detector *stallDetector
			want     time.Duration
		}{
			{&stallDetector{domains: &domainHealth{}, domain: "near", canResume: true, mayResume: func() bool { return true }}, stallTimeout},
			{&stallDetector{domains: far, domain: "far"}, unreachableStallTimeout},
		} {
			d := test.detector
			cancelled := make(chan time.Time, 1)
			d.cancel, d.lastProgress = func() { cancelled <- time.Now() }, time.Now()
			d.start()
			for range 7 {
				<-time.After(170 * time.Millisecond)
				d.recordProgress()
			}
			last := time.Now()
			if got := (<-cancelled).Sub(last); got < test.want || got > test.want+stallCheckInterval {
				t.Errorf("cancelled %v after the last event, want %v", got, test.want)
			}
			d.stop()
		}
	})
}
