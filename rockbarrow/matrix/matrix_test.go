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

// step is the progress of a call at which a fault is injected.
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

// fault is a failure that can be injected.
type fault struct {
	name   string
	inject func(*driver)
}

// faults are the faults that the matrix injects at each step.
var faults = []fault{
	{"owner dies", func(d *driver) { d.kill(d.ownerNode(), 8*time.Second) }},
	{"owner pauses and wakes", func(d *driver) { d.pause(d.ownerNode(), 12*time.Second) }},
	{"owner pauses for minutes", func(d *driver) { d.pause(d.ownerNode(), 5*time.Minute) }},
	{"replica dies", func(d *driver) { d.kill(d.replicaNode(), 8*time.Second) }},
	{"disk's instance dies", func(d *driver) { d.kill(d.findNode("a"), 8*time.Second) }},
	{"sync fails", func(d *driver) {
		d.failingDisk = "a"
		d.schedule(time.Second, func() { d.kill(d.findNode("a"), time.Hour) })
	}},
	{"owner cut off", func(d *driver) { d.cutOff(d.ownerNode(), 10*time.Second) }},
	{"one-way loss", func(d *driver) { d.cutInbound(d.ownerNode(), 10*time.Second) }},
	{"messages late and reordered", func(d *driver) { d.reorderWindow = 6; d.schedule(20*time.Second, func() { d.reorderWindow = 1 }) }},
	{"messages doubled", func(d *driver) {
		d.duplicatePercent = 30
		d.schedule(20*time.Second, func() { d.duplicatePercent = 0 })
	}},
	{"messages lost", func(d *driver) { d.lossPercent = 25; d.schedule(15*time.Second, func() { d.lossPercent = 0 }) }},
	{"answers lost", func(d *driver) {
		d.disturbEndpoints(func(e *endpoint) { e.dropsAnswers = true }, func(e *endpoint) { e.dropsAnswers = false })
	}},
	{"endpoint dies", func(d *driver) {
		d.endpoints[0].crash()
		d.schedule(10*time.Second, func() { d.endpoints[0].up = true })
	}},
	{"endpoint hangs", func(d *driver) { d.endpoints[0].hanging = true }},
	{"endpoint leaves", func(d *driver) { d.endpoints[0].leaving = true }},
	{"engine restarts", func(d *driver) { d.endpoints[0].crash(); d.endpoints[0].up = true }},
	{"second loss after repair", func(d *driver) {
		first := d.replicaNode()
		d.kill(first, time.Hour)
		d.afterRepair(first, func() { d.kill(d.ownerNode(), time.Hour) })
	}},
	{"owner and endpoint die", func(d *driver) { d.kill(d.ownerNode(), 8*time.Second); d.endpoints[0].crash() }},
	{"clock jumps", func(d *driver) { d.now = d.now.Add(time.Minute) }},
}

// injection is a fault and the step at which it is injected.
type injection struct {
	step  step
	fault fault
	// skip is how often the step is reached before the fault is injected.
	skip int
}

// reachStep injects the faults that are due when a call reaches a step.
func (d *driver) reachStep(s step) {
	d.stepCounts[s]++
	for i := range d.injections {
		p := &d.injections[i]
		if p.fault.inject == nil || p.step != s {
			continue
		}
		if p.skip > 0 {
			p.skip--
			continue
		}
		inject := p.fault.inject
		p.fault.inject = nil
		inject(d)
	}
}

// detectSteps derives the steps that have been reached from a message of an
// owner.
func (d *driver) detectSteps(n *node, a owner.Send) {
	m, ok := a.Message.(journal.Append)
	if !ok {
		return
	}
	for _, e := range m.Entries {
		if e.Members() != nil && e.Index() > 1 {
			d.reachStep(stepRoster)
		}
		var b recordpb.Batch
		if proto.Unmarshal(e.Payload(), &b) != nil {
			continue
		}
		for _, r := range b.GetRecords() {
			if r.GetIntent() != nil && a.To.Is(n.self()) {
				d.reachStep(stepProposed)
			}
		}
	}
}

func (d *driver) ownerNode() *node {
	for _, n := range d.nodes {
		if n.up && n.owner != nil {
			return n
		}
	}
	return d.nodes[0]
}

func (d *driver) replicaNode() *node {
	o := d.ownerNode()
	for _, n := range d.nodes[:4] {
		if n != o && n.up && n.replica != nil && n.storage == 0 {
			return n
		}
	}
	return d.nodes[3]
}

// schedule calls act after a time.
func (d *driver) schedule(after time.Duration, act func()) {
	d.recoveries = append(d.recoveries, recovery{at: d.now.Add(after), act: act})
	for i := len(d.recoveries) - 1; i > 0 && d.recoveries[i].at.Before(d.recoveries[i-1].at); i-- {
		d.recoveries[i], d.recoveries[i-1] = d.recoveries[i-1], d.recoveries[i]
	}
}

func (d *driver) kill(n *node, after time.Duration) {
	n.up = false
	n.owner = nil
	d.schedule(after, func() { d.restart(n, d.peers(), 0) })
}

