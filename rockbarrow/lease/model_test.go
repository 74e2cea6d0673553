// SPDX-License-Identifier: MIT

package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// The model: control instances vote on configurations by the real rounds, tell each other what they have accepted and
// confirm versions to entry instances, over messages that are delayed, lost and sent twice, while instances are cut
// off, frozen and woken, voters change and operators race. It runs in simulated time.

const (
	modelControl = 7
	modelEntries = 3
	modelVoters  = 3
	// modelBound is the revocation bound of the model.
	modelBound = time.Second
	modelStep  = 10 * time.Millisecond
	modelSteps = 3000
)

// term is a term of the invariant that a run of the model leaves out.
type term int

const (
	nothing term = iota
	// countFromAnswers: an answer of a voter counts from its arrival.
	countFromAnswers
	// oneVoter: one's own vote is enough.
	oneVoter
	// anyNumber: a voter that has accepted something newer counts too.
	anyNumber
	// countFromReplies: a confirmation counts from its arrival.
	countFromReplies
	// withoutAge: the age of what a control instance has heard is left out.
	withoutAge
	// anyTable: the lease does not rest on the table in force.
	anyTable
	// noBound: the lease is longer than the bound.
	noBound
)

var terms = []term{countFromAnswers, oneVoter, anyNumber, countFromReplies, withoutAge, anyTable, noBound}

// message is something that arrives at an instance at a time.
type message struct {
	to   int
	at   time.Time
	take func()
}

type controlModel struct {
	acceptor register.Acceptor
	known    *fleetpb.State
	votes    VoterStates
	round    *register.Round
	began    time.Time
}

type entryModel struct {
	lease Lease
	table uint64
}

type model struct {
	r     *rand.Rand
	out   term
	begun time.Time
	now   time.Time
	queue []message
	// side is where an instance is while there is a cut; frozen is until when it stands still.
	side    []int
	frozen  []time.Time
	control []*controlModel
	entries []*entryModel
	ballots uint64
	// acked is when each version was acknowledged first.
	acked map[uint64]time.Time
	// held counts the checks in which a lease held.
	held int
}

func newModel(seed uint64, out term) *model {
	m := &model{
		r: rand.New(rand.NewPCG(seed, 7)), out: out, begun: time.Now(), acked: map[uint64]time.Time{},
		side: make([]int, modelControl+modelEntries), frozen: make([]time.Time, modelControl+modelEntries),
	}
	m.now = m.begun
	first := &fleetpb.State{Number: 1, Configuration: &fleetpb.Configuration{Version: 1}}
	for i := range modelVoters {
		first.Voters = append(first.Voters, member(i))
	}
	for i := range modelControl {
		c := &controlModel{acceptor: register.Acceptor{Storage: storage(i)}, known: first}
		if i < modelVoters {
			c.acceptor.Restore(&fleetpb.AcceptorRecord{Promised: &fleetpb.Ballot{Round: 1}, Accepted: &fleetpb.Ballot{Round: 1}, State: first})
		}
		m.control = append(m.control, c)
	}
	m.ballots = 1
	within := TTL(modelBound)
	if out == noBound {
		within = 2 * modelBound
	}
	for range modelEntries {
		m.entries = append(m.entries, &entryModel{table: 1, lease: Lease{TTL: within}})
	}
	return m
}

func storage(i int) uint64 { return uint64(i + 1) }

func member(i int) *fleetpb.Member {
	return &fleetpb.Member{Instance: fmt.Sprint("c", i), Storage: storage(i)}
}

// send delivers a message after a drawn time, perhaps twice or never.
func (m *model) send(from, to int, take func()) {
	if m.side[from] != m.side[to] || m.r.IntN(20) == 0 {
		return
	}
	copies := 1
	if m.r.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(m.r.IntN(30)) * time.Millisecond
		if m.r.IntN(10) == 0 {
			delay = time.Duration(m.r.IntN(3000)) * time.Millisecond
		}
		m.queue = append(m.queue, message{to: to, at: m.now.Add(delay), take: take})
	}
}

