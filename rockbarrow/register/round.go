// SPDX-License-Identifier: MIT

package register

import "rockbarrow.dev/schema/fleetpb"

// Change returns the value that follows s, or nil if s is to stay as it is. It
// gets a copy of its own; s is empty, with number zero, before the first value.
type Change func(s *fleetpb.State) *fleetpb.State

// First returns the change that makes the first value, with voters that were heard. Until the first move of
// voters a majority at the seeds' addresses counts beside them: two first values that are proposed at once
// may have other voters, and only the seeds are the same for both.
func InitialState(voters, seeds []*fleetpb.Member) Change {
	return func(s *fleetpb.State) *fleetpb.State {
		if s.GetNumber() > 0 {
			return nil
		}
		s.Voters, s.PriorVoters = voters, seeds
		return s
	}
}

// Event is what a round handles: [Begin], [Prepared] or [Accepted].
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

// Action is what a round wants done: [Prepare], [Accept], [Chosen] or [Lost].
type Action interface{ action() }

// Prepare carries a request to an acceptor.
type Prepare struct {
	To      *fleetpb.Member
	Request *fleetpb.PrepareRequest
}

// Accept carries a request to an acceptor.
type Accept struct {
	To      *fleetpb.Member
	Request *fleetpb.AcceptRequest
}

// Chosen says that a value is the register's; it ends the round.
type Chosen struct{ State *fleetpb.State }

// Lost says that a newer ballot was met; it ends the round. The value may come
// to be chosen all the same if Proposed is true.
type Preempted struct {
	By       *fleetpb.Ballot
	Proposed bool
}

func (Prepare) action()   {}
func (Accept) action()    {}
func (Chosen) action()    {}
func (Preempted) action() {}

// Round is one change of the register under one ballot.
type Round struct {
	// Ballot is used by this round only.
	Ballot *fleetpb.Ballot
	// Known is a value whose voters are asked first; it may be outdated.
	Known *fleetpb.State
	// Seeds is used if no value is known: who answers at each address where the first value is
	// voted on. One whom nobody has heard has no storage.
	Seeds []*fleetpb.Member
	// Change makes the next value. A round without one reads.
	Change Change

	// asked holds the acceptors that a prepare went to.
	asked []*fleetpb.Member
	// promised holds the accepted ballot of each acceptor that granted.
	promised map[uint64]*fleetpb.Ballot
	// founders holds those of them whose storage is that of the very first start.
	founders map[uint64]bool
	// best is the newest accepted value met, under bestBallot.
	best       *fleetpb.State
	bestBallot *fleetpb.Ballot
	// proposed is the value sent in accepts, nil before.
	proposed *fleetpb.State
	accepted map[uint64]bool
	done     bool
}

// Handle takes one event.
func (r *Round) Handle(e Event) []Action {
	if r.done {
		return nil
	}
	switch e := e.(type) {
	case Begin:
		r.promised, r.founders, r.accepted = map[uint64]*fleetpb.Ballot{}, map[uint64]bool{}, map[uint64]bool{}
		return r.prepare()
	case Prepared:
		return r.prepared(e)
	case Accepted:
		return r.acceptedBy(e)
	}
	return nil
}

// sets returns the sets of voters that a value needs majorities of.
func sets(s *fleetpb.State) [][]*fleetpb.Member {
	if len(s.GetPriorVoters()) == 0 {
		return [][]*fleetpb.Member{s.GetVoters()}
	}
	return [][]*fleetpb.Member{s.GetVoters(), s.GetPriorVoters()}
}

// electorate returns the sets that count under what has been met so far.
func (r *Round) electorate() [][]*fleetpb.Member {
	switch {
	case r.best != nil:
		return sets(r.best)
	case r.Known != nil:
		return sets(r.Known)
	}
	return [][]*fleetpb.Member{r.Seeds}
}

// suffice reports whether the acceptors that have a property are enough under what has been met so far.
func (r *Round) suffice(has func(uint64) bool) bool {
	if r.best != nil || r.Known != nil {
		return majorities(r.electorate(), has)
	}
	return r.mayFound(has)
}

