// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// Reserve sets a turn's most tokens aside. The reservations that it returns hold
// all that were made here before.
func (s *Store) Reserve(ctx context.Context, req *fleetpb.ReserveRequest) (*fleetpb.ReserveReply, error) {
	if st, err := s.admit(ctx, req.GetEpoch(), req.GetStorage()); st != nil || err != nil {
		return &fleetpb.ReserveReply{Status: st}, err
	}
	own := &fleetpb.Reservation{Turn: req.GetTurn(), Tokens: req.GetTokens()}
	st := s.write(ctx, req.GetEpoch(), reservation(req.GetProgram(), own, req.GetRetainMs()))
	if st.GetRefused() != fleetpb.StoreStatus_REFUSED_NONE {
		return &fleetpb.ReserveReply{Status: st}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	served := s.book.LastEndpoint(req.GetProgram())
	reply := &fleetpb.ReserveReply{
		Status:       st,
		Reservations: s.book.Reservations(req.GetProgram()),
		Endpoint:     served.ID,
		BornMs:       served.BornMS,
		Found:        req.GetPrevious() != "" && s.book.Has(req.GetPrevious()),
	}
	if req.GetChain() && reply.Found {
		reply.Chain = s.book.Chain(time.Now(), req.GetPrevious())
	}
	return reply, nil
}

// Settle stores the outcome of a turn.
func (s *Store) Settle(ctx context.Context, req *fleetpb.SettleRequest) (*fleetpb.SettleReply, error) {
	if st, err := s.admit(ctx, req.GetEpoch(), req.GetStorage()); st != nil || err != nil {
		return &fleetpb.SettleReply{Status: st}, err
	}
	var records []*fleetpb.Record
	if req.GetReservation() != nil {
		records = append(records, reservation(req.GetProgram(), req.GetReservation(), req.GetRetainMs()))
	}
	if req.GetTurn() != nil {
		records = append(records, &fleetpb.Record{Kind: &fleetpb.Record_Turn{Turn: req.GetTurn()}})
	}
	return &fleetpb.SettleReply{Status: s.write(ctx, req.GetEpoch(), records...)}, nil
}

// Lookup returns a turn with those before it.
func (s *Store) Lookup(ctx context.Context, req *fleetpb.LookupRequest) (*fleetpb.LookupReply, error) {
	if st, err := s.admit(ctx, req.GetEpoch(), req.GetStorage()); st != nil || err != nil {
		return &fleetpb.LookupReply{Status: st}, err
	}
	s.mu.Lock()
	chain := s.book.Chain(time.Now(), req.GetTurn())
	s.mu.Unlock()
	return &fleetpb.LookupReply{Status: s.status(), Found: len(chain) > 0, Chain: chain}, nil
}

func reservation(program string, r *fleetpb.Reservation, retainMS uint64) *fleetpb.Record {
	return &fleetpb.Record{Kind: &fleetpb.Record_Reservation{
		Reservation: &fleetpb.ProgramReservation{Program: program, Reservation: r, RetainMs: retainMS},
	}}
}
