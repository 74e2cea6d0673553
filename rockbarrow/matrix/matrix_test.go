// SPDX-License-Identifier: MIT

package matrix

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/owner"
	"rockbarrow.dev/schema/recordpb"
)

var seeds = flag.Int("matrix.seeds", 4, "how many seeds each cell of the fault matrix runs")

// step is where a call stands when a fault comes.
type step string

// The steps of a call.
const (
	stepReceived  step = "received"
	stepQueued    step = "queued"
	stepProposed  step = "intent committing"
	stepIntended  step = "intent committed"
	stepSent      step = "sent"
	stepStreaming step = "streaming"
	stepAnswered  step = "answered, not committed"
	stepCommitted step = "committed, not told"
	stepPause     step = "tool pause"
	stepDraining  step = "draining"
	stepRoster    step = "roster changing"
)

var steps = []step{
	stepReceived, stepQueued, stepProposed, stepIntended, stepSent, stepStreaming,
	stepAnswered, stepCommitted, stepPause, stepDraining, stepRoster,
}

// fault is what goes wrong.
type fault struct {
	name   string
	inject func(*world)
}

// faults are all that the matrix puts at each step.
var faults = []fault{
	{"owner dies", func(w *world) { w.kill(w.ownerNode(), 8*time.Second) }},
	{"owner pauses and wakes", func(w *world) { w.pause(w.ownerNode(), 12*time.Second) }},
	{"owner pauses for minutes", func(w *world) { w.pause(w.ownerNode(), 5*time.Minute) }},
	{"replica dies", func(w *world) { w.kill(w.replicaNode(), 8*time.Second) }},
	{"disk's instance dies", func(w *world) { w.kill(w.find("a"), 8*time.Second) }},
	{"sync fails", func(w *world) { w.syncFails = "a"; w.later(time.Second, func() { w.kill(w.find("a"), time.Hour) }) }},
	{"owner cut off", func(w *world) { w.cutOff(w.ownerNode(), 10*time.Second) }},
	{"one-way loss", func(w *world) { w.oneWay(w.ownerNode(), 10*time.Second) }},
	{"messages late and reordered", func(w *world) { w.window = 6; w.later(20*time.Second, func() { w.window = 1 }) }},
	{"messages doubled", func(w *world) { w.double = 30; w.later(20*time.Second, func() { w.double = 0 }) }},
	{"messages lost", func(w *world) { w.lose = 25; w.later(15*time.Second, func() { w.lose = 0 }) }},
	{"answers lost", func(w *world) {
		w.eachEndpoint(func(e *endpoint) { e.mute = true }, func(e *endpoint) { e.mute = false })
	}},
	{"endpoint dies", func(w *world) { w.endpoints[0].die(); w.later(10*time.Second, func() { w.endpoints[0].up = true }) }},
	{"endpoint hangs", func(w *world) { w.endpoints[0].hanging = true }},
	{"endpoint leaves", func(w *world) { w.endpoints[0].leaving = true }},
	{"engine restarts", func(w *world) { w.endpoints[0].die(); w.endpoints[0].up = true }},
	{"second loss after repair", func(w *world) {
		first := w.replicaNode()
		w.kill(first, time.Hour)
		w.afterRepair(first, func() { w.kill(w.ownerNode(), time.Hour) })
	}},
	{"owner and endpoint die", func(w *world) { w.kill(w.ownerNode(), 8*time.Second); w.endpoints[0].die() }},
	{"clock jumps", func(w *world) { w.now = w.now.Add(time.Minute) }},
}

// injection is one cell: a fault at a step, in the call of a sequence.
type injection struct {
	step  step
	fault fault
	// skip is how often the step is passed before the fault comes.
	skip int
}

// reach tells that a call has come to a step.
func (w *world) reach(s step) {
	w.hits[s]++
	for i := range w.plan {
		p := &w.plan[i]
		if p.fault.inject == nil || p.step != s {
			continue
		}
		if p.skip > 0 {
			p.skip--
			continue
		}
		inject := p.fault.inject
		p.fault.inject = nil
		inject(w)
	}
}

