// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/platform/wire"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/confighistory"
	"rockbarrow.dev/schema/fleetpb"
)

// timeLimits are the time limits of the routes under test, in ms.
var timeLimits = []uint32{100, 700, 2000}

// TestRequestsEndWithTheirTimeLimit guards against requests of any kind without a final answer after the time limit of their route, whether
// their endpoints don't answer, can't be connected to, or stream for longer.
func TestRequestsEndWithTheirTimeLimit(t *testing.T) {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1, Domains: seeds, NoCustomers: true})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, service := range []string{"unanswered", "silent", "endless"} {
		f.addUnending(t, service)
	}
	if err := f.deploy(t.Context()); err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range f.entries {
		f.awaitRun(t, client, e, f.extraRoutes[len(f.extraRoutes)-1])
	}
	var late, all int
	var mu sync.Mutex
	var requests sync.WaitGroup
	for _, r := range f.extraRoutes {
		for _, e := range f.entries {
			requests.Go(func() {
				took, status, err := f.askUnending(t.Context(), client, e, r, 0)
				mu.Lock()
				defer mu.Unlock()
				all++
				if status == http.StatusServiceUnavailable && !strings.HasPrefix(r.GetName(), "silent") {
					t.Errorf("%s: refused, although its endpoints are known", r.GetName())
				}
				if took > time.Duration(r.GetTimeoutMs())*time.Millisecond+confighistory.LateSlack {
					late++
					t.Logf("%s: status %d, %v, after %v", r.GetName(), status, err, took)
				}
			})
		}
	}
	requests.Wait()
	if confighistory.AreLate(late, all) {
		t.Errorf("%d of %d requests had no final answer %v after their limit", late, all, confighistory.LateSlack)
	}
	for _, b := range append(f.ledger.Violations(), f.failures()...) {
		t.Error(b)
	}
}

// addUnending adds endpoints whose responses don't end in time, and routes of all kinds to them.
func (f *fleet) addUnending(t *testing.T, service string) {
	for d := range f.domains {
		e := f.newEndpoint(fmt.Sprint(service, "-", d), service, fmt.Sprint("domain-", d))
		e.Stream, e.ServiceTime = service == "endless", time.Minute
		if e.Stream {
			e.ServiceTime = 50 * time.Millisecond
		}
		if err := f.startFresh(e); err != nil {
			t.Fatal(err)
		}
		if service == "silent" {
			if err := e.Silence(); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.extraServices = append(f.extraServices, &fleetpb.Service{Name: service, MaxConnections: 300})
	for _, kind := range []fleetpb.RouteKind{fleetpb.RouteKind_ROUTE_KIND_ONCE, fleetpb.RouteKind_ROUTE_KIND_REPEATABLE, fleetpb.RouteKind_ROUTE_KIND_STREAM} {
		for _, history := range []bool{false, true} {
			for _, limit := range timeLimits {
				if history && kind != fleetpb.RouteKind_ROUTE_KIND_STREAM {
					continue
				}
				name := fmt.Sprintf("%s-%d-%v-%d", service, kind, history, limit)
				r := &fleetpb.Route{
					Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, TimeoutMs: limit, ObjectiveMs: 200, MaxAttempts: 3, History: history,
					Shares: []*fleetpb.Share{{Service: service, Weight: 1}},
				}
				if history {
					r.RetainMs = 60_000
				}
				f.extraRoutes = append(f.extraRoutes, r)
			}
		}
	}
}

// awaitRun waits until an entry instance knows the endpoints of a route, and the others that were started before them.
func (f *fleet) awaitRun(t *testing.T, client *http.Client, e *instance, r *fleetpb.Route) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readyWithin)
	defer cancel()
	for n, status := 1, 0; status != http.StatusOK && status != http.StatusGatewayTimeout; n++ {
		if !wait.For(ctx, holdTick) {
			t.Fatalf("%s: status %d", r.GetName(), status)
		}
		_, status, _ = f.askUnending(ctx, client, e, r, n)
	}
}

// askUnending sends a request whose client waits for longer than the time limit, and returns after how long it ended, and how.
func (f *fleet) askUnending(ctx context.Context, client *http.Client, e *instance, r *fleetpb.Route, n int) (took time.Duration, status int, err error) {
	begun := time.Now()
	const body = "body"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.plan.ConsumerAddress+r.GetPrefix()+"x", strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	req.Host = host
	standin.SetBodySum(req.Header, body)
	if r.GetKind() == fleetpb.RouteKind_ROUTE_KIND_REPEATABLE {
		standin.SetRepeatable(req.Header)
	}
	req.Header.Set(wire.RequestID, fmt.Sprint(r.GetName(), e.plan.Instance, n))
	req.Header.Set(wire.TokenCount, "10,3000")
	req.Header.Set(wire.DeadlineMS, "30000")
	resp, err := client.Do(req)
	if err != nil {
		return time.Since(begun), 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return time.Since(begun), resp.StatusCode, err
}
