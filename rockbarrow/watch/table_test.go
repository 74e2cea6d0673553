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

// fakeControl streams tables by a script.
type fakeControl struct {
	fleetpb.UnimplementedControlServer
	table func(req *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error
}

func (c *fakeControl) Table(req *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
	if c.table == nil {
		return status.Error(codes.Unimplemented, "a control instance of the version before")
	}
	return c.table(req, stream)
}

// patient is how long the clients of these tests wait for a part: longer than a busy machine
// takes for one.
const patient = 3 * time.Second

// newTableClient returns a client that has heard the control instances of some scripts,
// the first of which tells news.
func newTableClient(t *testing.T, scripts ...*fakeControl) *Client {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	c := &Client{Self: &fleetpb.Member{Instance: "entry", FailureDomain: "a"}, Pool: pool, Log: logrus.NewEntry(log), targets: map[string]*target{}, PartTimeout: patient}
	for i, s := range scripts {
		t := c.serve(t, s)
		if i > 0 {
			t.member.FailureDomain = "b"
		}
	}
	return c
}

// serve starts a control instance in the client's failure domain, which has answered.
func (c *Client) serve(t *testing.T, s fleetpb.ControlServer) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := dial.Server()
	fleetpb.RegisterControlServer(g, s)
	go func() {
		// Serve returns an error once the test stops it.
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

// tables returns a table and the parts that make the next one of it and of nothing.
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
	after, c, err := before.Next(d)
	if err != nil {
		t.Fatal(err)
	}
	w, err := after.Whole()
	if err != nil {
		t.Fatal(err)
	}
	return before, after, pack(t, c), pack(t, w)
}

func pack(t *testing.T, c *fleetpb.TableChange) []*fleetpb.TablePart {
	t.Helper()
	var out []*fleetpb.TablePart
	for _, p := range routing.Parts(c) {
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

// telling returns a script that sends parts, whole ones to who holds nothing.
func telling(change, whole []*fleetpb.TablePart) *fakeControl {
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

// TestATableComesWhateverOneInstanceTells: the control instance that tells news stalls,
// breaks off, tells nonsense or is of the version before; the table comes all the same.
func TestATableComesWhateverOneInstanceTells(t *testing.T) {
	before, after, change, whole := tables(t)
	if len(whole) < 3 {
		t.Fatalf("the table has %d parts", len(whole))
	}
	good := telling(change, whole)
	tests := []struct {
		name  string
		first *fakeControl
	}{
		{"well", good},
		{"of the version before", &fakeControl{}},
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
		{"breaks off midway", telling(change[:len(change)-1], whole[:1])},
		{"has an older version", telling(nil, nil)},
		{"has another base", telling(whole[1:], change)},
		{"leaves a part out", telling(append([]*fleetpb.TablePart{change[0]}, change[2:]...), whole)},
		{"is not readable", telling([]*fleetpb.TablePart{{Frame: []byte("x")}}, nil)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newTableClient(t, test.first, good)
			got, err := c.FetchTable(t.Context(), before, 2)
			if err != nil || !bytes.Equal(got.Digest(), after.Digest()) {
				t.Errorf("version %d, %v", got.Version(), err)
			}
		})
	}
}

// TestATableThatNobodyTells: the failure is told, and the table held stays.
func TestATableThatNobodyTells(t *testing.T) {
	before, _, _, _ := tables(t)
	for _, c := range []*Client{newTableClient(t), newTableClient(t, &fakeControl{})} {
		var unreached *TableFetchError
		if got, err := c.FetchTable(t.Context(), before, 2); !errors.As(err, &unreached) || got != before {
			t.Errorf("version %d, %v", got.Version(), err)
		}
	}
}

// TestASlowTableIsNotGivenUp: parts that keep coming are waited for, however long the
// whole takes. A bound on the whole made a large one be asked for again without end.
func TestASlowTableIsNotGivenUp(t *testing.T) {
	t.Parallel()
	_, after, _, whole := tables(t)
	calls := 0
	c := newTableClient(t, &fakeControl{table: func(_ *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
		calls++
		for _, p := range whole {
			pause := time.NewTimer(patient / 3)
			<-pause.C
			if err := stream.Send(p); err != nil {
				return err
			}
		}
		return nil
	}})
	if len(whole) < 4 {
		t.Fatalf("the table has %d parts, which take no longer together than one may", len(whole))
	}
	got, err := c.FetchTable(t.Context(), nil, 2)
	if err != nil || !bytes.Equal(got.Digest(), after.Digest()) || calls != 1 {
		t.Errorf("version %d after %d calls, %v", got.Version(), calls, err)
	}
}
