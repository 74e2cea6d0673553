// SPDX-License-Identifier: MIT

package register

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// model runs rounds of several proposers with lost, delayed and reordered messages, and checks that
// the chosen values form a single history.
type model struct {
	t         testing.TB
	rng       *rand.Rand
	acceptors map[uint64]*Acceptor
	// pending holds the messages in flight.
	pending []func()
	// chosen holds the chosen value of each number.
	chosen map[uint64]string
	known  map[uint64]*fleetpb.State
	rounds uint64
	// initial are the first voters, at the addresses of the seeds.
	initial []*fleetpb.Member
}

func member(storage uint64) *fleetpb.Member {
	return &fleetpb.Member{Instance: fmt.Sprint("control-", storage), Storage: storage, Address: fmt.Sprint("address-", storage)}
}

func newModel(t testing.TB, seed uint64, n int) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 1)), acceptors: map[uint64]*Acceptor{}, chosen: map[uint64]string{}, known: map[uint64]*fleetpb.State{}}
	for i := range uint64(n) {
		m.acceptors[i+1] = &Acceptor{Storage: i + 1, Founder: true, FaultTolerance: 1}
		if i < 3 {
			m.initial = append(m.initial, member(i+1))
		}
	}
	for _, a := range m.acceptors {
		a.Seeds = Addresses(m.initial)
	}
	return m
}

// propose starts a round.
func (m *model) propose(by uint64, change Change) { m.proposeFrom(by, m.known[by], m.initial, change) }

func (m *model) proposeFrom(by uint64, known *fleetpb.State, seeds []*fleetpb.Member, change Change) {
	m.rounds++
	r := &Round{Ballot: &fleetpb.Ballot{Round: m.rounds, Proposer: by}, Known: known, Seeds: seeds, Change: change}
	m.perform(by, r, r.Handle(Begin{}))
}

func (m *model) perform(by uint64, r *Round, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Prepare:
			m.send(func() {
				acceptor := m.acceptors[a.To.GetStorage()]
				if acceptor == nil {
					return
				}
				reply, _ := acceptor.Prepare(a.Request)
				m.send(func() { m.perform(by, r, r.Handle(Prepared{From: a.To.GetStorage(), Reply: reply})) })
			})
		case Accept:
			m.send(func() {
				acceptor := m.acceptors[a.To.GetStorage()]
				if acceptor == nil {
					return
				}
				reply, _ := acceptor.Accept(a.Request)
				m.send(func() { m.perform(by, r, r.Handle(Accepted{From: a.To.GetStorage(), Reply: reply})) })
			})
		case Chosen:
			m.check(a.State)
			if a.State.GetNumber() > m.known[by].GetNumber() {
				m.known[by] = a.State
			}
		}
	}
}

// send queues a message; one in eight is lost.
func (m *model) send(deliver func()) {
	if m.rng.IntN(8) > 0 {
		m.pending = append(m.pending, deliver)
	}
}

// deliver delivers a random message.
func (m *model) deliver() {
	if len(m.pending) == 0 {
		return
	}
	i := m.rng.IntN(len(m.pending))
	f := m.pending[i]
	m.pending[i] = m.pending[len(m.pending)-1]
	m.pending = m.pending[:len(m.pending)-1]
	f()
}

func (m *model) check(s *fleetpb.State) {
	if s.GetNumber() == 0 {
		return
	}
	v := fmt.Sprintf("%d %s by %v", s.GetConfiguration().GetVersion(), s.GetConfiguration().GetDocument(), s.GetVoters())
	if old, ok := m.chosen[s.GetNumber()]; ok && old != v {
		m.t.Fatalf("number %d was chosen as %q and as %q", s.GetNumber(), old, v)
	}
	m.chosen[s.GetNumber()] = v
}

// initialize returns a change that writes the initial value.
func initialize(initial []*fleetpb.Member) Change {
	return func(s *fleetpb.State) *fleetpb.State {
		if s.GetNumber() > 0 {
			return nil
		}
		s.Voters = initial
		return s
	}
}

