// SPDX-License-Identifier: MIT

package controller

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
	"google.golang.org/grpc"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/durable"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// fakeList is a list of endpoints that counts its readings.
type fakeList struct {
	mu   sync.Mutex
	list []*fleetpb.Endpoint
}

func (l *fakeList) Endpoints(context.Context) (*fleetpb.EndpointList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &fleetpb.EndpointList{Endpoints: l.list}, nil
}

func (l *fakeList) set(list ...*fleetpb.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = list
}

// place is one control instance of a test.
type place struct {
	t          testing.TB
	controller *Controller
	member     *fleetpb.Member
	dir        string
	seeds      []string
	founder    bool
	list       *fakeList
	reports    *fakeReports
	stop       func()
}

func (p *place) start(l net.Listener) {
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", p.member.GetAddress()); err != nil {
			p.t.Fatal(err)
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	c := &Controller{
		Self: p.member, Seeds: p.seeds, FirstSeeds: p.seeds, Founder: p.founder, Losses: 1, DataDir: p.dir, Pool: pool, List: p.list,
		Decode: decode, Log: logrus.NewEntry(log),
	}
	if p.reports != nil {
		c.Reports = p.reports
	}
	if err := c.Open(); err != nil {
		p.t.Fatal(err)
	}
	p.controller = c
	g := dial.NewServer()
	fleetpb.RegisterControlServer(g, c)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { c.Run(ctx) })
	running.Go(func() { serve(g, l) })
	p.stop = sync.OnceFunc(func() {
		cancel()
		g.Stop()
		running.Wait()
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

// newCore starts three control instances and waits until they have a value.
func newCore(t testing.TB) []*place {
	var places []*place
	var listeners []net.Listener
	var seeds []string
	list := &fakeList{}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().String())
		places = append(places, &place{t: t, dir: t.TempDir(), founder: true, list: list, member: &fleetpb.Member{
			Instance: fmt.Sprint("control-", i), Storage: uint64(i + 1), Address: l.Addr().String(),
		}})
	}
	for i, p := range places {
		p.seeds = seeds
		p.start(listeners[i])
	}
	for _, p := range places {
		await(t, func() bool { return p.controller.Learned() })
	}
	return places
}

func await(t testing.TB, ok func() bool) {
	t.Helper()
	for !ok() {
		if err := t.Context().Err(); err != nil {
			t.Fatal(err)
		}
		pause := time.NewTimer(time.Millisecond)
		<-pause.C
	}
}

func put(t testing.TB, p *place, version uint64, document string) {
	t.Helper()
	await(t, func() bool { return p.controller.Put(t.Context(), version, []byte(document)) == nil })
}

func version(p *place) uint64 { return p.controller.State().GetConfiguration().GetVersion() }

func TestAnAcceptedConfigurationComesIntoForceEverywhere(t *testing.T) {
	core := newCore(t)
	put(t, core[1], 7, "seven")
	put(t, core[2], 5, "five")
	for _, p := range core {
		await(t, func() bool { return version(p) == 7 })
		s, err := p.controller.Read(t.Context())
		if err != nil || string(s.GetConfiguration().GetDocument()) != "seven" {
			t.Errorf("read %q, %v", s.GetConfiguration().GetDocument(), err)
		}
	}
}

func TestTwoOperatorsRaceUnderOneVersion(t *testing.T) {
	core := newCore(t)
	for round := uint64(1); round <= 5; round++ {
		var running sync.WaitGroup
		for _, p := range core {
			running.Go(func() { put(t, p, round, fmt.Sprint(p.member.GetInstance(), " ", round)) })
		}
		running.Wait()
		first, err := core[0].controller.Read(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range core[1:] {
			s, err := p.controller.Read(t.Context())
			if err != nil || string(s.GetConfiguration().GetDocument()) != string(first.GetConfiguration().GetDocument()) {
				t.Errorf("%q and %q under version %d, %v", first.GetConfiguration().GetDocument(), s.GetConfiguration().GetDocument(), round, err)
			}
		}
	}
}

func TestAMinorityAcceptsNothing(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 1, "one")
	core[1].stop()
	core[2].stop()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := core[0].controller.Put(ctx, 2, []byte("two")); err == nil {
		t.Error("one of three accepted a configuration")
	}
	ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := core[0].controller.Read(ctx); err == nil {
		t.Error("one of three was sure of the newest configuration")
	}
}

// TestARoundEndsWithItsAnswers: while a majority is down a round must not wait for
// answers that nobody will give, or it is still waiting when the majority is back.
func TestARoundEndsWithItsAnswers(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 1, "one")
	core[1].stop()
	core[2].stop()
	var unanswered *unansweredError
	for !errors.As(roundError(t, core[0]), &unanswered) {
		// A vote that was on its way when the others stopped.
		continue
	}
}

func roundError(t *testing.T, p *place) error {
	t.Helper()
	_, err := p.controller.runRound(t.Context(), nil)
	if errors.Is(err, context.DeadlineExceeded) {
		t.Fatal("the round waited for answers that nobody gives")
	}
	return err
}

