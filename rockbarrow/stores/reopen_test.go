// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/store"
	"rockbarrow.dev/schema/fleetpb"
)

// countingStore counts the streams that clients open and the reservations that
// arrive on streams. It replies with as many reservations as set.
type countingStore struct {
	fleetpb.UnimplementedStoreServer
	// old is true if the store is of a version without streams, silent if it does not
	// answer.
	old, silent bool
	// unconfirmed, unless nil, delays the confirmation of streams until it is closed.
	unconfirmed chan struct{}
	// broken ends one stream with an error for each element.
	broken           chan struct{}
	reservations     int
	opened, streamed atomic.Int64
}

func (s *countingStore) Reserve(ctx context.Context, _ *fleetpb.ReserveRequest) (*fleetpb.ReserveReply, error) {
	if s.silent {
		<-ctx.Done()
	}
	if method, _ := grpc.Method(ctx); method == fleetpb.Store_Calls_FullMethodName {
		s.streamed.Add(1)
	}
	r := &fleetpb.ReserveReply{Status: &fleetpb.StoreStatus{Epoch: 1, WholeEpoch: 1}}
	for i := range s.reservations {
		r.Reservations = append(r.Reservations, &fleetpb.Reservation{Turn: fmt.Sprint("turn-", i), Tokens: 1, Settled: true, Endpoint: "endpoint"})
	}
	return r, nil
}

func (s *countingStore) Calls(stream fleetpb.Store_CallsServer) error {
	s.opened.Add(1)
	if s.old {
		return s.UnimplementedStoreServer.Calls(stream)
	}
	if s.unconfirmed != nil {
		<-s.unconfirmed
	}
	ended := make(chan error, 1)
	go func() { ended <- (&store.Store{}).ServeCalls(stream, s) }()
	select {
	case err := <-ended:
		return err
	case <-s.broken:
		return status.Error(codes.Unavailable, "broken")
	}
}

// serveInMemory serves a store to a new client without a network, as synctest needs.
func serveInMemory(t *testing.T, s *countingStore) (*Client, *fleetpb.Member) {
	l := bufconn.Listen(1 << 16)
	g := dial.NewServer()
	fleetpb.RegisterStoreServer(g, s)
	go g.Serve(l)
	t.Cleanup(g.Stop)
	c := newTestClient(t)
	c.Pool.Dial = func(ctx context.Context, _ string) (net.Conn, error) { return l.DialContext(ctx) }
	return c, &fleetpb.Member{Instance: "store", Storage: 1, Address: "store"}
}

// TestStreamsAreReopened guards against stores that get no stream after theirs has
// broken or their connection was replaced, and against stores of older versions that
// are asked for a stream at each call.
func TestStreamsAreReopened(t *testing.T) {
	tests := map[string]struct {
		store *countingStore
		// lose ends the first stream, delay is when the next one may be opened.
		lose  func(*Client, *countingStore)
		delay time.Duration
	}{
		"broken": {
			store: &countingStore{},
			lose:  func(_ *Client, s *countingStore) { s.broken <- struct{}{} },
			delay: reopenDelay,
		},
		"replaced connection": {
			store: &countingStore{},
			lose:  func(c *Client, _ *countingStore) { c.Pool.Release("store") },
		},
		"old version": {
			store: &countingStore{old: true},
			lose:  func(*Client, *countingStore) {},
			delay: unsupportedDelay,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test.store.broken = make(chan struct{})
				c, m := serveInMemory(t, test.store)
				reserve := func() {
					if err := (<-startReservation(t, c, m, "t/1")).err; err != nil {
						t.Error(err)
					}
					synctest.Wait()
				}
				expect := func(when string, opened int64) {
					t.Helper()
					if n := test.store.opened.Load(); n != opened {
						t.Errorf("%s: %d streams were opened, want %d", when, n, opened)
					}
				}
				reserve()
				expect("at first", 1)
				test.lose(c, test.store)
				synctest.Wait()
				if test.delay > 0 {
					<-time.After(test.delay - 50*time.Millisecond)
					reserve()
					expect("before the delay has passed", 1)
					<-time.After(100 * time.Millisecond)
				}
				reserve()
				expect("after the delay", 2)
				// The connection that was replaced is closed meanwhile.
				<-time.After(2 * time.Second)
				reserve()
				expect("later", 2)
				if s := c.stream(m.GetAddress()); !test.store.old && (s == nil || s.lastID == 0) {
					t.Error("calls are not sent on the new stream")
				}
			})
		})
	}
}

// TestTimeoutsAreReported guards against stalled connections that are kept because
// timeouts of calls on a stream are not reported.
func TestTimeoutsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &countingStore{silent: true}
		c, m := serveInMemory(t, fake)
		s := c.stream(m.GetAddress())
		<-time.After(time.Millisecond)
		if err := (<-startReservation(t, c, m, "t/1")).err; status.Code(err) != codes.DeadlineExceeded || s.lastID != 1 {
			t.Fatalf("the call ended with %v, want a timeout; %d were sent on the stream", err, s.lastID)
		}
		if conn, err := c.Pool.Get(m.GetAddress()); err != nil || conn == s.conn {
			t.Errorf("the connection was not replaced: %v", err)
		}
		<-time.After(2 * time.Second)
	})
}

// TestAnsweredCallsMakeRoom guards against streams that take no further calls once
// many were answered.
func TestAnsweredCallsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordedStream(&recordedStream{})
		for range 3 * maxUnanswered / 1000 {
			p := &streamedCall{slow: func(time.Time) {}, done: func(*fleetpb.StoreCallReply, time.Time, error) {}}
			if sent, err := s.send(callOfSize(1000), p); !sent {
				t.Fatalf("after %d calls: not sent, %v", s.lastID, err)
			}
			s.receive(&fleetpb.StoreCallReply{Id: s.lastID})
		}
		if s.unanswered != 0 || len(s.pending) != 0 {
			t.Errorf("%d bytes of %d calls are unanswered, want none", s.unanswered, len(s.pending))
		}
	})
}

// TestLargeRepliesAreNotStreamed guards against programs with many reservations whose
// replies delay those to other calls on the stream.
func TestLargeRepliesAreNotStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &countingStore{unconfirmed: make(chan struct{})}
		c, m := serveInMemory(t, fake)
		c.Watch.UpdateState(&fleetpb.State{Number: 1, View: &fleetpb.View{Epoch: 1, Copies: 1, Members: []*fleetpb.Member{m}}})
		// The first call opens the stream, which is confirmed after it: otherwise the call itself may be sent on it.
		steps := []struct {
			program      string
			reservations int
			streamed     bool
		}{
			{"a", 1, false}, {"a", 1, true}, {"a", 3000, true}, {"a", 3000, false}, {"b", 1, true}, {"a", 1, false}, {"a", 1, true},
		}
		for i, step := range steps {
			fake.reservations = step.reservations
			before := fake.streamed.Load()
			if _, err := c.Reserve(t.Context(), Turn{ID: fmt.Sprint("turn-", i), Program: step.program, Retention: time.Minute}); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if streamed := fake.streamed.Load() > before; streamed != step.streamed {
				t.Errorf("call %d: on the stream: %v, want %v", i, streamed, step.streamed)
			}
			if i == 0 {
				close(fake.unconfirmed)
				synctest.Wait()
			}
		}
	})
}
