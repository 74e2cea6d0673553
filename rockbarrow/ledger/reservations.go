// SPDX-License-Identifier: MIT

package ledger

import "rockbarrow.dev/schema/fleetpb"

// ReservationSet merges the reservations returned by several stores.
type ReservationSet struct {
	byTurn map[string]*fleetpb.Reservation
}

// Merge adds the reservations of one store.
func (t *ReservationSet) Merge(list []*fleetpb.Reservation) {
	if t.byTurn == nil {
		t.byTurn = map[string]*fleetpb.Reservation{}
	}
	for _, r := range list {
		t.byTurn[r.GetTurn()] = mergeReservations(t.byTurn[r.GetTurn()], r)
	}
}

// TokensExcept returns the sum of the tokens of all turns except the given one.
func (t *ReservationSet) TokensExcept(turn string) uint64 {
	var n uint64
	for id, r := range t.byTurn {
		if id != turn {
			n += r.GetTokens()
		}
	}
	return n
}

// SettledTokens returns the sum of the tokens of settled turns. Settlements are
// final, so the sum of a program never decreases.
func (t *ReservationSet) SettledTokens() uint64 {
	var n uint64
	for _, r := range t.byTurn {
		if r.GetSettled() {
			n += r.GetTokens()
		}
	}
	return n
}

// mergeReservations returns the newer of two reservations of one turn. A
// settlement replaces a reservation.
func mergeReservations(a, b *fleetpb.Reservation) *fleetpb.Reservation {
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
