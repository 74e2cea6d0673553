// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

// TestBusyServicePrefersRunningPrograms checks that without a free slot a new program is rejected at
// once with a retry time, and a turn of a running program waits for the next slot.
func TestBusyServicePrefersRunningPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		received, release := make(chan string, 100), make(chan struct{})
		e := newStreamEntry(t, view, senderFunc(func(ctx context.Context, r EndpointRequest) (*Response, error) {
			received <- r.Request.Program
			select {
			case <-release:
			case <-ctx.Done():
			}
			return &Response{Status: 200, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(strings.NewReader(events(1, 3)))}, nil
		}))
		e.Decode = func([]byte) (*fleetpb.Document, error) {
			d := streamDocument()
			d.Version, d.Services[0].Slots = 2, 1
			return d, nil
		}
		e.Watch.UpdateState(&fleetpb.State{Number: 3, Configuration: &fleetpb.Configuration{Version: 2}, View: view})
		e.refresh()
		ended := make(chan Outcome, 100)
		serve := func(n int, program string) {
			go func() {
				ended <- e.Serve(t.Context(), newTurn("r", fmt.Sprint("gate", n), program, 10_000), &fakeWriter{})
			}()
		}
		e.sessions.record("known", "", incarnation.ID{EndpointID: "x"}, 0)
		const slots = 12 // three endpoints with four each
		for n := range slots {
			serve(n, "known")
			<-received
		}
		serve(slots, "known")
		awaitWaiting(t, e)
		serve(1000, "new")
		o, ok := (<-ended).(Rejected)
		if !ok || o.Status != http.StatusServiceUnavailable || o.RetryAfter <= 0 {
			t.Fatalf("%#v, want a rejection with a retry time", o)
		}
		release <- struct{}{}
		if got := <-received; got != "known" {
			t.Errorf("program %s got the slot", got)
		}
		close(release)
		for range slots + 1 {
			if o := <-ended; o != (Completed{}) {
				t.Errorf("%#v", o)
			}
		}
	})
}

// awaitWaiting returns once a request waits for a slot.
func awaitWaiting(t *testing.T, e *Entry) {
	l := e.limiters.get("s")
	for t.Context().Err() == nil {
		l.mu.Lock()
		n := l.limiter.Waiting()
		l.mu.Unlock()
		if n > 0 {
			return
		}
		pauseBriefly()
	}
}

// TestWaitingTurnStartsWhenEndpointsAppear checks a waiting turn while no other request arrives or ends.
func TestWaitingTurnStartsWhenEndpointsAppear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		e := newStreamEntry(t, view, &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}})
		e.Decode = func([]byte) (*fleetpb.Document, error) {
			d := streamDocument()
			d.Version, d.Services[0].Slots = 2, 1
			return d, nil
		}
		e.Watch.UpdateState(&fleetpb.State{Number: 3, Configuration: &fleetpb.Configuration{Version: 2}, View: view})
		e.Watch.UpdateList(endpointList(2, "x", "y", "z"), time.Now())
		e.refresh()
		e.sessions.record("known", "", incarnation.ID{EndpointID: "x"}, 0)
		ended := make(chan Outcome, 1)
		go func() { ended <- e.Serve(t.Context(), newTurn("r", "1", "known", 100), &fakeWriter{}) }()
		awaitWaiting(t, e)
		fresh := endpointList(3)
		for i, p := range fresh.GetEndpoints() {
			p.Id = fmt.Sprint("new-", i)
		}
		e.Watch.UpdateList(fresh, time.Now())
		e.refresh()
		if o := <-ended; o != (Completed{}) {
			t.Errorf("%#v", o)
		}
	})
}

// shareSlots makes e one of four entry instances, where the others have the given number of calls at each of the three
// endpoints with four slots. Only the route "plain" has the most urgent priority.
func shareSlots(e *Entry, running uint32) {
	e.Decode = func([]byte) (*fleetpb.Document, error) {
		d := streamDocument()
		d.Version, d.Services[0].Slots = 2, 1
		for _, r := range d.GetRoutes() {
			if r.GetName() != "plain" {
				r.Priority = 1
			}
		}
		return d, nil
	}
	s := e.Watch.State()
	e.Watch.ApplyReply(&fleetpb.WatchReply{Entries: 4, State: &fleetpb.State{Number: s.GetNumber() + 1, Configuration: &fleetpb.Configuration{Version: 2}, View: s.GetView()}})
	e.refresh()
	e.ReceiveLoads(&fleetpb.EndpointLoads{ListNumber: 1, Running: []uint32{running, running, running}, Failing: make([]uint32, 3)})
}

// TestLevelRefusesBeforeTheReservation checks that a program that is certainly new costs the stores nothing if it is
// refused: no store runs, so that a reservation would fail for another reason.
func TestLevelRefusesBeforeTheReservation(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	shareSlots(e, 5)
	got, ok := e.Serve(t.Context(), newTurn("k", "1", "new", 100), &fakeWriter{}).(Rejected)
	if !ok || got.Status != http.StatusServiceUnavailable || got.RetryAfter <= 0 || !strings.Contains(got.Reason, "no room for new programs") {
		t.Errorf("%+v", got)
	}
}

// TestLevelRefusesOnlyNewPrograms checks that a turn of a program in progress is served while the endpoints are full,
// that the stores tell it from a new program, and that operators can see the refusal.
func TestLevelRefusesOnlyNewPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
		e := newStreamEntry(t, startStores(t), s)
		metrics := tally.NewTestScope("", nil)
		e.Metrics = metrics
		shareSlots(e, 0)
		serve := func(id, program string) Outcome {
			return e.Serve(t.Context(), newTurn("r", id, program, 100), &fakeWriter{})
		}
		if o := serve("1", "early"); o != (Completed{}) {
			t.Fatalf("%#v with free slots", o)
		}
		awaitSettled(t, e, "early", 9)
		time.Sleep(resizeInterval)
		e.ReceiveLoads(&fleetpb.EndpointLoads{ListNumber: 1, Running: []uint32{5, 5, 5}, Failing: make([]uint32, 3)})
		if got, ok := serve("2", "late").(Rejected); !ok || !strings.Contains(got.Reason, "no room for new programs") || len(s.requests) != 1 {
			t.Errorf("%+v for a new program, %d requests were sent", got, len(s.requests))
		}
		awaitSettled(t, e, "late", 0)
		refused, level := metrics.Snapshot().Counters()["refused_by_level+service=s"], metrics.Snapshot().Gauges()["admission_level+service=s"]
		if refused == nil || refused.Value() != 1 || level == nil || level.Value() != -2/math.Sqrt(13) {
			t.Errorf("the counter is %v and the gauge %v, want 1 and the level of 15 calls at 13 slots", refused, level)
		}
		e.sessions = sessionEndpoints{}
		if o := serve("3", "early"); o != (Completed{}) {
			t.Errorf("%#v for a program in progress", o)
		}
	})
}

// TestLevelNeedsReservations guards against refusing later turns of programs for which no tokens are reserved: they are
// unknown at other instances, and without a customer also at the one that served the first turn.
func TestLevelNeedsReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}
		e := newStreamEntry(t, startStores(t), s)
		shareSlots(e, 4)
		if o := e.Serve(t.Context(), newTurn("r", "1", "unreserved", 0), &fakeWriter{}); o != (Completed{}) {
			t.Errorf("%#v", o)
		}
		if o, ok := e.Serve(t.Context(), newTurn("r", "2", "reserved", 100), &fakeWriter{}).(Rejected); !ok {
			t.Errorf("%#v for a reserved program while the endpoints are full", o)
		}
	})
}
