// SPDX-License-Identifier: MIT

package ledger

import "rockbarrow.dev/schema/fleetpb"

// IsComplete reports whether a store that copied its records for an epoch holds all
// records of its groups from before a view.
func IsComplete(v *fleetpb.View, copiedEpoch uint64) bool {
	return isComplete(v.GetEpoch(), len(v.GetPrior()) > 0, copiedEpoch)
}

// isComplete accepts copies for the view before. During a view change it accepts those
// for the change before, too, after which the same members had nothing to copy.
func isComplete(epoch uint64, changing bool, copiedEpoch uint64) bool {
	if changing {
		return copiedEpoch+2 >= epoch
	}
	return copiedEpoch+1 >= epoch
}

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
