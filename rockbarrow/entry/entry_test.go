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

// fakeSender answers offers from a list, the last one for ever.
type fakeSender struct {
	answers []func(o EndpointRequest) (*Response, error)
	offers  []EndpointRequest
}

func (s *fakeSender) Send(_ context.Context, o EndpointRequest) (*Response, error) {
	f := s.answers[min(len(s.offers), len(s.answers)-1)]
	s.offers = append(s.offers, o)
	return f(o)
}

func respond(status int, body string) func(EndpointRequest) (*Response, error) {
	return func(EndpointRequest) (*Response, error) {
		return &Response{Status: status, Header: http.Header{}, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func notExecuted(o EndpointRequest) (*Response, error) {
	return nil, &NotExecutedError{Endpoint: o.Endpoint.GetName(), Reason: "full", Busy: true}
}

func connectionReset(o EndpointRequest) (*Response, error) {
	return nil, &OutcomeUnknownError{Endpoint: o.Endpoint.GetName(), Reason: "reset"}
}

// brokenReader fails after its text.
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

// fakeOut keeps what the client sees.
type fakeWriter struct {
	status int
	body   bytes.Buffer
}

func (o *fakeWriter) Start(status int, _ http.Header, _ int64) { o.status = status }
func (o *fakeWriter) Write(b []byte) error                     { _, err := o.body.Write(b); return err }

// quiet drops all log lines.
func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// newEntry returns an entry with one service of three endpoints and a route of
// each kind.
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

// refresh takes over all news at once.
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
		name    string
		path    string
		answers []func(EndpointRequest) (*Response, error)
		// status is what the client sees, offers how many endpoints were asked.
		status, offers int
	}{
		{"served", "/repeat/1", []func(EndpointRequest) (*Response, error){respond(200, "ok")}, 200, 1},
		{"no route", "/none/1", nil, 404, 0},
		{"a repeatable one is tried again", "/repeat/1", []func(EndpointRequest) (*Response, error){connectionReset, respond(200, "ok")}, 200, 2},
		{"and again after a lost answer", "/repeat/1", []func(EndpointRequest) (*Response, error){truncated("half"), respond(200, "ok")}, 200, 2},
		{"but not for ever", "/repeat/1", []func(EndpointRequest) (*Response, error){connectionReset}, 502, 2},
		{"an unrepeatable one is not", "/once/1", []func(EndpointRequest) (*Response, error){connectionReset, respond(200, "ok")}, 502, 1},
		{"nor after a lost answer", "/once/1", []func(EndpointRequest) (*Response, error){truncated("half"), respond(200, "ok")}, 502, 1},
		{"unless it did not run", "/once/1", []func(EndpointRequest) (*Response, error){notExecuted, respond(200, "ok")}, 200, 2},
		{"all are full", "/once/1", []func(EndpointRequest) (*Response, error){notExecuted}, 503, 3},
		{"one may have run, the others are full", "/repeat/1", []func(EndpointRequest) (*Response, error){connectionReset, notExecuted}, 502, 3},
		{"the endpoint's own failure", "/once/1", []func(EndpointRequest) (*Response, error){respond(500, "bad")}, 500, 1},
	}
	for _, test := range tests {
		s := &fakeSender{answers: test.answers}
		out := &fakeWriter{}
		o := newEntry(t, s).Serve(t.Context(), newRequest(test.path), out)
		status := out.status
		if r, ok := o.(Rejected); ok {
			status = r.Status
		}
		if status != test.status || len(s.offers) != test.offers {
			t.Errorf("%s: status %d after %d offers, want %d after %d (%v)", test.name, status, len(s.offers), test.status, test.offers, o)
		}
		for i, offer := range s.offers {
			for _, o := range s.offers[:i] {
				if o.Endpoint.GetName() == offer.Endpoint.GetName() {
					t.Errorf("%s: endpoint %s was asked twice", test.name, o.Endpoint.GetName())
				}
			}
		}
	}
}

func TestDrainingEndpointGetsNoRequestsAfterOlderList(t *testing.T) {
	s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, "ok")}}
	e := newEntry(t, s)
	e.Watch.UpdateList(endpointList(2, "x", "y"), time.Now())
	e.refresh()
	e.Watch.UpdateList(endpointList(3), time.Now())
	e.refresh()
	for range 20 {
		e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{})
	}
	for _, o := range s.offers {
		if o.Endpoint.GetName() != "z" {
			t.Fatalf("%s is leaving and got a request", o.Endpoint.GetName())
		}
	}
}