func putConfiguration(version uint64, document string) Change {
	return func(s *fleetpb.State) *fleetpb.State {
		if s.GetNumber() == 0 || version <= s.GetConfiguration().GetVersion() {
			return nil
		}
		s.Configuration = &fleetpb.Configuration{Version: version, Document: []byte(document)}
		return s
	}
}

// replaceVoter returns a change that replaces a voter in two steps.
func replaceVoter(old, new uint64) Change {
	return func(s *fleetpb.State) *fleetpb.State {
		if len(s.GetPriorVoters()) > 0 {
			s.PriorVoters = nil
			return s
		}
		if s.GetNumber() == 0 || !ContainsStorage(s.GetVoters(), old) || ContainsStorage(s.GetVoters(), new) {
			return nil
		}
		s.PriorVoters = s.GetVoters()
		var voters []*fleetpb.Member
		for _, v := range s.GetVoters() {
			if v.GetStorage() != old {
				voters = append(voters, v)
			}
		}
		s.Voters = append(voters, member(new))
		return s
	}
}

func TestChosenValuesFormOneLine(t *testing.T) {
	for seed := range uint64(1500) {
		m := newModel(t, seed, 5)
		m.known[4], m.known[5] = nil, nil
		for range 400 {
			switch by := 1 + m.rng.Uint64N(3); m.rng.IntN(30) {
			case 0:
				m.propose(by, initialize(m.initial))
			case 1, 2:
				version := 1 + m.rng.Uint64N(6)
				m.propose(by, putConfiguration(version, fmt.Sprint("by ", by, " ", m.rounds)))
			case 3:
				m.propose(by, replaceVoter(1+m.rng.Uint64N(5), 1+m.rng.Uint64N(5)))
			case 5:
				// An instance that has just started knows only its own disk.
				by = 1 + m.rng.Uint64N(5)
				m.proposeFrom(by, m.acceptors[by].Record().GetState(), m.initial, replaceVoter(1+m.rng.Uint64N(5), 1+m.rng.Uint64N(5)))
			case 4:
				m.propose(by, nil)
			default:
				m.deliver()
			}
		}
	}
}

func TestTwoContentsOfOneVersionHaveOneWinner(t *testing.T) {
	m := newModel(t, 7, 3)
	m.rng = rand.New(rand.NewPCG(3, 3))
	settle := func() {
		for len(m.pending) > 0 {
			m.deliver()
		}
	}
	for range 10 {
		m.propose(1, initialize(m.initial))
		settle()
	}
	for i := range 20 {
		m.propose(1, putConfiguration(7, "first"))
		m.propose(2, putConfiguration(7, "second"))
		settle()
		m.propose(uint64(i%3+1), nil)
		settle()
	}
	winner := ""
	for _, s := range m.known {
		if v := string(s.GetConfiguration().GetDocument()); v != "" {
			if winner != "" && v != winner {
				t.Errorf("%q and %q were both chosen", winner, v)
			}
			winner = v
		}
	}
	if winner == "" {
		t.Error("no configuration was chosen")
	}
}

func TestAcceptorRejectsRequestsForOtherStorage(t *testing.T) {
	a := &Acceptor{Storage: 9}
	reply, changed := a.Prepare(&fleetpb.PrepareRequest{Ballot: &fleetpb.Ballot{Round: 1}, Acceptor: 1})
	if !reply.GetSilent() || changed {
		t.Error("a storage voted on behalf of an earlier one")
	}
	// A storage that is no founder may vote on the initial value only if the tolerated losses
	// permit it, and must not claim to be a founder.
	a.Seeds = []string{"x", "y", "z"}
	founding := func(round uint64) *fleetpb.PrepareRequest {
		return &fleetpb.PrepareRequest{Ballot: &fleetpb.Ballot{Round: round}, Acceptor: 9, Seeds: a.Seeds}
	}
	if reply, _ := a.Prepare(founding(1)); !reply.GetGranted() || reply.GetFounder() {
		t.Errorf("%v, want a promise without founder status", reply)
	}
	a.FaultTolerance = 2
	if reply, _ := a.Prepare(founding(2)); !reply.GetSilent() {
		t.Error("a storage that is no founder voted although two of three may have been lost")
	}
}

