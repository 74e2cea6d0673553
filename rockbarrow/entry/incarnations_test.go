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

// lifeOf is a list with one endpoint, of a life.
func singleEndpointList(number, bornMS uint64) *fleetpb.EndpointList {
	return &fleetpb.EndpointList{Number: number, Endpoints: []*fleetpb.Endpoint{
		{Id: "x", Service: "s", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 4, BornMs: bornMS},
	}}
}

// hear takes over a list.
func (e *Entry) applyList(l *fleetpb.EndpointList) {
	e.Watch.UpdateList(l, time.Now())
	e.refresh()
}

// TestNewIncarnationHasNoFailures: an endpoint that had failed and started again under its id got
// nothing for up to 30 s, although nothing was known of it.
func TestNewIncarnationHasNoFailures(t *testing.T) {
	s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){connectionReset, connectionReset, connectionReset, respond(200, "ok")}}
	e := newEntry(t, s)
	e.applyList(singleEndpointList(2, 1000))
	for range 3 {
		e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{})
	}
	if out := e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{}); out == (Completed{}) {
		t.Fatal("an endpoint that fails is still used")
	}
	// A clock that has stepped back makes no difference.
	e.applyList(singleEndpointList(3, 900))
	if out := e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{}); out != (Completed{}) {
		t.Errorf("%v, want an answer of the new life", out)
	}
}

// TestSessionLeavesRestartedEndpoint: what the line said before is not there any more, and the endpoint is
// no better than others. All programs that it had served stayed with it, however full it was.
func TestSessionLeavesRestartedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
		e := newStreamEntry(t, view, s)
		number := uint64(10)
		hear := func(born func(id string) uint64) {
			l := endpointList(number)
			number++
			for _, p := range l.GetEndpoints() {
				p.BornMs = born(p.GetId())
			}
			e.applyList(l)
		}
		hear(func(string) uint64 { return 1000 })
		e.Serve(t.Context(), newTurn("r", "first", "moving", 500), &fakeWriter{})
		awaitSettled(t, e, "moving", 9)
		first := s.offers[0].Endpoint.GetName()
		hear(func(id string) uint64 {
			if id == first {
				return 2000
			}
			return 1000
		})
		// It runs more than the others, which is no reason to leave it for who was served there.
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
		for _, o := range s.offers[1:] {
			if o.Endpoint.GetName() == first {
				t.Error("the line went back to an endpoint that had started again")
			}
		}
	})
}

// TestStaleListDoesNotRevertIncarnation: a life that has left is not the one before it, which a list that lags still
// tells as ready.
func TestStaleListDoesNotRevertIncarnation(t *testing.T) {
	s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, "ok")}}
	e := newEntry(t, s)
	e.applyList(singleEndpointList(2, 1000))
	e.applyList(singleEndpointList(3, 2000))
	leaving := singleEndpointList(4, 2000)
	leaving.Endpoints[0].Draining = true
	e.applyList(leaving)
	e.applyList(singleEndpointList(5, 1000))
	if out := e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{}); out == (Completed{}) {
		t.Error("a list that lags brought an endpoint back that is leaving")
	}
	e.applyList(singleEndpointList(6, 3000))
	if out := e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{}); out != (Completed{}) {
		t.Errorf("%v, want an answer of the life after", out)
	}
}

// TestLoadsOfEndedIncarnationAreIgnored: a list that lags, and the loads that go with it, speak of the life before.
func TestLoadsOfEndedIncarnationAreIgnored(t *testing.T) {
	s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, "ok")}}
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
		t.Errorf("%d places while an ended life was told as full, %d while the present one is", before, after)
	}
}

// reconnected is an answer over a connection that took the place of one that the endpoint had closed.
func respondReconnected(o EndpointRequest) (*Response, error) {
	a, err := respond(200, "ok")(o)
	a.Reconnected = true
	return a, err
}

// TestPossibleRestartsAreReported: lost calls, answers that end midway and closed connections are all that an instance sees
// of a new start. A full endpoint is none.
func TestPossibleRestartsAreReported(t *testing.T) {
	for name, tt := range map[string]struct {
		answer func(EndpointRequest) (*Response, error)
		want   uint64
	}{
		"answered": {respond(200, "ok"), 0}, "full": {notExecuted, 0}, "lost": {connectionReset, 1}, "cut off": {truncated("par"), 1}, "reconnected": {respondReconnected, 1},
	} {
		e := newEntry(t, &fakeSender{answers: []func(EndpointRequest) (*Response, error){tt.answer}})
		e.applyList(singleEndpointList(2, 1000))
		e.Serve(t.Context(), newRequest("/once/1"), &fakeWriter{})
		var lost uint64
		for _, u := range e.EndpointUses() {
			lost += u.Lost
		}
		if lost != tt.want {
			t.Errorf("%s: %d losses are told, want %d", name, lost, tt.want)
		}
	}
}

// TestStoresKeepIncarnation: an instance that has not seen a program hears of its endpoint from the stores, for turns whose
// history is kept and others, and does not go back to it by its id alone.
func TestStoresKeepIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, path := range []string{"r", "k"} {
			s := &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
			for n, born := range []uint64{1000, 2000} {
				e := newStreamEntry(t, view, s)
				e.applyList(singleEndpointList(10, born))
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
					t.Errorf("%s: %v, %v, want the life that served the turn before", path, o, x.previous)
				}
			}
		}
	})
}

// routeOf returns the route of a request.
func routeOf(t *testing.T, e *Entry, r *Request) *fleetpb.Route {
	t.Helper()
	route, ok := e.table.Load().Match(r.Host, r.Path)
	if !ok {
		t.Fatal("no route")
	}
	return route
}
