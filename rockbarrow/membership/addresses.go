// SPDX-License-Identifier: MIT

package membership

import (
	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

// updateAddresses replaces the addresses of members and voters that are present with the
// same storage at another address. It reports whether there were any. The epoch stays, as
// the storage identifies a member.
func (p Planner) updateAddresses(s *fleetpb.State) bool {
	changed := false
	for _, list := range append(ledger.MemberLists(s.GetView()), s.GetVoters(), s.GetPriorVoters()) {
		for _, m := range list {
			if address := p.presentAddress(m); address != "" && address != m.GetAddress() {
				m.Address = address
				changed = true
			}
		}
	}
	return changed
}

// presentAddress returns the address of a present instance with a member's storage, or "".
func (p Planner) presentAddress(m *fleetpb.Member) string {
	for _, peers := range [][]Peer{p.Stores, p.Control} {
		if peer, ok := findPeer(peers, m.GetStorage()); ok && p.isPresent(peer) {
			return peer.Member.GetAddress()
		}
	}
	return ""
}
