// SPDX-License-Identifier: MIT

package ledger

import "rockbarrow.dev/schema/fleetpb"

// MustCopy reports whether a member of a changing view has to copy a program's
// records: it is in the program's new group, and was not in the old one or the
// group has become smaller, so that fewer copies must hold what more held. With
// all it needs everything of its groups.
func MustCopy(v *fleetpb.View, storage uint64, program string, all bool) bool {
	present := Group(v.GetMembers(), program, int(v.GetCopies()))
	if !hasStorage(present, storage) {
		return false
	}
	if all || len(v.GetPrior()) == 0 {
		return true
	}
	prior := Group(v.GetPrior(), program, int(v.GetCopies()))
	return !hasStorage(prior, storage) || len(present) < len(prior)
}

// CopySources returns the members to copy from.
func CopySources(v *fleetpb.View, storage uint64) []*fleetpb.Member {
	var from []*fleetpb.Member
	for _, m := range counting(v) {
		if m.GetStorage() != storage {
			from = append(from, m)
		}
	}
	return from
}

// counting returns the stores whose records count: the members before a move under way,
// or else the members.
func counting(v *fleetpb.View) []*fleetpb.Member {
	if len(v.GetPrior()) > 0 {
		return v.GetPrior()
	}
	return v.GetMembers()
}
