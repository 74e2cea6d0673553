// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestReadQuorumAfterLossOfFailureDomains checks that groups keep their read quorum
// after the loss of two of five failure domains, though not of three.
func TestReadQuorumAfterLossOfFailureDomains(t *testing.T) {
	members := newMembers("a", "a", "a", "b", "b", "b", "c", "c", "d", "d", "e", "e")
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
		t.Error("no read quorum with two lost failure domains, which leave each group three of five stores")
	}
	if without("a", "b", "c") {
		t.Error("read quorum with three lost failure domains, which leave each group two of five stores")
	}
}

// TestReadQuorumInAllGroupsMatchesGroups compares ReadQuorumInAllGroups with the
// groups of programs, for random deployments and losses.
func TestReadQuorumInAllGroupsMatchesGroups(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	covered := 0
	for range 3000 {
		names := make([]string, 1+r.IntN(14))
		domains := 1 + r.IntN(6)
		for i := range names {
			names[i] = fmt.Sprint(r.IntN(domains))
		}
		members := newMembers(names...)
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
			if responded := len(g) - count(g, silent); responded < ReadQuorum(len(g)) {
				t.Fatalf("stores in %v, %d copies, silent %v: group %v has only %d responding stores", names, copies, silent, g, responded)
			}
		}
	}
	if covered < 300 {
		t.Errorf("only %d of the random deployments had read quorums, want at least 300", covered)
	}
}
