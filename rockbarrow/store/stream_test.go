// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"

	"rockbarrow.dev/schema/fleetpb"
)

// channelStream is the server's end of a stream of calls.
type channelStream struct {
	fleetpb.Store_CallsServer
	ctx     context.Context
	calls   chan *fleetpb.StoreCall
	replies chan *fleetpb.StoreCallReply
}

func (s *channelStream) Context() context.Context { return s.ctx }

func (s *channelStream) Send(r *fleetpb.StoreCallReply) error {
	s.replies <- r
	return nil
}

func (s *channelStream) Recv() (*fleetpb.StoreCall, error) {
	select {
	case call := <-s.calls:
		return call, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// blockingHandler counts calls and answers them once released.
type blockingHandler struct {
	started chan struct{}
	release chan struct{}
}

func (h *blockingHandler) Reserve(context.Context, *fleetpb.ReserveRequest) (*fleetpb.ReserveReply, error) {
	h.started <- struct{}{}
	<-h.release
	return &fleetpb.ReserveReply{}, nil
}

func (h *blockingHandler) Settle(context.Context, *fleetpb.SettleRequest) (*fleetpb.SettleReply, error) {
	return nil, errors.New("no disk")
}

// TestStreamEndsAfterItsReplies guards against a store that stops with calls whose
// clients take them for not handled, and against calls that wait for each other.
func TestStreamEndsAfterItsReplies(t *testing.T) {
	const calls = 5
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream := &channelStream{ctx: ctx, calls: make(chan *fleetpb.StoreCall), replies: make(chan *fleetpb.StoreCallReply, 2*calls)}
	h := &blockingHandler{started: make(chan struct{}), release: make(chan struct{})}
	s := &Store{stopping: make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- s.ServeCalls(stream, h) }()
	if r := <-stream.replies; r.GetId() != 0 || r.GetReply() != nil {
		t.Fatalf("the first reply is %v, want an empty one", r)
	}
	for i := range calls {
		stream.calls <- &fleetpb.StoreCall{Id: uint64(i + 1), Call: &fleetpb.StoreCall_Reserve{}}
		<-h.started
	}
	stream.calls <- &fleetpb.StoreCall{Id: calls + 1, Call: &fleetpb.StoreCall_Settle{}}
	if r := <-stream.replies; r.GetId() != calls+1 || r.GetError() != "no disk" {
		t.Errorf("reply %v, want the error of the last call", r)
	}
	close(s.stopping)
	select {
	case err := <-ended:
		t.Fatalf("the stream ended with %v before its calls", err)
	default:
	}
	close(h.release)
	if err := <-ended; err != nil {
		t.Errorf("the stream ended with %v", err)
	}
	if len(stream.replies) != calls {
		t.Errorf("%d replies, want %d", len(stream.replies), calls)
	}
}

// TestCallsAfterTheStop guards against calls that are started after the store has
// stopped: their clients take them for not handled and send them again.
func TestCallsAfterTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := &channelStream{ctx: t.Context(), calls: make(chan *fleetpb.StoreCall), replies: make(chan *fleetpb.StoreCallReply, 3)}
		h := &blockingHandler{started: make(chan struct{}, 2), release: make(chan struct{})}
		s := &Store{stopping: make(chan struct{})}
		ended := make(chan error, 1)
		go func() { ended <- s.ServeCalls(stream, h) }()
		stream.calls <- &fleetpb.StoreCall{Id: 1, Call: &fleetpb.StoreCall_Reserve{}}
		<-h.started
		close(s.stopping)
		synctest.Wait()
		stream.calls <- &fleetpb.StoreCall{Id: 2, Call: &fleetpb.StoreCall_Reserve{}}
		synctest.Wait()
		if len(h.started) > 0 {
			t.Error("a call was started after the stop")
		}
		close(h.release)
		if err := <-ended; err != nil || len(stream.replies) != 2 {
			t.Errorf("the stream ended with %v after %d replies, want the first and that to one call", err, len(stream.replies))
		}
	})
}
