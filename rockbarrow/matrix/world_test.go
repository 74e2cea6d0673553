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
	// rpcTime is how long a reply may take.
	rpcTime = 2 * time.Second
)

// node is one instance: its roster, its copy and, at times, its owner.
type node struct {
	peer    roster.Peer
	life    uint64
	storage uint64
	up      bool
	paused  bool
	// held are letters that came while it was paused.
	held    []letter
	table   *roster.Table
	replica *journal.Replica
	owner   *owner.Owner
	next    time.Time
	leaving bool
}

func (n *node) name() string { return n.peer.Instance() }

func (n *node) self() journal.Member {
	if n.storage != 0 {
		return journal.NewMember(n.name(), n.storage).WithDisk()
	}
	return journal.NewMember(n.name(), n.life)
}

// letter is something on its way to a node in one of its lives; endpoints and
// the client have no life.
type letter struct {
	from, to string
	life     uint64
	act      func()
	// sure letters are part of a connection that stands: none is lost or doubled.
	sure bool
}

// rpc is a request whose sender notices when no reply comes in time.
type rpc struct {
	until time.Time
	done  bool
	lost  func()
}

// world is all nodes, endpoints and the client of one run.
type world struct {
	rand    *rand.Rand
	now     time.Time
	nodes   []*node
	letters []letter
	rounds  uint64
	// cut holds pairs "from>to" that lose everything.
	cut map[string]bool
	// window is how far letters may overtake each other.
	window int
	// double and lose are shares of letters, in hundredths.
	double, lose int
	rpcs         []*rpc
	endpoints    []*endpoint
	client       *client
	plan         []injection
	hits         map[step]int
	syncFails    string
	broken       string
	// heals are due once the time has come.
	heals []heal
	truth truth
}

// heal ends a fault.
type heal struct {
	at  time.Time
	act func()
}

func newWorld(seed uint64, disk bool, cells ...injection) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1_000_000, 0),
		cut: map[string]bool{}, window: 1, plan: cells, hits: map[step]int{},
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
		w.nodes = append(w.nodes, n)
		w.boot(n, peers, uint64(i))
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		w.endpoints = append(w.endpoints, &endpoint{name: name, up: true, holds: map[string]bool{}})
	}
	w.truth = newTruth()
	w.client = newClient(w)
	for range 4 {
		w.tick()
	}
	return w
}

// boot gives a node a new life; only a disk's copy outlives the old one.
func (w *world) boot(n *node, peers []roster.Peer, salt uint64) {
	n.life = uint64(w.now.UnixNano()) + salt
	n.up, n.paused, n.leaving = true, false, false
	n.held, n.owner = nil, nil
	n.table = &roster.Table{Self: n.peer, Peers: peers, Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 1)), Fanout: 8}
	n.table.Handle(w.now, roster.Heard{})
	if n.storage == 0 {
		n.replica = nil
	}
}

func (w *world) peers() []roster.Peer {
	var out []roster.Peer
	for _, n := range w.nodes {
		out = append(out, n.peer)
	}
	return out
}

func (w *world) find(name string) *node {
	for _, n := range w.nodes {
		if n.name() == name {
			return n
		}
	}
	return nil
}

// post puts a letter on its way, perhaps twice or never.
func (w *world) post(l letter) {
	if n := w.find(l.to); n != nil && l.life == 0 {
		l.life = n.life
	}
	far := l.from != l.to && !l.sure
	if far && w.rand.IntN(100) < w.lose {
		return
	}
	w.letters = append(w.letters, l)
	if far && w.rand.IntN(100) < w.double {
		w.letters = append(w.letters, l)
	}
}

// deliver takes one of the first letters of the window.
func (w *world) deliver() bool {
	if len(w.letters) == 0 {
		return false
	}
	i := w.rand.IntN(min(w.window, len(w.letters)))
	l := w.letters[i]
	w.letters = append(w.letters[:i:i], w.letters[i+1:]...)
	to := w.find(l.to)
	switch {
	case w.cut[l.from+">"+l.to], to != nil && (!to.up || to.life != l.life):
	case to != nil && to.paused:
		to.held = append(to.held, l)
	default:
		l.act()
	}
	return true
}

// tick lets a period pass: heartbeats, takeovers, timers.
func (w *world) tick() {
	w.now = w.now.Add(period)
	for len(w.heals) > 0 && !w.heals[0].at.After(w.now) {
		h := w.heals[0]
		w.heals = w.heals[1:]
		h.act()
	}
	for _, n := range w.nodes {
		w.beat(n)
	}
	for _, n := range w.nodes {
		if n.up && !n.paused {
			w.tickNode(n)
		}
	}
	w.client.tick()
	w.expireAttempts()
	w.expireRPCs()
}

