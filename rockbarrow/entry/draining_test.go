// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

func newList(endpoints ...*fleetpb.Endpoint) *fleetpb.EndpointList {
	return &fleetpb.EndpointList{Endpoints: endpoints}
}

// updateTracker applies a list whose incarnations are all current.
func updateTracker(d *drainTracker, now time.Time, l *fleetpb.EndpointList) (usable, draining []*fleetpb.Endpoint, wait time.Duration) {
	current := map[string]incarnation.ID{}
	for _, p := range l.GetEndpoints() {
		current[p.GetId()] = incarnation.ID{EndpointID: p.GetId(), StartMS: p.GetBornMs()}
	}
	var absent []*fleetpb.Endpoint
	for id := range d.byID {
		if _, ok := current[id]; !ok {
			absent = append(absent, &fleetpb.Endpoint{Id: id})
		}
	}
	return d.update(now, l.GetEndpoints(), absent, current)
}

func readyEndpoint(id string) *fleetpb.Endpoint { return &fleetpb.Endpoint{Id: id} }

func drainingEndpoint(id string) *fleetpb.Endpoint { return &fleetpb.Endpoint{Id: id, Draining: true} }

// TestEndpointReturnsAfterLeavingList guards against excluding an endpoint for ever after it was
// drained and restarted under its id.
func TestEndpointReturnsAfterLeavingList(t *testing.T) {
	var d drainTracker
	now := time.Now()
	count := func(l *fleetpb.EndpointList) int {
		usable, _, _ := updateTracker(&d, now, l)
		return len(usable)
	}
	if n := count(newList(readyEndpoint("a"), readyEndpoint("b"))); n != 2 {
		t.Fatalf("%d endpoints, want 2", n)
	}
	if _, draining, _ := updateTracker(&d, now, newList(drainingEndpoint("a"), readyEndpoint("b"))); len(draining) != 1 {
		t.Fatalf("%v are draining, want one", draining)
	}
	// The next list may be an older one.
	if n := count(newList(readyEndpoint("a"), readyEndpoint("b"))); n != 1 {
		t.Errorf("%d endpoints by a stale list, want 1", n)
	}
	if n := count(newList(drainingEndpoint("a"), readyEndpoint("b"))); n != 1 {
		t.Errorf("%d endpoints, want 1", n)
	}
	if n := count(newList(readyEndpoint("b"))); n != 1 {
		t.Errorf("%d endpoints, want 1", n)
	}
	if n := count(newList(readyEndpoint("a"), readyEndpoint("b"))); n != 2 {
		t.Errorf("%d endpoints after the restart, want 2", n)
	}
}

// TestEndpointReturnsWithoutLeavingList checks a restart that is too fast for any list to lack the endpoint.
func TestEndpointReturnsWithoutLeavingList(t *testing.T) {
	var d drainTracker
	now := time.Now()
	updateTracker(&d, now, newList(drainingEndpoint("a")))
	usable, _, wait := updateTracker(&d, now, newList(readyEndpoint("a")))
	if len(usable) != 0 || wait != readmitDelay {
		t.Fatalf("usable %v immediately, wait %v", usable, wait)
	}
	if usable, _, wait = updateTracker(&d, now.Add(wait), newList(readyEndpoint("a"))); len(usable) != 1 || wait != 0 {
		t.Errorf("usable %v after %v, wait %v", usable, readmitDelay, wait)
	}
	// The delay starts again whenever the endpoint is listed as draining.
	updateTracker(&d, now, newList(drainingEndpoint("a")))
	updateTracker(&d, now, newList(readyEndpoint("a")))
	updateTracker(&d, now.Add(readmitDelay/2), newList(drainingEndpoint("a")))
	if usable, _, _ = updateTracker(&d, now.Add(readmitDelay), newList(readyEndpoint("a"))); len(usable) != 0 {
		t.Errorf("usable %v although it was draining meanwhile", usable)
	}
}

// TestNewIncarnationReturnsImmediately checks that a new incarnation needs no delay, because no older
// list can contain it.
func TestNewIncarnationReturnsImmediately(t *testing.T) {
	list := func(startMS uint64, draining bool) *fleetpb.EndpointList {
		return newList(&fleetpb.Endpoint{Id: "a", BornMs: startMS, Draining: draining})
	}
	now := time.Now()
	for _, step := range []struct {
		startMS uint64
		want    int
	}{{1000, 0}, {0, 0}, {900, 1}} {
		var d drainTracker
		updateTracker(&d, now, list(1000, false))
		updateTracker(&d, now, list(1000, true))
		if usable, _, _ := updateTracker(&d, now, list(step.startMS, false)); len(usable) != step.want {
			t.Errorf("start time %d: %d endpoints, want %d", step.startMS, len(usable), step.want)
		}
	}
}
