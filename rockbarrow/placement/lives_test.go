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

// livesOf is a list of n endpoints that started at a time.
func livesOf(n int, bornMS uint64) []ListedEndpoint {
	var list []ListedEndpoint
	for i := range n {
		name := fmt.Sprintf("e%04d", i)
		list = append(list, ListedEndpoint{BornMS: bornMS, Config: &configpb.Endpoint{
			Name: name, Domain: fmt.Sprint(i % 3), Service: "s", MaxCalls: 64, Address: name,
		}})
	}
	return list
}

// TestANewLifeBeginsWithNothing: failures, calls under way and what others told belong to the life before. What
// that life still tells, late, does not count for the new one.
func TestANewLifeBeginsWithNothing(t *testing.T) {
	now := time.Unix(100, 0)
	old := NewServiceFleet(time.Time{}, livesOf(1, 1000), Spread, nil)
	before := old.Endpoint("e0000")
	req := Request{Class: Class{Service: "s"}}
	for range failuresToEject {
		c, _ := old.Choose(now, req, rand.New(rand.NewPCG(1, 1)))
		c.Endpoint().Done(now, Result{})
	}
	before.setOthers(now, 64, 90)
	if before.open(now.UnixNano()) {
		t.Fatal("an endpoint that fails is open")
	}
	// The clock of the endpoint has stepped back.
	next := NewServiceFleet(time.Time{}, livesOf(1, 900), Spread, old).Endpoint("e0000")
	before.enter(now.UnixNano(), 0)
	before.Done(now, Result{})
	before.setOthers(now, 64, 90)
	if !next.open(now.UnixNano()) || next.Usage() != (Usage{}) || next.taken(now.UnixNano()) != 0 || next.others.failingAt(now.UnixNano()) != 0 {
		t.Errorf("the new life has %+v", next.Usage())
	}
}

// TestANewLifeWarmsUp: it has no calls and nothing in its cache, and all programs that have lost theirs would come at
// once.
func TestANewLifeWarmsUp(t *testing.T) {
	now := time.Unix(100, 0)
	f := NewServiceFleet(now, livesOf(1, 1000), Spread, nil)
	first := f.Endpoint("e0000").share(now.UnixNano())
	f = NewServiceFleet(now, livesOf(1, 2000), Spread, f)
	e := f.Endpoint("e0000")
	at, after := e.share(now.UnixNano()), e.share(now.Add(slowStart).UnixNano())
	if first != 64 || at != 1 || after != 64 {
		t.Errorf("%d calls at the first sight, %d at a new start, %d after %v; want 64, 1 and 64", first, at, after, slowStart)
	}
}

// TestALifeThatIsToldKeepsWhatIsKnown: its start becomes known while it serves, and is not told for a while after a
// restart of all control instances.
func TestALifeThatIsToldKeepsWhatIsKnown(t *testing.T) {
	f := NewServiceFleet(time.Time{}, livesOf(1, 0), Spread, nil)
	first := f.Endpoint("e0000")
	for _, born := range []uint64{1000, 0, 1000} {
		f = NewServiceFleet(time.Time{}, livesOf(1, born), Spread, f)
		if e := f.Endpoint("e0000"); e != first || e.Life() != (life.Life{ID: "e0000", BornMS: 1000}) {
			t.Fatalf("told %d: %v", born, e.Life())
		}
	}
	if NewServiceFleet(time.Time{}, livesOf(1, 2000), Spread, f).Endpoint("e0000") == first {
		t.Error("another life has the knowledge of the one before")
	}
}

// TestACallMayGoToTheNextLifeOfAnEndpointThatFailedIt: it has nothing to do with the failure.
func TestACallMayGoToTheNextLifeOfAnEndpointThatFailedIt(t *testing.T) {
	now, r := time.Unix(100, 0), rand.New(rand.NewPCG(1, 1))
	req := Request{Class: Class{Service: "s"}, AvoidEndpoints: []life.Life{{ID: "e0000", BornMS: 1000}}}
	for born, want := range map[uint64]bool{0: false, 1000: false, 2000: true} {
		if _, ok := NewServiceFleet(time.Time{}, livesOf(1, born), Spread, nil).Choose(now, req, r); ok != want {
			t.Errorf("born %d: chosen is %v, want %v", born, ok, want)
		}
	}
}

// BenchmarkSpread is one choice among 1,000 endpoints, for a new program and for one that stays.
func BenchmarkSpread(b *testing.B) {
	f, now := NewServiceFleet(time.Time{}, livesOf(1000, 1000), Spread, nil), time.Unix(100, 0)
	for name, last := range map[string]life.Life{"new": {}, "stays": {ID: "e0500", BornMS: 1000}} {
		b.Run(name, func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			req := Request{Class: Class{Service: "s"}, Domain: "1", PromptTokens: 2000, LastEndpoint: last}
			for b.Loop() {
				c, ok := f.Choose(now, req, r)
				if !ok {
					b.Fatal("no place")
				}
				c.Endpoint().Done(now, Result{OK: true})
			}
		})
	}
}
