// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/schema/fleetpb"
)

// singleEndpointList returns a list with one endpoint of the given incarnation.
func singleEndpointList(number, startMS uint64) *fleetpb.EndpointList {
	return &fleetpb.EndpointList{Number: number, Endpoints: []*fleetpb.Endpoint{
		{Id: "x", Service: "s", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 4, BornMs: startMS},
	}}
}

// applyList applies an endpoint list.
func (e *Entry) applyList(l *fleetpb.EndpointList) {
	e.Watch.UpdateList(l, time.Now())
	e.refresh()
}

// TestNewIncarnationHasNoFailures guards against ejecting a restarted endpoint for the failures before
// its restart.
func TestNewIncarnationHasNoFailures(t *testing.T) {
	s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){connectionReset, connectionReset, connectionReset, respond(200, "ok")}}
	e := newEntry(t, s)
	e.applyList(singleEndpointList(2, 1000))
	for range 3 {
		e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{})
	}
	if out := e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{}); out == (Completed{}) {
		t.Fatal("an endpoint that fails is still used")
	}
	// The start time may be earlier if the clock was set back.
	e.applyList(singleEndpointList(3, 900))
	if out := e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{}); out != (Completed{}) {
		t.Errorf("%v, want a response from the new incarnation", out)
	}
}

// TestSessionLeavesRestartedEndpoint guards against keeping sessions at an endpoint that has lost their
// prompts in a restart.
func TestSessionLeavesRestartedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
		e := newStreamEntry(t, view, s)
		number := uint64(10)
		apply := func(startMS func(id string) uint64) {
			l := endpointList(number)
			number++
			for _, p := range l.GetEndpoints() {
				p.BornMs = startMS(p.GetId())
			}
			e.applyList(l)
		}
		apply(func(string) uint64 { return 1000 })
		e.Serve(t.Context(), newTurn("r", "first", "moving", 500), &fakeWriter{})
		awaitSettled(t, e, "moving", 9)
		first := s.requests[0].Endpoint.GetName()
		apply(func(id string) uint64 {
			if id == first {
				return 2000
			}
			return 1000
		})
		// The endpoint is busier than the others, which alone does not end affinity.
		running := map[string]uint32{first: 2}
		loads := &fleetpb.EndpointLoads{ListNumber: number - 1, Failing: make([]uint32, 3)}
		for _, p := range e.Watch.List().List().GetEndpoints() {
			loads.Running = append(loads.Running, running[p.GetId()])
		}
		e.ReceiveLoads(loads)
		for n := range 3 {
			e.Serve(t.Context(), newTurn("r", fmt.Sprint("later", n), "moving", 500), &fakeWriter{})
			awaitSettled(t, e, "moving", 9*(n+2))
		}
		for _, r := range s.requests[1:] {
			if r.Endpoint.GetName() == first {
				t.Error("the session returned to a restarted endpoint")
			}
		}
	})
}

// TestStaleListDoesNotRevertIncarnation guards against sending requests to a draining endpoint because
// a stale list has its previous incarnation as ready.
func TestStaleListDoesNotRevertIncarnation(t *testing.T) {
	s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, "ok")}}
	e := newEntry(t, s)
	e.applyList(singleEndpointList(2, 1000))
	e.applyList(singleEndpointList(3, 2000))
	draining := singleEndpointList(4, 2000)
	draining.Endpoints[0].Draining = true
	e.applyList(draining)
	e.applyList(singleEndpointList(5, 1000))
	if out := e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{}); out == (Completed{}) {
		t.Error("a stale list made a draining endpoint usable")
	}
	e.applyList(singleEndpointList(6, 3000))
	if out := e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{}); out != (Completed{}) {
		t.Errorf("%v, want a response from the next incarnation", out)
	}
}

// TestLoadsOfEndedIncarnationAreIgnored checks loads for a stale list that contains an ended incarnation.
func TestLoadsOfEndedIncarnationAreIgnored(t *testing.T) {
	s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, "ok")}}
	e := newEntry(t, s)
	e.applyList(singleEndpointList(2, 1000))
	e.applyList(singleEndpointList(3, 2000))
	e.applyList(singleEndpointList(4, 1000))
	failing := &fleetpb.EndpointLoads{ListNumber: 4, Running: []uint32{4}, Failing: []uint32{100}}
	e.ReceiveLoads(failing)
	before := e.fleet.Load().Slots(time.Now(), placement.Class{Service: "s"}, 4)
	e.applyList(singleEndpointList(5, 2000))
	failing.ListNumber = 5
	e.ReceiveLoads(failing)
	after := e.fleet.Load().Slots(time.Now(), placement.Class{Service: "s"}, 4)
	if before <= after {
		t.Errorf("%d slots while an ended incarnation is reported as busy, %d while the current one is", before, after)
	}
}

// respondReconnected responds over a new connection in place of an idle one that the endpoint had closed.
func respondReconnected(r EndpointRequest) (*Response, error) {
	resp, err := respond(200, "ok")(r)
	resp.Reconnected = true
	return resp, err
}

// TestPossibleRestartsAreReported checks that lost calls, truncated responses and closed idle connections are reported as
// possible restarts, and rejections of a busy endpoint are not.
func TestPossibleRestartsAreReported(t *testing.T) {
	for name, tt := range map[string]struct {
		respond func(EndpointRequest) (*Response, error)
		want    uint64
	}{
		"success": {respond(200, "ok"), 0}, "at capacity": {notExecuted, 0}, "lost": {connectionReset, 1}, "truncated": {truncated("par"), 1}, "reconnected": {respondReconnected, 1},
	} {
		e := newEntry(t, &fakeSender{responses: []func(EndpointRequest) (*Response, error){tt.respond}})
		e.applyList(singleEndpointList(2, 1000))
		e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{})
		var lost uint64
		for _, u := range e.EndpointUses() {
			lost += u.Lost
		}
		if lost != tt.want {
			t.Errorf("%s: %d losses reported, want %d", name, lost, tt.want)
		}
	}
}

// TestStoresKeepIncarnation checks that another instance gets the incarnation of a program's last endpoint from the stores,
// with and without stored history.
func TestStoresKeepIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, path := range []string{"r", "k"} {
			s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
			for n, startMS := range []uint64{1000, 2000} {
				e := newStreamEntry(t, view, s)
				e.applyList(singleEndpointList(10, startMS))
				r := newTurn(path, fmt.Sprint(path, n), "kept-"+path, 500)
				if n > 0 && path == "k" {
					r.PreviousTurn = path + "0"
				}
				x := &exchange{entry: e, request: r, table: e.table.Load(), route: routeOf(t, e, r)}
				if n == 0 {
					e.Serve(t.Context(), r, &fakeWriter{})
					awaitSettled(t, e, "kept-"+path, 9)
					continue
				}
				x.handling, x.deadline = handlingOf(x.route, r), time.Now().Add(time.Second)
				if o := x.prepare(t.Context()); o != nil || x.previous.EndpointID != "x" || x.previous.StartMS != 1000 {
					t.Errorf("%s: %v, %v, want the incarnation that served the previous turn", path, o, x.previous)
				}
			}
		}
	})
}

func routeOf(t *testing.T, e *Entry, r *Request) *fleetpb.Route {
	t.Helper()
	route, ok := e.table.Load().Match(r.Host, r.Path)
	if !ok {
		t.Fatal("no route")
	}
	return route
}
