// SPDX-License-Identifier: MIT

package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// group steps several tables with all exchanges delivered at once, except to
// and from instances that are down.
type group struct {
	tables map[string]*Table
	names  []string
	down   map[string]bool
	now    time.Time
	sent   int
}

func newGroup(n int) *group {
	g := &group{tables: map[string]*Table{}, down: map[string]bool{}, now: time.Unix(1000, 0)}
	var peers []Peer
	for i := range n {
		peers = append(peers, NewPeer(fmt.Sprintf("i%02d", i), "d1", "", false, false))
	}
	for i, p := range peers {
		g.names = append(g.names, p.instance)
		g.tables[p.instance] = &Table{Self: p, Peers: peers, Rand: rand.New(rand.NewPCG(uint64(i), 7))}
	}
	return g
}

func (g *group) period(life map[string]uint64) {
	g.now = g.now.Add(500 * time.Millisecond)
	for _, name := range g.names {
		if g.down[name] {
			continue
		}
		t := g.tables[name]
		for _, a := range t.Handle(g.now, Tick{Local: NewHeartbeat(name, 1+life[name], 0)}) {
			x, ok := a.(Exchange)
			if !ok || g.down[x.To.instance] {
				continue
			}
			g.sent++
			g.tables[x.To.instance].Handle(g.now, HeartbeatsReceived{Heartbeats: x.Heartbeats})
			t.Handle(g.now, HeartbeatsReceived{Heartbeats: g.tables[x.To.instance].Heartbeats()})
		}
	}
}

func (g *group) states(of string) map[State]int {
	out := map[State]int{}
	for _, name := range g.names {
		if g.down[name] {
			continue
		}
		i, _ := g.tables[name].View().Find(of)
		out[i.State()]++
	}
	return out
}

func TestDeathIsNoticedByAllAndNoOther(t *testing.T) {
	g := newGroup(49)
	for range 20 {
		g.period(nil)
	}
	g.down["i07"] = true
	for range 16 {
		g.period(nil)
	}
	if got := g.states("i07"); got[Dead] != 48 {
		t.Fatalf("states of the dead instance %v, want 48 dead", got)
	}
	if got := g.states("i08"); got[Live] != 48 {
		t.Fatalf("states of a live instance %v, want 48 live", got)
	}
}

func TestReturnIsANewLife(t *testing.T) {
	g := newGroup(3)
	for range 10 {
		g.period(nil)
	}
	old, _ := g.tables["i00"].View().Find("i01")
	g.down["i01"] = true
	for range 10 {
		g.period(nil)
	}
	g.down["i01"] = false
	for range 6 {
		g.period(map[string]uint64{"i01": 1})
	}
	v := g.tables["i00"].View()
	if v.IsCurrentMember(old.Member()) {
		t.Fatal("the life before the restart still counts")
	}
	if i, _ := v.Find("i01"); i.State() != Live {
		t.Fatalf("state %v after the return, want live", i.State())
	}
}

func TestPlatformAloneDoesNotKill(t *testing.T) {
	g := newGroup(3)
	for range 10 {
		g.period(nil)
	}
	table := g.tables["i00"]
	table.Handle(g.now, PlatformUpdate{Removed: []string{"i01"}})
	if i, _ := table.View().Find("i01"); i.State() != Live {
		t.Fatalf("state %v on the platform's word alone, want live", i.State())
	}
	table.Handle(g.now.Add(1600*time.Millisecond), PlatformUpdate{Removed: []string{"i01"}})
	if i, _ := table.View().Find("i01"); i.State() != Dead {
		t.Fatalf("state %v on both words, want dead", i.State())
	}
}

func TestLeavingCountsAtOnceAndTheNextLifeClearsIt(t *testing.T) {
	g := newGroup(3)
	for range 10 {
		g.period(nil)
	}
	table := g.tables["i00"]
	table.Handle(g.now, PlatformUpdate{Leaving: []string{"i01"}})
	if i, _ := table.View().Find("i01"); i.State() != Leaving {
		t.Fatalf("state %v, want leaving", i.State())
	}
	table.Handle(g.now, PlatformUpdate{})
	if i, _ := table.View().Find("i01"); i.State() != Leaving {
		t.Fatalf("state %v after a list without it, want leaving", i.State())
	}
	table.Handle(g.now, HeartbeatsReceived{Heartbeats: []Heartbeat{NewHeartbeat("i01", 9, 0).WithCounter(1)}})
	if i, _ := table.View().Find("i01"); i.State() != Live {
		t.Fatalf("state %v in its next life, want live", i.State())
	}
}
