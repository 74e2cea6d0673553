// SPDX-License-Identifier: MIT

package stores

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/fleetpb"
)

// sampledPerDomain is how many stores of each failure domain an instance asks whether they are there before it has called
// them: enough that one that restarts does not stand for its failure domain.
const sampledPerDomain = 3

// samples holds the sample of the newest view. The zero value is ready.
type samples struct{ last atomic.Pointer[sample] }

// sample is some stores of each failure domain. It does not change.
type sample struct {
	view    *fleetpb.View
	members []*fleetpb.Member
}

// of returns some stores of each failure domain of a view, other ones for each instance: so the questions after a start, and
// the connections at rest, do not grow with the product of instances and stores.
func (s *samples) of(v *fleetpb.View, self *fleetpb.Member) []*fleetpb.Member {
	if known := s.last.Load(); known != nil && known.view == v {
		return known.members
	}
	made := &sample{view: v}
	for _, list := range [][]*fleetpb.Member{v.GetMembers(), v.GetPrior()} {
		made.add(list, self)
	}
	s.last.Store(made)
	return made.members
}

// add adds the first stores of each failure domain, in an order of the instance's own.
func (s *sample) add(list []*fleetpb.Member, self *fleetpb.Member) {
	rank := func(m *fleetpb.Member) uint64 {
		return xxhash.Sum64String(self.GetInstance() + "\x00" + m.GetInstance())
	}
	ordered := slices.SortedFunc(slices.Values(list), func(a, b *fleetpb.Member) int { return cmp.Compare(rank(a), rank(b)) })
	taken := map[string]int{}
	for _, m := range ordered {
		if taken[m.GetFailureDomain()] < sampledPerDomain && !slices.Contains(s.members, m) {
			taken[m.GetFailureDomain()]++
			s.members = append(s.members, m)
		}
	}
}
