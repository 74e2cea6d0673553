// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
)

// lose records an execution without a known outcome.
func (w *world) lose(k Keys, at incarnation.ID, asker string) {
	w.registry.RecordLost(w.now, []LostExecution{{Keys: k, Endpoint: at, Service: "s", Asker: asker}})
}

// TestLostExecutionsCount guards against executions at endpoints that fell silent, which counted as none until the list told: as
// many as may have ended an endpoint keep the request from being sent until more is known.
func TestLostExecutionsCount(t *testing.T) {
	for _, test := range []struct {
		ends, lost int
		want       Decision
	}{
		{0, 1, Free{}},
		{0, 2, Granted{}},
		{0, 3, Held{RetryAfter: uncertainRetry}},
		{1, 0, Granted{}},
		{1, 1, Granted{}},
		{1, 2, Held{RetryAfter: uncertainRetry}},
		{2, 1, Held{RetryAfter: uncertainRetry}},
		{3, 1, Refused{}},
	} {
		w := newWorld(t)
		k := keysOf("p", "deadly")
		for range test.ends {
			w.end(w.freshEndpoint(), 50*time.Millisecond, k)
			w.now = w.now.Add(20 * time.Second)
		}
		for i := range test.lost {
			w.lose(k, w.freshEndpoint(), fmt.Sprint("lost-", i))
		}
		got := w.ask(k, w.freshEndpoint(), "next")
		if _, refused := got.(Refused); refused {
			got = Refused{}
		}
		if fmt.Sprintf("%#v", got) != fmt.Sprintf("%#v", test.want) {
			t.Errorf("%d ends, %d lost: %#v, want %#v", test.ends, test.lost, got, test.want)
		}
	}
}

// TestALostExecutionCountsOnce guards against one execution that counts as lost and as an end.
func TestALostExecutionCountsOnce(t *testing.T) {
	for _, endFirst := range []bool{true, false} {
		w := newWorld(t)
		k, at := keysOf("p", "deadly"), w.freshEndpoint()
		if endFirst {
			w.end(at, 50*time.Millisecond, k)
		}
		w.lose(k, at, "x/lost")
		w.lose(k, at, "x/lost")
		w.end(at, 50*time.Millisecond, k)
		if known := w.registry.Knowledge(w.now, k); known.Ends != 1 || known.Trials != 0 {
			t.Errorf("end first %v: %+v", endFirst, known)
		}
	}
}

// TestAnsweringEndpointsReleaseARequest guards against a request that is held for good because endpoints were cut off for some
// time, also by late news.
func TestAnsweringEndpointsReleaseARequest(t *testing.T) {
	w, follower := newWorld(t), newWorld(t)
	follower.registry.Follower = true
	k := keysOf("p", "innocent")
	var places []incarnation.ID
	for i := range MaxEnds {
		places = append(places, w.freshEndpoint())
		w.lose(k, places[i], fmt.Sprint(i))
	}
	late := w.registry.List(w.now)
	changes, _ := w.registry.Changes(w.now, 0)
	follower.registry.Merge(w.now, changes, true)
	if d := follower.registry.Lookup(w.now, k); d != (Busy{}) {
		t.Errorf("%T at a follower, want a question", d)
	}
	w.registry.Finish(w.now, k, places[0], "0")
	// Neither another instance nor a follower brings it back.
	w.registry.Merge(w.now, late, true)
	w.registry.Merge(w.now, follower.registry.Of(w.now, k), false)
	if d := w.ask(k, w.freshEndpoint(), "next"); d != (Granted{}) {
		t.Errorf("%T", d)
	}
	w.registry.Finish(w.now, k, incarnation.ID{EndpointID: fmt.Sprint("e", w.next)}, "next")
	for i, at := range places {
		w.registry.Finish(w.now, k, at, fmt.Sprint(i))
	}
	if n := w.registry.Len(); n != 0 {
		t.Errorf("%d suspects", n)
	}
}

// TestLostExecutionsOutliveAProcess guards against forgetting them with the process that was told.
func TestLostExecutionsOutliveAProcess(t *testing.T) {
	w, next := newWorld(t), newWorld(t)
	k := keysOf("p", "deadly")
	for i := range MaxEnds {
		w.lose(k, w.freshEndpoint(), fmt.Sprint(i))
	}
	next.registry.Restore(w.now, w.registry.List(w.now))
	if d := next.ask(k, w.freshEndpoint(), "next"); d != (Held{RetryAfter: uncertainRetry}) {
		t.Errorf("%#v", d)
	}
}

// TestLostExecutionsOfManyClientsCountAsNone guards against stopping what everybody sends because some endpoints are cut off.
func TestLostExecutionsOfManyClientsCountAsNone(t *testing.T) {
	w := newWorld(t)
	k := keysOf("", "popular")
	for i := range 2 * MaxEnds {
		w.lose(k, w.freshEndpoint(), fmt.Sprint(i))
	}
	if d := w.ask(k, w.freshEndpoint(), "next"); d != (Free{}) {
		t.Errorf("%T", d)
	}
}
