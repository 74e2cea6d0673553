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
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// quiet drops all log lines.
func quiet() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// place is one store instance of a test, which may be stopped and started.
type place struct {
	t        *testing.T
	member   *fleetpb.Member
	dir      string
	store    *store.Store
	watch    *watch.Client
	stop     func()
	reserves reserves
}

// reserves counts the reservations that a store was asked for, by program.
type reserves struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *reserves) add(program string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[program]++
}

func (r *reserves) of(program string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[program]
}

// counted is a store whose calls are counted.
type counted struct {
	*store.Store
	reserves *reserves
}

// Reserve counts a call.
func (c *counted) Reserve(ctx context.Context, req *fleetpb.ReserveRequest) (*fleetpb.ReserveReply, error) {
	c.reserves.add(req.GetProgram())
	return c.Store.Reserve(ctx, req)
}

// start runs a store on a folder. Its address stays the same over restarts.
func (p *place) start() {
	address := p.member.GetAddress()
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		p.t.Fatal(err)
	}
	if p.member.GetAddress() == "" {
		// Clients may read it from now on.
		p.member.Address = l.Addr().String()
	}
	p.watch = &watch.Client{Self: p.member, Log: quiet()}
	pool := &dial.Pool{}
	s := &store.Store{Self: p.member, DataDir: p.dir, Watch: p.watch, Pool: pool, Log: quiet(), Metrics: tally.NoopScope}
	closeLog, err := s.Open()
	if err != nil {
		p.t.Fatal(err)
	}
	p.store = s
	p.watch.OnChange = s.Wake
	g := dial.NewServer()
	fleetpb.RegisterStoreServer(g, &counted{Store: s, reserves: &p.reserves})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	running.Go(func() { serve(g, l) })
	p.stop = sync.OnceFunc(func() {
		cancel()
		g.Stop()
		running.Wait()
		closeLog()
		pool.Close()
	})
	p.t.Cleanup(p.stop)
}

func serve(g *grpc.Server, l net.Listener) {
	// Serve returns an error once the test stops it.
	if err := g.Serve(l); err != nil {
		return
	}
}

// group is three stores and a client of them.
type group struct {
	t      *testing.T
	places []*place
	state  *fleetpb.State
	client *stores.Client
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, state: &fleetpb.State{Number: 1, View: &fleetpb.View{Epoch: 1, Copies: 3}}}
	for i := range 3 {
		p := &place{t: t, dir: t.TempDir(), member: &fleetpb.Member{
			Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: fmt.Sprint("domain-", i),
		}}
		p.start()
		g.places = append(g.places, p)
		g.state.View.Members = append(g.state.View.Members, p.member)
	}
	g.client = g.newClient()
	g.spread()
	g.await(1, g.places...)
	return g
}

func (g *group) newClient() *stores.Client {
	w := &watch.Client{Self: &fleetpb.Member{Instance: "entry"}, Log: quiet()}
	w.UpdateState(g.state)
	pool := &dial.Pool{}
	g.t.Cleanup(pool.Close)
	return &stores.Client{Watch: w, Pool: pool, Domain: "domain-1", Turns: &stores.Cache{Bytes: 1 << 20}}
}

// change brings another state into force everywhere.
func (g *group) change(f func(s *fleetpb.View)) {
	next := &fleetpb.State{Number: g.state.GetNumber() + 1, View: &fleetpb.View{
		Epoch: g.state.GetView().GetEpoch() + 1, Copies: 3,
		Members: g.state.GetView().GetMembers(), Prior: g.state.GetView().GetPrior(),
	}}
	f(next.View)
	g.state = next
	g.spread()
}

func (g *group) spread() {
	g.client.Watch.UpdateState(g.state)
	for _, p := range g.places {
		p.watch.UpdateState(g.state)
	}
}

// await waits until stores hold all records of a view.
func (g *group) await(epoch uint64, places ...*place) {
	g.t.Helper()
	for _, p := range places {
		for p.store.Whole() < epoch {
			if err := g.t.Context().Err(); err != nil {
				g.t.Fatal(err)
			}
			pauseBriefly()
		}
	}
}

func pauseBriefly() {
	t := time.NewTimer(time.Millisecond)
	<-t.C
}

func (g *group) run(c *stores.Client, t stores.Turn, spent uint64) error {
	grant, err := c.Reserve(context.Background(), t)
	if err != nil {
		return err
	}
	return c.Settle(context.Background(), grant, spent, &fleetpb.Turn{
		Id: t.ID, Previous: t.Previous, Home: grant.Home(), Input: []byte("in " + t.ID + "\n"), Output: []byte("out " + t.ID + "\n"),
	})
}

func (g *group) must(err error) {
	g.t.Helper()
	if err != nil {
		g.t.Fatal(err)
	}
}

func history(g *stores.Grant) string {
	out := ""
	for _, t := range g.History() {
		out += string(t.GetInput()) + string(t.GetOutput())
	}
	return out
}
