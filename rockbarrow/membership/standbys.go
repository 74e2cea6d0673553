// SPDX-License-Identifier: MIT

package membership

import (
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
	var kept, serving []*fleetpb.Member
	for _, m := range members {
		if !p.isKeeperLost(m) {
			kept = append(kept, m)
		}
	}
	for _, m := range v.GetMembers() {
		if m.GetStandby() {
			serving = append(serving, m)
		}
	}
	missing := p.minMembers() - len(kept)
	if missing <= 0 || len(kept) == len(members) && len(serving) == 0 {
		return members
	}
	standbys := p.chooseStandbys(serving, kept)
	isReadable := ledger.ReadQuorumInAllGroups(v.GetMembers(), p.Copies, func(storage uint64) bool {
		return slices.ContainsFunc(v.GetMembers(), func(m *fleetpb.Member) bool { return m.GetStorage() == storage && !p.isKeeperLost(m) })
	})
	if len(standbys) < missing || !isReadable {
		return append(members, serving...)
	}
	return append(kept, standbys[:missing]...)
}

// chooseStandbys returns the usable standbys in order of preference: those that already
// keep records, then those in other failure domains than the remaining members.
func (p Planner) chooseStandbys(serving, kept []*fleetpb.Member) []*fleetpb.Member {
	out := slices.DeleteFunc(slices.Clone(serving), p.isKeeperLost)
	for _, sameDomain := range []bool{false, true} {
		for _, peer := range p.Standbys {
			m := peer.Member
			inDomain := slices.ContainsFunc(kept, func(o *fleetpb.Member) bool { return o.GetFailureDomain() == m.GetFailureDomain() })
			if !p.isPresent(peer) || inDomain != sameDomain || register.ContainsStorage(out, m.GetStorage()) {
				continue
			}
			m = proto.CloneOf(m)
			m.Standby = true
			out = append(out, m)
		}
	}
	return out
}
