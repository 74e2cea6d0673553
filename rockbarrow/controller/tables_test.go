// SPDX-License-Identifier: MIT

package controller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// decode reads the configurations of these tests, which are encoded messages.
func decode(b []byte) (*fleetpb.Document, error) {
	d := &fleetpb.Document{}
	return d, proto.Unmarshal(b, d)
}

// configuration is one of n routes.
func configuration(t testing.TB, version uint64, n int) []byte {
	t.Helper()
	d := &fleetpb.Document{Version: version, Services: []*fleetpb.Service{{Name: "s"}}}
	for i := range n {
		d.Routes = append(d.Routes, &fleetpb.Route{
			Name: fmt.Sprintf("r%d", i), Host: "h.example", Prefix: fmt.Sprintf("/%x/", i*1299709),
			Kind: fleetpb.RouteKind_ROUTE_KIND_ONCE, TimeoutMs: 1000, Shares: []*fleetpb.Share{{Service: "s", Weight: 1}},
		})
	}
	b, err := proto.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// newEntryWatch returns a client that watches the core as an entry instance does, once
// it has heard of a version.
func newEntryWatch(t *testing.T, core []*place) *watch.Client {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	w := &watch.Client{Self: &fleetpb.Member{Instance: "entry"}, Role: fleetpb.Role_ROLE_ENTRY, Pool: pool, Log: logrus.NewEntry(log)}
	for _, p := range core {
		w.Seeds = append(w.Seeds, p.member.GetAddress())
	}
	go w.Run(t.Context())
	return w
}

// fetch gets a table of a version, tried again as entry instances do it.
func fetch(t *testing.T, w *watch.Client, held *routing.Table, version uint64) *routing.Table {
	t.Helper()
	await(t, func() bool {
		got, err := w.FetchTable(t.Context(), held, version)
		held = got
		return err == nil
	})
	return held
}

func awaitVersion(t *testing.T, w *watch.Client, version uint64) {
	t.Helper()
	await(t, func() bool { return w.State().GetConfiguration().GetVersion() >= version })
}

// streamed counts what Table sends.
type streamed struct {
	fleetpb.Control_TableServer
	ctx   context.Context
	parts int
	bytes int
}

func (s *streamed) Context() context.Context { return s.ctx }

func (s *streamed) Send(p *fleetpb.TablePart) error {
	s.parts++
	s.bytes += len(p.GetFrame())
	return nil
}

// TestATableTravelsAsWhatChanged: each of some seventy instances took in a whole
// configuration for each change of one route. When that took longer than the call for
// news, it never came, and no list of endpoints either.
func TestATableTravelsAsWhatChanged(t *testing.T) {
	const routes = 3000
	core := newCore(t)
	put(t, core[0], 1, string(configuration(t, 1, routes)))
	w := newEntryWatch(t, core)
	awaitVersion(t, w, 1)
	if d := w.State().GetConfiguration().GetDocument(); len(d) > 0 {
		t.Errorf("an entry instance was told a document of %d bytes", len(d))
	}
	first := fetch(t, w, nil, 1)
	if first.RouteCount() != routes {
		t.Fatalf("%d routes", first.RouteCount())
	}
	held := first
	for v := uint64(2); v < 6; v++ {
		put(t, core[0], v, string(configuration(t, v, routes+int(v))))
		awaitVersion(t, w, v)
		if held = fetch(t, w, held, v); held.Version() != v || held.RouteCount() != routes+int(v) {
			t.Fatalf("version %d with %d routes", held.Version(), held.RouteCount())
		}
	}
	c := core[0].controller
	await(t, func() bool { return c.RoutingTable().Version() == 5 })
	late := &streamed{ctx: t.Context()}
	if err := c.Table(&fleetpb.TableRequest{Held: first.Digest(), Version: 5}, late); err != nil || late.parts != 4 || late.bytes > 2000 {
		t.Errorf("four changes of a route came in %d parts of %d bytes, %v", late.parts, late.bytes, err)
	}
	same := &streamed{ctx: t.Context()}
	if err := c.Table(&fleetpb.TableRequest{Held: held.Digest(), Version: 5}, same); err != nil || same.parts != 0 {
		t.Errorf("a table that is held came in %d parts, %v", same.parts, err)
	}
	whole := &streamed{ctx: t.Context()}
	if err := c.Table(&fleetpb.TableRequest{Held: []byte("unknown"), Version: 5}, whole); err != nil || whole.parts < 2 {
		t.Errorf("the whole table came in %d parts, %v", whole.parts, err)
	}
}

// TestATableOutlastsItsKeptChanges: an instance that lags further than changes are kept
// gets the whole table.
func TestATableOutlastsItsKeptChanges(t *testing.T) {
	c := &Controller{Decode: decode, Log: quietLog()}
	c.tables.init(c)
	for v := uint64(1); v < keptChanges+5; v++ {
		c.tables.take(&fleetpb.Configuration{Version: v, Document: configuration(t, v, int(v))})
	}
	if n := len(c.tables.changes); n != keptChanges {
		t.Errorf("%d changes are kept, want %d", n, keptChanges)
	}
	old, err := routing.New(&fleetpb.Document{Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	s := &streamed{ctx: t.Context()}
	if err := c.Table(&fleetpb.TableRequest{Held: old.Digest(), Version: 1}, s); err != nil || s.parts != 1 {
		t.Errorf("%d parts, %v", s.parts, err)
	}
	newest, err := routing.New(mustDecode(t, configuration(t, keptChanges+4, keptChanges+4)))
	if err != nil || !bytes.Equal(newest.Digest(), c.RoutingTable().Digest()) {
		t.Errorf("another table is kept, %v", err)
	}
}

// TestATableIsWaitedFor: a control instance that has not made the version asked for
// answers when it has, and never with an older one.
func TestATableIsWaitedFor(t *testing.T) {
	c := &Controller{Decode: decode, Log: quietLog()}
	c.tables.init(c)
	c.tables.take(&fleetpb.Configuration{Version: 1, Document: configuration(t, 1, 1)})
	s := &streamed{ctx: t.Context()}
	done := make(chan error, 1)
	go func() { done <- c.Table(&fleetpb.TableRequest{Version: 2}, s) }()
	c.tables.take(&fleetpb.Configuration{Version: 2, Document: configuration(t, 2, 2)})
	if err := <-done; err != nil || s.parts != 1 {
		t.Errorf("%d parts, %v", s.parts, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.Table(&fleetpb.TableRequest{Version: 3}, &streamed{ctx: ctx}); err == nil {
		t.Error("a version that is not there was told")
	}
}

// TestAConfigurationThatIsNotReadableChangesNothing: it is tried once and the table
// before stays.
func TestAConfigurationThatIsNotReadableChangesNothing(t *testing.T) {
	c := &Controller{Log: quietLog()}
	tries := 0
	c.Decode = func(b []byte) (*fleetpb.Document, error) {
		tries++
		return decode(b)
	}
	c.tables.init(c)
	c.tables.take(&fleetpb.Configuration{Version: 1, Document: configuration(t, 1, 1)})
	for range 2 {
		c.tables.take(&fleetpb.Configuration{Version: 2, Document: []byte("\xff")})
	}
	if v := c.RoutingTable().Version(); v != 1 || tries != 2 {
		t.Errorf("version %d after %d tries", v, tries)
	}
	c.tables.take(&fleetpb.Configuration{Version: 3, Document: configuration(t, 3, 3)})
	if v := c.RoutingTable().Version(); v != 3 {
		t.Errorf("version %d, want 3", v)
	}
}

// TestNoTellerHoldsUpATable: a control instance that has fallen silent, or lacks the
// version, is passed over.
func TestNoTellerHoldsUpATable(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 1, string(configuration(t, 1, 10)))
	w := newEntryWatch(t, core)
	awaitVersion(t, w, 1)
	await(t, func() bool { return len(w.ControlInstances(time.Minute)) == len(core) })
	for _, p := range core {
		await(t, func() bool { return p.controller.RoutingTable().Version() == 1 })
	}
	// Whichever of them tells news, it is silent once.
	for _, p := range core {
		p.controller.tables.mu.Lock()
		table := fetch(t, w, nil, 1)
		p.controller.tables.mu.Unlock()
		if table.Version() != 1 {
			t.Errorf("version %d", table.Version())
		}
	}
}

func mustDecode(t *testing.T, b []byte) *fleetpb.Document {
	t.Helper()
	d, err := decode(b)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// quietLog drops all log lines.
func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
