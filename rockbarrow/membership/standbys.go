// SPDX-License-Identifier: MIT

package membership

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// withStandbys replaces lost members by standbys if too few others remain to keep each
// record on enough disks. A single store would serve alone otherwise, and the loss of its
// disk would take what it had confirmed. Standbys leave once there are enough stores.
func (p Planner) withStandbys(v *fleetpb.View, members []*fleetpb.Member) []*fleetpb.Member {
	var kept, lost, serving []*fleetpb.Member
	for _, m := range members {
		if p.isKeeperLost(m) {
			lost = append(lost, m)
		} else {
			kept = append(kept, m)
		}
	}
	// A change in progress is planned anew from its prior members, whose standbys hold records as well.
	for _, m := range slices.Concat(v.GetMembers(), v.GetPrior()) {
		if m.GetStandby() && !register.ContainsStorage(serving, m.GetStorage()) {
			serving = append(serving, m)
		}
	}
	missing := p.minMembers() - len(kept)
	if missing <= 0 || len(lost) == 0 && len(serving) == 0 {
		return members
	}
	standbys := p.chooseStandbys(serving, kept, lost)
	isReadable := ledger.ReadQuorumInAllGroups(v.GetMembers(), p.Copies, func(storage uint64) bool {
		return slices.ContainsFunc(v.GetMembers(), func(m *fleetpb.Member) bool { return m.GetStorage() == storage && !p.isKeeperLost(m) })
	})
	if len(standbys) < missing || !isReadable {
		return append(members, serving...)
	}
	return append(kept, standbys[:missing]...)
}

// chooseStandbys returns the usable standbys in order of preference: those that already
// keep records, then those in failure domains of no member, of a lost one and of others.
func (p Planner) chooseStandbys(serving, kept, lost []*fleetpb.Member) []*fleetpb.Member {
	out := slices.DeleteFunc(slices.Clone(serving), p.isKeeperLost)
	rank := func(domain string) int {
		inDomain := func(m *fleetpb.Member) bool { return m.GetFailureDomain() == domain }
		switch {
		case slices.ContainsFunc(kept, inDomain):
			return 2
		case slices.ContainsFunc(lost, inDomain):
			return 1
		}
		return 0
	}
	ranked := slices.SortedStableFunc(slices.Values(p.Standbys), func(a, b Peer) int {
		return cmp.Compare(rank(a.Member.GetFailureDomain()), rank(b.Member.GetFailureDomain()))
	})
	for _, peer := range ranked {
		if !p.isPresent(peer) || register.ContainsStorage(out, peer.Member.GetStorage()) {
			continue
		}
		m := proto.CloneOf(peer.Member)
		m.Standby = true
		out = append(out, m)
	}
	return out
}