func TestNoConfigurationIsTemporaryRefusal(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	e.table.Store(nil)
	o, ok := e.Serve(t.Context(), newRequest("/none/1"), &fakeWriter{}).(Rejected)
	if !ok || o.Status != http.StatusServiceUnavailable || o.RetryAfter == 0 {
		t.Errorf("%+v, want 503 with a time to come back", o)
	}
	if ready, _ := e.Ready(); ready {
		t.Error("ready without a configuration")
	}
}

func TestTurnIsReservedBeforeDispatch(t *testing.T) {
	s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, "data: x\n\n")}}
	e := newEntry(t, s)
	// The view has no stores, so that no reservation can be made.
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	o, ok := e.Serve(ctx, newRequest("/turn/1"), &fakeWriter{}).(Rejected)
	if !ok || o.Status != http.StatusServiceUnavailable || o.RetryAfter == 0 {
		t.Errorf("%+v", o)
	}
	if len(s.offers) > 0 {
		t.Error("an endpoint heard of a turn that is not reserved")
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
		t.Error("a stream that ends inside an event counts as whole")
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
		{"nothing is known", nil, true},
		{"all serve", counts(3, 3, 2), true},
		{"half of them are enough", counts(1, 2, 2), true},
		{"one of three is left", counts(1, 3, 2), false},
		{"the others are no better off", counts(1, 3, 0), true},
		{"the others are heard and begin to serve after a loss of power", []*fleetpb.EntryDomain{
			{FailureDomain: "a", Known: 3, Heard: 3, Serving: 1}, {FailureDomain: "b", Known: 2, Heard: 2, Serving: 2},
		}, true},
		{"the others are silent", []*fleetpb.EntryDomain{
			{FailureDomain: "a", Known: 3, Heard: 1, Serving: 1}, {FailureDomain: "b", Known: 2, Heard: 2, Serving: 2},
		}, false},
	}
	for _, test := range tests {
		e.Watch.ApplyReply(&fleetpb.WatchReply{EntryDomains: test.counts})
		if ready, why := e.Ready(); ready != test.ready {
			t.Errorf("%s: ready %v %s", test.name, ready, why)
		}
		if serves, _ := e.CanServe(); !serves {
			t.Errorf("%s: the instance says that it does not serve, and so keeps others back too", test.name)
		}
	}
}

// TestNotReadyWhenStartedInPartition: it has learned a state from the
// control instance beside it, but neither most voters nor most stores answer. One
// instance that calls itself ready keeps a whole failure domain in the balancer.
func TestNotReadyWhenStartedInPartition(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	var members []*fleetpb.Member
	for _, name := range []string{"1", "2", "3"} {
		members = append(members, &fleetpb.Member{Instance: name, Storage: uint64(len(members) + 1), FailureDomain: "b"})
	}
	e.Watch.UpdateState(&fleetpb.State{Number: 2, Configuration: &fleetpb.Configuration{Version: 1},
		Voters: members, View: &fleetpb.View{Epoch: 1, Copies: 3, Members: members}})
	if ready, _ := e.Ready(); ready {
		t.Error("ready although no store and no voter has ever answered")
	}
}

// TestNotReadyWithoutStores: at a first start it called itself ready with a configuration and no
// stores, and refused each turn.
func TestNotReadyWithoutStores(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	if ready, why := e.Ready(); !ready {
		t.Fatal(why)
	}
	e.Watch = &watch.Client{Log: e.Log}
	e.Watch.UpdateState(&fleetpb.State{Number: 1, Configuration: &fleetpb.Configuration{Version: 1}})
	if ready, _ := e.Ready(); ready {
		t.Error("ready although no store is chosen")
	}
}

// TestLoadsOfOtherListAreIgnored: loads go by the order of a list.
func TestLoadsOfOtherListAreIgnored(t *testing.T) {
	s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, "ok")}}
	e := newEntry(t, s)
	e.ReceiveLoads(&fleetpb.EndpointLoads{ListNumber: 99, Running: []uint32{9, 9, 9}, Failing: []uint32{90, 90, 90}})
	e.ReceiveLoads(&fleetpb.EndpointLoads{ListNumber: 1, Running: []uint32{9}, Failing: []uint32{90}})
	number := e.fleet.Load().reading.List().GetNumber()
	e.ReceiveLoads(&fleetpb.EndpointLoads{ListNumber: number, Running: []uint32{0, 0, 0}, Failing: []uint32{90, 90, 0}})
	for range 6 {
		e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{})
	}
	for _, o := range s.offers {
		if o.Endpoint.GetName() != "z" {
			t.Errorf("%s fails for others and got a request", o.Endpoint.GetName())
		}
	}
	if uses := e.EndpointUses(); len(uses) != 1 || uses[0].Life.EndpointID != "z" || uses[0].Answered != 6 {
		t.Errorf("%v, want six answered calls at z", uses)
	}
}
