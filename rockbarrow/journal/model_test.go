// SPDX-License-Identifier: MIT

package journal

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestSchedules runs two competing writers under every schedule that differs from
// ordered delivery by at most two delayed, lost or duplicated messages.
func TestSchedules(t *testing.T) {
	const depth = 34
	runs := 0
	var walk func(prefix map[int]int, from, left int)
	walk = func(prefix map[int]int, from, left int) {
		runs++
		if msg := runTwoWriters(t, prefix); msg != "" {
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

// runTwoWriters runs two writers under a schedule and returns the violation, if
// there is one.
func runTwoWriters(t testing.TB, departures map[int]int) string {
	m1, m2, m3 := threeMembers()
	c := newCluster(t, m1, m2, m3)
	set := Members{m1, m2, m3}
	first := c.writer(m1, set)
	second := c.writer(m2, set)
	c.step(first, Campaign{})
	for at := 0; at < 120; at++ {
		switch at {
		case 9:
			c.step(first, Propose{Payload: []byte("one")})
		case 12:
			c.step(second, Campaign{})
		case 14:
			c.step(first, Propose{Payload: []byte("two")})
		case 30:
			c.step(second, Propose{Payload: []byte("three")})
		case 40:
			c.step(first, Campaign{})
		}
		if at%20 == 19 {
			c.step(first, Resend{})
			c.step(second, Resend{})
		}
		if len(c.pending) == 0 {
			continue
		}
		switch departures[at] {
		case 0:
			c.deliver(c.takePending(0))
		case 1:
			c.pending = append(c.pending, c.takePending(0))
		case 2:
			c.drop(c.takePending(0))
		case 3:
			c.pending = append(c.pending, c.pending[0])
			c.deliver(c.takePending(0))
		}
	}
	return c.violation
}

// TestRandomFaults checks that committed entries agree under lost and duplicated
// messages, restarts that lose state, and changes of members.
func TestRandomFaults(t *testing.T) {
	served, committed := 0, 0
	for seed := range uint64(2000) {
		c := randomFaults(t, seed)
		if c.violation != "" {
			t.Fatalf("seed %d: %s", seed, c.violation)
		}
		served += c.served
		committed += len(c.committedDigests)
	}
	if served < 4000 || committed < 14000 {
		t.Fatalf("only %d writers served and %d entries committed, too few for the check", served, committed)
	}
}

func randomFaults(t testing.TB, seed uint64) *cluster {
	r := rand.New(rand.NewPCG(seed, 1))
	names := []string{"a", "b", "c", "d"}
	incarnations := []uint64{1, 1, 1, 1}
	m1, m2, m3 := threeMembers()
	c := newCluster(t, m1, m2, m3, NewMember("d", 1))
	set := Members{m1, m2, m3}
	member := func(i int) Member { return NewMember(names[i], incarnations[i]) }
	for i := range names {
		c.writer(member(i), set)
	}
	restarts := 0
	for n := range 900 {
		switch x := r.IntN(100); {
		case x < 2:
			i := r.IntN(len(names))
			c.round++
			c.step(c.latest(names[i]), Campaign{Round: c.round})
		case x < 12:
			c.step(r.IntN(len(c.writers)), Propose{Payload: fmt.Appendf(nil, "%d", n)})
		case x < 16:
			c.step(r.IntN(len(c.writers)), Resend{})
		case x < 18:
			c.step(r.IntN(len(c.writers)), AddMember{Member: member(r.IntN(len(names)))})
		case x < 20:
			w := c.writers[r.IntN(len(c.writers))]
			if m := w.Members(); len(m) > 3 {
				c.step(r.IntN(len(c.writers)), RemoveMember{Member: m[r.IntN(len(m))]})
			}
		case x == 20 && restarts == 0 && n > 300:
			i := r.IntN(len(names))
			restarts++
			delete(c.replicas, member(i))
			incarnations[i]++
			c.replicas[member(i)] = &Replica{}
			c.writer(member(i), set)
		case len(c.pending) > 0:
			i := r.IntN(min(len(c.pending), 4))
			switch y := r.IntN(20); {
			case y == 0:
				c.drop(c.takePending(i))
			case y == 1:
				c.pending = append(c.pending, c.pending[i])
			default:
				c.deliver(c.takePending(i))
			}
		}
	}
	return c
}

// latest returns the newest writer of an instance.
func (c *cluster) latest(instance string) int {
	for i := len(c.writers) - 1; i >= 0; i-- {
		if c.writers[i].Self.instance == instance {
			return i
		}
	}
	return 0
}
