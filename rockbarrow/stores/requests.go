// SPDX-License-Identifier: MIT

package stores

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// storeRequest is a request to the stores of a quorum.
type storeRequest[R any] struct {
	// unary sends the request to a store as a call of its own.
	unary func(ctx context.Context, s fleetpb.StoreClient, m *fleetpb.Member) (R, *fleetpb.StoreStatus, error)
	// call returns the request to a store for the stream of calls, or nil if it may
	// only be sent as a call of its own; reply extracts the result, or returns an
	// [unexpectedReplyError]. Both are nil if that holds for all stores.
	call  func(m *fleetpb.Member) *fleetpb.StoreCall
	reply func(r *fleetpb.StoreCallReply) (R, *fleetpb.StoreStatus, error)
}

// unaryError returns the error of a unary call, an [encodingError] if the request
// could not be encoded: gRPC uses the same code for that and for faults of the store.
func unaryError(req proto.Message, err error) error {
	if status.Code(err) != codes.Internal {
		return err
	}
	if _, reason := proto.Marshal(req); reason != nil {
		return &encodingError{reason: reason}
	}
	return err
}

// reservation is the request that reserves the tokens of a turn.
type reservation struct {
	turn  Turn
	epoch uint64
	// chainFrom is the store that returns the preceding turns, or nil.
	chainFrom *fleetpb.Member
	// large is true if the program's last reply was large.
	large bool
}

func (o *reservation) request(m *fleetpb.Member) *fleetpb.ReserveRequest {
	return &fleetpb.ReserveRequest{
		Epoch: o.epoch, Storage: m.GetStorage(), Program: o.turn.Program, Turn: o.turn.reservation, Tokens: o.turn.MaxTokens,
		Previous: o.turn.Previous, Chain: o.returnsChain(m), RetainMs: uint64(o.turn.Retention.Milliseconds()),
	}
}

func (o *reservation) returnsChain(m *fleetpb.Member) bool {
	return o.chainFrom != nil && m == o.chainFrom
}

func (o *reservation) unary(ctx context.Context, s fleetpb.StoreClient, m *fleetpb.Member) (*fleetpb.ReserveReply, *fleetpb.StoreStatus, error) {
	req := o.request(m)
	r, err := s.Reserve(ctx, req)
	return r, r.GetStatus(), unaryError(req, err)
}

// call returns nil if the reply contains turns, which may be large, or probably many
// reservations.
func (o *reservation) call(m *fleetpb.Member) *fleetpb.StoreCall {
	if o.large || o.returnsChain(m) {
		return nil
	}
	return &fleetpb.StoreCall{Call: &fleetpb.StoreCall_Reserve{Reserve: o.request(m)}}
}

func (o *reservation) reply(r *fleetpb.StoreCallReply) (*fleetpb.ReserveReply, *fleetpb.StoreStatus, error) {
	got := r.GetReserve()
	if got == nil {
		return nil, nil, &unexpectedReplyError{reply: r}
	}
	return got, got.GetStatus(), nil
}

// settlement is the request that settles a reservation, stores a turn, or both.
type settlement struct {
	// request lacks the epoch and the storage.
	request *fleetpb.SettleRequest
	epoch   uint64
}

func (o *settlement) requestTo(m *fleetpb.Member) *fleetpb.SettleRequest {
	return &fleetpb.SettleRequest{
		Epoch: o.epoch, Storage: m.GetStorage(), Program: o.request.GetProgram(),
		Reservation: o.request.GetReservation(), Turn: o.request.GetTurn(), RetainMs: o.request.GetRetainMs(),
	}
}

func (o *settlement) unary(ctx context.Context, s fleetpb.StoreClient, m *fleetpb.Member) (*fleetpb.SettleReply, *fleetpb.StoreStatus, error) {
	req := o.requestTo(m)
	r, err := s.Settle(ctx, req)
	return r, r.GetStatus(), unaryError(req, err)
}

func (o *settlement) call(m *fleetpb.Member) *fleetpb.StoreCall {
	return &fleetpb.StoreCall{Call: &fleetpb.StoreCall_Settle{Settle: o.requestTo(m)}}
}

func (o *settlement) reply(r *fleetpb.StoreCallReply) (*fleetpb.SettleReply, *fleetpb.StoreStatus, error) {
	got := r.GetSettle()
	if got == nil {
		return nil, nil, &unexpectedReplyError{reply: r}
	}
	return got, got.GetStatus(), nil
}