// mayFound reports whether acceptors are enough for the first value: founders at most of the seeds'
// addresses, or, if too many have lost what they were, someone at each of them. See the package comment.
func (r *Round) mayFound(has func(uint64) bool) bool {
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

// prepare asks the voters that were not asked yet.
func (r *Round) prepare() []Action {
	var out []Action
	for _, set := range r.electorate() {
		for _, m := range set {
			if m.GetStorage() == 0 || ContainsStorage(r.asked, m.GetStorage()) {
				continue
			}
			r.asked = append(r.asked, m)
			out = append(out, Prepare{To: m, Request: &fleetpb.PrepareRequest{
				Ballot: r.Ballot, Acceptor: m.GetStorage(), Seeds: r.seeds(),
			}})
		}
	}
	return out
}

// seeds returns the seeds' addresses, if the round is about the first value.
func (r *Round) seeds() []string {
	if r.Known != nil {
		return nil
	}
	return Addresses(r.Seeds)
}

func (r *Round) prepared(e Prepared) []Action {
	if r.proposed != nil || e.Reply.GetSilent() {
		return nil
	}
	if !e.Reply.GetGranted() {
		return r.lost(e.Reply.GetPromised())
	}
	r.promised[e.From] = e.Reply.GetAccepted()
	r.founders[e.From] = e.Reply.GetFounder()
	if e.Reply.GetState() != nil && (r.best == nil || CompareBallots(e.Reply.GetAccepted(), r.bestBallot) > 0) {
		r.best, r.bestBallot = e.Reply.GetState(), e.Reply.GetAccepted()
	}
	// A newer value may name voters that were not asked yet.
	if more := r.prepare(); len(more) > 0 {
		return more
	}
	if !r.suffice(func(id uint64) bool { _, ok := r.promised[id]; return ok }) {
		return nil
	}
	return r.propose()
}

// propose applies the change to the newest value and sends it to the voters of
// both the old and the new value.
func (r *Round) propose() []Action {
	current := r.best
	if current == nil {
		current = &fleetpb.State{}
	}
	next := r.change(current)
	if next == nil {
		if r.chosenAlready() {
			return r.chosen(r.best)
		}
		if r.best == nil {
			r.done = true
			return []Action{Chosen{State: current}}
		}
		next = r.best
	}
	// A change of voters rests on the sets of the value before, which count for nothing until that
	// value is chosen. It is brought to its end first, and the change is for another round.
	if r.best != nil && !r.chosenAlready() && !sameSets(next, r.best) {
		next = r.best
	}
	electorate := append(r.electorate(), sets(next)...)
	r.proposed = next
	var out []Action
	var sent []*fleetpb.Member
	for _, set := range electorate {
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

func (r *Round) change(current *fleetpb.State) *fleetpb.State {
	if r.Change == nil {
		return nil
	}
	next := r.Change(CloneState(current))
	if next != nil {
		next.Number = current.GetNumber() + 1
	}
	return next
}

// chosenAlready reports whether the promises show that the newest value has its
// majorities under its own ballot.
func (r *Round) chosenAlready() bool {
	return r.best != nil && majorities(sets(r.best), func(id uint64) bool {
		b, ok := r.promised[id]
		return ok && CompareBallots(b, r.bestBallot) == 0
	})
}

func (r *Round) acceptedBy(e Accepted) []Action {
	if r.proposed == nil || e.Reply.GetSilent() {
		return nil
	}
	if !e.Reply.GetGranted() {
		return r.lost(e.Reply.GetPromised())
	}
	r.accepted[e.From] = true
	has := func(id uint64) bool { return r.accepted[id] }
	if !r.suffice(has) || !majorities(sets(r.proposed), has) {
		return nil
	}
	return r.chosen(r.proposed)
}

func (r *Round) chosen(s *fleetpb.State) []Action {
	r.done = true
	return []Action{Chosen{State: s}}
}

func (r *Round) lost(to *fleetpb.Ballot) []Action {
	r.done = true
	return []Action{Preempted{By: to, Proposed: r.proposed != nil}}
}

// sameSets reports whether two values have the same voters.
func sameSets(a, b *fleetpb.State) bool {
	return SameMembers(a.GetVoters(), b.GetVoters()) && SameMembers(a.GetPriorVoters(), b.GetPriorVoters())
}

// majorities reports whether more than half of each set has a property.
func majorities(sets [][]*fleetpb.Member, has func(uint64) bool) bool {
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
