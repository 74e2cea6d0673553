// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// recordedStream records the calls that are sent and receives nothing.
type recordedStream struct {
	fleetpb.Store_CallsClient
	sent int
}

func (r *recordedStream) Send(*fleetpb.StoreCall) error {
	r.sent++
	return nil
}

func newRecordedStream(r *recordedStream) *callStream {
	s := &callStream{client: &Client{Pool: &dial.Pool{}}, stream: r, pending: map[uint64]*streamedCall{}}
	s.client.streams.add(s)
	return s
}

func callOfSize(n int) *fleetpb.StoreCall {
	return &fleetpb.StoreCall{Call: &fleetpb.StoreCall_Reserve{Reserve: &fleetpb.ReserveRequest{Turn: strings.Repeat("t", n)}}}
}

// TestStreamedCallTimeouts guards against calls that never end, that end twice, or
// whose store is not marked in time, when a store does not answer.
func TestStreamedCallTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordedStream(&recordedStream{})
		slow, done := make(chan time.Duration, 4), make(chan time.Duration, 4)
		begun := time.Now()
		for range 2 {
			p := &streamedCall{
				slow: func(time.Time) { slow <- time.Since(begun) },
				done: func(_ *fleetpb.StoreCallReply, _ time.Time, err error) {
					if status.Code(err) != codes.DeadlineExceeded {
						t.Errorf("the call ended with %v, want a timeout", err)
					}
					done <- time.Since(begun)
				},
			}
			if sent, err := s.send(callOfSize(10), p); !sent {
				t.Fatalf("the call was not sent: %v", err)
			}
			<-time.After(100 * time.Millisecond)
		}
		<-time.After(time.Second)
		const second = 100 * time.Millisecond
		if a, b := <-slow, <-slow; a != unresponsiveAfter || b != unresponsiveAfter+second {
			t.Errorf("reported as slow after %v and %v, want %v, and %v later", a, b, unresponsiveAfter, second)
		}
		if a, b := <-done, <-done; a != callTimeout || b != callTimeout+second {
			t.Errorf("timed out after %v and %v, want %v, and %v later", a, b, callTimeout, second)
		}
		s.receive(&fleetpb.StoreCallReply{Id: 1})
		synctest.Wait()
		if len(slow) > 0 || len(done) > 0 || len(s.pending) != 1 {
			t.Errorf("a late reply was reported, or %d calls are pending instead of one", len(s.pending))
		}
	})
}

// TestStreamLimits guards against sends that block because the store does not read,
// also after the calls have timed out, and against large calls ahead of small ones.
func TestStreamLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := &recordedStream{}
		s := newRecordedStream(stream)
		p := func() *streamedCall {
			return &streamedCall{slow: func(time.Time) {}, done: func(*fleetpb.StoreCallReply, time.Time, error) {}}
		}
		if sent, _ := s.send(callOfSize(maxStreamedCall), p()); sent {
			t.Error("a large call was sent on the stream")
		}
		for range 100 {
			s.send(callOfSize(1000), p())
			<-time.After(callTimeout / 10)
		}
		if sent := stream.sent * 1000; sent > maxUnanswered || sent < maxUnanswered*9/10 {
			t.Errorf("%d bytes were sent without a reply, want nearly %d", sent, maxUnanswered)
		}
	})
}

// scriptedStore acknowledges reservations. Its streams end at the second call, which
// has no reply.
type scriptedStore struct {
	fleetpb.UnimplementedStoreServer
	// supported is false if the store is of a version without streams.
	supported       bool
	end             error
	unary, streamed atomic.Int64
}

func (s *scriptedStore) Reserve(ctx context.Context, req *fleetpb.ReserveRequest) (*fleetpb.ReserveReply, error) {
	if method, _ := grpc.Method(ctx); method == fleetpb.Store_Calls_FullMethodName {
		s.streamed.Add(1)
	} else {
		s.unary.Add(1)
	}
	return &fleetpb.ReserveReply{Status: &fleetpb.StoreStatus{Epoch: 1, WholeEpoch: 1}}, nil
}

