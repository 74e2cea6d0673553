// SPDX-License-Identifier: MIT

package ledger

import (
	"cmp"

	"rockbarrow.dev/schema/fleetpb"
)

// IsComplete reports whether a store that copied its records for an epoch holds all
// records of its groups from before a view.
//
// Outside of a view change, that takes the copies for the change before. During one,
// it takes those for the change that led to the prior view: when that ended, the same
// members had nothing to copy. If a change ended without a member that had nothing to copy,
// that member is as complete as it was before: all others have copied.
func IsComplete(v *fleetpb.View, copiedEpoch uint64) bool {
	if len(v.GetPrior()) > 0 {
		return copiedEpoch+1 >= PriorEpoch(v)
	}
	return copiedEpoch+1 >= cmp.Or(v.GetPriorEpoch(), v.GetEpoch())
}

// PriorEpoch returns the epoch of the view of the prior members.
func PriorEpoch(v *fleetpb.View) uint64 {
	if v.GetPriorEpoch() > 0 {
		return v.GetPriorEpoch()
	}
	return v.GetEpoch() - 1
}

// MustCopy reports whether a member must copy a program's records during a view
// change. It must if it is in the program's new group and was not in the old one.
// If the group has shrunk, all its members copy, since a smaller quorum must then
// find every record. They do so too after an abandoned attempt at the change if a read
// quorum of the old group is smaller than a write quorum: it is all that the records of
// the attempt have surely reached. If all is true, a member copies all records of its
// groups, also those of its prior groups, for which it then counts as complete.
func MustCopy(v *fleetpb.View, storage uint64, program string, all bool) bool {
	present := Group(v.GetMembers(), program, int(v.GetCopies()))
	prior := Group(v.GetPrior(), program, int(v.GetCopies()))
	switch {
	case !hasStorage(present, storage):
		return all && hasStorage(prior, storage)
	case all || len(v.GetPrior()) == 0:
		return true
	case len(Attempts(v)) > 0:
		return true
	}
	return !hasStorage(prior, storage) || len(present) < len(prior)
}

// HasRank reports whether a store has a rank, from zero, in a program's group among the stores that hold all durable records.
func HasRank(v *fleetpb.View, storage uint64, program string, rank int) bool {
	group := Group(authoritativeMembers(v), program, int(v.GetCopies()))
	return rank < len(group) && group[rank].GetStorage() == storage
}

// CopySources returns the members from which the store with the given storage copies.
func CopySources(v *fleetpb.View, storage uint64) []*fleetpb.Member {
	var from []*fleetpb.Member
	add := func(list []*fleetpb.Member) {
		for _, m := range list {
			if m.GetStorage() != storage && !hasStorage(from, m.GetStorage()) {
				from = append(from, m)
			}
		}
	}
	add(authoritativeMembers(v))
	for _, set := range Attempts(v) {
		add(set.GetMembers())
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
