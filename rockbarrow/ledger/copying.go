// SPDX-License-Identifier: MIT

package ledger

import "rockbarrow.dev/schema/fleetpb"

// Needs reports whether a member of a changing view has to copy a program's
// records: it is in the program's new group, and was not in the old one or the
// group has become smaller, so that fewer copies must hold what more held. With
// all it needs everything of its groups.
func Needs(v *fleetpb.View, storage uint64, program string, all bool) bool {
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

// Sources returns the members to copy from, and how many of them may stay
// silent.
func Sources(v *fleetpb.View, storage uint64) (from []*fleetpb.Member, missing int) {
	all := counting(v)
	missing = Unheard(min(int(v.GetCopies()), len(all)))
	for _, m := range all {
		if m.GetStorage() != storage {
			from = append(from, m)
		}
	}
	return from, missing
}

// Counts reports whether a store is among those whose records count: the members
// before a move under way, or else the members.
func Counts(v *fleetpb.View, storage uint64) bool { return hasStorage(counting(v), storage) }

func counting(v *fleetpb.View) []*fleetpb.Member {
	if len(v.GetPrior()) > 0 {
		return v.GetPrior()
	}
	return v.GetMembers()
}
