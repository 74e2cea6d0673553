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

// client is one that knows a view of n stores in five failure domains.
func client(name string, n int) (*Client, *fleetpb.View) {
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

// TestAStartAsksAFewStores: each entry instance asked all stores whether they were there, and kept a connection to each.
func TestAStartAsksAFewStores(t *testing.T) {
	asked := map[string]int{}
	for _, n := range []int{60, 120} {
		for i := range 40 {
			c, v := client(fmt.Sprint("entry-", i), n)
			sample := c.samples.of(v, c.Watch.Self)
			if len(sample) != 5*sampledPerDomain {
				t.Fatalf("%d of %d stores are asked", len(sample), n)
			}
			for _, m := range sample {
				asked[m.GetInstance()]++
			}
		}
	}
	if len(asked) < 100 {
		t.Errorf("only %d stores are ever asked", len(asked))
	}
	c, v := client("entry", 9)
	if n := len(c.samples.of(v, c.Watch.Self)); n != 9 {
		t.Errorf("%d of nine stores are asked", n)
	}
}

// TestAFewStoresTellTheReach of all: of failure domains where some answer, and of those where none does.
func TestAFewStoresTellTheReach(t *testing.T) {
	c, v := client("entry", 100)
	if c.Reachable() {
		t.Error("nobody has answered")
	}
	answer := func(domains ...string) {
		for _, m := range c.samples.of(v, c.Watch.Self) {
			for _, d := range domains {
				if m.GetFailureDomain() == d {
					c.health.set(m.GetStorage(), false)
				}
			}
		}
	}
	answer("domain-0", "domain-1")
	if c.Reachable() {
		t.Error("two of five failure domains answer")
	}
	answer("domain-2", "domain-3", "domain-4")
	if !c.Reachable() || len(c.DomainsOut()) != 0 {
		t.Error("all that were asked answer")
	}
	// One store of a domain is no sign of a cut; all that are known are.
	for i, m := range c.samples.of(v, c.Watch.Self) {
		if m.GetFailureDomain() == "domain-3" {
			c.health.set(m.GetStorage(), true)
			if i == 0 && len(c.DomainsOut()) != 0 {
				t.Errorf("%v are out", c.DomainsOut())
			}
		}
	}
	if got := c.DomainsOut(); len(got) != 1 || got[0] != "domain-3" || !c.Reachable() {
		t.Errorf("%v are out, and others can be written: %v", got, c.Reachable())
	}
}
