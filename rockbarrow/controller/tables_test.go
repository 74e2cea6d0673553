// SPDX-License-Identifier: MIT

package controller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// decode parses the configuration documents of these tests, which are encoded messages.
func decode(b []byte) (*fleetpb.Document, error) {
	d := &fleetpb.Document{}
	return d, proto.Unmarshal(b, d)
}

// configuration returns a document with n routes.
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

// newEntryWatch returns a client that watches the cluster as an entry instance does.
func newEntryWatch(t *testing.T, cluster []*testInstance) *watch.Client {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	w := &watch.Client{Self: &fleetpb.Member{Instance: "entry"}, Role: fleetpb.Role_ROLE_ENTRY, Pool: pool, Log: logrus.NewEntry(log)}
	for _, p := range cluster {
		w.Seeds = append(w.Seeds, p.member.GetAddress())
	}
	go w.Run(t.Context())
	return w
}

// fetch fetches a table of a version, with the retries of an entry instance.
func fetch(t *testing.T, w *watch.Client, held *routing.Table, version uint64) *routing.Table {
	t.Helper()
	waitFor(t, func() bool {
		got, err := w.FetchTable(t.Context(), held, version)
		held = got
		return err == nil
	})
	return held
}

func awaitVersion(t *testing.T, w *watch.Client, version uint64) {
	t.Helper()
	waitFor(t, func() bool { return w.State().GetConfiguration().GetVersion() >= version })
}

// countingStream counts what Table sends.
type countingStream struct {
	fleetpb.Control_TableServer
	ctx   context.Context
	parts int
	bytes int
}

func (s *countingStream) Context() context.Context { return s.ctx }

func (s *countingStream) Send(p *fleetpb.TablePart) error {
	s.parts++
	s.bytes += len(p.GetFrame())
	return nil
}

// Entry instances must receive table changes rather than whole configurations.
func TestTableIsSentAsChanges(t *testing.T) {
	const routes = 3000
	cluster := startCluster(t)
	putConfiguration(t, cluster[0], 1, string(configuration(t, 1, routes)))
	w := newEntryWatch(t, cluster)
	awaitVersion(t, w, 1)
	if d := w.State().GetConfiguration().GetDocument(); len(d) > 0 {
		t.Errorf("an entry instance received a document of %d bytes", len(d))
	}
	first := fetch(t, w, nil, 1)
	if first.RouteCount() != routes {
		t.Fatalf("%d routes", first.RouteCount())
	}
	held := first
	for v := uint64(2); v < 6; v++ {
		putConfiguration(t, cluster[0], v, string(configuration(t, v, routes+int(v))))
		awaitVersion(t, w, v)
		if held = fetch(t, w, held, v); held.Version() != v || held.RouteCount() != routes+int(v) {
			t.Fatalf("version %d with %d routes", held.Version(), held.RouteCount())
		}
	}
	c := cluster[0].controller
	waitFor(t, func() bool { return c.RoutingTable().Version() == 5 })
	lagging := &countingStream{ctx: t.Context()}
	if err := c.Table(&fleetpb.TableRequest{Held: first.Digest(), Version: 5}, lagging); err != nil || lagging.parts != 4 || lagging.bytes > 2000 {
		t.Errorf("four changes of a route took %d parts of %d bytes, %v", lagging.parts, lagging.bytes, err)
	}
	same := &countingStream{ctx: t.Context()}
	if err := c.Table(&fleetpb.TableRequest{Held: held.Digest(), Version: 5}, same); err != nil || same.parts != 0 {
		t.Errorf("a table that is held took %d parts, %v", same.parts, err)
	}
	whole := &countingStream{ctx: t.Context()}
	if err := c.Table(&fleetpb.TableRequest{Held: []byte("unknown"), Version: 5}, whole); err != nil || whole.parts < 2 {
		t.Errorf("the whole table took %d parts, %v", whole.parts, err)
	}
}

