// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/lease"
	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// fakeSender returns scripted responses in order and repeats the last one.
type fakeSender struct {
	responses []func(r EndpointRequest) (*Response, error)
	requests  []EndpointRequest
}

func (s *fakeSender) Send(_ context.Context, r EndpointRequest) (*Response, error) {
	f := s.responses[min(len(s.requests), len(s.responses)-1)]
	s.requests = append(s.requests, r)
	return f(r)
}

func respond(status int, body string) func(EndpointRequest) (*Response, error) {
	return func(EndpointRequest) (*Response, error) {
		return &Response{Status: status, Header: http.Header{}, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func notExecuted(r EndpointRequest) (*Response, error) {
	return nil, &NotExecutedError{Endpoint: r.Endpoint.GetName(), Reason: "full", Busy: true}
}

func connectionReset(r EndpointRequest) (*Response, error) {
	return nil, &OutcomeUnknownError{Endpoint: r.Endpoint.GetName(), Reason: "reset"}
}

// brokenReader returns an error instead of io.EOF.
type brokenReader struct{ io.Reader }

func (r brokenReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("reset")
	}
	return n, err
}

func truncated(body string) func(EndpointRequest) (*Response, error) {
	return func(EndpointRequest) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(brokenReader{strings.NewReader(body)})}, nil
	}
}

// fakeWriter records the response that the client gets.
type fakeWriter struct {
	status int
	body   bytes.Buffer
	// last is true if the end of the body may be flushed with the end of the response.
	last bool
}

func (w *fakeWriter) Start(status int, _ http.Header, _ int64) { w.status = status }
func (w *fakeWriter) Write(b []byte) error                     { _, err := w.body.Write(b); return err }
func (w *fakeWriter) WriteLast(b []byte) error                 { w.last = true; return w.Write(b) }

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// newEntry returns an entry with one service of three endpoints and a route of each kind.
func newEntry(t *testing.T, sender Sender) *Entry {
	w := &watch.Client{Self: &fleetpb.Member{Instance: "entry"}, Log: discardLogger()}
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	e := &Entry{
		Domain: "a", Watch: w, Sender: sender, Log: w.Log, Metrics: tally.NoopScope, Lease: &lease.Lease{}, Quota: &quota.Limiter{},
		Stores: &stores.Client{Watch: w, Pool: pool, TurnCache: &stores.Cache{MaxBytes: 1 << 16}},
		Decode: func([]byte) (*fleetpb.Document, error) { return testDocument(), nil },
	}
	e.Init()
	w.UpdateState(&fleetpb.State{Number: 1, Configuration: &fleetpb.Configuration{Version: 1}, View: &fleetpb.View{Epoch: 1, Copies: 3}})
	w.UpdateList(endpointList(1), time.Now())
	e.refresh()
	return e
}

// refresh applies the newest configuration and endpoint list.
func (e *Entry) refresh() {
	e.updateTable(context.Background(), time.Now())
	e.updateFleet(time.Now())
}

func endpointList(number uint64, draining ...string) *fleetpb.EndpointList {
	l := &fleetpb.EndpointList{Number: number}
	for _, id := range []string{"x", "y", "z"} {
		p := &fleetpb.Endpoint{Id: id, Service: "s", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 4}
		for _, d := range draining {
			p.Draining = p.Draining || d == id
		}
		l.Endpoints = append(l.Endpoints, p)
	}
	return l
}

func testDocument() *fleetpb.Document {
	route := func(name string, kind fleetpb.RouteKind) *fleetpb.Route {
		return &fleetpb.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 1000, MaxAttempts: 2,
			Shares: []*fleetpb.Share{{Service: "s", Weight: 1}},
		}
	}
	turn := route("turn", fleetpb.RouteKind_ROUTE_KIND_STREAM)
	turn.History, turn.RetainMs = true, 1000
	return &fleetpb.Document{Version: 1, Services: []*fleetpb.Service{{Name: "s", MaxConnections: 10, TokensPerEvent: 3}}, Routes: []*fleetpb.Route{
		route("repeat", fleetpb.RouteKind_ROUTE_KIND_REPEATABLE), route("once", fleetpb.RouteKind_ROUTE_KIND_ONCE), turn,
	}}
}

func newRequest(path string) *Request {
	return &Request{ID: "r", Method: "GET", Host: "h", Path: path, Target: path, Header: http.Header{}, Arrived: time.Now()}
}

