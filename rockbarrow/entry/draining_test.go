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

// take takes a list whose lives are all as it tells them.
func updateTracker(d *drainTracker, now time.Time, l *fleetpb.EndpointList) (usable, leaving []*fleetpb.Endpoint, wait time.Duration) {
	present := map[string]incarnation.ID{}
	for _, p := range l.GetEndpoints() {
		present[p.GetId()] = incarnation.ID{EndpointID: p.GetId(), StartMS: p.GetBornMs()}
	}
	var absent []*fleetpb.Endpoint
	for id := range d.byID {
		if _, ok := present[id]; !ok {
			absent = append(absent, &fleetpb.Endpoint{Id: id})
		}
	}
	return d.update(now, l.GetEndpoints(), absent, present)
}

func readyEndpoint(id string) *fleetpb.Endpoint { return &fleetpb.Endpoint{Id: id} }

func drainingEndpoint(id string) *fleetpb.Endpoint { return &fleetpb.Endpoint{Id: id, Draining: true} }

// TestEndpointReturnsAfterLeavingList: an endpoint that had left and started again under its id got no request
// from any entry instance for as long as that ran.
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
	if _, leaving, _ := updateTracker(&d, now, newList(drainingEndpoint("a"), readyEndpoint("b"))); len(leaving) != 1 {
		t.Fatalf("%v are leaving, want one", leaving)
	}
	// The list that comes next may have been read before.
	if n := count(newList(readyEndpoint("a"), readyEndpoint("b"))); n != 1 {
		t.Errorf("%d endpoints by a list that lags, want 1", n)
	}
	if n := count(newList(drainingEndpoint("a"), readyEndpoint("b"))); n != 1 {
		t.Errorf("%d endpoints, want 1", n)
	}
	if n := count(newList(readyEndpoint("b"))); n != 1 {
		t.Errorf("%d endpoints, want 1", n)
	}
	if n := count(newList(readyEndpoint("a"), readyEndpoint("b"))); n != 2 {
		t.Errorf("%d endpoints after it has started again, want 2", n)
	}
}

// TestEndpointReturnsWithoutLeavingList: it started again so soon that no list lacked it.
func TestEndpointReturnsWithoutLeavingList(t *testing.T) {
	var d drainTracker
	now := time.Now()
	updateTracker(&d, now, newList(drainingEndpoint("a")))
	usable, _, wait := updateTracker(&d, now, newList(readyEndpoint("a")))
	if len(usable) != 0 || wait != readmitDelay {
		t.Fatalf("%v at once, again in %v", usable, wait)
	}
	if usable, _, wait = updateTracker(&d, now.Add(wait), newList(readyEndpoint("a"))); len(usable) != 1 || wait != 0 {
		t.Errorf("%v after %v, again in %v", usable, readmitDelay, wait)
	}
	// The time begins anew whenever it is seen leaving.
	updateTracker(&d, now, newList(drainingEndpoint("a")))
	updateTracker(&d, now, newList(readyEndpoint("a")))
	updateTracker(&d, now.Add(readmitDelay/2), newList(drainingEndpoint("a")))
	if usable, _, _ = updateTracker(&d, now.Add(readmitDelay), newList(readyEndpoint("a"))); len(usable) != 0 {
		t.Errorf("%v, though it was leaving meanwhile", usable)
	}
}

// TestNewIncarnationReturnsImmediately: no older reading of the list can name a life that it does not know.
func TestNewIncarnationReturnsImmediately(t *testing.T) {
	at := func(born uint64, draining bool) *fleetpb.EndpointList {
		return newList(&fleetpb.Endpoint{Id: "a", BornMs: born, Draining: draining})
	}
	now := time.Now()
	for _, step := range []struct {
		born uint64
		want int
	}{{1000, 0}, {0, 0}, {900, 1}} {
		var d drainTracker
		updateTracker(&d, now, at(1000, false))
		updateTracker(&d, now, at(1000, true))
		if usable, _, _ := updateTracker(&d, now, at(step.born, false)); len(usable) != step.want {
			t.Errorf("born %d: %d endpoints, want %d", step.born, len(usable), step.want)
		}
	}
}