// run plays the model and returns what was wrong, or "".
func (m *model) run() string {
	for range modelSteps {
		m.now = m.now.Add(modelStep)
		m.disturb()
		m.deliver()
		for i := range m.control {
			if m.runs(i) {
				m.stepControl(i)
			}
		}
		for i := range m.entries {
			if m.runs(modelControl + i) {
				m.stepEntry(i)
			}
		}
		if wrong := m.check(); wrong != "" {
			return wrong
		}
	}
	return ""
}

func (m *model) runs(i int) bool { return !m.now.Before(m.frozen[i]) }

func (m *model) disturb() {
	if m.r.IntN(100) == 0 {
		for i := range m.side {
			m.side[i] = 0
		}
		if m.r.IntN(2) == 0 {
			for i := range m.side {
				m.side[i] = m.r.IntN(2)
			}
		}
	}
	if m.r.IntN(60) == 0 {
		m.frozen[m.r.IntN(len(m.frozen))] = m.now.Add(time.Duration(m.r.IntN(3000)) * time.Millisecond)
	}
}

func (m *model) deliver() {
	due := m.queue
	m.queue = nil
	for _, msg := range due {
		if msg.at.After(m.now) || !m.runs(msg.to) {
			m.queue = append(m.queue, msg)
			continue
		}
		msg.take()
	}
}

// stepControl asks another control instance what it has accepted, and perhaps begins a round.
func (m *model) stepControl(i int) {
	c := m.control[i]
	if m.r.IntN(3) == 0 {
		m.askAccepted(i, m.r.IntN(modelControl))
	}
	if c.round != nil && m.now.Sub(c.began) > 300*time.Millisecond {
		c.round = nil
	}
	if c.round == nil && m.r.IntN(60) == 0 {
		m.begin(i)
	}
}

func (m *model) askAccepted(i, j int) {
	if i == j {
		return
	}
	asked := m.now
	m.send(i, j, func() {
		number, known := m.control[j].acceptor.Record().GetState().GetNumber(), m.control[j].known
		if m.out == anyNumber {
			number = 0
		}
		m.send(j, i, func() {
			if m.out == countFromAnswers {
				asked = m.now
			}
			m.control[i].votes.Record(storage(j), number, asked)
			m.learn(i, known)
		})
	})
}

func (m *model) learn(i int, s *fleetpb.State) {
	if s.GetNumber() > m.control[i].known.GetNumber() {
		m.control[i].known = s
	}
}

// begin starts a round that brings another configuration or other voters into force.
func (m *model) begin(i int) {
	m.ballots++
	c := m.control[i]
	c.round = &register.Round{Ballot: &fleetpb.Ballot{Round: m.ballots, Proposer: storage(i)}, Known: c.known, Change: m.change}
	c.began = m.now
	m.carry(i, c.round, c.round.Handle(register.Begin{}))
}

func (m *model) change(s *fleetpb.State) *fleetpb.State {
	switch {
	case len(s.GetPriorVoters()) > 0:
		s.PriorVoters = nil
	case m.r.IntN(3) == 0:
		s.PriorVoters = s.GetVoters()
		s.Voters = nil
		for _, i := range m.r.Perm(modelControl)[:modelVoters] {
			s.Voters = append(s.Voters, member(i))
		}
	default:
		s.Configuration = &fleetpb.Configuration{Version: s.GetConfiguration().GetVersion() + 1}
	}
	return s
}

