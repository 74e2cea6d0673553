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

// The model simulates control instances that agree on configurations by the register package, exchange the numbers of
// accepted states, and confirm versions to entry instances. Messages are delayed, lost and duplicated, instances are
// partitioned and suspended, voters change, and proposals are concurrent.

const (
	modelControl = 7
	modelEntries = 3
	modelVoters  = 3
	// modelBound is the revocation bound of the model.
	modelBound = time.Second
	modelStep  = 10 * time.Millisecond
	modelSteps = 3000
)

// mutation is a deliberate violation of one condition in the package comment.
type mutation int

const (
	noMutation mutation = iota
	// countFromVoterReply: a voter's reply is valid as of its arrival.
	countFromVoterReply
	// oneVoter: a single voter suffices.
	oneVoter
	// anyNumber: voters that have accepted a newer state count, too.
	anyNumber
	// countFromConfirmation: a confirmation is valid as of its arrival.
	countFromConfirmation
	// withoutAge: the age of the voters' replies is ignored.
	withoutAge
	// anyTable: the lease does not depend on the table version.
	anyTable
	// longLease: the lease is longer than the revocation bound.
	longLease
)

var mutations = []mutation{countFromVoterReply, oneVoter, anyNumber, countFromConfirmation, withoutAge, anyTable, longLease}

// message is delivered to an instance at a time.
type message struct {
	to      int
	at      time.Time
	deliver func()
}

type controlModel struct {
	acceptor register.Acceptor
	known    *fleetpb.State
	voters   VoterStates
	round    *register.Round
	started  time.Time
}

type entryModel struct {
	lease Lease
	table uint64
}

type model struct {
	r        *rand.Rand
	mutation mutation
	started  time.Time
	now      time.Time
	queue    []message
	// partition is the side of each instance during a network partition.
	partition []int
	// suspendedUntil is when each instance runs again.
	suspendedUntil []time.Time
	control        []*controlModel
	entries        []*entryModel
	ballots        uint64
	// acked is when each version was first acknowledged.
	acked map[uint64]time.Time
	// valid counts the checks in which a lease was valid.
	valid int
}

func newModel(seed uint64, mut mutation) *model {
	m := &model{
		r: rand.New(rand.NewPCG(seed, 7)), mutation: mut, started: time.Now(), acked: map[uint64]time.Time{},
		partition: make([]int, modelControl+modelEntries), suspendedUntil: make([]time.Time, modelControl+modelEntries),
	}
	m.now = m.started
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
	ttl := TTL(modelBound)
	if mut == longLease {
		ttl = 2 * modelBound
	}
	for range modelEntries {
		m.entries = append(m.entries, &entryModel{table: 1, lease: Lease{TTL: ttl}})
	}
	return m
}

func storage(i int) uint64 { return uint64(i + 1) }

func member(i int) *fleetpb.Member {
	return &fleetpb.Member{Instance: fmt.Sprint("c", i), Storage: storage(i)}
}

// send delivers a message after a random delay, and may lose or duplicate it.
func (m *model) send(from, to int, deliver func()) {
	if m.partition[from] != m.partition[to] || m.r.IntN(20) == 0 {
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
		m.queue = append(m.queue, message{to: to, at: m.now.Add(delay), deliver: deliver})
	}
}

// run runs the simulation. It returns a description of the first violation, or "".
func (m *model) run() string {
	for range modelSteps {
		m.now = m.now.Add(modelStep)
		m.injectFaults()
		m.deliver()
		for i := range m.control {
			if m.isRunning(i) {
				m.stepControl(i)
			}
		}
		for i := range m.entries {
			if m.isRunning(modelControl + i) {
				m.stepEntry(i)
			}
		}
		if violation := m.check(); violation != "" {
			return violation
		}
	}
	return ""
}

func (m *model) isRunning(i int) bool { return !m.now.Before(m.suspendedUntil[i]) }

// injectFaults randomly starts and ends network partitions, and suspends instances.
func (m *model) injectFaults() {
	if m.r.IntN(100) == 0 {
		for i := range m.partition {
			m.partition[i] = 0
		}
		if m.r.IntN(2) == 0 {
			for i := range m.partition {
				m.partition[i] = m.r.IntN(2)
			}
		}
	}
	if m.r.IntN(60) == 0 {
		m.suspendedUntil[m.r.IntN(len(m.suspendedUntil))] = m.now.Add(time.Duration(m.r.IntN(3000)) * time.Millisecond)
	}
}

func (m *model) deliver() {
	due := m.queue
	m.queue = nil
	for _, msg := range due {
		if msg.at.After(m.now) || !m.isRunning(msg.to) {
			m.queue = append(m.queue, msg)
			continue
		}
		msg.deliver()
	}
}

// stepControl may ask another control instance for its accepted state, and may start a round.
func (m *model) stepControl(i int) {
	c := m.control[i]
	if m.r.IntN(3) == 0 {
		m.askAccepted(i, m.r.IntN(modelControl))
	}
	if c.round != nil && m.now.Sub(c.started) > 300*time.Millisecond {
		c.round = nil
	}
	if c.round == nil && m.r.IntN(60) == 0 {
		m.startRound(i)
	}
}

