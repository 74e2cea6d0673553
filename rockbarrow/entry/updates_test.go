// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// TestDrainingIsNotDelayedByConfiguration: a configuration gained 1,400 routes
// while endpoints were replaced. An instance took it in for seconds, and until then sent
// requests to an endpoint whose leaving it had heard of, because tables and fleets were
// renewed one after the other.
func TestDrainingIsNotDelayedByConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntry(t, &fakeSender{})
		taken := make(chan struct{})
		e.Decode = func([]byte) (*fleetpb.Document, error) {
			<-taken
			d := testDocument()
			d.Version = 2
			return d, nil
		}
		e.Watch.OnChange = e.NotifyChanged
		ctx, cancel := context.WithCancel(context.Background())
		go e.Run(ctx)
		e.Watch.UpdateState(&fleetpb.State{Number: 2, Configuration: &fleetpb.Configuration{Version: 2}, View: &fleetpb.View{Epoch: 1, Copies: 3}})
		synctest.Wait()
		e.Watch.UpdateList(endpointList(2, "y"), time.Now())
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

// TestTableFetchIsRetried: until control is reached, and what came of it
// by then is in force meanwhile. What is not readable is not asked for without end.
func TestTableFetchIsRetried(t *testing.T) {
	table := func(version uint64) *routing.Table {
		d := testDocument()
		d.Version = version
		made, err := routing.New(d)
		if err != nil {
			t.Fatal(err)
		}
		return made
	}
	synctest.Test(t, func(t *testing.T) {
		e := newEntry(t, &fakeSender{})
		e.Watch.OnChange = e.NotifyChanged
		var fetched []uint64
		e.FetchTable = func(_ context.Context, held *routing.Table, version uint64) (*routing.Table, error) {
			fetched = append(fetched, held.Version())
			switch len(fetched) {
			case 1:
				return held, &watch.TableFetchError{Version: version}
			case 2:
				return table(2), &watch.TableFetchError{Version: version}
			case 3:
				return table(3), nil
			}
			return held, &routing.InvalidError{Reason: "not readable"}
		}
		ctx, cancel := context.WithCancel(context.Background())
		go e.Run(ctx)
		e.Watch.UpdateState(&fleetpb.State{Number: 2, Configuration: &fleetpb.Configuration{Version: 3}})
		<-time.After(2*fetchRetryInterval + fetchRetryInterval/2)
		synctest.Wait()
		if v := e.table.Load().Version(); v != 3 || len(fetched) != 3 || fetched[2] != 2 {
			t.Errorf("version %d is in force after asking with %v", v, fetched)
		}
		e.Watch.UpdateState(&fleetpb.State{Number: 3, Configuration: &fleetpb.Configuration{Version: 4}})
		<-time.After(10 * fetchRetryInterval)
		synctest.Wait()
		if v := e.table.Load().Version(); v != 3 || len(fetched) != 4 {
			t.Errorf("version %d is in force after asking with %v", v, fetched)
		}
		cancel()
		synctest.Wait()
	})
}

// TestWholeDocumentFromPreviousVersion: they are taken as they come.
func TestWholeDocumentFromPreviousVersion(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	e.FetchTable = func(context.Context, *routing.Table, uint64) (*routing.Table, error) {
		t.Error("a table was asked for that came as a document")
		return nil, &watch.TableFetchError{}
	}
	e.Decode = func([]byte) (*fleetpb.Document, error) {
		d := testDocument()
		d.Version = 2
		return d, nil
	}
	e.Watch.UpdateState(&fleetpb.State{Number: 2, Configuration: &fleetpb.Configuration{Version: 2, Document: []byte("x")}})
	e.refresh()
	if v := e.table.Load().Version(); v != 2 {
		t.Errorf("version %d is in force, want 2", v)
	}
}