func (d *driver) pause(n *node, after time.Duration) {
	n.paused = true
	d.schedule(after, func() {
		n.paused = false
		d.inFlight = append(d.inFlight, n.pausedMessages...)
		n.pausedMessages = nil
	})
}

// cutOff drops all messages between a node and the other nodes.
func (d *driver) cutOff(n *node, after time.Duration) {
	for _, o := range d.nodes {
		d.blockedLinks[n.name()+">"+o.name()] = o != n
		d.blockedLinks[o.name()+">"+n.name()] = o != n
	}
	d.schedule(after, func() { clear(d.blockedLinks) })
}

// cutInbound drops all messages to a node.
func (d *driver) cutInbound(n *node, after time.Duration) {
	for _, o := range d.nodes {
		d.blockedLinks[o.name()+">"+n.name()] = o != n
	}
	d.schedule(after, func() { clear(d.blockedLinks) })
}

// disturbEndpoints calls on for two of the endpoints, and off after ten seconds.
func (d *driver) disturbEndpoints(on, off func(*endpoint)) {
	for _, e := range d.endpoints[:2] {
		on(e)
	}
	d.schedule(10*time.Second, func() {
		for _, e := range d.endpoints[:2] {
			off(e)
		}
	})
}

// afterRepair calls act once the journal is fully replicated without the lost
// node.
func (d *driver) afterRepair(lost *node, act func()) {
	d.schedule(time.Second, func() {
		if n := d.ownerNode(); n.owner == nil || !n.owner.FullyReplicated() || n.owner.Members().Contains(lost.self()) {
			d.afterRepair(lost, act)
			return
		}
		act()
	})
}

func (e *endpoint) crash() {
	e.up = false
	e.heldRuns = map[string]bool{}
}

// run runs the driver until the program has ended and returns the violation, if
// there is one.
func (d *driver) run() string {
	const longest = 1500
	settle := 0
	for n := 0; n < longest && d.violation == "" && settle < 40; n++ {
		for range 400 {
			if !d.deliver() || d.violation != "" {
				break
			}
		}
		if n == 6 {
			d.drain()
		}
		d.tick()
		if d.client.done && len(d.recoveries) == 0 {
			settle++
		}
	}
	if d.violation != "" {
		return d.violation
	}
	return d.checkCompleted()
}

// drain starts the planned stop of an instance that is not the owner, unless an
// instance is down. As in the daemon, the instance stops only once the run is
// fully replicated without it.
func (d *driver) drain() {
	for _, n := range d.nodes {
		if !n.up || n.paused {
			return
		}
	}
	n := d.replicaNode()
	n.leaving = true
	d.reachStep(stepDraining)
	d.schedule(10*time.Second, func() { d.endDrain(n) })
}

func (d *driver) endDrain(n *node) {
	if !n.up || !n.leaving {
		return
	}
	if o := d.ownerNode(); o.owner == nil || !o.owner.FullyReplicated() || o.owner.Members().Contains(n.self()) {
		d.schedule(time.Second, func() { d.endDrain(n) })
		return
	}
	d.restart(n, d.peers(), 0)
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

// testStep injects every fault at one step.
func testStep(t *testing.T, s step, disk bool) {
	cells, reached := 0, 0
	for _, f := range faults {
		if !disk && (f.name == "sync fails" || f.name == "disk's instance dies") {
			continue
		}
		for seed := range *seeds {
			d := newDriver(uint64(seed), disk, injection{step: s, fault: f, skip: seed % 4})
			cells++
			if msg := d.run(); msg != "" {
				t.Errorf("%s / %s / disk %v / seed %d: %s", s, f.name, disk, seed, msg)
				break
			}
			if d.injections[0].fault.inject == nil {
				reached++
			}
		}
	}
	if reached < cells/4 {
		t.Errorf("the fault was injected in %d of %d runs, want at least a quarter", reached, cells)
	}
}

// TestPairs injects pairs of faults into one run, at every pair of steps.
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
			d := newDriver(seed, true, injection{step: s1, fault: findFault(p[0])}, injection{step: s2, fault: findFault(p[1]), skip: 1})
			msg := d.run()
			if d.beyondRepair() {
				// Two copies were lost before the first was replaced. The run cannot
				// continue, but no reply may have been wrong.
				beyond++
				msg = d.violation
			}
			if msg != "" {
				t.Errorf("%s at %s, %s at %s, seed %d: %s", p[0], s1, p[1], s2, seed, msg)
			}
		}
	}
	t.Logf("%d of %d cells lost two copies before the repair", beyond, len(steps)*len(steps))
	if beyond > len(steps)*len(steps)/2 {
		t.Errorf("the run cannot continue in %d cells, want at most half", beyond)
	}
}

// beyondRepair reports whether the run has lost the majority of its members.
func (d *driver) beyondRepair() bool {
	var newest *node
	for _, n := range d.nodes {
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
		n := d.findNode(m.Instance())
		if n.up && n.replica != nil && (m.Is(n.self()) || m.Witness() && m.Incarnation() == n.incarnation) {
			left++
		}
	}
	return left < members.Majority()
}

func findFault(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic(fmt.Sprintf("no fault %q", name))
}
