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

// hang is an endpoint behind a cut: the connection stays, and nothing comes any more.
// Some events may have come before.
func stalledEndpoint(before string) func(ctx context.Context, o EndpointRequest) (*Response, error) {
	return func(ctx context.Context, o EndpointRequest) (*Response, error) {
		if before == "" {
			<-ctx.Done()
			return connectionReset(o)
		}
		read, write := io.Pipe()
		go io.WriteString(write, before)
		context.AfterFunc(ctx, func() { read.CloseWithError(ctx.Err()) })
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: read}, nil
	}
}

// patient is the document of streams with a timeout that no test reaches.
func longTimeoutDocument() *fleetpb.Document {
	d := streamDocument()
	for _, r := range d.GetRoutes() {
		r.TimeoutMs = uint32((10 * time.Minute).Milliseconds())
	}
	return d
}

// TestUnreachableEndpointIsAbandoned: a client that hears at once tries elsewhere
// while there is time left. The requests have minutes, so that this hangs if they wait.
func TestUnreachableEndpointIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tests := []struct {
			name, route, before string
			want                Outcome
		}{
			{"a stream before its first event", "plain", "", Rejected{Status: http.StatusBadGateway}},
			{"a stream in its middle", "plain", event(1), Aborted{}},
			{"a turn that is kept", "k", event(1), Aborted{}},
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

// TestStallDetector: an endpoint that is reached may take its time.
func TestStallDetector(t *testing.T) {
	d := &domainHealth{}
	d.setUnreachable([]string{"far"})
	tests := []struct {
		name   string
		p      *stallDetector
		pause  time.Duration
		wanted bool
	}{
		{"a domain that is reached", &stallDetector{domains: d, domain: "near", streaming: true}, time.Minute, false},
		{"no endpoint yet", &stallDetector{domains: d}, time.Minute, false},
		{"a short pause in a cut", &stallDetector{domains: d, domain: "far", streaming: true}, unreachableStallTimeout - 1, false},
		{"a pause in a cut", &stallDetector{domains: d, domain: "far"}, unreachableStallTimeout, true},
		{"a queue elsewhere", &stallDetector{domains: d, domain: "near", canResume: true}, time.Minute, false},
		{"a stream that another can go on with", &stallDetector{domains: d, domain: "near", canResume: true, streaming: true}, stallTimeout, true},
	}
	for _, test := range tests {
		if got := test.p.isStalled(test.pause); got != test.wanted {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