// notice finds steps in the messages of an owner.
func (w *world) notice(n *node, a owner.Send) {
	m, ok := a.Message.(journal.Append)
	if !ok {
		return
	}
	for _, e := range m.Entries {
		if e.Members() != nil && e.Index() > 1 {
			w.reach(stepRoster)
		}
		var b recordpb.Batch
		if proto.Unmarshal(e.Payload(), &b) != nil {
			continue
		}
		for _, r := range b.GetRecords() {
			if r.GetIntent() != nil && a.To.Is(n.self()) {
				w.reach(stepProposed)
			}
		}
	}
}

func (w *world) ownerNode() *node {
	for _, n := range w.nodes {
		if n.up && n.owner != nil {
			return n
		}
	}
	return w.nodes[0]
}

func (w *world) replicaNode() *node {
	o := w.ownerNode()
	for _, n := range w.nodes[:4] {
		if n != o && n.up && n.replica != nil && n.storage == 0 {
			return n
		}
	}
	return w.nodes[3]
}

func (w *world) later(d time.Duration, act func()) {
	w.heals = append(w.heals, heal{at: w.now.Add(d), act: act})
	for i := len(w.heals) - 1; i > 0 && w.heals[i].at.Before(w.heals[i-1].at); i-- {
		w.heals[i], w.heals[i-1] = w.heals[i-1], w.heals[i]
	}
}

func (w *world) kill(n *node, d time.Duration) {
	n.up = false
	n.owner = nil
	w.later(d, func() { w.boot(n, w.peers(), 0) })
}

func (w *world) pause(n *node, d time.Duration) {
	n.paused = true
	w.later(d, func() {
		n.paused = false
		w.letters = append(w.letters, n.held...)
		n.held = nil
	})
}

func (w *world) cutOff(n *node, d time.Duration) {
	for _, o := range w.nodes {
		w.cut[n.name()+">"+o.name()] = o != n
		w.cut[o.name()+">"+n.name()] = o != n
	}
	w.later(d, func() { clear(w.cut) })
}

func (w *world) oneWay(n *node, d time.Duration) {
	for _, o := range w.nodes {
		w.cut[o.name()+">"+n.name()] = o != n
	}
	w.later(d, func() { clear(w.cut) })
}

func (w *world) eachEndpoint(on, off func(*endpoint)) {
	for _, e := range w.endpoints[:2] {
		on(e)
	}
	w.later(10*time.Second, func() {
		for _, e := range w.endpoints[:2] {
			off(e)
		}
	})
}

// afterRepair acts once the owner's replicas are whole without the lost one.
func (w *world) afterRepair(lost *node, act func()) {
	w.later(time.Second, func() {
		if n := w.ownerNode(); n.owner == nil || !n.owner.FullyReplicated() || n.owner.Members().Contains(lost.self()) {
			w.afterRepair(lost, act)
			return
		}
		act()
	})
}

func (e *endpoint) die() {
	e.up = false
	e.holds = map[string]bool{}
}

// run steps a world to its end.
func (w *world) run() string {
	const longest = 1500
	settle := 0
	for n := 0; n < longest && w.broken == "" && settle < 40; n++ {
		for range 400 {
			if !w.deliver() || w.broken != "" {
				break
			}
		}
		if n == 6 {
			w.drain()
		}
		w.tick()
		if w.client.done && len(w.heals) == 0 {
			settle++
		}
	}
	if w.broken != "" {
		return w.broken
	}
	return w.unfinished()
}

// drain plans the stop of an instance that is not the owner, when no other is
// down. As the daemon does, it ends only once the run has its copies elsewhere.
func (w *world) drain() {
	for _, n := range w.nodes {
		if !n.up || n.paused {
			return
		}
	}
	n := w.replicaNode()
	n.leaving = true
	w.reach(stepDraining)
	w.later(10*time.Second, func() { w.endDrain(n) })
}

