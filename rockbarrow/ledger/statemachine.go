// SPDX-License-Identifier: MIT

package ledger

import (
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

// retentionFactor multiplies the requested retention: a program that continues
// just before the retention ends needs its chain for another period.
const retentionFactor = 2

// retentionMargin is added to the retention, for turns that are still running.
const retentionMargin = 15 * time.Second

// StateMachine is the state of one store. It is deterministic and reads no clock.
// It is not safe for concurrent use.
type StateMachine struct {
	programs map[string]*programState
	// turns holds the turns of all programs by id.
	turns map[string]*fleetpb.Turn
	bytes int64
}

// programState holds the reservations of a program and the turns whose home it is.
type programState struct {
	reservations map[string]*fleetpb.Reservation
	// endpoint served the turn that was settled last; its id is empty if unknown.
	endpoint  incarnation.ID
	turns     []*fleetpb.Turn
	retention time.Duration
	lastUsed  time.Time
	// digest is the sum of the hashes of the program's records.
	digest uint64
}

// Apply applies a record and reports whether it changed the state.
func (m *StateMachine) Apply(now time.Time, r *fleetpb.Record) bool {
	switch k := r.GetKind().(type) {
	case *fleetpb.Record_Reservation:
		return m.applyReservation(now, k.Reservation)
	case *fleetpb.Record_Turn:
		return m.applyTurn(now, k.Turn)
	}
	return false
}

func (m *StateMachine) applyReservation(now time.Time, r *fleetpb.ProgramReservation) bool {
	p := m.touchProgram(now, r.GetProgram(), r.GetRetainMs())
	reservation := r.GetReservation()
	old := p.reservations[reservation.GetTurn()]
	merged := mergeReservations(old, reservation)
	p.reservations[reservation.GetTurn()] = merged
	p.digest += reservationHash(merged) - reservationHash(old)
	if reservation.GetEndpoint() != "" {
		p.endpoint = incarnation.ID{EndpointID: reservation.GetEndpoint(), StartMS: reservation.GetBornMs()}
	}
	return old == nil || merged != old
}

func (m *StateMachine) applyTurn(now time.Time, t *fleetpb.Turn) bool {
	p := m.touchProgram(now, t.GetHome(), t.GetRetainMs())
	if m.turns[t.GetId()] != nil {
		return false
	}
	if m.turns == nil {
		m.turns = map[string]*fleetpb.Turn{}
	}
	m.turns[t.GetId()] = t
	p.turns = append(p.turns, t)
	p.digest += turnHash(t)
	m.bytes += turnSize(t)
	return true
}

// touchProgram returns the state of a program, creating it if necessary, and
// extends its life.
func (m *StateMachine) touchProgram(now time.Time, name string, retainMS uint64) *programState {
	p := m.programs[name]
	if p == nil {
		if m.programs == nil {
			m.programs = map[string]*programState{}
		}
		p = &programState{reservations: map[string]*fleetpb.Reservation{}}
		m.programs[name] = p
	}
	p.retention = max(p.retention, time.Duration(retainMS)*time.Millisecond)
	p.lastUsed = now
	return p
}

// Reservations returns the reservations of a program in unspecified order.
func (m *StateMachine) Reservations(name string) []*fleetpb.Reservation {
	p := m.programs[name]
	if p == nil {
		return nil
	}
	out := make([]*fleetpb.Reservation, 0, len(p.reservations))
	for _, r := range p.reservations {
		out = append(out, r)
	}
	return out
}

// LastEndpoint returns the endpoint that served the program's most recently settled
// turn. Its id is empty if none is known.
func (m *StateMachine) LastEndpoint(name string) incarnation.ID {
	p := m.programs[name]
	if p == nil {
		return incarnation.ID{}
	}
	return p.endpoint
}

// Has reports whether the state contains a turn.
func (m *StateMachine) Has(turn string) bool { return m.turns[turn] != nil }

// Chain returns a turn and its predecessors, newest first, up to the first one
// that is not stored here, and extends the life of the turn's home program.
func (m *StateMachine) Chain(now time.Time, turn string) []*fleetpb.Turn {
	var out []*fleetpb.Turn
	for t := m.turns[turn]; t != nil; t = m.turns[t.GetPrevious()] {
		out = append(out, t)
	}
	if len(out) > 0 {
		m.touchProgram(now, out[0].GetHome(), out[0].GetRetainMs())
	}
	return out
}

// Expire removes the programs whose retention has ended.
func (m *StateMachine) Expire(now time.Time) {
	for name, p := range m.programs {
		if now.Sub(p.lastUsed) < retentionFactor*p.retention+retentionMargin {
			continue
		}
		for _, t := range p.turns {
			delete(m.turns, t.GetId())
			m.bytes -= turnSize(t)
		}
		delete(m.programs, name)
	}
}

// Size returns the numbers of programs and turns, and the bytes of the turns.
func (m *StateMachine) Size() (programs, turns int, bytes int64) {
	return len(m.programs), len(m.turns), m.bytes
}

// Programs calls yield with the name of each program.
func (m *StateMachine) Programs(yield func(name string)) {
	for name := range m.programs {
		yield(name)
	}
}

// Records returns all records of a program.
func (m *StateMachine) Records(name string) []*fleetpb.Record {
	p := m.programs[name]
	if p == nil {
		return nil
	}
	retention := uint64(p.retention.Milliseconds())
	var out []*fleetpb.Record
	for _, r := range p.reservations {
		out = append(out, &fleetpb.Record{Kind: &fleetpb.Record_Reservation{
			Reservation: &fleetpb.ProgramReservation{Program: name, Reservation: r, RetainMs: retention},
		}})
	}
	for _, t := range p.turns {
		out = append(out, &fleetpb.Record{Kind: &fleetpb.Record_Turn{Turn: t}})
	}
	return out
}

func turnSize(t *fleetpb.Turn) int64 { return int64(len(t.GetInput()) + len(t.GetOutput())) }
