// SPDX-License-Identifier: MIT

package matrix

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/owner"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/rockbarrow/roster"
)

const (
	runID  = "home.run"
	period = 500 * time.Millisecond
	lease  = 2 * time.Second
	// rpcTimeout is how long a sender waits for a reply.
	rpcTimeout = 2 * time.Second
)

// node is one instance with its roster, its replica and, if it owns the run, its
// owner.
type node struct {
	peer        roster.Peer
	incarnation uint64
	storage     uint64
	up          bool
	paused      bool
	// pausedMessages are messages that arrived while the node was paused.
	pausedMessages []envelope
	table          *roster.Table
	replica        *journal.Replica
	owner          *owner.Owner
	earliestStart  time.Time
	leaving        bool
}

func (n *node) name() string { return n.peer.Instance() }

func (n *node) self() journal.Member {
	if n.storage != 0 {
		return journal.NewMember(n.name(), n.storage).WithDisk()
	}
	return journal.NewMember(n.name(), n.incarnation)
}

// envelope is a message in transit to an incarnation of a node. Endpoints and the
// client have no incarnation.
type envelope struct {
	from, to    string
	incarnation uint64
	deliver     func()
	// reliable messages belong to an open connection and are never lost or
	// duplicated.
	reliable bool
}

// rpc is a request that times out if there is no reply.
type rpc struct {
	deadline time.Time
	done     bool
	timeout  func()
}

// driver steps all nodes, endpoints and the client of one run.
type driver struct {
	rand     *rand.Rand
	now      time.Time
	nodes    []*node
	inFlight []envelope
	rounds   uint64
	// blockedLinks contains pairs "from>to" that lose all messages.
	blockedLinks map[string]bool
	// reorderWindow is the number of messages among which the next one is chosen.
	reorderWindow int
	// duplicatePercent and lossPercent are shares of all messages.
	duplicatePercent, lossPercent int
	rpcs                          []*rpc
	endpoints                     []*endpoint
	client                        *client
	injections                    []injection
	stepCounts                    map[step]int
	failingDisk                   string
	violation                     string
	// recoveries are ordered by time.
	recoveries []recovery
	oracle     oracle
}

// recovery is an action at a later time, such as the end of a fault.
type recovery struct {
	at  time.Time
	act func()
}

func newDriver(seed uint64, disk bool, cells ...injection) *driver {
	d := &driver{
		rand: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1_000_000, 0),
		blockedLinks: map[string]bool{}, reorderWindow: 1, injections: cells, stepCounts: map[step]int{},
	}
	peers := []roster.Peer{
		roster.NewPeer("a", "home", "", disk, false),
		roster.NewPeer("b", "home", "", false, false),
		roster.NewPeer("c", "home", "", false, false),
		roster.NewPeer("d", "home", "", false, false),
		roster.NewPeer("x", "far", "", false, false),
	}
	for i, p := range peers {
		n := &node{peer: p}
		if p.Disk() {
			n.storage = 77
		}
		d.nodes = append(d.nodes, n)
		d.restart(n, peers, uint64(i))
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		d.endpoints = append(d.endpoints, &endpoint{name: name, up: true, heldRuns: map[string]bool{}})
	}
	d.oracle = newOracle()
	d.client = newClient(d)
	for range 4 {
		d.tick()
	}
	return d
}

// restart starts a new incarnation of a node. Its replica is lost unless the node
// has a disk.
func (d *driver) restart(n *node, peers []roster.Peer, salt uint64) {
	n.incarnation = uint64(d.now.UnixNano()) + salt
	n.up, n.paused, n.leaving = true, false, false
	n.pausedMessages, n.owner = nil, nil
	n.table = &roster.Table{Self: n.peer, Peers: peers, Rand: rand.New(rand.NewPCG(d.rand.Uint64(), 1)), Fanout: 8}
	n.table.Handle(d.now, roster.HeartbeatsReceived{})
	if n.storage == 0 {
		n.replica = nil
	}
}

func (d *driver) peers() []roster.Peer {
	var out []roster.Peer
	for _, n := range d.nodes {
		out = append(out, n.peer)
	}
	return out
}

func (d *driver) findNode(name string) *node {
	for _, n := range d.nodes {
		if n.name() == name {
			return n
		}
	}
	return nil
}

// enqueue puts a message in transit. The message may be lost or duplicated.
func (d *driver) enqueue(e envelope) {
	if n := d.findNode(e.to); n != nil && e.incarnation == 0 {
		e.incarnation = n.incarnation
	}
	far := e.from != e.to && !e.reliable
	if far && d.rand.IntN(100) < d.lossPercent {
		return
	}
	d.inFlight = append(d.inFlight, e)
	if far && d.rand.IntN(100) < d.duplicatePercent {
		d.inFlight = append(d.inFlight, e)
	}
}

// deliver delivers one of the first messages in transit. It returns false if there
// are none.
func (d *driver) deliver() bool {
	if len(d.inFlight) == 0 {
		return false
	}
	i := d.rand.IntN(min(d.reorderWindow, len(d.inFlight)))
	e := d.inFlight[i]
	d.inFlight = append(d.inFlight[:i:i], d.inFlight[i+1:]...)
	to := d.findNode(e.to)
	switch {
	case d.blockedLinks[e.from+">"+e.to], to != nil && (!to.up || to.incarnation != e.incarnation):
	case to != nil && to.paused:
		to.pausedMessages = append(to.pausedMessages, e)
	default:
		e.deliver()
	}
	return true
}

