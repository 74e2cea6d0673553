// SPDX-License-Identifier: MIT

package journal

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestSchedules tries every schedule of two duelling writers that departs from
// delivery in order by at most two choices among deferring, losing and doubling
// a letter.
func TestSchedules(t *testing.T) {
	const depth = 34
	runs := 0
	var walk func(prefix map[int]int, from, left int)
	walk = func(prefix map[int]int, from, left int) {
		runs++
		if msg := duel(t, prefix); msg != "" {
			t.Fatalf("schedule %v: %s", prefix, msg)
		}
		if left == 0 {
			return
		}
		for at := from; at < depth; at++ {
			for choice := 1; choice <= 3; choice++ {
				prefix[at] = choice
				walk(prefix, at+1, left-1)
				delete(prefix, at)
			}
		}
	}
	walk(map[int]int{}, 0, 2)
	if runs < 5000 {
		t.Fatalf("%d schedules tried, want at least 5000", runs)
	}
}

// duel runs two writers under a schedule and returns what broke.
func duel(t testing.TB, departures map[int]int) string {
	m1, m2, m3 := three()
	b := newBench(t, m1, m2, m3)
	set := Members{m1, m2, m3}
	first := b.writer(m1, set)
	second := b.writer(m2, set)
	b.step(first, Campaign{})
	for at := 0; at < 120; at++ {
		switch at {
		case 9:
			b.step(first, Propose{Payload: []byte("one")})
		case 12:
			b.step(second, Campaign{})
		case 14:
			b.step(first, Propose{Payload: []byte("two")})
		case 30:
			b.step(second, Propose{Payload: []byte("three")})
		case 40:
			b.step(first, Campaign{})
		}
		if at%20 == 19 {
			b.step(first, Resend{})
			b.step(second, Resend{})
		}
		if len(b.pending) == 0 {
			continue
		}
		switch departures[at] {
		case 0:
			b.deliver(b.take(0))
		case 1:
			b.pending = append(b.pending, b.take(0))
		case 2:
			b.lose(b.take(0))
		case 3:
			b.pending = append(b.pending, b.pending[0])
			b.deliver(b.take(0))
		}
	}
	return b.broken
}

// TestRandomFaults drives three writers through losses, doubles, restarts that
// forget, and changes of members, and checks that committed entries agree.
func TestRandomFaults(t *testing.T) {
	served, committed := 0, 0
	for seed := range uint64(2000) {
		b := randomFaults(t, seed)
		if b.broken != "" {
			t.Fatalf("seed %d: %s", seed, b.broken)
		}
		served += b.served
		committed += len(b.history)
	}
	if served < 4000 || committed < 14000 {
		t.Fatalf("only %d writers served and %d entries committed: the faults leave nothing to check", served, committed)
	}
}

func randomFaults(t testing.TB, seed uint64) *bench {
	r := rand.New(rand.NewPCG(seed, 1))
	names := []string{"a", "b", "c", "d"}
	lives := []uint64{1, 1, 1, 1}
	m1, m2, m3 := three()
	b := newBench(t, m1, m2, m3, NewMember("d", 1))
	set := Members{m1, m2, m3}
	live := func(i int) Member { return NewMember(names[i], lives[i]) }
	for i := range names {
		b.writer(live(i), set)
	}
	restarts := 0
	for n := range 900 {
		switch x := r.IntN(100); {
		case x < 2:
			i := r.IntN(len(names))
			b.round++
			b.step(b.latest(names[i]), Campaign{Round: b.round})
		case x < 12:
			b.step(r.IntN(len(b.writers)), Propose{Payload: fmt.Appendf(nil, "%d", n)})
		case x < 16:
			b.step(r.IntN(len(b.writers)), Resend{})
		case x < 18:
			b.step(r.IntN(len(b.writers)), AddMember{Member: live(r.IntN(len(names)))})
		case x < 20:
			w := b.writers[r.IntN(len(b.writers))]
			if m := w.Members(); len(m) > 3 {
				b.step(r.IntN(len(b.writers)), RemoveMember{Member: m[r.IntN(len(m))]})
			}
		case x == 20 && restarts == 0 && n > 300:
			i := r.IntN(len(names))
			restarts++
			delete(b.replicas, live(i))
			lives[i]++
			b.replicas[live(i)] = &Replica{}
			b.writer(live(i), set)
		case len(b.pending) > 0:
			i := r.IntN(min(len(b.pending), 4))
			switch y := r.IntN(20); {
			case y == 0:
				b.lose(b.take(i))
			case y == 1:
				b.pending = append(b.pending, b.pending[i])
			default:
				b.deliver(b.take(i))
			}
		}
	}
	return b
}

// latest returns the newest writer of an instance.
func (b *bench) latest(instance string) int {
	for i := len(b.writers) - 1; i >= 0; i-- {
		if b.writers[i].Self.instance == instance {
			return i
		}
	}
	return 0
}
