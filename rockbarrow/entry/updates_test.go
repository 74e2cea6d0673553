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

// TestDrainingIsNotDelayedByConfiguration guards against requests to a draining endpoint while a large
// configuration is being applied.
func TestDrainingIsNotDelayedByConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntry(t, &fakeSender{})
		release := make(chan struct{})
		e.Decode = func([]byte) (*fleetpb.Document, error) {
			<-release
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
			t.Error("a draining endpoint still gets requests while a configuration is being applied")
		}
		if v := e.table.Load().Version(); v != 1 {
			t.Errorf("version %d is in force before it was decoded", v)
		}
		close(release)
		synctest.Wait()
		if v := e.table.Load().Version(); v != 2 {
			t.Errorf("version %d is in force, want 2", v)
		}
		cancel()
		synctest.Wait()
	})
}

// TestTableFetchIsRetried checks that a fetch is retried while control is unreachable, that a partial
// result is used meanwhile, and that an invalid table is not fetched again.
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
			t.Errorf("version %d is in force after fetches from versions %v", v, fetched)
		}
		e.Watch.UpdateState(&fleetpb.State{Number: 3, Configuration: &fleetpb.Configuration{Version: 4}})
		<-time.After(10 * fetchRetryInterval)
		synctest.Wait()
		if v := e.table.Load().Version(); v != 3 || len(fetched) != 4 {
			t.Errorf("version %d is in force after fetches from versions %v", v, fetched)
		}
		cancel()
		synctest.Wait()
	})
}

// TestWholeDocumentFromPreviousVersion checks compatibility with control instances that send whole
// documents.
func TestWholeDocumentFromPreviousVersion(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	e.FetchTable = func(context.Context, *routing.Table, uint64) (*routing.Table, error) {
		t.Error("a table was fetched although the document was sent")
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
