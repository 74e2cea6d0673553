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

	"github.com/pkg/errors"
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
	p.watch.Changed = s.Wake
	g := dial.Server()
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
	w.Offer(g.state)
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
	g.client.Watch.Offer(g.state)
	for _, p := range g.places {
		p.watch.Offer(g.state)
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

func TestHistoryIsTheSameForEveryEntry(t *testing.T) {
	g := newGroup(t)
	g.must(g.run(g.client, stores.Turn{ID: "1", Program: "p", Most: 10}, 5))
	g.must(g.run(g.newClient(), stores.Turn{ID: "2", Program: "p", Previous: "1", Most: 10}, 5))
	// Another program goes on from the turn of the first.
	g.must(g.run(g.newClient(), stores.Turn{ID: "3", Program: "q", Previous: "2", Most: 10}, 5))
	grant, err := g.newClient().Reserve(context.Background(), stores.Turn{ID: "4", Program: "r", Previous: "3", Most: 10})
	g.must(err)
	want := "in 1\nout 1\nin 2\nout 2\nin 3\nout 3\n"
	if got := history(grant); got != want || grant.Home() != "p" {
		t.Errorf("history %q at home %s, want %q at p", got, grant.Home(), want)
	}
}

// TestATurnOfAnotherCustomerIsUnknown: also where it is held in the cache of an entry instance. A turn of before keys were
// asked for is anyone's who knows its id.
func TestATurnOfAnotherCustomerIsUnknown(t *testing.T) {
	g := newGroup(t)
	one, other := g.newClient(), g.newClient()
	keep := func(id, customer string) {
		grant, err := one.Reserve(t.Context(), stores.Turn{ID: id, Program: "p", Customer: customer, Most: 1, Retain: time.Minute})
		g.must(err)
		g.must(one.Settle(t.Context(), grant, 1, &fleetpb.Turn{Id: id, Home: grant.Home(), Input: []byte("in"), Customer: customer, RetainMs: 60_000}))
	}
	keep("of-a", "a")
	keep("of-nobody", "")
	for _, c := range []*stores.Client{one, other} {
		for _, test := range []struct {
			previous, customer string
			known              bool
		}{{"of-a", "a", true}, {"of-a", "b", false}, {"of-a", "", false}, {"of-nobody", "b", true}, {"of-nobody", "", true}} {
			_, err := c.Reserve(t.Context(), stores.Turn{ID: test.previous + "/" + test.customer, Program: "p", Customer: test.customer, Previous: test.previous, Most: 1, Retain: time.Minute})
			var unknown *stores.UnknownTurnError
			if errors.As(err, &unknown) == test.known {
				t.Errorf("customer %q goes on from %s: %v", test.customer, test.previous, err)
			}
		}
	}
}

func TestBudgetHoldsOverEntries(t *testing.T) {
	g := newGroup(t)
	turn := func(id string) stores.Turn { return stores.Turn{ID: id, Program: "p", Most: 100, Budget: 250} }
	g.must(g.run(g.client, turn("1"), 100))
	g.must(g.run(g.newClient(), turn("2"), 40))
	// 140 are spent; one more of at most 100 fits, two at once do not.
	held, err := g.newClient().Reserve(context.Background(), turn("3"))
	g.must(err)
	var over *stores.OverBudgetError
	if _, err := g.newClient().Reserve(context.Background(), turn("4")); !errors.As(err, &over) || over.Used != 240 {
		t.Fatalf("%v, want 240 tokens used", err)
	}
	// What is given back can be used: the refused try left nothing behind.
	g.must(g.client.Settle(context.Background(), held, 10, nil))
	g.must(g.run(g.newClient(), turn("5"), 100))
}

func TestConcurrentTurnsNeverExceedTheBudget(t *testing.T) {
	g := newGroup(t)
	var running sync.WaitGroup
	var mu sync.Mutex
	granted := 0
	for i := range 12 {
		c := g.newClient()
		running.Go(func() {
			_, err := c.Reserve(context.Background(), stores.Turn{ID: fmt.Sprint(i), Program: "p", Most: 100, Budget: 500})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				granted++
			}
		})
	}
	running.Wait()
	if granted > 5 {
		t.Errorf("%d turns of 100 tokens were granted in a budget of 500", granted)
	}
}

