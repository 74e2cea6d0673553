// SPDX-License-Identifier: MIT

package stores_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/store"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// discardLogger returns a logger that discards its output.
func discardLogger() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// testStore is a store instance that can be stopped and started.
type testStore struct {
	t            *testing.T
	member       *fleetpb.Member
	dir          string
	store        *store.Store
	watch        *watch.Client
	stop         func()
	reserveCalls callCounter
	// lookupDelay is how long the store waits before it answers a lookup.
	lookupDelay time.Duration
}

// callCounter counts the Reserve calls to a store by program.
type callCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *callCounter) add(program string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[program]++
}

func (r *callCounter) count(program string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[program]
}

// countingStore is a store whose Reserve calls are counted.
type countingStore struct {
	*store.Store
	calls       *callCounter
	lookupDelay time.Duration
}

// Reserve counts the call and forwards it to the store.
func (c *countingStore) Reserve(ctx context.Context, req *fleetpb.ReserveRequest) (*fleetpb.ReserveReply, error) {
	c.calls.add(req.GetProgram())
	return c.Store.Reserve(ctx, req)
}

// Lookup answers after the store's delay.
func (c *countingStore) Lookup(ctx context.Context, req *fleetpb.LookupRequest) (*fleetpb.LookupReply, error) {
	if !wait.For(ctx, c.lookupDelay) {
		return nil, ctx.Err()
	}
	return c.Store.Lookup(ctx, req)
}

// Calls serves a stream of calls, whose Reserve calls are counted too.
func (c *countingStore) Calls(s fleetpb.Store_CallsServer) error { return c.Store.ServeCalls(s, c) }

// start runs the store. Its directory and address stay the same across restarts.
func (ts *testStore) start() {
	address := ts.member.GetAddress()
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		ts.t.Fatal(err)
	}
	if ts.member.GetAddress() == "" {
		// Written only once, as clients read it concurrently from now on.
		ts.member.Address = l.Addr().String()
	}
	ts.watch = &watch.Client{Self: ts.member, Log: discardLogger()}
	pool := &dial.Pool{}
	s := &store.Store{Self: ts.member, DataDir: ts.dir, Watch: ts.watch, Pool: pool, Log: discardLogger(), Metrics: tally.NoopScope}
	closeLog, err := s.Open()
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.store = s
	ts.watch.OnChange = s.Wake
	g := dial.NewServer()
	fleetpb.RegisterStoreServer(g, &countingStore{Store: s, calls: &ts.reserveCalls, lookupDelay: ts.lookupDelay})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	running.Go(func() { serveUntilStopped(g, l) })
	ts.stop = sync.OnceFunc(func() {
		cancel()
		g.Stop()
		running.Wait()
		closeLog()
		pool.Close()
	})
	ts.t.Cleanup(ts.stop)
}

func serveUntilStopped(g *grpc.Server, l net.Listener) {
	// Serve returns an error once the test stops the server.
	if err := g.Serve(l); err != nil {
		return
	}
}

// testCluster is a set of stores, initially three, and a client of them.
type testCluster struct {
	t      *testing.T
	stores []*testStore
	state  *fleetpb.State
	client *stores.Client
}

func newTestCluster(t *testing.T) *testCluster {
	g := &testCluster{t: t, state: &fleetpb.State{Number: 1, View: &fleetpb.View{Epoch: 1, Copies: 3}}}
	for i := range 3 {
		p := &testStore{t: t, dir: t.TempDir(), member: &fleetpb.Member{
			Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: fmt.Sprint("domain-", i),
		}}
		p.start()
		g.stores = append(g.stores, p)
		g.state.View.Members = append(g.state.View.Members, p.member)
	}
	g.client = g.newClient()
	g.publishState()
	g.awaitCopied(1, g.stores...)
	return g
}

func (g *testCluster) newClient() *stores.Client {
	w := &watch.Client{Self: &fleetpb.Member{Instance: "entry"}, Log: discardLogger()}
	w.UpdateState(g.state)
	pool := &dial.Pool{}
	g.t.Cleanup(pool.Close)
	return &stores.Client{Watch: w, Pool: pool, Domain: "domain-1", TurnCache: &stores.Cache{MaxBytes: 1 << 20}}
}

// changeView publishes a state with a modified view and the next epoch.
func (g *testCluster) changeView(f func(s *fleetpb.View)) {
	next := &fleetpb.State{Number: g.state.GetNumber() + 1, View: &fleetpb.View{
		Epoch: g.state.GetView().GetEpoch() + 1, Copies: 3,
		Members: g.state.GetView().GetMembers(), Prior: g.state.GetView().GetPrior(),
	}}
	f(next.View)
	g.state = next
	g.publishState()
}

func (g *testCluster) publishState() {
	g.client.Watch.UpdateState(g.state)
	for _, p := range g.stores {
		p.watch.UpdateState(g.state)
	}
}

// awaitCopied waits until stores hold all records of a view.
func (g *testCluster) awaitCopied(epoch uint64, targets ...*testStore) {
	g.t.Helper()
	for _, p := range targets {
		for p.store.CompleteEpoch() < epoch {
			if err := g.t.Context().Err(); err != nil {
				g.t.Fatal(err)
			}
			sleepBriefly()
		}
	}
}

func sleepBriefly() {
	t := time.NewTimer(time.Millisecond)
	<-t.C
}

func (g *testCluster) runTurn(c *stores.Client, t stores.Turn, spent uint64) error {
	grant, err := c.Reserve(context.Background(), t)
	if err != nil {
		return err
	}
	return c.Settle(context.Background(), grant, spent, &fleetpb.Turn{
		Id: t.ID, Previous: t.Previous, Home: grant.Home(), Input: []byte("in " + t.ID + "\n"), Output: []byte("out " + t.ID + "\n"),
	})
}

func (g *testCluster) noError(err error) {
	g.t.Helper()
	if err != nil {
		g.t.Fatal(err)
	}
}

func historyText(g *stores.Grant) string {
	out := ""
	for _, t := range g.History() {
		out += string(t.GetInput()) + string(t.GetOutput())
	}
	return out
}
