// SPDX-License-Identifier: MIT

package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/recordpb"
)

var class = Class{Model: "m", Binding: "b"}

func fleet(n int, w Weights, p Policy) *Fleet {
	doc := &configpb.Document{
		Models:   []*configpb.Model{{Name: "m"}},
		Bindings: []*configpb.Binding{{Name: "b", Domains: []string{"d0", "d1"}}},
	}
	for i := range n {
		doc.Endpoints = append(doc.Endpoints, &configpb.Endpoint{
			Name: fmt.Sprintf("e%03d", i), Domain: fmt.Sprintf("d%d", i%3), Address: "http://x", Models: []string{"m"},
		})
	}
	return NewFleet(control.NewSnapshot(doc), w, p, nil)
}

func TestOnlyAllowedDomainsAreChosen(t *testing.T) {
	for _, p := range []Policy{Cost, RoundRobin, LeastLoaded, Sticky} {
		f := fleet(9, Weights{Latency: 1}, p)
		r := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1000, 0)
		for range 200 {
			c, ok := f.Choose(now, Request{Class: class, PromptTokens: 100, OutputTokens: 10, LastEndpoint: incarnation.ID{EndpointID: "e002"}, Prefixes: []CachedPrefix{{Endpoint: "e002", Tokens: 100}}}, r)
			if !ok {
				break
			}
			if c.Endpoint().Domain() == "d2" {
				t.Fatalf("policy %d chose %s outside the binding's failure domains", p, c.Endpoint().Name())
			}
		}
	}
}

func TestCachedPrefixIsWeighedAgainstQueueing(t *testing.T) {
	f := fleet(3, Weights{Latency: 1}, Cost)
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	req := Request{Class: class, PromptTokens: 2000, OutputTokens: 10, Prefixes: []CachedPrefix{{Endpoint: "e001", Tokens: 1900}}}
	c, _ := f.Choose(now, req, r)
	if c.Endpoint().Name() != "e001" {
		t.Fatalf("chose %s, want e001, which has the prefix cached", c.Endpoint().Name())
	}
	f.Endpoint("e001").SetLoadReport(NewLoadReport(40, 20_000, 0, now))
	c, _ = f.Choose(now, req, r)
	if c.Endpoint().Name() != "e000" {
		t.Fatalf("chose %s behind 20000 waiting tokens, want e000", c.Endpoint().Name())
	}
}

func TestCacheWeightPrefersTheCachedPrefix(t *testing.T) {
	f := fleet(3, Weights{Latency: 1, Cache: 20}, Cost)
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	f.Endpoint("e001").SetLoadReport(NewLoadReport(40, 20_000, 0, now))
	req := Request{Class: class, PromptTokens: 2000, OutputTokens: 10, Prefixes: []CachedPrefix{{Endpoint: "e001", Tokens: 1900}}}
	c, _ := f.Choose(now, req, r)
	if c.Endpoint().Name() != "e001" {
		t.Fatalf("chose %s, want e001 with a high cache weight", c.Endpoint().Name())
	}
}

func TestExpiredLoadReportIsIgnored(t *testing.T) {
	f := fleet(3, Weights{Latency: 1}, Cost)
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	f.Endpoint("e000").SetLoadReport(NewLoadReport(40, 20_000, 0, now.Add(-time.Minute)))
	f.Endpoint("e001").SetLoadReport(NewLoadReport(1, 500, 0, now))
	c, _ := f.Choose(now, Request{Class: class, PromptTokens: 100, OutputTokens: 10}, r)
	if c.Endpoint().Name() != "e000" {
		t.Fatalf("chose %s, want e000, whose report has expired", c.Endpoint().Name())
	}
}

