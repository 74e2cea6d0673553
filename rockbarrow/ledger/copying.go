// SPDX-License-Identifier: MIT

package ledger

import "rockbarrow.dev/schema/fleetpb"

// MustCopy reports whether a member must copy a program's records during a view
// change. It must if it is in the program's new group and was not in the old one.
// If the group has shrunk, all its members copy, since a smaller quorum must then
// find every record. If all is true, a member copies all records of its groups.
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

// CopySources returns the members from which the store with the given storage copies.
func CopySources(v *fleetpb.View, storage uint64) []*fleetpb.Member {
	var from []*fleetpb.Member
	for _, m := range authoritativeMembers(v) {
		if m.GetStorage() != storage {
			from = append(from, m)
		}
	}
	return from
}

// authoritativeMembers returns the stores that hold all durable records: the
// prior members during a view change, the members otherwise.
func authoritativeMembers(v *fleetpb.View) []*fleetpb.Member {
	if len(v.GetPrior()) > 0 {
		return v.GetPrior()
	}
	return v.GetMembers()
}