func (w *world) expireRPCs() {
	kept := w.rpcs[:0:0]
	for _, r := range w.rpcs {
		switch {
		case r.done:
		case r.until.After(w.now):
			kept = append(kept, r)
		default:
			r.lost()
		}
	}
	w.rpcs = kept
}

// beat lets a node's word reach every node that it can reach.
func (w *world) beat(n *node) {
	if !n.up || n.paused {
		return
	}
	own := roster.NewBeat(n.name(), n.life, n.storage).With(n.leaving, true, 1, 0, 0)
	n.table.Handle(w.now, roster.Ticked{Own: own})
	for _, o := range w.nodes {
		if o != n && o.up && !o.paused && !w.cut[n.name()+">"+o.name()] {
			o.table.Handle(w.now, roster.Heard{Beats: n.table.Beats()})
		}
	}
}

func (w *world) tickNode(n *node) {
	if n.owner != nil {
		w.step(n, owner.Ticked{View: n.table.View()})
		return
	}
	if n.replica == nil || n.replica.Log().LastIndex() == 0 {
		return
	}
	v := n.table.View()
	b := n.replica.Promised()
	if b.Instance() == n.name() && b.Incarnation() == n.life {
		w.claim(n, false)
		return
	}
	if v.Writes(b) {
		return
	}
	if m, ok := owner.Successor(n.replica.Log().Members(), v); ok && m.Is(n.self()) {
		w.claim(n, false)
	}
}

// claim starts an owner, as the host does.
func (w *world) claim(n *node, create bool) bool {
	if n.owner != nil {
		return true
	}
	if w.now.Before(n.next) {
		return false
	}
	n.next = w.now.Add(period + time.Duration(w.rand.Int64N(int64(period))))
	o := &owner.Owner{Run: runID, Domain: "home", Self: n.self(), Incarnation: n.life, Replica: n.replica}
	if create {
		o.InitialMembers = owner.InitialMembers(n.table.View(), runID, "home")
	}
	n.owner = o
	w.rounds++
	w.step(n, owner.Start{Round: w.rounds})
	return true
}

// step steps a node's owner and does what follows.
func (w *world) step(n *node, e owner.Event) {
	o := n.owner
	if o == nil {
		return
	}
	loaded := o.Machine.Loaded()
	actions := o.Handle(w.now, e)
	if !loaded && o.Machine.Loaded() {
		w.checkLoaded(n)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Send:
			w.send(n, a)
		case owner.ProgramAction:
			w.do(n, a.Action)
		case owner.OwnershipLost:
			n.replica.Observe(a.By)
			w.disown(n, o)
		case owner.Abandoned:
			w.disown(n, o)
		}
	}
	w.checkBudget(n)
}

func (w *world) disown(n *node, o *owner.Owner) {
	if n.owner == o {
		n.owner = nil
		n.next = w.now.Add(period)
	}
}

// send carries a journal message and its reply.
func (w *world) send(n *node, a owner.Send) {
	w.notice(n, a)
	life := n.life
	back := func(e owner.Event) {
		w.post(letter{from: n.name(), to: n.name(), life: life, act: func() { w.step(n, e) }})
	}
	r := &rpc{until: w.now.Add(rpcTime), lost: func() { back(owner.NoReply{To: a.To}) }}
	w.rpcs = append(w.rpcs, r)
	w.post(letter{from: n.name(), to: a.To.Instance(), act: func() {
		reply := w.journal(w.find(a.To.Instance()), a.To, a.Message)
		w.post(letter{from: a.To.Instance(), to: n.name(), life: life, act: func() {
			r.done = true
			w.step(n, owner.Replied{From: a.To, Reply: reply})
		}})
	}})
}

// journal steps a node's copy; a failed sync ends its voting.
func (w *world) journal(n *node, to journal.Member, m journal.Message) journal.Reply {
	mine := to.Is(n.self()) || to.Witness() && to.Incarnation() == n.life
	if !mine {
		return journal.NonVoting{}
	}
	if n.replica == nil {
		n.replica = &journal.Replica{Witness: to.Witness()}
	}
	reply, change := n.replica.Handle(m)
	if n.storage != 0 && change.Durable && w.syncFails == n.name() {
		n.replica.Fail()
		return journal.NonVoting{}
	}
	return reply
}

// do performs an action of the program.
func (w *world) do(n *node, a program.Action) {
	switch a := a.(type) {
	case program.Reply:
		w.tell(n, a)
	case program.Place:
		w.place(n, a)
	case program.Dispatch:
		w.dispatch(n, a)
	case program.ReleaseMemory:
		w.release(n, a.Endpoint)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}