func TestFailingEndpointIsEjectedAndSlowlyRestored(t *testing.T) {
	f := fleet(1, Weights{Latency: 1}, Cost)
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	for range failuresToEject {
		c, ok := f.Choose(now, Request{Class: class}, r)
		if !ok {
			t.Fatal("no free slot before the ejection")
		}
		c.Endpoint().Done(now, Result{})
	}
	if _, ok := f.Choose(now, Request{Class: class}, r); ok {
		t.Fatal("an ejected endpoint was chosen")
	}
	now = now.Add(firstEjection + 500*time.Millisecond)
	n := 0
	for {
		if _, ok := f.Choose(now, Request{Class: class}, r); !ok {
			break
		}
		n++
	}
	if n < 1 || n > defaultMaxCalls/4 {
		t.Fatalf("%d slots half a second after the ejection, want 1 to %d", n, defaultMaxCalls/4)
	}
}

func TestSlowStepsReduceTheLimit(t *testing.T) {
	f := fleet(1, Weights{Latency: 1}, Cost)
	e := f.Endpoint("e000")
	now := time.Unix(1000, 0)
	e.inFlight.Add(61)
	e.Done(now, Result{OK: true, TimeToFirstToken: time.Millisecond, Duration: 11 * time.Millisecond, OutputTokens: 11})
	for range 60 {
		e.Done(now, Result{OK: true, TimeToFirstToken: time.Millisecond, Duration: 101 * time.Millisecond, OutputTokens: 11})
	}
	if got := e.Limit(); got > 8 {
		t.Fatalf("limit %d after sixty calls with ten times the shortest step, want 8 or less", got)
	}
}

func TestPrefixIndex(t *testing.T) {
	var p PrefixIndex
	bounds := Boundaries([]*recordpb.Message{{Role: "system", Content: "rules of the club"}, {Role: "user", Content: "hello"}})
	p.Add(bounds[0].Key, "e1")
	p.Add(bounds[1].Key, "e2")
	got := p.Find(bounds)
	if len(got) != 2 || got[0].Endpoint != "e2" || got[1].Endpoint != "e1" || got[0].Tokens <= got[1].Tokens {
		t.Fatalf("found %v, want e2 with more tokens than e1", got)
	}
	p.Remove(bounds[1].Key, "e2")
	p.RemoveEndpoint("e1")
	if got := p.Find(bounds); len(got) != 0 {
		t.Fatalf("found %v after removing all entries, want none", got)
	}
}

// BenchmarkChoose measures one choice among 900 endpoints of a class.
func BenchmarkChoose(b *testing.B) {
	f := fleet(1350, Weights{Latency: 1, Cache: 1}, Cost)
	now := time.Unix(1000, 0)
	for _, e := range f.Candidates(class) {
		e.SetLoadReport(NewLoadReport(3, 100, 50_000, now))
	}
	if n := len(f.Candidates(class)); n != 900 {
		b.Fatalf("%d candidates, want 900", n)
	}
	req := Request{Class: class, PromptTokens: 2000, OutputTokens: 100, Prefixes: []CachedPrefix{{Endpoint: "e001", Tokens: 1900}, {Endpoint: "e007", Tokens: 300}}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		r := rand.New(rand.NewPCG(1, 1))
		for pb.Next() {
			c, ok := f.Choose(now, req, r)
			if !ok {
				b.Fatal("no free slot")
			}
			c.Endpoint().FirstToken(c.UncachedTokens())
			c.Endpoint().inFlight.Add(-1)
		}
	})
}

func TestDrainingEndpointIsNotChosen(t *testing.T) {
	for _, p := range []Policy{Cost, RoundRobin, LeastLoaded, Sticky} {
		f := fleet(6, Weights{Latency: 1}, p)
		r := rand.New(rand.NewPCG(1, 1))
		f.Endpoint("e001").SetDraining(true)
		for range 100 {
			c, ok := f.Choose(time.Unix(1000, 0), Request{Class: class, LastEndpoint: incarnation.ID{EndpointID: "e001"}, Prefixes: []CachedPrefix{{Endpoint: "e001", Tokens: 9}}, PromptTokens: 9}, r)
			if ok && c.Endpoint().Name() == "e001" {
				t.Fatalf("policy %d chose a draining endpoint", p)
			}
		}
	}
}
