// SPDX-License-Identifier: MIT

package register

import (
	"cmp"

	"rockbarrow.dev/schema/fleetpb"
)

// CompareBallots orders ballots by round, then by proposer. A nil ballot is the lowest.
func CompareBallots(a, b *fleetpb.Ballot) int {
	if c := cmp.Compare(a.GetRound(), b.GetRound()); c != 0 {
		return c
	}
	return cmp.Compare(a.GetProposer(), b.GetProposer())
}

// SameMembers reports whether two lists contain the same storages in any order.
func SameMembers(a, b []*fleetpb.Member) bool {
	return len(a) == len(b) && containsAll(a, b) && containsAll(b, a)
}

// Addresses returns the addresses of the members in order.
func Addresses(list []*fleetpb.Member) []string {
	out := make([]string, 0, len(list))
	for _, m := range list {
		out = append(out, m.GetAddress())
	}
	return out
}

// ContainsStorage reports whether a list contains the given storage.
func ContainsStorage(list []*fleetpb.Member, storage uint64) bool {
	for _, m := range list {
		if m.GetStorage() == storage {
			return true
		}
	}
	return false
}

func containsAll(list, part []*fleetpb.Member) bool {
	for _, m := range part {
		if !ContainsStorage(list, m.GetStorage()) {
			return false
		}
	}
	return true
}
