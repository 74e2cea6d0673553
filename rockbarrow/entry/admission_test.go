// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

// TestBusyServicePrefersRunningPrograms: while all places are taken, a new program
// is told at once when to come back and costs nothing, and a turn of a program under way
// waits and goes first.
func TestBusyServicePrefersRunningPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		asked, release := make(chan string, 100), make(chan struct{})
		e := newStreamEntry(t, view, senderFunc(func(ctx context.Context, o EndpointRequest) (*Response, error) {
			asked <- o.Request.Program
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
		ask := func(n int, program string) {
			go func() {
				ended <- e.Serve(t.Context(), newTurn("r", fmt.Sprint("gate", n), program, 10_000), &fakeWriter{})
			}()
		}
		// Three endpoints of four places.
		e.sessions.record("known", "", incarnation.ID{EndpointID: "x"})
		const places = 12
		for n := range places {
			ask(n, "known")
			<-asked
		}
		ask(places, "known")
		awaitWaiting(t, e)
		ask(1000, "new")
		o, ok := (<-ended).(Rejected)
		if !ok || o.Status != http.StatusServiceUnavailable || o.RetryAfter <= 0 {
			t.Fatalf("%#v, want a refusal with a time to come back", o)
		}
		release <- struct{}{}
		if got := <-asked; got != "known" {
			t.Errorf("%s went on", got)
		}
		close(release)
		for range places + 1 {
			if o := <-ended; o != (Completed{}) {
				t.Errorf("%#v", o)
			}
		}
	})
}

// awaitWaiting returns once a request waits for a place.
func awaitWaiting(t *testing.T, e *Entry) {
	g := e.limiters.get("s")
	for t.Context().Err() == nil {
		g.mu.Lock()
		n := g.limiter.Waiting()
		g.mu.Unlock()
		if n > 0 {
			return
		}
		pauseBriefly()
	}
}

// TestWaitingTurnStartsWhenEndpointsAppear: also if nothing else arrives or ends.
func TestWaitingTurnStartsWhenEndpointsAppear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		e := newStreamEntry(t, view, &fakeSender{answers: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}})
		e.Decode = func([]byte) (*fleetpb.Document, error) {
			d := streamDocument()
			d.Version, d.Services[0].Slots = 2, 1
			return d, nil
		}
		e.Watch.UpdateState(&fleetpb.State{Number: 3, Configuration: &fleetpb.Configuration{Version: 2}, View: view})
		e.Watch.UpdateList(endpointList(2, "x", "y", "z"), time.Now())
		e.refresh()
		e.sessions.record("known", "", incarnation.ID{EndpointID: "x"})
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
