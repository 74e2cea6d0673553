// SPDX-License-Identifier: MIT

package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/life"
	"rockbarrow.dev/schema/configpb"
)

// TestWhatOthersTellCounts: an endpoint that is full of others' calls, or that fails
// them, is left alone; what they told long ago counts for nothing.
func TestWhatOthersTellCounts(t *testing.T) {
	tests := []struct {
		name             string
		running, failing uint32
	}{{"full", 6, 0}, {"failing", 0, 60}}
	for _, test := range tests {
		f, r, now := spreadFleet(6), rand.New(rand.NewPCG(1, 1)), time.Unix(100, 0)
		f.Endpoint("a1").setOthers(now, test.running, test.failing)
		for range 4 {
			if c, _ := f.Choose(now, spreadRequest(), r); c.Endpoint().Name() == "a1" {
				t.Errorf("%s: a1 got a call", test.name)
			}
		}
		later, count := now.Add(othersLife), 0
		for range 20 {
			c, ok := f.Choose(later, spreadRequest(), r)
			if ok && c.Endpoint().Name() == "a1" {
				count++
			}
		}
		if count == 0 {
			t.Errorf("%s: a1 gets no calls on account of old news", test.name)
		}
	}
}

func TestAProgramLeavesAFailingEndpoint(t *testing.T) {
	f, r, now := spreadFleet(20), rand.New(rand.NewPCG(1, 1)), time.Unix(100, 0)
	req := spreadRequest()
	req.LastEndpoint = life.Life{ID: "b1"}
	f.Endpoint("b1").setOthers(now, 0, 10)
	if c, _ := f.Choose(now, req, r); c.Endpoint().Name() != "b1" {
		t.Error("a program left its endpoint on account of a few failures")
	}
	f.Endpoint("b1").setOthers(now, 0, 40)
	if c, _ := f.Choose(now, req, r); c.Endpoint().Name() == "b1" {
		t.Error("a program stays with an endpoint that fails")
	}
}

// TestOldNewsCausesNoCrowd: fifty instances hear the same and choose before they hear
// of each other. The endpoint that looks best must not get all of their calls.
func TestOldNewsCausesNoCrowd(t *testing.T) {
	now := time.Unix(100, 0)
	count, most := map[string]int{}, 0
	for i := range 50 {
		var list []*configpb.Endpoint
		for k := range 24 {
			name := fmt.Sprintf("e%02d", k)
			list = append(list, &configpb.Endpoint{Name: name, Domain: "a", Service: "s", MaxCalls: 6, Address: name})
		}
		f := NewServiceFleet(time.Time{}, listed(list), Spread, nil)
		f.first = uint64(i)
		for _, e := range f.Endpoints() {
			e.setOthers(now, 2, 0)
		}
		f.Endpoint("e00").setOthers(now, 0, 0)
		c, _ := f.Choose(now, spreadRequest(), rand.New(rand.NewPCG(uint64(i), 1)))
		count[c.Endpoint().Name()]++
		most = max(most, count[c.Endpoint().Name()])
	}
	if count["e00"] == 0 || most > 20 {
		t.Errorf("%v", count)
	}
}

func TestUseCountsHowCallsEnded(t *testing.T) {
	f, r, now := spreadFleet(6), rand.New(rand.NewPCG(1, 1)), time.Unix(100, 0)
	req := spreadRequest()
	req.LastEndpoint = life.Life{ID: "a1"}
	for _, result := range []Result{{OK: true}, {}, {OK: true, Refused: true}} {
		c, _ := f.Choose(now, req, r)
		c.Endpoint().Done(now, result)
	}
	f.Choose(now, req, r)
	if got, want := f.Endpoint("a1").Usage(), (Usage{Running: 1, Answered: 1, Failed: 1}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestAnInstanceGoesBackToFewEndpoints: each instance uses few of many endpoints, and
// all instances together use them all.
func TestAnInstanceGoesBackToFewEndpoints(t *testing.T) {
	now := time.Unix(100, 0)
	used := map[string]bool{}
	for i := range 40 {
		var list []*configpb.Endpoint
		for k := range 200 {
			name := fmt.Sprintf("e%03d", k)
			list = append(list, &configpb.Endpoint{Name: name, Domain: "a", Service: "s", MaxCalls: 6, Address: name})
		}
		f, own := NewServiceFleet(time.Time{}, listed(list), Spread, nil), map[string]bool{}
		f.first = uint64(i) * 37
		r := rand.New(rand.NewPCG(uint64(i), 1))
		for range 400 {
			c, _ := f.Choose(now, spreadRequest(), r)
			c.Endpoint().Done(now, Result{OK: true})
			own[c.Endpoint().Name()], used[c.Endpoint().Name()] = true, true
		}
		if len(own) > window+draws {
			t.Fatalf("an instance uses %d endpoints", len(own))
		}
		if again := NewServiceFleet(time.Time{}, listed(list), Spread, f); again.first != f.first {
			t.Fatal("a new list moves the window")
		}
	}
	if len(used) < 150 {
		t.Errorf("all instances use %d of 200 endpoints", len(used))
	}
}

// TestWhatOthersDoNotTellAgainIsOver: only the endpoints with calls are told, so that one that is left out has none.
func TestWhatOthersDoNotTellAgainIsOver(t *testing.T) {
	f, now := spreadFleet(6), time.Unix(100, 0)
	a1, b1 := f.Endpoint("a1"), f.Endpoint("b1")
	f.SetRemoteLoads(now, []RemoteLoad{{Endpoint: a1, Running: 6, FailingPercent: 50}, {Endpoint: b1, Running: 1}})
	f.SetRemoteLoads(now, []RemoteLoad{{Endpoint: b1, Running: 2}})
	at := now.UnixNano()
	if a1.others.runningAt(at) != 0 || a1.others.failingAt(at) != 0 || b1.others.runningAt(at) != 2 {
		t.Errorf("%d calls and %v failing at one that is over, %d at the other", a1.others.runningAt(at), a1.others.failingAt(at), b1.others.runningAt(at))
	}
}
