// SPDX-License-Identifier: MIT

package register

import "rockbarrow.dev/schema/fleetpb"

// Change returns the value that follows s, or nil to leave s unchanged. It receives its own copy,
// which is empty with number zero before the initial value.
type Change func(s *fleetpb.State) *fleetpb.State

// InitialState returns the change that creates the initial value with the given voters. A majority
// of the seeds is required in addition until the first change of voters: concurrently proposed
// initial values may have different voters, but they share the seeds.
func InitialState(voters, seeds []*fleetpb.Member) Change {
	return func(s *fleetpb.State) *fleetpb.State {
		if s.GetNumber() > 0 {
			return nil
		}
		s.Voters, s.PriorVoters = voters, seeds
		return s
	}
}

// Event is an input of a round: [Begin], [Prepared] or [Accepted].
type Event interface{ event() }

// Begin starts the round.
type Begin struct{}

// Prepared is an acceptor's reply to a [Prepare].
type Prepared struct {
	From  uint64
	Reply *fleetpb.PrepareReply
}

// Accepted is an acceptor's reply to an [Accept].
type Accepted struct {
	From  uint64
	Reply *fleetpb.AcceptReply
}

func (Begin) event()    {}
func (Prepared) event() {}
func (Accepted) event() {}

// Action is an output of a round: [Prepare], [Accept], [Chosen] or [Preempted].
type Action interface{ action() }

// Prepare requests that a prepare request be sent to an acceptor.
type Prepare struct {
	To      *fleetpb.Member
	Request *fleetpb.PrepareRequest
}

// Accept requests that an accept request be sent to an acceptor.
type Accept struct {
	To      *fleetpb.Member
	Request *fleetpb.AcceptRequest
}

// Chosen reports the chosen value and ends the round.
type Chosen struct{ State *fleetpb.State }

// Preempted reports a newer ballot and ends the round. If Proposed is true, the value may still be
// chosen.
type Preempted struct {
	By       *fleetpb.Ballot
	Proposed bool
}

func (Prepare) action()   {}
func (Accept) action()    {}
func (Chosen) action()    {}
func (Preempted) action() {}

// Round is one attempt to change the value under one ballot.
type Round struct {
	// Ballot must not be used by any other round.
	Ballot *fleetpb.Ballot
	// Known is a value whose voters are asked first. It may be outdated.
	Known *fleetpb.State
	// Seeds are the members at the addresses at which the initial value is voted on, used if no
	// value is known. A member that was not heard has no storage.
	Seeds []*fleetpb.Member
	// Change computes the next value. A round without a change is a read.
	Change Change

	// prepareSent holds the acceptors that were sent a prepare request.
	prepareSent []*fleetpb.Member
	// acceptedBallots holds the accepted ballot of each acceptor that promised.
	acceptedBallots map[uint64]*fleetpb.Ballot
	// founders holds the acceptors that promised and are founders.
	founders map[uint64]bool
	// newest is the accepted value with the highest ballot received, newestBallot.
	newest       *fleetpb.State
	newestBallot *fleetpb.Ballot
	// proposed is the value sent in accept requests, or nil before.
	proposed *fleetpb.State
	accepted map[uint64]bool
	done     bool
}

// Handle processes an event and returns the resulting actions.
func (r *Round) Handle(e Event) []Action {
	if r.done {
		return nil
	}
	switch e := e.(type) {
	case Begin:
		r.acceptedBallots, r.founders, r.accepted = map[uint64]*fleetpb.Ballot{}, map[uint64]bool{}, map[uint64]bool{}
		return r.sendPrepares()
	case Prepared:
		return r.handlePrepared(e)
	case Accepted:
		return r.handleAccepted(e)
	}
	return nil
}

// quorumSets returns the sets of voters that must each have a majority for a value.
func quorumSets(s *fleetpb.State) [][]*fleetpb.Member {
	if len(s.GetPriorVoters()) == 0 {
		return [][]*fleetpb.Member{s.GetVoters()}
	}
	return [][]*fleetpb.Member{s.GetVoters(), s.GetPriorVoters()}
}

// voterSets returns the sets of voters according to the newest known value.
func (r *Round) voterSets() [][]*fleetpb.Member {
	switch {
	case r.newest != nil:
		return quorumSets(r.newest)
	case r.Known != nil:
		return quorumSets(r.Known)
	}
	return [][]*fleetpb.Member{r.Seeds}
}

// hasQuorum reports whether the acceptors for which has returns true form a quorum.
func (r *Round) hasQuorum(has func(uint64) bool) bool {
	if r.newest != nil || r.Known != nil {
		return hasMajorities(r.voterSets(), has)
	}
	return r.hasInitialQuorum(has)
}

// hasInitialQuorum reports whether acceptors form a quorum for the initial value: either founders
// at a majority of the seeds' addresses or any storages at all of them. See the package
// documentation.
func (r *Round) hasInitialQuorum(has func(uint64) bool) bool {
	all, founders := 0, 0
	for _, m := range r.Seeds {
		if m.GetStorage() == 0 || !has(m.GetStorage()) {
			continue
		}
		all++
		if r.founders[m.GetStorage()] {
			founders++
		}
	}
	return 2*founders > len(r.Seeds) || all == len(r.Seeds)
}

