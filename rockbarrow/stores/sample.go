// SPDX-License-Identifier: MIT

package stores

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

// sampleSizePerDomain is how many stores of each failure domain an instance
// probes before it has called them. With more than one, a single restarting
// store does not make its failure domain appear unreachable.
const sampleSizePerDomain = 3

// sampleCache holds the sample of the current view. The zero value is ready to use.
type sampleCache struct{ last atomic.Pointer[sample] }

// sample is a set of stores from each failure domain of a view. It is immutable once cached.
type sample struct {
	view    *fleetpb.View
	members []*fleetpb.Member
}

// get returns a few stores of each failure domain of a view, chosen differently
// by each instance. The number of startup probes and idle connections thus does
// not grow with the product of instances and stores.
func (s *sampleCache) get(v *fleetpb.View, self *fleetpb.Member) []*fleetpb.Member {
	if known := s.last.Load(); known != nil && known.view == v {
		return known.members
	}
	fresh := &sample{view: v}
	for _, list := range ledger.MemberLists(v) {
		fresh.addPerDomain(list, self)
	}
	s.last.Store(fresh)
	return fresh.members
}

// addPerDomain adds the first stores of each failure domain in an order that depends on the calling instance.
func (s *sample) addPerDomain(list []*fleetpb.Member, self *fleetpb.Member) {
	rank := func(m *fleetpb.Member) uint64 {
		return xxhash.Sum64String(self.GetInstance() + "\x00" + m.GetInstance())
	}
	ordered := slices.SortedFunc(slices.Values(list), func(a, b *fleetpb.Member) int { return cmp.Compare(rank(a), rank(b)) })
	taken := map[string]int{}
	for _, m := range ordered {
		if taken[m.GetFailureDomain()] < sampleSizePerDomain && !slices.Contains(s.members, m) {
			taken[m.GetFailureDomain()]++
			s.members = append(s.members, m)
		}
	}
}
