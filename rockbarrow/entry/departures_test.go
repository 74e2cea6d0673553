// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

func listOf(endpoints ...*fleetpb.Endpoint) *fleetpb.EndpointList {
	return &fleetpb.EndpointList{Endpoints: endpoints}
}

// take takes a list whose lives are all as it tells them.
func take(d *departures, now time.Time, l *fleetpb.EndpointList) (usable, leaving []*fleetpb.Endpoint, wait time.Duration) {
	present := map[string]incarnation.ID{}
	for _, p := range l.GetEndpoints() {
		present[p.GetId()] = incarnation.ID{EndpointID: p.GetId(), StartMS: p.GetBornMs()}
	}
	var absent []*fleetpb.Endpoint
	for id := range d.left {
		if _, ok := present[id]; !ok {
			absent = append(absent, &fleetpb.Endpoint{Id: id})
		}
	}
	return d.take(now, l.GetEndpoints(), absent, present)
}

func ready(id string) *fleetpb.Endpoint { return &fleetpb.Endpoint{Id: id} }

func draining(id string) *fleetpb.Endpoint { return &fleetpb.Endpoint{Id: id, Draining: true} }

// TestAnEndpointComesBackUnderItsID: an endpoint that had left and started again under its id got no request
// from any entry instance for as long as that ran.
func TestAnEndpointComesBackUnderItsID(t *testing.T) {
	var d departures
	now := time.Now()
	count := func(l *fleetpb.EndpointList) int {
		usable, _, _ := take(&d, now, l)
		return len(usable)
	}
	if n := count(listOf(ready("a"), ready("b"))); n != 2 {
		t.Fatalf("%d endpoints, want 2", n)
	}
	if _, leaving, _ := take(&d, now, listOf(draining("a"), ready("b"))); len(leaving) != 1 {
		t.Fatalf("%v are leaving, want one", leaving)
	}
	// The list that comes next may have been read before.
	if n := count(listOf(ready("a"), ready("b"))); n != 1 {
		t.Errorf("%d endpoints by a list that lags, want 1", n)
	}
	if n := count(listOf(draining("a"), ready("b"))); n != 1 {
		t.Errorf("%d endpoints, want 1", n)
	}
	if n := count(listOf(ready("b"))); n != 1 {
		t.Errorf("%d endpoints, want 1", n)
	}
	if n := count(listOf(ready("a"), ready("b"))); n != 2 {
		t.Errorf("%d endpoints after it has started again, want 2", n)
	}
}

// TestAnEndpointThatStaysInTheList: it started again so soon that no list lacked it.
func TestAnEndpointThatStaysInTheList(t *testing.T) {
	var d departures
	now := time.Now()
	take(&d, now, listOf(draining("a")))
	usable, _, wait := take(&d, now, listOf(ready("a")))
	if len(usable) != 0 || wait != returnAfter {
		t.Fatalf("%v at once, again in %v", usable, wait)
	}
	if usable, _, wait = take(&d, now.Add(wait), listOf(ready("a"))); len(usable) != 1 || wait != 0 {
		t.Errorf("%v after %v, again in %v", usable, returnAfter, wait)
	}
	// The time begins anew whenever it is seen leaving.
	take(&d, now, listOf(draining("a")))
	take(&d, now, listOf(ready("a")))
	take(&d, now.Add(returnAfter/2), listOf(draining("a")))
	if usable, _, _ = take(&d, now.Add(returnAfter), listOf(ready("a"))); len(usable) != 0 {
		t.Errorf("%v, though it was leaving meanwhile", usable)
	}
}

// TestAnotherLifeReturnsAtOnce: no older reading of the list can name a life that it does not know.
func TestAnotherLifeReturnsAtOnce(t *testing.T) {
	at := func(born uint64, draining bool) *fleetpb.EndpointList {
		return listOf(&fleetpb.Endpoint{Id: "a", BornMs: born, Draining: draining})
	}
	now := time.Now()
	for _, step := range []struct {
		born uint64
		want int
	}{{1000, 0}, {0, 0}, {900, 1}} {
		var d departures
		take(&d, now, at(1000, false))
		take(&d, now, at(1000, true))
		if usable, _, _ := take(&d, now, at(step.born, false)); len(usable) != step.want {
			t.Errorf("born %d: %d endpoints, want %d", step.born, len(usable), step.want)
		}
	}
}
