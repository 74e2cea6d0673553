// SPDX-License-Identifier: MIT

package membership

import (
	"slices"

	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// nextVoters moves one voter at a time; while two sets count, it ends the move.
func (p Planner) nextVoters(s *fleetpb.State) bool {
	if len(s.GetPriorVoters()) > 0 {
		s.PriorVoters = nil
		return true
	}
	wanted := p.wantedVoters(s.GetVoters())
	if register.SameMembers(wanted, s.GetVoters()) {
		return false
	}
	s.PriorVoters, s.Voters = s.GetVoters(), wanted
	return true
}

func (p Planner) wantedVoters(voters []*fleetpb.Member) []*fleetpb.Member {
	spares := p.spareControl(voters)
	for i, m := range voters {
		for _, o := range spares {
			if o.GetInstance() == m.GetInstance() {
				return replaced(voters, i, o)
			}
		}
		if p.lost(p.Control, m) && len(spares) > 0 {
			return replaced(voters, i, spares[0])
		}
	}
	if len(voters) < p.Copies && len(spares) > 0 {
		return append(slices.Clone(voters), spares[0])
	}
	return voters
}

// spareControl returns control instances that have no vote.
func (p Planner) spareControl(voters []*fleetpb.Member) []*fleetpb.Member {
	var out []*fleetpb.Member
	if !register.ContainsStorage(voters, p.Self.GetStorage()) {
		out = append(out, p.Self)
	}
	for _, peer := range p.Control {
		if p.present(peer) && !register.ContainsStorage(voters, peer.Member.GetStorage()) {
			out = append(out, peer.Member)
		}
	}
	return out
}

func replaced(list []*fleetpb.Member, i int, m *fleetpb.Member) []*fleetpb.Member {
	out := slices.Clone(list)
	out[i] = m
	return out
}
