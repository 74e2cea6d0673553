// SPDX-License-Identifier: MIT

package membership

import (
	"slices"

	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// nextVoters replaces or adds one voter at a time, or ends the change under way.
func (p Planner) nextVoters(s *fleetpb.State) bool {
	if len(s.GetPriorVoters()) > 0 {
		s.PriorVoters = nil
		return true
	}
	wanted := p.targetVoters(s.GetVoters())
	if register.SameMembers(wanted, s.GetVoters()) {
		return false
	}
	s.PriorVoters, s.Voters = s.GetVoters(), wanted
	return true
}

func (p Planner) targetVoters(voters []*fleetpb.Member) []*fleetpb.Member {
	spares := p.spareVoters(voters)
	for i, m := range voters {
		for _, o := range spares {
			if o.GetInstance() == m.GetInstance() {
				return replaceMember(voters, i, o)
			}
		}
		if p.isLost(p.Control, m) && len(spares) > 0 {
			return replaceMember(voters, i, spares[0])
		}
	}
	if len(voters) < p.Copies && len(spares) > 0 {
		return append(slices.Clone(voters), spares[0])
	}
	return voters
}

// spareVoters returns the present control instances without a vote.
func (p Planner) spareVoters(voters []*fleetpb.Member) []*fleetpb.Member {
	var out []*fleetpb.Member
	if !register.ContainsStorage(voters, p.Self.GetStorage()) {
		out = append(out, p.Self)
	}
	for _, peer := range p.Control {
		if p.isPresent(peer) && !register.ContainsStorage(voters, peer.Member.GetStorage()) {
			out = append(out, peer.Member)
		}
	}
	return out
}

func replaceMember(list []*fleetpb.Member, i int, m *fleetpb.Member) []*fleetpb.Member {
	out := slices.Clone(list)
	out[i] = m
	return out
}
