// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestALostDomainLeavesAllGroupsCovered: twelve stores in five failure domains, three of
// them in the one that is cut off. Each group has one store there.
func TestALostDomainLeavesAllGroupsCovered(t *testing.T) {
	members := stores("a", "a", "a", "b", "b", "b", "c", "c", "d", "d", "e", "e")
	without := func(domains ...string) bool {
		return ReadQuorumInAllGroups(members, 5, func(storage uint64) bool {
			for _, d := range domains {
				if members[storage-1].GetFailureDomain() == d {
					return false
				}
			}
			return true
		})
	}
	if !without("b") || !without("a", "b") {
		t.Error("two lost failure domains leave each group three of five, and are not covered")
	}
	if without("a", "b", "c") {
		t.Error("three lost failure domains leave each group two of five")
	}
}

// TestCoveredGroupsHaveTheirReadQuorum draws deployments and losses: whatever is covered,
// no program's group may lack its read quorum.
func TestCoveredGroupsHaveTheirReadQuorum(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	covered := 0
	for range 3000 {
		names := make([]string, 1+r.IntN(14))
		domains := 1 + r.IntN(6)
		for i := range names {
			names[i] = fmt.Sprint(r.IntN(domains))
		}
		members := stores(names...)
		copies := 1 + 2*r.IntN(4)
		silent := map[uint64]bool{}
		for range r.IntN(len(members) + 1) {
			silent[uint64(1+r.IntN(len(members)))] = true
		}
		if !ReadQuorumInAllGroups(members, copies, func(storage uint64) bool { return !silent[storage] }) {
			continue
		}
		covered++
		for p := range 20 {
			g := Group(members, fmt.Sprint("program-", p), copies)
			if heard := len(g) - count(g, silent); heard < ReadQuorum(len(g)) {
				t.Fatalf("stores in %v, %d copies, silent %v: group %v has %d heard", names, copies, silent, g, heard)
			}
		}
	}
	if covered < 300 {
		t.Errorf("only %d of the draws were covered", covered)
	}
}
