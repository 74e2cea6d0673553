// SPDX-License-Identifier: MIT

package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// cluster runs several tables and delivers exchanges immediately, except to
// and from instances that are down.
type cluster struct {
	tables    map[string]*Table
	names     []string
	down      map[string]bool
	now       time.Time
	exchanges int
}

func newCluster(n int) *cluster {
	c := &cluster{tables: map[string]*Table{}, down: map[string]bool{}, now: time.Unix(1000, 0)}
	var peers []Peer
	for i := range n {
		peers = append(peers, NewPeer(fmt.Sprintf("i%02d", i), "d1", "", false, false))
	}
	for i, p := range peers {
		c.names = append(c.names, p.instance)
		c.tables[p.instance] = &Table{Self: p, Peers: peers, Rand: rand.New(rand.NewPCG(uint64(i), 7))}
	}
	return c
}

func (c *cluster) runPeriod(incarnations map[string]uint64) {
	c.now = c.now.Add(500 * time.Millisecond)
	for _, name := range c.names {
		if c.down[name] {
			continue
		}
		t := c.tables[name]
		for _, a := range t.Handle(c.now, Tick{Local: NewHeartbeat(name, 1+incarnations[name], 0)}) {
			x, ok := a.(Exchange)
			if !ok || c.down[x.To.instance] {
				continue
			}
			c.exchanges++
			c.tables[x.To.instance].Handle(c.now, HeartbeatsReceived{Heartbeats: x.Heartbeats})
			t.Handle(c.now, HeartbeatsReceived{Heartbeats: c.tables[x.To.instance].Heartbeats()})
		}
	}
}

func (c *cluster) states(of string) map[State]int {
	out := map[State]int{}
	for _, name := range c.names {
		if c.down[name] {
			continue
		}
		i, _ := c.tables[name].View().Find(of)
		out[i.State()]++
	}
	return out
}

func TestDeadInstanceIsDetectedByAll(t *testing.T) {
	c := newCluster(49)
	for range 20 {
		c.runPeriod(nil)
	}
	c.down["i07"] = true
	for range 16 {
		c.runPeriod(nil)
	}
	if got := c.states("i07"); got[Dead] != 48 {
		t.Fatalf("states of the dead instance: %v, want 48 dead", got)
	}
	if got := c.states("i08"); got[Live] != 48 {
		t.Fatalf("states of a live instance: %v, want 48 live", got)
	}
}

func TestRestartIsANewIncarnation(t *testing.T) {
	c := newCluster(3)
	for range 10 {
		c.runPeriod(nil)
	}
	old, _ := c.tables["i00"].View().Find("i01")
	c.down["i01"] = true
	for range 10 {
		c.runPeriod(nil)
	}
	c.down["i01"] = false
	for range 6 {
		c.runPeriod(map[string]uint64{"i01": 1})
	}
	v := c.tables["i00"].View()
	if v.IsCurrentMember(old.Member()) {
		t.Fatal("the incarnation before the restart is still a member")
	}
	if i, _ := v.Find("i01"); i.State() != Live {
		t.Fatalf("state %v after the restart, want live", i.State())
	}
}

func TestPlatformUpdateAloneDoesNotMarkDead(t *testing.T) {
	c := newCluster(3)
	for range 10 {
		c.runPeriod(nil)
	}
	table := c.tables["i00"]
	table.Handle(c.now, PlatformUpdate{Removed: []string{"i01"}})
	if i, _ := table.View().Find("i01"); i.State() != Live {
		t.Fatalf("state %v after a platform update only, want live", i.State())
	}
	table.Handle(c.now.Add(1600*time.Millisecond), PlatformUpdate{Removed: []string{"i01"}})
	if i, _ := table.View().Find("i01"); i.State() != Dead {
		t.Fatalf("state %v after a platform update and half the timeout, want dead", i.State())
	}
}

func TestLeavingIsClearedByNewIncarnation(t *testing.T) {
	c := newCluster(3)
	for range 10 {
		c.runPeriod(nil)
	}
	table := c.tables["i00"]
	table.Handle(c.now, PlatformUpdate{Leaving: []string{"i01"}})
	if i, _ := table.View().Find("i01"); i.State() != Leaving {
		t.Fatalf("state %v, want leaving", i.State())
	}
	table.Handle(c.now, PlatformUpdate{})
	if i, _ := table.View().Find("i01"); i.State() != Leaving {
		t.Fatalf("state %v after an empty platform update, want leaving", i.State())
	}
	table.Handle(c.now, HeartbeatsReceived{Heartbeats: []Heartbeat{NewHeartbeat("i01", 9, 0).WithCounter(1)}})
	if i, _ := table.View().Find("i01"); i.State() != Live {
		t.Fatalf("state %v in a new incarnation, want live", i.State())
	}
}