func TestRetries(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		responses []func(EndpointRequest) (*Response, error)
		// status is the client's, dispatches the number of endpoints that got the request.
		status, dispatches int
	}{
		{"success", "/repeat/1", []func(EndpointRequest) (*Response, error){respond(200, "ok")}, 200, 1},
		{"no route", "/none/1", nil, 404, 0},
		{"repeatable after a lost connection", "/repeat/1", []func(EndpointRequest) (*Response, error){connectionReset, respond(200, "ok")}, 200, 2},
		{"repeatable after a truncated response", "/repeat/1", []func(EndpointRequest) (*Response, error){truncated("half"), respond(200, "ok")}, 200, 2},
		{"repeatable up to the maximum attempts", "/repeat/1", []func(EndpointRequest) (*Response, error){connectionReset}, 502, 2},
		{"not repeatable after a lost connection", "/once/1", []func(EndpointRequest) (*Response, error){connectionReset, respond(200, "ok")}, 502, 1},
		{"not repeatable after a truncated response", "/once/1", []func(EndpointRequest) (*Response, error){truncated("half"), respond(200, "ok")}, 502, 1},
		{"not repeatable but not executed", "/once/1", []func(EndpointRequest) (*Response, error){notExecuted, respond(200, "ok")}, 200, 2},
		{"all endpoints at capacity", "/once/1", []func(EndpointRequest) (*Response, error){notExecuted}, 503, 3},
		{"one may have executed it, the others are at capacity", "/repeat/1", []func(EndpointRequest) (*Response, error){connectionReset, notExecuted}, 502, 3},
		{"error response", "/once/1", []func(EndpointRequest) (*Response, error){respond(500, "bad")}, 500, 1},
	}
	for _, test := range tests {
		s := &fakeSender{responses: test.responses}
		w := &fakeWriter{}
		o := newEntry(t, s).Serve(t.Context(), newRequest(test.path), w)
		status := w.status
		if r, ok := o.(Rejected); ok {
			status = r.Status
		}
		if status != test.status || len(s.requests) != test.dispatches {
			t.Errorf("%s: status %d after %d dispatches, want %d after %d (%v)", test.name, status, len(s.requests), test.status, test.dispatches, o)
		}
		for i, r := range s.requests {
			for _, earlier := range s.requests[:i] {
				if earlier.Endpoint.GetName() == r.Endpoint.GetName() {
					t.Errorf("%s: endpoint %s got the request twice", test.name, r.Endpoint.GetName())
				}
			}
		}
	}
}

func TestDrainingEndpointGetsNoRequestsAfterOlderList(t *testing.T) {
	s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, "ok")}}
	e := newEntry(t, s)
	e.Watch.UpdateList(endpointList(2, "x", "y"), time.Now())
	e.refresh()
	e.Watch.UpdateList(endpointList(3), time.Now())
	e.refresh()
	for range 20 {
		e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{})
	}
	for _, o := range s.requests {
		if o.Endpoint.GetName() != "z" {
			t.Fatalf("draining endpoint %s got a request", o.Endpoint.GetName())
		}
	}
}

func TestNoConfigurationIsTemporaryRefusal(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	e.table.Store(nil)
	o, ok := e.Serve(t.Context(), newRequest("/none/1"), &fakeWriter{}).(Rejected)
	if !ok || o.Status != http.StatusServiceUnavailable || o.RetryAfter == 0 {
		t.Errorf("got %+v, want 503 with a retry time", o)
	}
	if ready, _ := e.Ready(); ready {
		t.Error("ready without a configuration")
	}
}

func TestTurnIsReservedBeforeDispatch(t *testing.T) {
	s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, "data: x\n\n")}}
	e := newEntry(t, s)
	// The view has no stores, so reservations fail.
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	o, ok := e.Serve(ctx, newRequest("/turn/1"), &fakeWriter{}).(Rejected)
	if !ok || o.Status != http.StatusServiceUnavailable || o.RetryAfter == 0 {
		t.Errorf("%+v", o)
	}
	if len(s.requests) > 0 {
		t.Error("an endpoint got a turn without a reservation")
	}
}

func TestEventScannerAtAnyReadBoundary(t *testing.T) {
	text := "id: 1\ndata: one\n\nid: 2\r\ndata:two\r\n\r\n: comment\n\ndata: a\ndata: b\n\n"
	for cut := range text {
		var s eventScanner
		s.scan([]byte(text[:cut]))
		s.scan([]byte(text[cut:]))
		if string(s.output) != "one\ntwo\na\nb\n" || s.count != 3 || !s.isComplete() {
			t.Fatalf("cut at %d: %q, %d events", cut, s.output, s.count)
		}
	}
	var s eventScanner
	s.scan([]byte("data: one\n\ndata: tw"))
	if s.isComplete() {
		t.Error("a stream that ends inside an event is complete")
	}
}

