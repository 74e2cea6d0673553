// SPDX-License-Identifier: MIT

package register

import (
	"testing"

	"rockbarrow.dev/schema/fleetpb"
)

// runRound runs a round whose requests reach only the given acceptors, in that order. It returns
// the chosen value, or nil.
func (m *model) runRound(r *Round, prepares, accepts []uint64) *fleetpb.State {
	actions := r.Handle(Begin{})
	for len(actions) > 0 {
		var next []Action
		for _, id := range prepares {
			for _, a := range actions {
				if p, ok := a.(Prepare); ok && p.To.GetStorage() == id {
					reply, _ := m.acceptors[id].Prepare(p.Request)
					next = append(next, r.Handle(Prepared{From: id, Reply: reply})...)
				}
			}
		}
		for _, id := range accepts {
			for _, a := range actions {
				if p, ok := a.(Accept); ok && p.To.GetStorage() == id {
					reply, _ := m.acceptors[id].Accept(p.Request)
					next = append(next, r.Handle(Accepted{From: id, Reply: reply})...)
				}
			}
		}
		for _, a := range next {
			if c, ok := a.(Chosen); ok {
				return c.State
			}
		}
		actions = next
	}
	return nil
}

// A change of voters must not be completed on top of a value that was never chosen: a new voter
// that alone holds it could otherwise choose without the old voters and roll back a configuration.
func TestAMoveOfVotersBuildsOnAChosenValue(t *testing.T) {
	m := newModel(t, 1, 4)
	base := &fleetpb.State{Number: 1, Voters: m.initial}
	for _, v := range m.initial {
		m.acceptors[v.GetStorage()].Accept(&fleetpb.AcceptRequest{
			Ballot: &fleetpb.Ballot{Round: 1, Proposer: 1}, Acceptor: v.GetStorage(), State: base,
		})
	}
	ballot := func(round, by uint64) *fleetpb.Ballot { return &fleetpb.Ballot{Round: round, Proposer: by} }
	held := func() *fleetpb.State { return m.acceptors[4].Record().GetState() }

	m.runRound(&Round{Ballot: ballot(2, 1), Known: base, Change: replaceVoter(3, 4)}, []uint64{1, 2}, []uint64{4})
	if len(held().GetPriorVoters()) == 0 {
		t.Fatal("the new voter does not hold the change of voters")
	}
	m.runRound(&Round{Ballot: ballot(3, 4), Known: held(), Change: replaceVoter(3, 4)}, []uint64{4, 1, 2}, []uint64{4})
	acked := m.runRound(&Round{Ballot: ballot(4, 2), Known: base, Change: putConfiguration(7, "seven")}, []uint64{2, 3}, []uint64{2, 3})
	if acked.GetConfiguration().GetVersion() != 7 {
		t.Fatal("the old voters did not choose the configuration")
	}
	read := m.runRound(&Round{Ballot: ballot(5, 4), Known: held()}, []uint64{4, 1}, []uint64{4, 1})
	if read != nil && read.GetConfiguration().GetVersion() != 7 {
		t.Errorf("version %d was read after version 7 was acknowledged", read.GetConfiguration().GetVersion())
	}
}
