// SPDX-License-Identifier: MIT

package ledger

import "rockbarrow.dev/schema/fleetpb"

// ReadQuorumInAllGroups reports whether every group, whichever program's records it keeps, has a read
// quorum among the stores that are heard. Groups are spread over failure domains, so
// that a lost domain takes few stores of each group, however many it has.
func ReadQuorumInAllGroups(members []*fleetpb.Member, copies int, heard func(storage uint64) bool) bool {
	size := min(copies, len(members))
	return size > 0 && mostSilent(members, copies, heard) <= MaxReadFailures(size)
}

// mostSilent is the most stores of one group that can be silent.
func mostSilent(members []*fleetpb.Member, copies int, heard func(storage uint64) bool) int {
	stores, silent := map[string]int{}, map[string]int{}
	for _, m := range members {
		stores[m.GetFailureDomain()]++
		if !heard(m.GetStorage()) {
			silent[m.GetFailureDomain()]++
		}
	}
	each := perDomain(members, copies)
	room, spread, all := 0, 0, 0
	for d, n := range stores {
		room += min(n, each)
		spread += min(silent[d], each)
		all += silent[d]
	}
	if len(members) <= copies || room < copies {
		// Some group takes more than its share of a domain.
		return all
	}
	return spread
}

// SourcesSufficient reports whether the stores that are heard hold all records from before a
// view's move, or all records if none is under way.
func SourcesSufficient(v *fleetpb.View, heard func(storage uint64) bool) bool {
	return ReadQuorumInAllGroups(counting(v), int(v.GetCopies()), heard)
}
