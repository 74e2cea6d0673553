// SPDX-License-Identifier: MIT

package ledger

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/fleetpb"
)

// Group returns the stores that keep a program's records, selected by rendezvous
// hashing and spread evenly over failure domains. The hash uses the instance
// name, so a store that returns with an empty disk keeps its groups.
func Group(members []*fleetpb.Member, program string, copies int) []*fleetpb.Member {
	if len(members) <= copies {
		return members
	}
	return selectGroup(rankMembers(members, program), copies, maxPerDomain(members, copies))
}

// selectGroup returns the first of some members in the order of their weights, at most domainLimit from one failure domain if there are
// enough others.
func selectGroup(ranked []weightedMember, copies, domainLimit int) []*fleetpb.Member {
	taken := map[string]int{}
	var out, rest []*fleetpb.Member
	for _, r := range ranked {
		m := r.member
		if len(out) < copies && taken[m.GetFailureDomain()] < domainLimit {
			taken[m.GetFailureDomain()]++
			out = append(out, m)
			continue
		}
		rest = append(rest, m)
	}
	return append(out, rest[:copies-len(out)]...)
}

// MayJoin reports whether a store would be in a program's group if it took the place of one of the members of a view.
func MayJoin(v *fleetpb.View, m *fleetpb.Member, program string) bool {
	copies := int(v.GetCopies())
	if len(v.GetMembers()) <= copies {
		return true
	}
	all := append(slices.Clone(v.GetMembers()), m)
	ranked := rankMembers(all, program)
	if slices.Contains(selectGroup(ranked, copies, maxPerDomain(all, copies)), m) {
		return true
	}
	for i, r := range ranked {
		if r.member == m {
			continue
		}
		others := slices.Delete(slices.Clone(ranked), i, i+1)
		if slices.Contains(selectGroup(others, copies, maxPerDomainOf(others, copies)), m) {
			return true
		}
	}
	return false
}

// weightedMember is a member with its rendezvous weight for a program.
type weightedMember struct {
	member *fleetpb.Member
	weight uint64
}

// rankMembers returns the members in descending order of their weights for a program.
func rankMembers(members []*fleetpb.Member, program string) []weightedMember {
	out := make([]weightedMember, len(members))
	for i, m := range members {
		out[i] = weightedMember{member: m, weight: weight(m, program)}
	}
	slices.SortFunc(out, func(a, b weightedMember) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.member.GetInstance(), b.member.GetInstance())
	})
	return out
}

func weight(m *fleetpb.Member, program string) uint64 {
	// typicalSize exceeds most names, so that the buffer stays on the stack.
	const typicalSize = 128
	var buf [typicalSize]byte
	b := append(buf[:0], m.GetInstance()...)
	b = append(b, 0)
	return xxhash.Sum64(append(b, program...))
}

// maxPerDomain returns the maximum number of copies in one failure domain.
func maxPerDomain(members []*fleetpb.Member, copies int) int {
	domains := map[string]bool{}
	for _, m := range members {
		domains[m.GetFailureDomain()] = true
	}
	return (copies + len(domains) - 1) / len(domains)
}

func maxPerDomainOf(ranked []weightedMember, copies int) int {
	members := make([]*fleetpb.Member, len(ranked))
	for i, r := range ranked {
		members[i] = r.member
	}
	return maxPerDomain(members, copies)
}

// WriteQuorum returns how many of n stores must sync a record to make it durable.
func WriteQuorum(n int) int { return n/2 + 1 }

// ReadQuorum returns how many of n stores intersect every write quorum. One of two
// stores is enough, as both hold every record; a deployment of two can thus
// continue with the remaining store.
func ReadQuorum(n int) int { return n - WriteQuorum(n) + 1 }

// MaxReadFailures returns how many of n stores may fail without losing the read quorum.
func MaxReadFailures(n int) int { return max(0, n-ReadQuorum(n)) }

// MaxWriteFailures returns how many of n stores may fail without losing the write quorum.
func MaxWriteFailures(n int) int { return max(0, n-WriteQuorum(n)) }