// TestAReservationAsksAQuorumFirst: a store more is asked only where one of the quorum is gone, and what all were told by
// the settlement holds on whichever stores are left.
func TestAReservationAsksAQuorumFirst(t *testing.T) {
	g := newGroup(t)
	g.client.HedgeAfter = time.Hour
	asked := func(program string) (n int) {
		for _, p := range g.places {
			n += p.reserves.of(program)
		}
		return n
	}
	reserve := func(program string) {
		g.must(g.run(g.client, stores.Turn{ID: program + "-1", Program: program, Most: 10, Budget: 100}, 10))
	}
	reserve("p")
	for !g.client.Proven() {
		pauseBriefly()
	}
	const turns = 20
	for i := range turns {
		g.must(g.run(g.client, stores.Turn{ID: fmt.Sprint("q", i), Program: "q", Most: 1, Budget: 100}, 1))
	}
	if n := asked("q"); n != 2*turns {
		t.Errorf("%d questions for %d reservations of a quorum of two", n, turns)
	}
	g.places[1].stop()
	grant, err := g.client.Reserve(t.Context(), stores.Turn{ID: "2", Program: "p", Previous: "p-1", Most: 10, Budget: 100})
	g.must(err)
	if want := "in p-1\nout p-1\n"; history(grant) != want {
		t.Errorf("with a store gone: history %q, want %q", history(grant), want)
	}
	var over *stores.OverBudgetError
	if _, err := g.client.Reserve(t.Context(), stores.Turn{ID: "3", Program: "p", Most: 81, Budget: 100}); !errors.As(err, &over) {
		t.Errorf("%v: what was settled before is forgotten", err)
	}
}