func (m *model) askAccepted(i, j int) {
	if i == j {
		return
	}
	askedAt := m.now
	m.send(i, j, func() {
		number, known := m.control[j].acceptor.Record().GetState().GetNumber(), m.control[j].known
		if m.mutation == anyNumber {
			number = 0
		}
		m.send(j, i, func() {
			if m.mutation == countFromVoterReply {
				askedAt = m.now
			}
			m.control[i].voters.Record(storage(j), number, askedAt)
			m.learn(i, known)
		})
	})
}

func (m *model) learn(i int, s *fleetpb.State) {
	if s.GetNumber() > m.control[i].known.GetNumber() {
		m.control[i].known = s
	}
}

// startRound starts a round that changes the configuration or the voters.
func (m *model) startRound(i int) {
	m.ballots++
	c := m.control[i]
	c.round = &register.Round{Ballot: &fleetpb.Ballot{Round: m.ballots, Proposer: storage(i)}, Known: c.known, Change: m.change}
	c.started = m.now
	m.perform(i, c.round, c.round.Handle(register.Begin{}))
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

func (m *model) perform(i int, round *register.Round, actions []register.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case register.Prepare:
			j := int(a.To.GetStorage()) - 1
			m.call(i, j, round, func() register.Event {
				reply, _ := m.control[j].acceptor.Prepare(a.Request)
				return register.Prepared{From: storage(j), Reply: reply}
			})
		case register.Accept:
			j := int(a.To.GetStorage()) - 1
			m.call(i, j, round, func() register.Event {
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

// call runs handle at control instance j and passes the resulting event to the round at i.
func (m *model) call(i, j int, round *register.Round, handle func() register.Event) {
	reply := func(e register.Event) {
		if m.control[i].round == round {
			m.perform(i, round, round.Handle(e))
		}
	}
	if i == j {
		e := handle()
		m.queue = append(m.queue, message{to: i, at: m.now, deliver: func() { reply(e) }})
		return
	}
	m.send(i, j, func() {
		e := handle()
		m.send(j, i, func() { reply(e) })
	})
}

// stepEntry may ask a control instance for updates.
func (m *model) stepEntry(i int) {
	if m.r.IntN(5) != 0 {
		return
	}
	e, from, j, askedAt := m.entries[i], modelControl+i, m.r.IntN(modelControl), m.now
	m.send(from, j, func() {
		c := m.control[j]
		s := c.known
		c.voters.Record(storage(j), c.acceptor.Record().GetState().GetNumber(), m.now)
		at, ok := c.voters.ConfirmedAt(s)
		if m.mutation == oneVoter {
			at, ok = m.now, true
		}
		age := m.now.Sub(at)
		m.send(j, from, func() {
			if m.mutation == countFromConfirmation {
				askedAt = m.now
			}
			if m.mutation == withoutAge {
				age = 0
			}
			version := s.GetConfiguration().GetVersion()
			if m.r.IntN(3) > 0 {
				// Tables are sent separately and may arrive later.
				e.table = max(e.table, version)
			}
			if m.mutation == anyTable {
				version = 0
			}
			if ok {
				e.lease.Confirm(version, askedAt.Add(-age))
			}
		})
	})
}

// check verifies that no entry instance with a valid lease uses a table that was superseded longer than the bound ago.
func (m *model) check() string {
	for i, e := range m.entries {
		if !m.isRunning(modelControl+i) || !e.lease.Valid(m.now, e.table) {
			continue
		}
		m.valid++
		for v, at := range m.acked {
			if v > e.table && m.now.Sub(at) > modelBound {
				return fmt.Sprintf("at %v an entry instance uses version %d, and %d was acknowledged at %v", m.now.Sub(m.started), e.table, v, at.Sub(m.started))
			}
		}
	}
	return ""
}

const (
	// modelSeeds is the number of schedules of the unmodified model.
	modelSeeds = 40
	// mutationSeeds is the largest number of schedules until a mutation is detected.
	mutationSeeds = 200
)

// No random schedule may lead to a revoked key in use after the revocation bound.
func TestNoRevokedKeyOutlivesTheBound(t *testing.T) {
	valid, acked := 0, 0
	for seed := range uint64(modelSeeds) {
		m := newModel(seed, noMutation)
		if violation := m.run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		valid += m.valid
		acked += len(m.acked)
	}
	if checks := modelSeeds * modelSteps * modelEntries; valid < checks/10 || acked < modelSeeds {
		t.Errorf("leases were valid in %d of %d checks, with %d versions: too few for the test to be meaningful", valid, checks, acked)
	}
}

// Each condition in the package comment is necessary: without it, the model finds a violation.
func TestEachConditionIsNecessary(t *testing.T) {
	for _, mut := range mutations {
		found := slices.ContainsFunc(make([]struct{}, mutationSeeds), func() func(struct{}) bool {
			seed := uint64(0)
			return func(struct{}) bool { seed++; return newModel(seed, mut).run() != "" }
		}())
		if !found {
			t.Errorf("mutation %d caused no violation in %d schedules", mut, mutationSeeds)
		}
	}
}