// An instance that lags behind the kept changes must receive the whole table.
func TestATableOutlastsItsKeptChanges(t *testing.T) {
	c := &Controller{Decode: decode, Log: discardLog()}
	c.tables.init(c)
	for v := uint64(1); v < maxTableChanges+5; v++ {
		c.tables.update(time.Now(), &fleetpb.Configuration{Version: v, Document: configuration(t, v, int(v))})
	}
	if n := len(c.tables.changes); n != maxTableChanges {
		t.Errorf("%d changes are kept, want %d", n, maxTableChanges)
	}
	old, err := routing.New(&fleetpb.Document{Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	s := &countingStream{ctx: t.Context()}
	if err := c.Table(&fleetpb.TableRequest{Held: old.Digest(), Version: 1}, s); err != nil || s.parts != 1 {
		t.Errorf("%d parts, %v", s.parts, err)
	}
	newest, err := routing.New(mustDecode(t, configuration(t, maxTableChanges+4, maxTableChanges+4)))
	if err != nil || !bytes.Equal(newest.Digest(), c.RoutingTable().Digest()) {
		t.Errorf("the table differs from the newest configuration, %v", err)
	}
}

// A request for a future version must wait and never return an older one.
func TestTableWaitsForVersion(t *testing.T) {
	c := &Controller{Decode: decode, Log: discardLog()}
	c.tables.init(c)
	c.tables.update(time.Now(), &fleetpb.Configuration{Version: 1, Document: configuration(t, 1, 1)})
	s := &countingStream{ctx: t.Context()}
	done := make(chan error, 1)
	go func() { done <- c.Table(&fleetpb.TableRequest{Version: 2}, s) }()
	c.tables.update(time.Now(), &fleetpb.Configuration{Version: 2, Document: configuration(t, 2, 2)})
	if err := <-done; err != nil || s.parts != 1 {
		t.Errorf("%d parts, %v", s.parts, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.Table(&fleetpb.TableRequest{Version: 3}, &countingStream{ctx: ctx}); err == nil {
		t.Error("a request for an unknown version succeeded")
	}
}

// A configuration that cannot be decoded must not be tried all the time, must be tried again, and must leave the current table
// in place.
func TestAConfigurationThatIsNotReadableChangesNothing(t *testing.T) {
	c := &Controller{Log: discardLog()}
	tries := 0
	c.Decode = func(b []byte) (*fleetpb.Document, error) {
		tries++
		return decode(b)
	}
	c.tables.init(c)
	c.tables.update(time.Now(), &fleetpb.Configuration{Version: 1, Document: configuration(t, 1, 1)})
	for range 2 {
		c.tables.update(time.Now(), &fleetpb.Configuration{Version: 2, Document: []byte("\xff")})
	}
	if v := c.RoutingTable().Version(); v != 1 || tries != 2 {
		t.Errorf("version %d after %d tries", v, tries)
	}
	later := time.Now().Add(buildRetryInterval)
	if c.tables.update(later, &fleetpb.Configuration{Version: 2, Document: []byte("\xff")}) || tries != 3 {
		t.Errorf("%d tries a while later, want 3", tries)
	}
	if !c.tables.update(later.Add(buildRetryInterval), &fleetpb.Configuration{Version: 2, Document: configuration(t, 2, 2)}) || c.RoutingTable().Version() != 2 {
		t.Errorf("version %d, want 2 once it is readable", c.RoutingTable().Version())
	}
	c.tables.update(time.Now(), &fleetpb.Configuration{Version: 3, Document: configuration(t, 3, 3)})
	if v := c.RoutingTable().Version(); v != 3 {
		t.Errorf("version %d, want 3", v)
	}
}

// A control instance that does not answer or lacks the version must not delay a fetch.
func TestNoTellerHoldsUpATable(t *testing.T) {
	cluster := startCluster(t)
	putConfiguration(t, cluster[0], 1, string(configuration(t, 1, 10)))
	w := newEntryWatch(t, cluster)
	awaitVersion(t, w, 1)
	waitFor(t, func() bool { return len(w.ControlInstances(time.Minute)) == len(cluster) })
	for _, p := range cluster {
		waitFor(t, func() bool { return p.controller.RoutingTable().Version() == 1 })
	}
	// Each instance in turn does not answer.
	for _, p := range cluster {
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

// discardLog returns a logger that discards all messages.
func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// TestTablesAreBuiltFromWhatWasValidated guards against control instances that read a document once more, each by its own
// reading, and obey something else than what was acknowledged.
func TestTablesAreBuiltFromWhatWasValidated(t *testing.T) {
	cluster := startCluster(t)
	// Only the decoded form, as validated, says what the text means.
	text := []byte("a text that nobody reads")
	accepted := mustDecode(t, configuration(t, 3, 5))
	waitFor(t, func() bool { return cluster[0].controller.PutConfiguration(t.Context(), accepted, text) == nil })
	want, err := routing.New(accepted)
	if err != nil {
		t.Fatal(err)
	}
	// The form is kept by changes of the state that are made elsewhere, and by a restart.
	cluster[1].controller.FailureDomains = []string{"a"}
	waitFor(t, func() bool { return cluster[1].controller.Evacuate(t.Context(), "a") == nil })
	cluster[2].stop()
	cluster[2].start(nil)
	for _, p := range cluster {
		waitFor(t, func() bool { return p.controller.RoutingTable().Version() == 3 })
		if got := p.controller.RoutingTable(); got.ShortDigest() != want.ShortDigest() {
			t.Errorf("%s: table %s, want %s", p.member.GetInstance(), got.ShortDigest(), want.ShortDigest())
		}
		s, err := p.controller.Read(t.Context())
		if err != nil || string(s.GetConfiguration().GetDocument()) != string(text) {
			t.Errorf("read %q, %v", s.GetConfiguration().GetDocument(), err)
		}
	}
}

// TestAnInvalidConfigurationIsNotStored guards against an acknowledged configuration of which no table can be built.
func TestAnInvalidConfigurationIsNotStored(t *testing.T) {
	cluster := startCluster(t)
	putConfiguration(t, cluster[0], 1, "one")
	invalid := mustDecode(t, configuration(t, 2, 1))
	invalid.Routes[0].TimeoutMs = 0
	var reason *routing.InvalidError
	if err := cluster[0].controller.PutConfiguration(t.Context(), invalid, []byte("two")); !errors.As(err, &reason) {
		t.Errorf("%v, want an InvalidError", err)
	}
	if s, err := cluster[1].controller.Read(t.Context()); err != nil || s.GetConfiguration().GetVersion() != 1 {
		t.Errorf("version %d, %v, want 1", s.GetConfiguration().GetVersion(), err)
	}
}
