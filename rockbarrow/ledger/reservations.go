// SPDX-License-Identifier: MIT

package ledger

import "rockbarrow.dev/schema/fleetpb"

// ReservationSet joins the reservations that several stores told.
type ReservationSet struct {
	byTurn map[string]*fleetpb.Reservation
}

// Merge joins one store's reservations.
func (t *ReservationSet) Merge(list []*fleetpb.Reservation) {
	if t.byTurn == nil {
		t.byTurn = map[string]*fleetpb.Reservation{}
	}
	for _, r := range list {
		t.byTurn[r.GetTurn()] = join(t.byTurn[r.GetTurn()], r)
	}
}

// TokensExcept returns the tokens of all turns but one.
func (t *ReservationSet) TokensExcept(turn string) uint64 {
	var n uint64
	for id, r := range t.byTurn {
		if id != turn {
			n += r.GetTokens()
		}
	}
	return n
}

// join returns the later of two reservations of one turn: a settlement counts
// before what was set aside.
func join(a, b *fleetpb.Reservation) *fleetpb.Reservation {
	switch {
	case a == nil:
		return b
	case a.GetSettled() != b.GetSettled():
		if a.GetSettled() {
			return a
		}
		return b
	case b.GetTokens() > a.GetTokens():
		return b
	}
	return a
}
