// SPDX-License-Identifier: MIT

package ledger

import "rockbarrow.dev/schema/fleetpb"

// ReadQuorumInAllGroups reports whether every possible group has a read quorum
// among the stores that responded. Groups are spread over failure domains, so a
// lost domain removes only a few stores of each group, however many it has.
func ReadQuorumInAllGroups(members []*fleetpb.Member, copies int, responded func(storage uint64) bool) bool {
	size := min(copies, len(members))
	return size > 0 && MaxMissing(members, copies, responded) <= MaxReadFailures(size)
}

// writeQuorumInAllGroups reports whether every possible group has a write quorum among
// the stores that responded.
func writeQuorumInAllGroups(members []*fleetpb.Member, copies int, responded func(storage uint64) bool) bool {
	size := min(copies, len(members))
	return size > 0 && MaxMissing(members, copies, responded) <= MaxWriteFailures(size)
}

// MaxMissing returns an upper bound on the stores of any group that did not respond.
func MaxMissing(members []*fleetpb.Member, copies int, responded func(storage uint64) bool) int {
	stores, silent := map[string]int{}, map[string]int{}
	for _, m := range members {
		stores[m.GetFailureDomain()]++
		if !responded(m.GetStorage()) {
			silent[m.GetFailureDomain()]++
		}
	}
	domainLimit := maxPerDomain(members, copies)
	capacity, cappedSilent, totalSilent := 0, 0, 0
	for d, n := range stores {
		capacity += min(n, domainLimit)
		cappedSilent += min(silent[d], domainLimit)
		totalSilent += silent[d]
	}
	if len(members) <= copies || capacity < copies {
		// The limit per domain does not hold for every group.
		return totalSilent
	}
	return cappedSilent
}

// SourcesSufficient reports whether the complete stores that responded together hold all
// durable records from before the view, but for those of abandoned attempts at it.
func SourcesSufficient(v *fleetpb.View, responded func(storage uint64) bool) bool {
	return ReadQuorumInAllGroups(authoritativeMembers(v), int(v.GetCopies()), responded)
}

// AbandonedSufficient reports whether the stores that responded together hold all durable
// records of the abandoned attempts at a view change.
func AbandonedSufficient(v *fleetpb.View, responded func(storage uint64) bool) bool {
	for _, set := range Attempts(v) {
		if !ReadQuorumInAllGroups(set.GetMembers(), int(v.GetCopies()), responded) {
			return false
		}
	}
	return true
}

// Attempts returns the abandoned attempts at a view change of whose members a read quorum must answer. A record that was
// written in an attempt is durable only with a read quorum of the prior group. Where any two of those intersect, the prior
// members alone find each such record, and those of the attempts may be gone.
func Attempts(v *fleetpb.View) []*fleetpb.MemberSet {
	n := min(int(v.GetCopies()), len(v.GetPrior()))
	if 2*ReadQuorum(n) > n {
		return nil
	}
	return v.GetAbandoned()
}

// MemberLists returns all lists of stores that a view names.
func MemberLists(v *fleetpb.View) [][]*fleetpb.Member {
	out := [][]*fleetpb.Member{v.GetMembers(), v.GetPrior()}
	for _, set := range v.GetAbandoned() {
		out = append(out, set.GetMembers())
	}
	return out
}