func (m *model) carry(i int, round *register.Round, actions []register.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case register.Prepare:
			j := int(a.To.GetStorage()) - 1
			m.carryTo(i, j, round, func() register.Event {
				reply, _ := m.control[j].acceptor.Prepare(a.Request)
				return register.Prepared{From: storage(j), Reply: reply}
			})
		case register.Accept:
			j := int(a.To.GetStorage()) - 1
			m.carryTo(i, j, round, func() register.Event {
				reply, _ := m.control[j].acceptor.Accept(a.Request)
				return register.Accepted{From: storage(j), Reply: reply}
			})
		case register.Chosen:
			m.learn(i, a.State)
			if v := a.State.GetConfiguration().GetVersion(); m.acked[v].IsZero() {
				m.acked[v] = m.now
			}
		}
	}
}

func (m *model) carryTo(i, j int, round *register.Round, handle func() register.Event) {
	back := func(e register.Event) {
		if m.control[i].round == round {
			m.carry(i, round, round.Handle(e))
		}
	}
	if i == j {
		e := handle()
		m.queue = append(m.queue, message{to: i, at: m.now, take: func() { back(e) }})
		return
	}
	m.send(i, j, func() {
		e := handle()
		m.send(j, i, func() { back(e) })
	})
}

// stepEntry asks a control instance for news.
func (m *model) stepEntry(i int) {
	if m.r.IntN(5) != 0 {
		return
	}
	e, from, j, asked := m.entries[i], modelControl+i, m.r.IntN(modelControl), m.now
	m.send(from, j, func() {
		c := m.control[j]
		s := c.known
		c.votes.Record(storage(j), c.acceptor.Record().GetState().GetNumber(), m.now)
		at, ok := c.votes.ConfirmedAt(s)
		if m.out == oneVoter {
			at, ok = m.now, true
		}
		age := m.now.Sub(at)
		m.send(j, from, func() {
			if m.out == countFromReplies {
				asked = m.now
			}
			if m.out == withoutAge {
				age = 0
			}
			version := s.GetConfiguration().GetVersion()
			if m.r.IntN(3) > 0 {
				// A table comes by a message of its own, and may come late.
				e.table = max(e.table, version)
			}
			if m.out == anyTable {
				version = 0
			}
			if ok {
				e.lease.Confirm(version, asked.Add(-age))
			}
		})
	})
}

// check compares what each entry instance would let in with what was acknowledged.
func (m *model) check() string {
	for i, e := range m.entries {
		if !m.runs(modelControl+i) || !e.lease.Valid(m.now, e.table) {
			continue
		}
		m.held++
		for v, at := range m.acked {
			if v > e.table && m.now.Sub(at) > modelBound {
				return fmt.Sprintf("at %v an entry goes by version %d, and %d was acknowledged at %v", m.now.Sub(m.begun), e.table, v, at.Sub(m.begun))
			}
		}
	}
	return ""
}

// modelSeeds are how many schedules are played, and soughtSeeds in how many of them a fault is looked for.
const (
	modelSeeds  = 40
	soughtSeeds = 200
)

// TestNoRevokedKeyOutlivesTheBound plays random schedules.
func TestNoRevokedKeyOutlivesTheBound(t *testing.T) {
	held, acked := 0, 0
	for seed := range uint64(modelSeeds) {
		m := newModel(seed, nothing)
		if wrong := m.run(); wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
		held += m.held
		acked += len(m.acked)
	}
	if checks := modelSeeds * modelSteps * modelEntries; held < checks/10 || acked < modelSeeds {
		t.Errorf("leases held in %d of %d checks, %d versions: the schedules show nothing", held, checks, acked)
	}
}

// TestEachTermIsNeeded: a lease without any one of the terms of the package comment lets a revoked key in.
func TestEachTermIsNeeded(t *testing.T) {
	for _, out := range terms {
		found := slices.ContainsFunc(make([]struct{}, soughtSeeds), func() func(struct{}) bool {
			seed := uint64(0)
			return func(struct{}) bool { seed++; return newModel(seed, out).run() != "" }
		}())
		if !found {
			t.Errorf("term %d can be left out in %d schedules", out, soughtSeeds)
		}
	}
}