func TestAFounderVotesAboutOneListOfSeeds(t *testing.T) {
	a := &Acceptor{Storage: 1, Founder: true, Seeds: []string{"x", "y", "z"}, FaultTolerance: 1}
	ask := func(round uint64, seeds ...string) bool {
		reply, _ := a.Prepare(&fleetpb.PrepareRequest{Ballot: &fleetpb.Ballot{Round: round}, Acceptor: 1, Seeds: seeds})
		return reply.GetGranted()
	}
	if !ask(1, "x", "y", "z") || !ask(2, "x", "y", "z") {
		t.Fatal("a request with the configured seeds was rejected")
	}
	if ask(3, "x", "y", "w") || ask(4, "x", "y") {
		t.Error("a request with different seeds was granted")
	}
	if !a.MarkFormed() || a.MarkFormed() {
		t.Error("MarkFormed must report a change exactly once")
	}
	if ask(5, "x", "y", "z") {
		t.Error("a storage that knows of a deployment voted on an initial value")
	}
}

// A majority of the new voters alone must not be enough to choose a change of voters.
func TestAChangeOfVotersNeedsBothSets(t *testing.T) {
	m := newModel(t, 1, 4)
	base := &fleetpb.State{Number: 1, Voters: m.initial}
	first := &fleetpb.Ballot{Round: 1, Proposer: 1}
	for _, v := range m.initial {
		m.acceptors[v.GetStorage()].Accept(&fleetpb.AcceptRequest{Ballot: first, Acceptor: v.GetStorage(), State: base})
	}
	r := &Round{Ballot: &fleetpb.Ballot{Round: 2, Proposer: 1}, Known: base, Change: replaceVoter(3, 4)}
	var accepts []Accept
	for _, a := range r.Handle(Begin{}) {
		p := a.(Prepare)
		reply, _ := m.acceptors[p.To.GetStorage()].Prepare(p.Request)
		for _, next := range r.Handle(Prepared{From: p.To.GetStorage(), Reply: reply}) {
			accepts = append(accepts, next.(Accept))
		}
	}
	asked := map[uint64]bool{}
	for _, a := range accepts {
		asked[a.To.GetStorage()] = true
		if s := a.To.GetStorage(); s != 2 && s != 4 {
			continue
		}
		reply, _ := m.acceptors[a.To.GetStorage()].Accept(a.Request)
		if out := r.Handle(Accepted{From: a.To.GetStorage(), Reply: reply}); len(out) > 0 {
			t.Errorf("chosen by a majority of the new voters alone: %v", out)
		}
	}
	if len(asked) != 4 {
		t.Errorf("%d acceptors received the proposal, want those of both sets", len(asked))
	}
}

// Clones are frequent and must not copy the configuration document.
func TestCloneStateSharesConfiguration(t *testing.T) {
	s := &fleetpb.State{
		Number: 3, Configuration: &fleetpb.Configuration{Version: 2, Document: []byte("large")}, Retired: []string{"a"},
		Voters: []*fleetpb.Member{{Instance: "v"}}, PriorVoters: []*fleetpb.Member{{Instance: "p"}}, View: &fleetpb.View{Epoch: 4},
	}
	c := CloneState(s)
	if !proto.Equal(c, s) {
		t.Errorf("clone %v differs from %v", c, s)
	}
	if c.GetConfiguration() != s.GetConfiguration() {
		t.Error("the configuration was copied")
	}
	c.View.Epoch, c.Voters[0].Instance, c.Retired[0] = 9, "x", "x"
	if s.GetView().GetEpoch() != 4 || s.GetVoters()[0].GetInstance() != "v" || s.GetRetired()[0] != "a" {
		t.Error("changing the clone changed the original")
	}
}
