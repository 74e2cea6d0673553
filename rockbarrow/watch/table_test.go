// SPDX-License-Identifier: MIT

package watch

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/schema/fleetpb"
)

// fakeControl is a control instance that streams tables as scripted.
type fakeControl struct {
	fleetpb.UnimplementedControlServer
	table func(req *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error
}

func (c *fakeControl) Table(req *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
	if c.table == nil {
		return status.Error(codes.Unimplemented, "control instance of the previous version")
	}
	return c.table(req, stream)
}

// testPartTimeout tolerates a busy machine.
const testPartTimeout = 3 * time.Second

// newTestClient returns a client that has heard from a control instance for each
// script. Only the first one is local and therefore primary.
func newTestClient(t *testing.T, scripts ...*fakeControl) *Client {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	c := &Client{Self: &fleetpb.Member{Instance: "entry", FailureDomain: "a"}, Pool: pool, Log: logrus.NewEntry(log), targets: map[string]*target{}, PartTimeout: testPartTimeout}
	for i, s := range scripts {
		t := c.serve(t, s)
		if i > 0 {
			t.member.FailureDomain = "b"
		}
	}
	return c
}

// serve starts a control instance in the client's failure domain and marks it as answering.
func (c *Client) serve(t *testing.T, s fleetpb.ControlServer) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := dial.NewServer()
	fleetpb.RegisterControlServer(g, s)
	go func() {
		// Serve returns an error after the test stops the server.
		if err := g.Serve(l); err != nil {
			return
		}
	}()
	t.Cleanup(g.Stop)
	a := l.Addr().String()
	c.targets[a] = &target{
		client: c, address: a, member: &fleetpb.Member{FailureDomain: c.Self.GetFailureDomain()},
		answered: true, lastAnswer: time.Now().Add(time.Hour),
	}
	return c.targets[a]
}

// tables returns two tables, the parts of the change between them and those of the whole second one.
func tables(t *testing.T) (before, after *routing.Table, change, whole []*fleetpb.TablePart) {
	t.Helper()
	d := &fleetpb.Document{Version: 1, Services: []*fleetpb.Service{{Name: "s"}}}
	for i := range 12000 {
		d.Routes = append(d.Routes, &fleetpb.Route{
			Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Kind: fleetpb.RouteKind_ROUTE_KIND_ONCE, TimeoutMs: 1,
			Shares: []*fleetpb.Share{{Service: "s", Weight: 1}},
		})
	}
	small := proto.Clone(d).(*fleetpb.Document)
	small.Routes = small.Routes[:1]
	before, err := routing.New(small)
	if err != nil {
		t.Fatal(err)
	}
	d.Version = 2
	after, c, err := before.ApplyDocument(d)
	if err != nil {
		t.Fatal(err)
	}
	w, err := after.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return before, after, pack(t, c), pack(t, w)
}

func pack(t *testing.T, c *fleetpb.TableChange) []*fleetpb.TablePart {
	t.Helper()
	var out []*fleetpb.TablePart
	for _, p := range routing.SplitChange(c) {
		b, err := proto.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		frame, err := document.Compress(b)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, &fleetpb.TablePart{Frame: frame})
	}
	return out
}

// serveParts returns a script that sends the change, or the whole table if the client holds none.
func serveParts(change, whole []*fleetpb.TablePart) *fakeControl {
	return &fakeControl{table: func(req *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
		parts := change
		if len(req.GetHeld()) == 0 {
			parts = whole
		}
		for _, p := range parts {
			if err := stream.Send(p); err != nil {
				return err
			}
		}
		return nil
	}}
}

// TestATableComesWhateverOneInstanceTells checks that the client falls back to
// another control instance if the primary stalls, fails, sends a bad table or is older.
func TestATableComesWhateverOneInstanceTells(t *testing.T) {
	before, after, change, whole := tables(t)
	if len(whole) < 3 {
		t.Fatalf("the table has %d parts", len(whole))
	}
	good := serveParts(change, whole)
	tests := []struct {
		name  string
		first *fakeControl
	}{
		{"succeeds", good},
		{"previous version", &fakeControl{}},
		{"stalls before the first part", &fakeControl{table: func(_ *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
			<-stream.Context().Done()
			return nil
		}}},
		{"stalls midway", &fakeControl{table: func(_ *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
			if err := stream.Send(change[0]); err != nil {
				return err
			}
			<-stream.Context().Done()
			return nil
		}}},
		{"fails midway", serveParts(change[:len(change)-1], whole[:1])},
		{"sends an older version", serveParts(nil, nil)},
		{"sends another base", serveParts(whole[1:], change)},
		{"omits a part", serveParts(append([]*fleetpb.TablePart{change[0]}, change[2:]...), whole)},
		{"sends garbage", serveParts([]*fleetpb.TablePart{{Frame: []byte("x")}}, nil)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newTestClient(t, test.first, good)
			got, err := c.FetchTable(t.Context(), before, 2)
			if err != nil || !bytes.Equal(got.Digest(), after.Digest()) {
				t.Errorf("version %d, %v", got.Version(), err)
			}
		})
	}
}

// TestFetchTableFailsWithoutSource checks the error and that the held table is returned.
func TestFetchTableFailsWithoutSource(t *testing.T) {
	before, _, _, _ := tables(t)
	for _, c := range []*Client{newTestClient(t), newTestClient(t, &fakeControl{})} {
		var fetchErr *TableFetchError
		if got, err := c.FetchTable(t.Context(), before, 2); !errors.As(err, &fetchErr) || got != before {
			t.Errorf("version %d, %v", got.Version(), err)
		}
	}
}

// TestASlowTableIsNotGivenUp guards against a timeout of the whole transfer, which
// made a large table restart forever on a slow link.
func TestASlowTableIsNotGivenUp(t *testing.T) {
	t.Parallel()
	_, after, _, whole := tables(t)
	calls := 0
	c := newTestClient(t, &fakeControl{table: func(_ *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
		calls++
		for _, p := range whole {
			pause := time.NewTimer(testPartTimeout / 3)
			<-pause.C
			if err := stream.Send(p); err != nil {
				return err
			}
		}
		return nil
	}})
	if len(whole) < 4 {
		t.Fatalf("the table has %d parts, which together take no longer than the timeout of one", len(whole))
	}
	got, err := c.FetchTable(t.Context(), nil, 2)
	if err != nil || !bytes.Equal(got.Digest(), after.Digest()) || calls != 1 {
		t.Errorf("version %d after %d calls, %v", got.Version(), calls, err)
	}
}

// TestATableIsAskedOfWhoAnsweredLast guards against a table that is late because a stalled primary was asked before the control
// instance that had announced the version.
func TestATableIsAskedOfWhoAnsweredLast(t *testing.T) {
	before, after, change, whole := tables(t)
	frozen := &fakeControl{table: func(*fleetpb.TableRequest, grpc.ServerStreamingServer[fleetpb.TablePart]) error {
		t.Error("the instance that answered earlier is asked first")
		return nil
	}}
	c := newTestClient(t, frozen, serveParts(change, whole))
	c.state.Store(&fleetpb.State{Number: 7})
	for _, o := range c.targets {
		if c.isLocal(o) {
			o.lastAnswer, o.stateNumber = o.lastAnswer.Add(-time.Second), 6
		} else {
			o.stateNumber = 7
		}
	}
	if got, err := c.FetchTable(t.Context(), before, 2); err != nil || !bytes.Equal(got.Digest(), after.Digest()) {
		t.Errorf("version %d, %v", got.Version(), err)
	}
}
