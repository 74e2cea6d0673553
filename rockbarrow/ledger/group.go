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
	each := perDomain(members, copies)
	taken := map[string]int{}
	var out, rest []*fleetpb.Member
	for _, r := range rank(members, program) {
		m := r.member
		if len(out) < copies && taken[m.GetFailureDomain()] < each {
			taken[m.GetFailureDomain()]++
			out = append(out, m)
			continue
		}
		rest = append(rest, m)
	}
	return append(out, rest[:copies-len(out)]...)
}

// ranked is a member with its weight for a program.
type ranked struct {
	member *fleetpb.Member
	weight uint64
}

// rank orders members by the hash of their name and the program.
func rank(members []*fleetpb.Member, program string) []ranked {
	out := make([]ranked, len(members))
	for i, m := range members {
		out[i] = ranked{member: m, weight: weight(m, program)}
	}
	slices.SortFunc(out, func(a, b ranked) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.member.GetInstance(), b.member.GetInstance())
	})
	return out
}

func weight(m *fleetpb.Member, program string) uint64 {
	// usual is more than most names have, so that no memory is taken.
	const usual = 128
	var buf [usual]byte
	b := append(buf[:0], m.GetInstance()...)
	b = append(b, 0)
	return xxhash.Sum64(append(b, program...))
}

// perDomain is how many copies a failure domain holds at most.
func perDomain(members []*fleetpb.Member, copies int) int {
	domains := map[string]bool{}
	for _, m := range members {
		domains[m.GetFailureDomain()] = true
	}
	return (copies + len(domains) - 1) / len(domains)
}

// WriteQuorum returns how many of n stores make a record durable.
func WriteQuorum(n int) int { return n/2 + 1 }

// ReadQuorum returns how many of n stores meet every write quorum. Of two stores
// one is enough, as both hold every record: a deployment of two goes on from the
// copy that is left.
func ReadQuorum(n int) int { return n - WriteQuorum(n) + 1 }

// MaxReadFailures returns how many of n stores may stay silent when the others are read.
func MaxReadFailures(n int) int { return max(0, n-ReadQuorum(n)) }

// MaxWriteFailures returns how many of n stores may be out of reach while records are
// written.
func MaxWriteFailures(n int) int { return max(0, n-WriteQuorum(n)) }
