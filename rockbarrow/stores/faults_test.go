// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/store"
	"rockbarrow.dev/schema/fleetpb"
)

// blockingStore answers reservations once released.
type blockingStore struct {
	fleetpb.UnimplementedStoreServer
	started chan struct{}
	release chan struct{}
}

func (s *blockingStore) Reserve(context.Context, *fleetpb.ReserveRequest) (*fleetpb.ReserveReply, error) {
	s.started <- struct{}{}
	<-s.release
	return &fleetpb.ReserveReply{Status: &fleetpb.StoreStatus{Epoch: 1, WholeEpoch: 1}}, nil
}

func (s *blockingStore) Calls(stream fleetpb.Store_CallsServer) error {
	return (&store.Store{}).ServeCalls(stream, s)
}

// TestUnencodableCall guards against a request with an invalid id that fails the calls
// of other requests to the same store, or marks the store as unreachable.
func TestUnencodableCall(t *testing.T) {
	const good = 5
	fake := &blockingStore{started: make(chan struct{}, good), release: make(chan struct{})}
	c := newTestClient(t)
	m, _ := serveStore(t, fake)
	s := openStream(t, c, m)
	op := &reservation{turn: Turn{ID: "t", reservation: "\xff"}, epoch: 1}
	results := make(chan response[*fleetpb.ReserveReply], 2)
	call := &storeCall[*fleetpb.ReserveReply]{client: c, member: m, request: storeRequest[*fleetpb.ReserveReply]{unary: op.unary}, results: results}
	call.start(t.Context())
	if err := (<-results).err; !isEncodingError(err) || c.health.isKnown(m.GetStorage()) {
		t.Errorf("a unary call ended with %v; health of the store recorded: %v", err, c.health.isKnown(m.GetStorage()))
	}
	var pending []<-chan response[*fleetpb.ReserveReply]
	for range good {
		pending = append(pending, startReservation(t, c, m, "t/1"))
		<-fake.started
	}
	if err := (<-startReservation(t, c, m, "\xff")).err; !isEncodingError(err) {
		t.Errorf("a call on the stream ended with %v", err)
	}
	close(fake.release)
	for _, p := range pending {
		if err := (<-p).err; err != nil {
			t.Errorf("another call ended with %v", err)
		}
	}
	if c.stream(m.GetAddress()) != s {
		t.Error("the stream was replaced")
	}
}

func (c *callStreams) count() (byAddress, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byAddress), len(c.open)
}

// TestEndedStreamsAreForgotten guards against streams and connections that are kept for
// each store that has disappeared, and against streams that are reopened too early.
func TestEndedStreamsAreForgotten(t *testing.T) {
	tests := map[string]struct {
		end   error
		after time.Duration
	}{
		"broken":            {status.Error(codes.Unavailable, "broken"), reopenDelay},
		"connection closed": {status.Error(codes.Canceled, "closed"), reopenDelay},
		"old version":       {status.Error(codes.Unimplemented, "old"), unsupportedDelay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRecordedStream(&recordedStream{})
				all := &s.client.streams
				all.byAddress = map[string]*callStream{s.address: s}
				s.end(test.end)
				<-time.After(test.after - time.Millisecond)
				synctest.Wait()
				if byAddress, open := all.count(); byAddress != 1 || open != 0 {
					t.Errorf("before the delay has passed: %d streams by address, %d open", byAddress, open)
				}
				<-time.After(2 * time.Millisecond)
				synctest.Wait()
				if byAddress, _ := all.count(); byAddress != 0 {
					t.Error("the stream is kept after the delay")
				}
			})
		})
	}
}

// TestUnexpectedReplies guards against replies without a result that count as
// acknowledged writes.
func TestUnexpectedReplies(t *testing.T) {
	reserved := &fleetpb.StoreCallReply{Reply: &fleetpb.StoreCallReply_Reserve{Reserve: &fleetpb.ReserveReply{}}}
	settled := &fleetpb.StoreCallReply{Reply: &fleetpb.StoreCallReply_Settle{Settle: &fleetpb.SettleReply{}}}
	unknown := &fleetpb.StoreCallReply{}
	if err := proto.Unmarshal(protowire.AppendVarint(protowire.AppendTag(nil, 15, protowire.VarintType), 1), unknown); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name            string
		reply           *fleetpb.StoreCallReply
		reserve, settle bool
	}{
		{name: "reserved", reply: reserved, reserve: true},
		{name: "settled", reply: settled, settle: true},
		{name: "empty", reply: &fleetpb.StoreCallReply{}},
		{name: "unknown", reply: unknown},
	}
	for _, test := range tests {
		if acked := replyAcked(t, (&reservation{}).reply, test.reply); acked != test.reserve {
			t.Errorf("%s: a reservation is acknowledged: %v, want %v", test.name, acked, test.reserve)
		}
		if acked := replyAcked(t, (&settlement{}).reply, test.reply); acked != test.settle {
			t.Errorf("%s: a settlement is acknowledged: %v, want %v", test.name, acked, test.settle)
		}
	}
}

// replyAcked reports whether a reply on a stream acknowledges its call.
func replyAcked[R any](t *testing.T, reply func(*fleetpb.StoreCallReply) (R, *fleetpb.StoreStatus, error), r *fleetpb.StoreCallReply) bool {
	results := make(chan response[R], 1)
	call := &storeCall[R]{client: newTestClient(t), member: &fleetpb.Member{Storage: 1}, request: storeRequest[R]{reply: reply}, results: results}
	call.streamDone(t.Context(), r, time.Now(), nil)
	got := <-results
	var unexpected *unexpectedReplyError
	if got.err != nil && !errors.As(got.err, &unexpected) {
		t.Errorf("the call ended with %v", got.err)
	}
	return refusalReason(got.status, got.err) == ""
}
