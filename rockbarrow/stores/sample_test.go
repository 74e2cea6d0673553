// SPDX-License-Identifier: MIT

package stores

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// newSampleClient returns a client with a view of n stores in five failure domains.
func newSampleClient(name string, n int) (*Client, *fleetpb.View) {
	v := &fleetpb.View{Epoch: 1, Copies: 5}
	for i := range n {
		v.Members = append(v.Members, &fleetpb.Member{
			Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: fmt.Sprint("domain-", i%5),
		})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &watch.Client{Self: &fleetpb.Member{Instance: name}, Log: logrus.NewEntry(log)}
	w.UpdateState(&fleetpb.State{Number: 1, View: v})
	return &Client{Watch: w}, v
}

// TestSampleSizeIsBounded guards against each entry instance probing, and staying connected to, all stores.
func TestSampleSizeIsBounded(t *testing.T) {
	sampled := map[string]int{}
	for _, n := range []int{60, 120} {
		for i := range 40 {
			c, v := newSampleClient(fmt.Sprint("entry-", i), n)
			sample := c.sampleCache.get(v, c.Watch.Self)
			if len(sample) != 5*sampleSizePerDomain {
				t.Fatalf("the sample has %d of %d stores, want %d", len(sample), n, 5*sampleSizePerDomain)
			}
			for _, m := range sample {
				sampled[m.GetInstance()]++
			}
		}
	}
	if len(sampled) < 100 {
		t.Errorf("all samples together have only %d stores, want at least 100", len(sampled))
	}
	c, v := newSampleClient("entry", 9)
	if n := len(c.sampleCache.get(v, c.Watch.Self)); n != 9 {
		t.Errorf("the sample has %d of nine stores, want all", n)
	}
}

// TestReachabilityFromSample checks that the reachability of a failure domain is
// derived from its sampled stores.
func TestReachabilityFromSample(t *testing.T) {
	c, v := newSampleClient("entry", 100)
	if c.Reachable() {
		t.Error("Reachable is true although no store has answered")
	}
	answer := func(domains ...string) {
		for _, m := range c.sampleCache.get(v, c.Watch.Self) {
			for _, d := range domains {
				if m.GetFailureDomain() == d {
					c.health.setUnreachable(m.GetStorage(), false)
				}
			}
		}
	}
	answer("domain-0", "domain-1")
	if c.Reachable() {
		t.Error("Reachable is true with two of five failure domains")
	}
	answer("domain-2", "domain-3", "domain-4")
	if !c.Reachable() || len(c.UnreachableDomains()) != 0 {
		t.Error("failure domains count as unreachable although all sampled stores answer")
	}
	// A failure domain counts as unreachable only if all its known stores are.
	for i, m := range c.sampleCache.get(v, c.Watch.Self) {
		if m.GetFailureDomain() == "domain-3" {
			c.health.setUnreachable(m.GetStorage(), true)
			if i == 0 && len(c.UnreachableDomains()) != 0 {
				t.Errorf("unreachable domains %v after one store failed, want none", c.UnreachableDomains())
			}
		}
	}
	if got := c.UnreachableDomains(); len(got) != 1 || got[0] != "domain-3" || !c.Reachable() {
		t.Errorf("unreachable domains %v, reachable %v, want [domain-3] and true", got, c.Reachable())
	}
}
