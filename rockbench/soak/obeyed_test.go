// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
)

// TestFieldsOfOtherWritersChangeNothing guards against a configuration that is acknowledged for what its known fields say, and is
// never in force, or is in force with other values: its table was built by another reading, for which "Version" is "version".
func TestFieldsOfOtherWritersChangeNothing(t *testing.T) {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1, Domains: 4})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	f.operator.Extend = (&standin.ForeignFields{Rand: rand.New(rand.NewPCG(1, 0)), Every: 4}).Extend
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	for range 8 {
		if err := f.deploy(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, path := range []string{firstRoute, f.routes.live[len(f.routes.live)-1]} {
			f.awaitServed(t, client, path)
		}
	}
	f.operator.Check(t.Context())
	for _, b := range append(f.ledger.Violations(), f.failures()...) {
		t.Error(b)
	}
}

// awaitServed fails the test unless each entry instance comes to serve a path within the time in which a configuration must be in
// force.
func (f *fleet) awaitServed(t *testing.T, client *http.Client, path string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), applyWithin)
	defer cancel()
	for _, e := range f.entries {
		status, err := 0, error(nil)
		for n := 0; status != http.StatusOK; n++ {
			if !wait.For(ctx, 10*time.Millisecond) {
				t.Fatalf("%s: %s has status %d %v after version %d was acknowledged, %v", e.plan.Instance, path, status, applyWithin, f.version, err)
			}
			status, err = standin.Probe(ctx, client, e.plan.ConsumerAddress, host, path+"x", fmt.Sprintf("served%s%s%d-%d", e.plan.Instance, path, f.version, n))
		}
	}
}

// TestAVersionIsInForceBehindHalvesOfControl guards against an entry instance that follows only control instances without a majority
// of the voters, and gets no configuration while they are cut off from the others, which it could reach.
func TestAVersionIsInForceBehindHalvesOfControl(t *testing.T) {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 2, Domains: 4, Control: 6, NoCustomers: true})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	// Some two of them are a majority of the three voters.
	for i, one := range f.control {
		for _, other := range f.control[:i] {
			f.sides.cut([]*instance{one, other})
			if err := f.deploy(t.Context()); err != nil {
				t.Fatal(err)
			}
			f.awaitServed(t, client, f.routes.live[len(f.routes.live)-1])
			f.sides.heal()
		}
	}
	for _, b := range append(f.ledger.Violations(), f.failures()...) {
		t.Error(b)
	}
}