// TestBeforeStoresAreChosenNothingIsReserved: a view without members is an error to who reserves, and no fault.
func TestBeforeStoresAreChosenNothingIsReserved(t *testing.T) {
	w := &watch.Client{Self: &fleetpb.Member{Instance: "entry"}, Log: quiet()}
	w.Offer(&fleetpb.State{Number: 1, View: &fleetpb.View{Epoch: 1, Copies: 3}})
	c := &stores.Client{Watch: w, Pool: &dial.Pool{}, Turns: &stores.Cache{Bytes: 1 << 10}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var unavailable *stores.UnavailableError
	if _, err := c.Reserve(ctx, stores.Turn{ID: "1", Program: "p", Most: 1}); !errors.As(err, &unavailable) {
		t.Errorf("%v, want an UnavailableError", err)
	}
}

func TestOneLostStoreCostsNothingTwoAreToldAsUnavailable(t *testing.T) {
	g := newGroup(t)
	g.must(g.run(g.client, stores.Turn{ID: "1", Program: "p", Most: 10}, 5))
	g.places[0].stop()
	g.must(g.run(g.newClient(), stores.Turn{ID: "2", Program: "p", Previous: "1", Most: 10}, 5))
	var unknown *stores.UnknownTurnError
	if err := g.run(g.client, stores.Turn{ID: "x", Program: "p", Previous: "forged", Most: 10}, 5); !errors.As(err, &unknown) {
		t.Errorf("%v, want an unknown turn", err)
	}
	g.places[1].stop()
	var unavailable *stores.UnavailableError
	c := g.newClient()
	if _, err := c.Reserve(shortly(t), stores.Turn{ID: "3", Program: "p", Previous: "2", Most: 10}); !errors.As(err, &unavailable) {
		t.Errorf("%v, want unavailable stores, never an unknown turn", err)
	}
	if c.Reachable() {
		t.Error("two of three stores are lost and a majority counts as reachable")
	}
	if !g.newClient().Reaches("p") {
		t.Error("a program whose stores were not called yet is refused")
	}
}

// TestAProcessThatStartsReachesStoresOnceTheyAnswer: behind a cut a new process must
// not count stores as reached that it has never heard.
func TestAProcessThatStartsReachesStoresOnceTheyAnswer(t *testing.T) {
	g := newGroup(t)
	c := g.newClient()
	if c.Reachable() {
		t.Fatal("stores that never answered count as reached")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx)
	for !c.Reachable() {
		if err := t.Context().Err(); err != nil {
			t.Fatal(err)
		}
		pauseBriefly()
	}
}

// shortly returns a context for calls that can't succeed.
func shortly(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func TestAWipedStoreCopiesBeforeItCounts(t *testing.T) {
	g := newGroup(t)
	g.must(g.run(g.client, stores.Turn{ID: "1", Program: "p", Most: 10, Budget: 30}, 10))
	// The second turn reaches two stores only.
	g.places[2].stop()
	g.must(g.run(g.client, stores.Turn{ID: "2", Program: "p", Previous: "1", Most: 10, Budget: 30}, 10))
	g.places[2].start()
	// The first store loses its disk and comes back as another life.
	g.places[0].stop()
	wiped := &place{t: t, dir: t.TempDir(), member: &fleetpb.Member{
		Instance: "store-0", Storage: 77, FailureDomain: "domain-0", Address: g.places[0].member.GetAddress(),
	}}
	wiped.start()
	g.places[0] = wiped
	members := []*fleetpb.Member{wiped.member, g.places[1].member, g.places[2].member}
	g.change(func(v *fleetpb.View) { v.Prior, v.Members = v.GetMembers(), members })
	g.await(2, g.places...)
	g.change(func(v *fleetpb.View) { v.Prior = nil })
	g.await(3, g.places...)
	// The only other holder of the second turn is lost right after the repair.
	g.places[1].stop()
	var over *stores.OverBudgetError
	grant, err := g.newClient().Reserve(context.Background(), stores.Turn{ID: "3", Program: "p", Previous: "2", Most: 10, Budget: 30})
	g.must(err)
	if want := "in 1\nout 1\nin 2\nout 2\n"; history(grant) != want {
		t.Errorf("history %q, want %q", history(grant), want)
	}
	if _, err := g.newClient().Reserve(context.Background(), stores.Turn{ID: "4", Program: "p", Most: 10, Budget: 30}); !errors.As(err, &over) {
		t.Errorf("%v: the budget is forgotten", err)
	}
}

func TestAllStoresRestart(t *testing.T) {
	g := newGroup(t)
	g.must(g.run(g.client, stores.Turn{ID: "1", Program: "p", Most: 10}, 5))
	for _, p := range g.places {
		p.stop()
	}
	for _, p := range g.places {
		p.start()
	}
	g.spread()
	c := g.newClient()
	g.must(g.run(c, stores.Turn{ID: "2", Program: "p", Previous: "1", Most: 10}, 5))
	var unknown *stores.UnknownTurnError
	if err := g.run(c, stores.Turn{ID: "3", Program: "p", Previous: "forged", Most: 10}, 5); !errors.As(err, &unknown) {
		t.Errorf("%v: stores that kept their disks are not believed", err)
	}
}

func TestACallUnderAnOlderViewIsTriedUnderTheNewOne(t *testing.T) {
	g := newGroup(t)
	old := g.newClient()
	g.change(func(v *fleetpb.View) { v.Prior = v.GetMembers() })
	g.await(2, g.places...)
	if _, err := old.Reserve(shortly(t), stores.Turn{ID: "1", Program: "p", Most: 10}); err == nil {
		t.Error("a call under an older view was taken")
	}
	old.Watch.Offer(g.state)
	g.must(g.run(old, stores.Turn{ID: "2", Program: "p", Most: 10}, 5))
}

// TestOneOfTwoStoresIsWiped: the copy that is left is read, and the emptied store
// takes it over before both write again.
func TestOneOfTwoStoresIsWiped(t *testing.T) {
	g := newGroup(t)
	two := g.state.GetView().GetMembers()[:2]
	g.change(func(v *fleetpb.View) { v.Prior, v.Members = v.GetMembers(), two })
	g.await(2, g.places[:2]...)
	g.change(func(v *fleetpb.View) { v.Prior = nil })
	g.await(3, g.places[:2]...)
	g.places[2].stop()
	g.must(g.run(g.client, stores.Turn{ID: "1", Program: "p", Most: 10}, 5))
	g.places[0].stop()
	wiped := &place{t: t, dir: t.TempDir(), member: &fleetpb.Member{
		Instance: "store-0", Storage: 77, FailureDomain: "domain-0", Address: g.places[0].member.GetAddress(),
	}}
	wiped.start()
	g.places = []*place{wiped, g.places[1]}
	g.change(func(v *fleetpb.View) {
		v.Prior, v.Members = v.GetMembers(), []*fleetpb.Member{wiped.member, g.places[1].member}
	})
	g.must(g.run(g.newClient(), stores.Turn{ID: "2", Program: "p", Previous: "1", Most: 10}, 5))
	g.await(2, g.places...)
}

// TestAnIdleInstanceNoticesThatItIsCutOff: it makes no calls of its own, and most
// voters fall silent together with most stores.
func TestAnIdleInstanceNoticesThatItIsCutOff(t *testing.T) {
	g := newGroup(t)
	c := g.newClient()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go c.Run(ctx)
	until := func(reachable bool) {
		t.Helper()
		for c.Reachable() != reachable {
			if err := ctx.Err(); err != nil {
				t.Fatalf("reachable is not %v: %v", reachable, err)
			}
			pauseBriefly()
		}
	}
	until(true)
	g.change(func(*fleetpb.View) {})
	c.Watch.Offer(&fleetpb.State{Number: g.state.GetNumber() + 1, View: g.state.GetView(), Voters: []*fleetpb.Member{{Instance: "silent"}}})
	g.places[0].stop()
	g.places[1].stop()
	until(false)
}

// TestAProcessThatStartsBeforeItsStoresWaitsForThem: after a loss of power of all
// instances an entry may come up first; its turns wait for the stores.
func TestAProcessThatStartsBeforeItsStoresWaitsForThem(t *testing.T) {
	g := newGroup(t)
	for _, p := range g.places {
		p.stop()
	}
	c := g.newClient()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx)
	// Its probes have failed by the time they have had their longest.
	pause := time.NewTimer(2 * probesFail)
	<-pause.C
	if !c.Reaches("p") {
		t.Fatal("turns are refused at once for stores that may be starting")
	}
	for _, p := range g.places {
		p.start()
	}
	g.spread()
	g.must(g.run(c, stores.Turn{ID: "1", Program: "p", Most: 10}, 5))
}

// probesFail is more than a probe takes to fail at an address where nobody listens.
const probesFail = 300 * time.Millisecond
