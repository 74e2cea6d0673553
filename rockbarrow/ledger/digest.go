// SPDX-License-Identifier: MIT

package ledger

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/fleetpb"
)

// ProgramHash identifies a program in [HeldPrograms] of the wire.
func ProgramHash(name string) uint64 { return xxhash.Sum64String(name) }

// Digest returns a digest of a program's records, which does not depend on their order: two stores with the same digest hold the
// same records. It returns zero if there are none.
func (m *StateMachine) Digest(name string) uint64 {
	p := m.programs[name]
	if p == nil {
		return 0
	}
	return p.digest
}

// Touch extends the life of a program's records as a copy of them does.
func (m *StateMachine) Touch(now time.Time, name string) {
	if p := m.programs[name]; p != nil {
		p.lastUsed = now
	}
}

// turnHash returns the hash of a turn, whose id stands for its contents.
func turnHash(t *fleetpb.Turn) uint64 { return xxhash.Sum64String("turn " + t.GetId()) }

// reservationHash returns the hash of a reservation, zero for none. A settlement has another one.
func reservationHash(r *fleetpb.Reservation) uint64 {
	if r == nil {
		return 0
	}
	b := []byte("reservation " + r.GetTurn())
	b = binary.LittleEndian.AppendUint64(b, r.GetTokens())
	if r.GetSettled() {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}
