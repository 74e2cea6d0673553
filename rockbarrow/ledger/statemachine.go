// SPDX-License-Identifier: MIT

package ledger

import (
	"time"

	"rockbarrow.dev/rockbarrow/life"
	"rockbarrow.dev/schema/fleetpb"
)

// graceFactor times what a program's records are to be kept after its last turn
// is how long they are kept: a program may come back just before the time is
// over and then needs its chain for as long again.
const graceFactor = 2

// slack is added to that, for a turn under way that is about to be stored.
const slack = 15 * time.Second

// StateMachine is what one store holds. It is a state machine without a clock; the owner
// serializes the calls.
type StateMachine struct {
	programs map[string]*program
	// turns holds each turn of any program by its id.
	turns map[string]*fleetpb.Turn
	bytes int64
}

// program is what belongs to one program: its budget and the chains whose home
// it is.
type program struct {
	reservations map[string]*fleetpb.Reservation
	// endpoint served the turn that was settled last; it has no id if none is known.
	endpoint life.Life
	turns    []*fleetpb.Turn
	retain   time.Duration
	touched  time.Time
}

// Apply takes a record and reports whether it told anything new.
func (b *StateMachine) Apply(now time.Time, r *fleetpb.Record) bool {
	switch k := r.GetKind().(type) {
	case *fleetpb.Record_Reservation:
		return b.reserve(now, k.Reservation)
	case *fleetpb.Record_Turn:
		return b.keep(now, k.Turn)
	}
	return false
}

func (b *StateMachine) reserve(now time.Time, r *fleetpb.ProgramReservation) bool {
	p := b.program(now, r.GetProgram(), r.GetRetainMs())
	own := r.GetReservation()
	old := p.reservations[own.GetTurn()]
	joined := join(old, own)
	p.reservations[own.GetTurn()] = joined
	if own.GetEndpoint() != "" {
		p.endpoint = life.Life{ID: own.GetEndpoint(), BornMS: own.GetBornMs()}
	}
	return old == nil || joined != old
}

func (b *StateMachine) keep(now time.Time, t *fleetpb.Turn) bool {
	p := b.program(now, t.GetHome(), t.GetRetainMs())
	if b.turns[t.GetId()] != nil {
		return false
	}
	if b.turns == nil {
		b.turns = map[string]*fleetpb.Turn{}
	}
	b.turns[t.GetId()] = t
	p.turns = append(p.turns, t)
	b.bytes += size(t)
	return true
}

// program returns a program's entry, and keeps it alive.
func (b *StateMachine) program(now time.Time, name string, retainMS uint64) *program {
	p := b.programs[name]
	if p == nil {
		if b.programs == nil {
			b.programs = map[string]*program{}
		}
		p = &program{reservations: map[string]*fleetpb.Reservation{}}
		b.programs[name] = p
	}
	p.retain = max(p.retain, time.Duration(retainMS)*time.Millisecond)
	p.touched = now
	return p
}

// Reservations returns the reservations of a program in no order.
func (b *StateMachine) Reservations(name string) []*fleetpb.Reservation {
	p := b.programs[name]
	if p == nil {
		return nil
	}
	out := make([]*fleetpb.Reservation, 0, len(p.reservations))
	for _, r := range p.reservations {
		out = append(out, r)
	}
	return out
}

// LastEndpoint returns the endpoint that served a program's turn that was settled last, without
// an id if none is known.
func (b *StateMachine) LastEndpoint(name string) life.Life {
	p := b.programs[name]
	if p == nil {
		return life.Life{}
	}
	return p.endpoint
}

// Has reports whether a turn is held.
func (b *StateMachine) Has(turn string) bool { return b.turns[turn] != nil }

// Chain returns a turn and the turns before it, newest first, up to the first
// one that is not held here, and keeps them alive.
func (b *StateMachine) Chain(now time.Time, turn string) []*fleetpb.Turn {
	var out []*fleetpb.Turn
	for t := b.turns[turn]; t != nil; t = b.turns[t.GetPrevious()] {
		out = append(out, t)
	}
	if len(out) > 0 {
		b.program(now, out[0].GetHome(), out[0].GetRetainMs())
	}
	return out
}

// Expire forgets the programs whose time is over.
func (b *StateMachine) Expire(now time.Time) {
	for name, p := range b.programs {
		if now.Sub(p.touched) < graceFactor*p.retain+slack {
			continue
		}
		for _, t := range p.turns {
			delete(b.turns, t.GetId())
			b.bytes -= size(t)
		}
		delete(b.programs, name)
	}
}

// Size returns the programs and turns held, and the bytes of the turns.
func (b *StateMachine) Size() (programs, turns int, bytes int64) {
	return len(b.programs), len(b.turns), b.bytes
}

// Programs calls yield with the name of each program.
func (b *StateMachine) Programs(yield func(name string)) {
	for name := range b.programs {
		yield(name)
	}
}

// Records returns all records of a program.
func (b *StateMachine) Records(name string) []*fleetpb.Record {
	p := b.programs[name]
	if p == nil {
		return nil
	}
	retain := uint64(p.retain.Milliseconds())
	var out []*fleetpb.Record
	for _, r := range p.reservations {
		out = append(out, &fleetpb.Record{Kind: &fleetpb.Record_Reservation{
			Reservation: &fleetpb.ProgramReservation{Program: name, Reservation: r, RetainMs: retain},
		}})
	}
	for _, t := range p.turns {
		out = append(out, &fleetpb.Record{Kind: &fleetpb.Record_Turn{Turn: t}})
	}
	return out
}

func size(t *fleetpb.Turn) int64 { return int64(len(t.GetInput()) + len(t.GetOutput())) }