func TestAllRestartAndKnowWhatWasAccepted(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 3, "three")
	for _, p := range core {
		p.stop()
	}
	for _, p := range core {
		p.start(nil)
	}
	for _, p := range core {
		await(t, func() bool { return version(p) == 3 })
	}
}

func TestAWipedInstanceGetsItsVoteBack(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 1, "one")
	core[2].stop()
	put(t, core[0], 2, "two")
	wiped := &place{t: t, dir: t.TempDir(), seeds: core[2].seeds, list: core[2].list, member: &fleetpb.Member{
		Instance: "control-2", Storage: 99, Address: core[2].member.GetAddress(),
	}}
	wiped.start(nil)
	await(t, func() bool {
		s := wiped.controller.State()
		return register.Has(s.GetVoters(), 99) && len(s.GetPriorVoters()) == 0
	})
	// Another is lost right after: the repaired one and the last make a majority.
	core[0].stop()
	put(t, wiped, 3, "three")
	await(t, func() bool { return version(core[1]) == 3 })
}

func TestTheListReachesAllThatWatch(t *testing.T) {
	core := newCore(t)
	core[0].list.set(&fleetpb.Endpoint{Id: "a"}, &fleetpb.Endpoint{Id: "b", Draining: true})
	for _, p := range core {
		await(t, func() bool { return len(p.controller.Endpoints().List().GetEndpoints()) == 2 })
	}
}

func TestAVoteThatWasNotSavedIsNotGiven(t *testing.T) {
	c := &Controller{Self: &fleetpb.Member{Instance: "control", Storage: 1}, DataDir: t.TempDir(), Log: logrus.NewEntry(logrus.New())}
	c.Log.Logger.SetOutput(io.Discard)
	if err := c.Open(); err != nil {
		t.Fatal(err)
	}
	cell, err := durable.OpenCell(c.DataDir, "missing/folder/register")
	if err != nil {
		t.Fatal(err)
	}
	c.disk = &votes{value: cell, promise: cell}
	req := &fleetpb.PrepareRequest{Ballot: &fleetpb.Ballot{Round: 5}, Acceptor: 1}
	if reply, err := c.Prepare(t.Context(), req); err == nil {
		t.Errorf("a promise that is not on the disk was given: %v", reply)
	}
	if c.acceptor.Record().GetPromised().GetRound() != 0 {
		t.Error("a promise that was not given is remembered")
	}
	value := &fleetpb.AcceptRequest{Ballot: &fleetpb.Ballot{Round: 5}, Acceptor: 1, State: &fleetpb.State{Number: 1}}
	if reply, err := c.Accept(t.Context(), value); err == nil {
		t.Errorf("a value that is not on the disk was accepted: %v", reply)
	}
	if c.acceptor.Record().GetState() != nil {
		t.Error("a value that was not accepted is remembered")
	}
}

// TestListsGoOnAfterARestartOfAllControl: an entry instance that lives on holds a list
// with a high number. Control instances that begin anew must number above it, or the
// leaving of endpoints would not be noticed.
func TestListsGoOnAfterARestartOfAllControl(t *testing.T) {
	core := newCore(t)
	const held = 50<<tagBits | 7
	req := &fleetpb.WatchRequest{
		Sender: &fleetpb.Member{Instance: "entry"}, Role: fleetpb.Role_ROLE_ENTRY, StateNumber: 1 << 40, ListNumber: held, WantsNews: true,
	}
	core[0].list.set(&fleetpb.Endpoint{Id: "a", Draining: true})
	await(t, func() bool {
		r, err := core[1].controller.Watch(t.Context(), req)
		return err == nil && r.GetList().GetNumber() > held && len(r.GetList().GetEndpoints()) == 1
	})
}

// TestNewsGoOnlyToThoseWhoWantThem: hundreds of instances watch all control instances,
// and each needs a state or list once. One that asks for no news hears of their numbers.
func TestNewsGoOnlyToThoseWhoWantThem(t *testing.T) {
	core := newCore(t)
	core[0].list.set(&fleetpb.Endpoint{Id: "a"})
	c := core[0].controller
	await(t, func() bool { return len(c.Endpoints().List().GetEndpoints()) == 1 })
	watch := func(role fleetpb.Role, news bool) *fleetpb.WatchReply {
		t.Helper()
		r, err := c.Watch(t.Context(), &fleetpb.WatchRequest{Sender: &fleetpb.Member{Instance: "x"}, Role: role, WantsNews: news})
		if err != nil {
			t.Fatal(err)
		}
		if r.GetStateNumber() == 0 || r.GetListNumber() == 0 {
			t.Errorf("%v, want the newest numbers", r)
		}
		return r
	}
	if r := watch(fleetpb.Role_ROLE_ENTRY, false); r.GetState() != nil || r.GetList() != nil {
		t.Error("state or list went to an instance that did not ask for news")
	}
	if r := watch(fleetpb.Role_ROLE_ENTRY, true); r.GetState() == nil || r.GetList() == nil {
		t.Error("state or list did not come")
	}
	if r := watch(fleetpb.Role_ROLE_STORE, true); r.GetState() == nil || r.GetList() != nil {
		t.Error("a store gets the state, and no list of endpoints")
	}
}
