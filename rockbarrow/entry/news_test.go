// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// TestALeavingEndpointDoesNotWaitForAConfiguration: a configuration gained 1,400 routes
// while endpoints were replaced. An instance took it in for seconds, and until then sent
// requests to an endpoint whose leaving it had heard of, because tables and fleets were
// renewed one after the other.
func TestALeavingEndpointDoesNotWaitForAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntry(t, &fakeSender{})
		taken := make(chan struct{})
		e.Decode = func([]byte) (*fleetpb.Document, error) {
			<-taken
			d := document()
			d.Version = 2
			return d, nil
		}
		e.Watch.Changed = e.Wake
		ctx, cancel := context.WithCancel(context.Background())
		go e.Run(ctx)
		e.Watch.Offer(&fleetpb.State{Number: 2, Configuration: &fleetpb.Configuration{Version: 2}, View: &fleetpb.View{Epoch: 1, Copies: 3}})
		synctest.Wait()
		e.Watch.OfferList(list(2, "y"), time.Now())
		synctest.Wait()
		if e.fleet.Load().Endpoint("y") != nil {
			t.Error("a leaving endpoint still gets requests while a configuration is taken in")
		}
		if v := e.table.Load().Version(); v != 1 {
			t.Errorf("version %d is in force before it was taken in", v)
		}
		close(taken)
		synctest.Wait()
		if v := e.table.Load().Version(); v != 2 {
			t.Errorf("version %d is in force, want 2", v)
		}
		cancel()
		synctest.Wait()
	})
}