// tick advances the clock by one period and processes heartbeats, takeovers and
// timeouts.
func (d *driver) tick() {
	d.now = d.now.Add(period)
	for len(d.recoveries) > 0 && !d.recoveries[0].at.After(d.now) {
		r := d.recoveries[0]
		d.recoveries = d.recoveries[1:]
		r.act()
	}
	for _, n := range d.nodes {
		d.heartbeat(n)
	}
	for _, n := range d.nodes {
		if n.up && !n.paused {
			d.tickNode(n)
		}
	}
	d.client.tick()
	d.expireAttempts()
	d.expireRPCs()
}

func (d *driver) expireRPCs() {
	kept := d.rpcs[:0:0]
	for _, r := range d.rpcs {
		switch {
		case r.done:
		case r.deadline.After(d.now):
			kept = append(kept, r)
		default:
			r.timeout()
		}
	}
	d.rpcs = kept
}

// heartbeat sends a node's heartbeat to every node that it can reach.
func (d *driver) heartbeat(n *node) {
	if !n.up || n.paused {
		return
	}
	own := roster.NewHeartbeat(n.name(), n.incarnation, n.storage).WithStatus(n.leaving, true, 1, 0, 0)
	n.table.Handle(d.now, roster.Tick{Local: own})
	for _, o := range d.nodes {
		if o != n && o.up && !o.paused && !d.blockedLinks[n.name()+">"+o.name()] {
			o.table.Handle(d.now, roster.HeartbeatsReceived{Heartbeats: n.table.Heartbeats()})
		}
	}
}

func (d *driver) tickNode(n *node) {
	if n.owner != nil {
		d.step(n, owner.Ticked{View: n.table.View()})
		return
	}
	if n.replica == nil || n.replica.Log().LastIndex() == 0 {
		return
	}
	v := n.table.View()
	b := n.replica.Promised()
	if b.Instance() == n.name() && b.Incarnation() == n.incarnation {
		d.startOwner(n, false)
		return
	}
	if v.IsWriterAlive(b) {
		return
	}
	if m, ok := owner.Successor(n.replica.Log().Members(), v); ok && m.Is(n.self()) {
		d.startOwner(n, false)
	}
}

// startOwner starts an owner at a node, as the host does.
func (d *driver) startOwner(n *node, create bool) bool {
	if n.owner != nil {
		return true
	}
	if d.now.Before(n.earliestStart) {
		return false
	}
	n.earliestStart = d.now.Add(period + time.Duration(d.rand.Int64N(int64(period))))
	o := &owner.Owner{Run: runID, Domain: "home", Self: n.self(), Incarnation: n.incarnation, Replica: n.replica}
	if create {
		o.InitialMembers = owner.InitialMembers(n.table.View(), runID, "home")
	}
	n.owner = o
	d.rounds++
	d.step(n, owner.Start{Round: d.rounds})
	return true
}

// step passes an event to a node's owner and performs the resulting actions.
func (d *driver) step(n *node, e owner.Event) {
	o := n.owner
	if o == nil {
		return
	}
	loaded := o.Machine.Loaded()
	actions := o.Handle(d.now, e)
	if !loaded && o.Machine.Loaded() {
		d.checkLoaded(n)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Send:
			d.send(n, a)
		case owner.ProgramAction:
			d.perform(n, a.Action)
		case owner.OwnershipLost:
			n.replica.Observe(a.By)
			d.discardOwner(n, o)
		case owner.Abandoned:
			d.discardOwner(n, o)
		}
	}
	d.checkBudget(n)
}

func (d *driver) discardOwner(n *node, o *owner.Owner) {
	if n.owner == o {
		n.owner = nil
		n.earliestStart = d.now.Add(period)
	}
}

// send sends a journal message and returns its reply to the sender.
func (d *driver) send(n *node, a owner.Send) {
	d.detectSteps(n, a)
	incarnation := n.incarnation
	back := func(e owner.Event) {
		d.enqueue(envelope{from: n.name(), to: n.name(), incarnation: incarnation, deliver: func() { d.step(n, e) }})
	}
	r := &rpc{deadline: d.now.Add(rpcTimeout), timeout: func() { back(owner.NoReply{To: a.To}) }}
	d.rpcs = append(d.rpcs, r)
	d.enqueue(envelope{from: n.name(), to: a.To.Instance(), deliver: func() {
		reply := d.stepReplica(d.findNode(a.To.Instance()), a.To, a.Message)
		d.enqueue(envelope{from: a.To.Instance(), to: n.name(), incarnation: incarnation, deliver: func() {
			r.done = true
			d.step(n, owner.Replied{From: a.To, Reply: reply})
		}})
	}})
}

// stepReplica passes a message to a node's replica. After a failed sync the
// replica does not vote.
func (d *driver) stepReplica(n *node, to journal.Member, m journal.Message) journal.Reply {
	mine := to.Is(n.self()) || to.Witness() && to.Incarnation() == n.incarnation
	if !mine {
		return journal.NonVoting{}
	}
	if n.replica == nil {
		n.replica = &journal.Replica{Witness: to.Witness()}
	}
	reply, change := n.replica.Handle(m)
	if n.storage != 0 && change.Durable && d.failingDisk == n.name() {
		n.replica.Fail()
		return journal.NonVoting{}
	}
	return reply
}

// perform performs an action of the program.
func (d *driver) perform(n *node, a program.Action) {
	switch a := a.(type) {
	case program.Reply:
		d.sendReply(n, a)
	case program.Place:
		d.place(n, a)
	case program.Dispatch:
		d.dispatch(n, a)
	case program.ReleaseMemory:
		d.release(n, a.Endpoint)
	}
}

func (d *driver) report(format string, args ...any) {
	if d.violation == "" {
		d.violation = fmt.Sprintf(format, args...)
	}
}