func (w *world) endDrain(n *node) {
	if !n.up || !n.leaving {
		return
	}
	if o := w.ownerNode(); o.owner == nil || !o.owner.FullyReplicated() || o.owner.Members().Contains(n.self()) {
		w.later(time.Second, func() { w.endDrain(n) })
		return
	}
	w.boot(n, w.peers(), 0)
}

func TestMatrix(t *testing.T) {
	for _, disk := range []bool{false, true} {
		for _, s := range steps {
			t.Run(fmt.Sprintf("%s/disk=%v", s, disk), func(t *testing.T) {
				t.Parallel()
				testStep(t, s, disk)
			})
		}
	}
}

// testStep puts every fault at one step.
func testStep(t *testing.T, s step, disk bool) {
	cells, reached := 0, 0
	for _, f := range faults {
		if !disk && (f.name == "sync fails" || f.name == "disk's instance dies") {
			continue
		}
		for seed := range *seeds {
			w := newWorld(uint64(seed), disk, injection{step: s, fault: f, skip: seed % 4})
			cells++
			if msg := w.run(); msg != "" {
				t.Errorf("%s / %s / disk %v / seed %d: %s", s, f.name, disk, seed, msg)
				break
			}
			if w.plan[0].fault.inject == nil {
				reached++
			}
		}
	}
	if reached < cells/4 {
		t.Errorf("the fault came in %d of %d runs, want at least a quarter", reached, cells)
	}
}

// TestPairs puts two faults into one run: at every pair of steps, the pairs of
// faults that the users name.
func TestPairs(t *testing.T) {
	pairs := [][2]string{
		{"owner dies", "owner dies"},
		{"owner dies", "endpoint dies"},
		{"owner pauses and wakes", "replica dies"},
		{"owner cut off", "answers lost"},
		{"replica dies", "owner cut off"},
		{"messages lost", "owner pauses and wakes"},
	}
	for _, p := range pairs {
		t.Run(p[0]+" and "+p[1], func(t *testing.T) {
			t.Parallel()
			testPair(t, p)
		})
	}
}

func testPair(t *testing.T, p [2]string) {
	beyond := 0
	for _, s1 := range steps {
		for _, s2 := range steps {
			seed := uint64(len(s1)*31 + len(s2))
			w := newWorld(seed, true, injection{step: s1, fault: find(p[0])}, injection{step: s2, fault: find(p[1]), skip: 1})
			msg := w.run()
			if w.beyondRepair() {
				// Two copies were lost before the first could be replaced. Nothing
				// false may have been told, but the run cannot go on.
				beyond++
				msg = w.broken
			}
			if msg != "" {
				t.Errorf("%s at %s, %s at %s, seed %d: %s", p[0], s1, p[1], s2, seed, msg)
			}
		}
	}
	t.Logf("%d of %d cells lost two copies before a repair", beyond, len(steps)*len(steps))
	if beyond > len(steps)*len(steps)/2 {
		t.Errorf("%d cells cannot go on, want at most half", beyond)
	}
}

// beyondRepair reports whether too few lives of the run's members are left.
func (w *world) beyondRepair() bool {
	var newest *node
	for _, n := range w.nodes {
		if n.up && n.replica != nil && n.replica.Log().LastIndex() > 0 && (newest == nil || n.replica.Log().LastIndex() > newest.replica.Log().LastIndex()) {
			newest = n
		}
	}
	if newest == nil {
		return true
	}
	members := newest.replica.Log().Members()
	left := 0
	for _, m := range members {
		n := w.find(m.Instance())
		if n.up && n.replica != nil && (m.Is(n.self()) || m.Witness() && m.Incarnation() == n.life) {
			left++
		}
	}
	return left < members.Majority()
}

func find(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic(fmt.Sprintf("no fault %q", name))
}
