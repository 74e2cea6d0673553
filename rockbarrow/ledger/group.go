// SPDX-License-Identifier: MIT

package ledger

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/fleetpb"
)

// Group returns the stores that keep a program's records: the first copies in
// rendezvous order, spread over failure domains as evenly as these allow. A
// store that comes back with an empty disk keeps its place, since the order goes
// by its name.
func Group(members []*fleetpb.Member, program string, copies int) []*fleetpb.Member {
	if len(members) <= copies {
		return members
	}
	ranked := rank(members, program)
	each := perDomain(members, copies)
	taken := map[string]int{}
	var out, rest []*fleetpb.Member
	for _, m := range ranked {
		if len(out) < copies && taken[m.GetFailureDomain()] < each {
			taken[m.GetFailureDomain()]++
			out = append(out, m)
			continue
		}
		rest = append(rest, m)
	}
	return append(out, rest[:copies-len(out)]...)
}

// rank orders members by the hash of their name and the program.
func rank(members []*fleetpb.Member, program string) []*fleetpb.Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b *fleetpb.Member) int {
		if c := cmp.Compare(weight(b, program), weight(a, program)); c != 0 {
			return c
		}
		return cmp.Compare(a.GetInstance(), b.GetInstance())
	})
	return out
}

func weight(m *fleetpb.Member, program string) uint64 {
	return xxhash.Sum64String(m.GetInstance() + "\x00" + program)
}

// perDomain is how many copies a failure domain holds at most.
func perDomain(members []*fleetpb.Member, copies int) int {
	domains := map[string]bool{}
	for _, m := range members {
		domains[m.GetFailureDomain()] = true
	}
	return (copies + len(domains) - 1) / len(domains)
}

// Majority returns how many of n stores make a quorum.
func Majority(n int) int { return n/2 + 1 }

// Missing returns how many of n stores may stay unheard when records are copied
// from the rest: each quorum then still has a member among those heard.
func Missing(n int) int { return max(0, n-Majority(n)) }
