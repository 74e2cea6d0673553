// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// Reserve records a reservation of tokens for a turn. It returns all reservations
// of the program that this store holds, the new one included.
func (s *Store) Reserve(ctx context.Context, req *fleetpb.ReserveRequest) (*fleetpb.ReserveReply, error) {
	if st, err := s.admit(ctx, req.GetEpoch(), req.GetStorage()); st != nil || err != nil {
		return &fleetpb.ReserveReply{Status: st}, err
	}
	requested := &fleetpb.Reservation{Turn: req.GetTurn(), Tokens: req.GetTokens()}
	st := s.write(ctx, req.GetEpoch(), reservationRecord(req.GetProgram(), requested, req.GetRetainMs()))
	if st.GetRefused() != fleetpb.StoreStatus_REFUSED_NONE {
		return &fleetpb.ReserveReply{Status: st}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lastEndpoint := s.state.LastEndpoint(req.GetProgram())
	reply := &fleetpb.ReserveReply{
		Status:       st,
		Reservations: s.state.Reservations(req.GetProgram()),
		Endpoint:     lastEndpoint.EndpointID,
		BornMs:       lastEndpoint.StartMS,
		Found:        req.GetPrevious() != "" && s.state.Has(req.GetPrevious()),
	}
	if req.GetChain() && reply.Found {
		reply.Chain = s.state.Chain(time.Now(), req.GetPrevious())
	}
	return reply, nil
}

// Settle records the settlement of a reservation, a completed turn, or both.
func (s *Store) Settle(ctx context.Context, req *fleetpb.SettleRequest) (*fleetpb.SettleReply, error) {
	if st, err := s.admit(ctx, req.GetEpoch(), req.GetStorage()); st != nil || err != nil {
		return &fleetpb.SettleReply{Status: st}, err
	}
	var records []*fleetpb.Record
	if req.GetReservation() != nil {
		records = append(records, reservationRecord(req.GetProgram(), req.GetReservation(), req.GetRetainMs()))
	}
	if req.GetTurn() != nil {
		records = append(records, &fleetpb.Record{Kind: &fleetpb.Record_Turn{Turn: req.GetTurn()}})
	}
	return &fleetpb.SettleReply{Status: s.write(ctx, req.GetEpoch(), records...)}, nil
}

// Lookup returns a turn and the turns before it in its chain.
func (s *Store) Lookup(ctx context.Context, req *fleetpb.LookupRequest) (*fleetpb.LookupReply, error) {
	if st, err := s.admit(ctx, req.GetEpoch(), req.GetStorage()); st != nil || err != nil {
		return &fleetpb.LookupReply{Status: st}, err
	}
	s.mu.Lock()
	chain := s.state.Chain(time.Now(), req.GetTurn())
	s.mu.Unlock()
	return &fleetpb.LookupReply{Status: s.status(), Found: len(chain) > 0, Chain: chain}, nil
}

func reservationRecord(program string, r *fleetpb.Reservation, retainMS uint64) *fleetpb.Record {
	return &fleetpb.Record{Kind: &fleetpb.Record_Reservation{
		Reservation: &fleetpb.ProgramReservation{Program: program, Reservation: r, RetainMs: retainMS},
	}}
}