// sendPrepares sends prepare requests to the voters that have not received one.
func (r *Round) sendPrepares() []Action {
	var out []Action
	for _, set := range r.voterSets() {
		for _, m := range set {
			if m.GetStorage() == 0 || ContainsStorage(r.prepareSent, m.GetStorage()) {
				continue
			}
			r.prepareSent = append(r.prepareSent, m)
			out = append(out, Prepare{To: m, Request: &fleetpb.PrepareRequest{
				Ballot: r.Ballot, Acceptor: m.GetStorage(), Seeds: r.seedAddresses(),
			}})
		}
	}
	return out
}

// seedAddresses returns the addresses of the seeds if the round concerns the initial value.
func (r *Round) seedAddresses() []string {
	if r.Known != nil {
		return nil
	}
	return Addresses(r.Seeds)
}

func (r *Round) handlePrepared(e Prepared) []Action {
	if r.proposed != nil || e.Reply.GetSilent() {
		return nil
	}
	if !e.Reply.GetGranted() {
		return r.preempt(e.Reply.GetPromised())
	}
	r.acceptedBallots[e.From] = e.Reply.GetAccepted()
	r.founders[e.From] = e.Reply.GetFounder()
	if e.Reply.GetState() != nil && (r.newest == nil || CompareBallots(e.Reply.GetAccepted(), r.newestBallot) > 0) {
		r.newest, r.newestBallot = e.Reply.GetState(), e.Reply.GetAccepted()
	}
	// The newer value may name voters that were not asked yet.
	if more := r.sendPrepares(); len(more) > 0 {
		return more
	}
	if !r.hasQuorum(func(id uint64) bool { _, ok := r.acceptedBallots[id]; return ok }) {
		return nil
	}
	return r.propose()
}

// propose applies the change to the newest value and sends the result to the voters of both values.
func (r *Round) propose() []Action {
	current := r.newest
	if current == nil {
		current = &fleetpb.State{}
	}
	next := r.nextState(current)
	if next == nil {
		if r.newestIsChosen() {
			return r.choose(r.newest)
		}
		if r.newest == nil {
			r.done = true
			return []Action{Chosen{State: current}}
		}
		next = r.newest
	}
	// Complete an unfinished value before changing voters: its voter sets are not valid until it is
	// chosen. The change is then left to another round.
	if r.newest != nil && !r.newestIsChosen() && !sameVoters(next, r.newest) {
		next = r.newest
	}
	voterSets := append(r.voterSets(), quorumSets(next)...)
	r.proposed = next
	var out []Action
	var sent []*fleetpb.Member
	for _, set := range voterSets {
		for _, m := range set {
			if m.GetStorage() == 0 || ContainsStorage(sent, m.GetStorage()) {
				continue
			}
			sent = append(sent, m)
			out = append(out, Accept{To: m, Request: &fleetpb.AcceptRequest{
				Ballot: r.Ballot, Acceptor: m.GetStorage(), State: next,
			}})
		}
	}
	return out
}

func (r *Round) nextState(current *fleetpb.State) *fleetpb.State {
	if r.Change == nil {
		return nil
	}
	next := r.Change(CloneState(current))
	if next != nil {
		next.Number = current.GetNumber() + 1
	}
	return next
}

// newestIsChosen reports whether the promises prove that the newest value is chosen under its
// ballot.
func (r *Round) newestIsChosen() bool {
	return r.newest != nil && hasMajorities(quorumSets(r.newest), func(id uint64) bool {
		b, ok := r.acceptedBallots[id]
		return ok && CompareBallots(b, r.newestBallot) == 0
	})
}

func (r *Round) handleAccepted(e Accepted) []Action {
	if r.proposed == nil || e.Reply.GetSilent() {
		return nil
	}
	if !e.Reply.GetGranted() {
		return r.preempt(e.Reply.GetPromised())
	}
	r.accepted[e.From] = true
	has := func(id uint64) bool { return r.accepted[id] }
	if !r.hasQuorum(has) || !hasMajorities(quorumSets(r.proposed), has) {
		return nil
	}
	return r.choose(r.proposed)
}

func (r *Round) choose(s *fleetpb.State) []Action {
	r.done = true
	return []Action{Chosen{State: s}}
}

func (r *Round) preempt(by *fleetpb.Ballot) []Action {
	r.done = true
	return []Action{Preempted{By: by, Proposed: r.proposed != nil}}
}

// sameVoters reports whether two values have the same voters and prior voters.
func sameVoters(a, b *fleetpb.State) bool {
	return SameMembers(a.GetVoters(), b.GetVoters()) && SameMembers(a.GetPriorVoters(), b.GetPriorVoters())
}

// hasMajorities reports whether has returns true for more than half of each set.
func hasMajorities(sets [][]*fleetpb.Member, has func(uint64) bool) bool {
	for _, set := range sets {
		n := 0
		for _, m := range set {
			if has(m.GetStorage()) {
				n++
			}
		}
		if 2*n <= len(set) {
			return false
		}
	}
	return true
}