func TestNotReadyWhenMostOfDomainIsLost(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	counts := func(serving, known, elsewhere uint32) []*fleetpb.EntryDomain {
		return []*fleetpb.EntryDomain{
			{FailureDomain: "a", Known: known, Serving: serving}, {FailureDomain: "b", Known: 2, Serving: elsewhere},
		}
	}
	tests := []struct {
		name   string
		counts []*fleetpb.EntryDomain
		ready  bool
	}{
		{"no counts", nil, true},
		{"all serving", counts(3, 3, 2), true},
		{"half serving", counts(1, 2, 2), true},
		{"one of three serving", counts(1, 3, 2), false},
		{"no other domain has a majority", counts(1, 3, 0), true},
		{"others send heartbeats but do not serve yet", []*fleetpb.EntryDomain{
			{FailureDomain: "a", Known: 3, Heard: 3, Serving: 1}, {FailureDomain: "b", Known: 2, Heard: 2, Serving: 2},
		}, true},
		{"others send no heartbeats", []*fleetpb.EntryDomain{
			{FailureDomain: "a", Known: 3, Heard: 1, Serving: 1}, {FailureDomain: "b", Known: 2, Heard: 2, Serving: 2},
		}, false},
	}
	for _, test := range tests {
		e.Watch.ApplyReply(&fleetpb.WatchReply{EntryDomains: test.counts})
		if ready, reason := e.Ready(); ready != test.ready {
			t.Errorf("%s: ready %v (%s), want %v", test.name, ready, reason, test.ready)
		}
		if ok, reason := e.CanServe(); !ok {
			t.Errorf("%s: CanServe is false (%s), which would make other instances not ready too", test.name, reason)
		}
	}
}

// TestNotReadyWhenStartedInPartition guards against an instance that got its state from a control
// instance on its side of a partition and reports ready without reaching most voters and stores.
func TestNotReadyWhenStartedInPartition(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	var members []*fleetpb.Member
	for _, name := range []string{"1", "2", "3"} {
		members = append(members, &fleetpb.Member{Instance: name, Storage: uint64(len(members) + 1), FailureDomain: "b"})
	}
	e.Watch.UpdateState(&fleetpb.State{Number: 2, Configuration: &fleetpb.Configuration{Version: 1},
		Voters: members, View: &fleetpb.View{Epoch: 1, Copies: 3, Members: members}})
	if ready, _ := e.Ready(); ready {
		t.Error("ready without any response from stores or voters")
	}
}

// TestNotReadyWithoutStores guards against reporting ready at the first start, when every turn would
// be rejected for lack of stores.
func TestNotReadyWithoutStores(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	if ready, reason := e.Ready(); !ready {
		t.Fatal(reason)
	}
	e.Watch = &watch.Client{Log: e.Log}
	e.Watch.UpdateState(&fleetpb.State{Number: 1, Configuration: &fleetpb.Configuration{Version: 1}})
	if ready, _ := e.Ready(); ready {
		t.Error("ready without a store view")
	}
}

// TestLoadsOfOtherListAreIgnored guards against mixing up endpoints: loads are indexed by list position.
func TestLoadsOfOtherListAreIgnored(t *testing.T) {
	s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, "ok")}}
	e := newEntry(t, s)
	e.ReceiveLoads(&fleetpb.EndpointLoads{ListNumber: 99, Running: []uint32{9, 9, 9}, Failing: []uint32{90, 90, 90}})
	e.ReceiveLoads(&fleetpb.EndpointLoads{ListNumber: 1, Running: []uint32{9}, Failing: []uint32{90}})
	number := e.fleet.Load().snapshot.List().GetNumber()
	e.ReceiveLoads(&fleetpb.EndpointLoads{ListNumber: number, Running: []uint32{0, 0, 0}, Failing: []uint32{90, 90, 0}})
	for range 6 {
		e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{})
	}
	for _, r := range s.requests {
		if r.Endpoint.GetName() != "z" {
			t.Errorf("%s is failing at other instances and got a request", r.Endpoint.GetName())
		}
	}
	if uses := e.EndpointUses(); len(uses) != 1 || uses[0].Life.EndpointID != "z" || uses[0].Answered != 6 {
		t.Errorf("got %v, want six answered calls at z", uses)
	}
}