func (s *scriptedStore) Calls(stream fleetpb.Store_CallsServer) error {
	if !s.supported {
		return s.UnimplementedStoreServer.Calls(stream)
	}
	if err := stream.Send(&fleetpb.StoreCallReply{}); err != nil {
		return err
	}
	call, err := stream.Recv()
	if err != nil {
		return err
	}
	r, err := s.Reserve(stream.Context(), call.GetReserve())
	if err != nil {
		return err
	}
	if err := stream.Send(&fleetpb.StoreCallReply{Id: call.GetId(), Reply: &fleetpb.StoreCallReply_Reserve{Reserve: r}}); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	return s.end
}

// TestStreamedCallsOfStores guards against failed turns and lost calls when a store
// supports no streams, or ends or breaks one.
func TestStreamedCallsOfStores(t *testing.T) {
	tests := []struct {
		name      string
		supported bool
		end       error
		// last is the outcome of the call on which the stream ends.
		last            codes.Code
		unary, streamed int64
	}{
		{name: "old version", last: codes.OK, unary: 2},
		{name: "stream ends before the call is handled", supported: true, last: codes.OK, unary: 1, streamed: 1},
		{name: "stream breaks", supported: true, end: status.Error(codes.Unavailable, "broken"), last: codes.Unavailable, streamed: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fake := &scriptedStore{supported: test.supported, end: test.end}
			c := newTestClient(t)
			m, _ := serveStore(t, fake)
			call := func() error { return (<-startReservation(t, c, m, "t/1")).err }
			openStream(t, c, m)
			if err := call(); err != nil {
				t.Fatalf("once the stream is open: %v", err)
			}
			if err := call(); status.Code(err) != test.last {
				t.Errorf("at the end of the stream: %v, want %v", err, test.last)
			}
			if fake.unary.Load() != test.unary || fake.streamed.Load() != test.streamed {
				t.Errorf("%d unary and %d streamed calls, want %d and %d", fake.unary.Load(), fake.streamed.Load(), test.unary, test.streamed)
			}
		})
	}
}

// newTestClient returns a client without a view.
func newTestClient(t *testing.T) *Client {
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	return &Client{Watch: &watch.Client{Self: &fleetpb.Member{}, Log: logrus.NewEntry(log)}, Pool: pool}
}

// serveStore serves a store on loopback until the returned function is called or the
// test ends.
func serveStore(t *testing.T, s fleetpb.StoreServer) (*fleetpb.Member, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := dial.NewServer()
	fleetpb.RegisterStoreServer(g, s)
	go g.Serve(l)
	t.Cleanup(g.Stop)
	return &fleetpb.Member{Instance: "store", Storage: 1, Address: l.Addr().String()}, g.Stop
}

// startReservation starts a reservation at one store.
func startReservation(t *testing.T, c *Client, m *fleetpb.Member, turn string) <-chan response[*fleetpb.ReserveReply] {
	op := &reservation{turn: Turn{ID: "t", Program: "p", reservation: turn}, epoch: 1}
	results := make(chan response[*fleetpb.ReserveReply], 1)
	request := storeRequest[*fleetpb.ReserveReply]{unary: op.unary, call: op.call, reply: op.reply}
	(&storeCall[*fleetpb.ReserveReply]{client: c, member: m, request: request, results: results}).start(t.Context())
	return results
}

// openStream waits until the stream to a store is open or not supported. On a busy
// machine, a connection attempt may time out, which would end the stream.
func openStream(t *testing.T, c *Client, m *fleetpb.Member) *callStream {
	conn, err := c.Pool.Get(m.GetAddress())
	if err != nil {
		t.Fatal(err)
	}
	conn.Connect()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		if !conn.WaitForStateChange(t.Context(), state) {
			t.Fatalf("the connection is %v", state)
		}
	}
	s := c.stream(m.GetAddress())
	s.awaitOpened()
	return s
}

// awaitOpened waits until the stream is open or has failed.
func (s *callStream) awaitOpened() {
	for opened := false; !opened; {
		s.mu.Lock()
		opened = s.stream != nil || s.ended
		s.mu.Unlock()
		runtime.Gosched()
	}
}
