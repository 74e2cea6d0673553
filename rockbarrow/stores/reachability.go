// SPDX-License-Identifier: MIT

package stores

import (
	"strconv"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

// sampleGroups is the number of groups used to estimate whether stores are generally reachable.
const sampleGroups = 16

// Reachable reports whether at least half of a sample of groups has a quorum.
// Groups are spread over failure domains, so more stores than one group can lose
// may be unreachable while every group still has its quorum. A store that has not
// answered yet counts as unreachable unless another store of its failure domain
// has answered, so that a process started inside a network partition does not
// attract clients.
func (c *Client) Reachable() bool {
	v := c.Watch.State().GetView()
	if v == nil {
		return false
	}
	if c.health.allHealthy(c.sampleCache.get(v, c.Watch.Self)) {
		return true
	}
	domains := c.reachableDomains(v)
	unreachable := func(m *fleetpb.Member) bool { return !c.isReachable(m, domains) }
	writable := 0
	for i := range sampleGroups {
		if hasQuorum(v, strconv.Itoa(i), unreachable) {
			writable++
		}
	}
	return 2*writable >= sampleGroups
}

// ProgramReachable reports whether a program's records can be read and written,
// based on past calls. A store that was not called yet counts as reachable.
func (c *Client) ProgramReachable(program string) bool {
	v := c.Watch.State().GetView()
	return v != nil && (c.health.noneUnreachable() || hasQuorum(v, program, func(m *fleetpb.Member) bool { return c.health.isUnreachable(m.GetStorage()) }))
}

// quorumLost reports whether so many stores of a program became unreachable that
// a call in progress can't reach a quorum.
func (c *Client) quorumLost(program string) bool {
	v := c.Watch.State().GetView()
	return v == nil || !c.health.noneUnreachable() && !hasQuorum(v, program, func(m *fleetpb.Member) bool { return c.health.isLost(m.GetStorage()) })
}

// isReachable reports whether a store has answered its last call or, if its state
// is unknown, whether another store of its failure domain has.
func (c *Client) isReachable(m *fleetpb.Member, domains map[string]bool) bool {
	if c.health.isKnown(m.GetStorage()) {
		return c.health.isHealthy(m.GetStorage())
	}
	return domains[m.GetFailureDomain()]
}

// reachableDomains returns the failure domains with at least one reachable store.
func (c *Client) reachableDomains(v *fleetpb.View) map[string]bool {
	out := map[string]bool{}
	for _, m := range v.GetMembers() {
		if !out[m.GetFailureDomain()] && c.health.isHealthy(m.GetStorage()) {
			out[m.GetFailureDomain()] = true
		}
	}
	return out
}

// hasQuorum reports whether a program's groups have their quorums without the unreachable stores.
func hasQuorum(v *fleetpb.View, program string, unreachable func(*fleetpb.Member) bool) bool {
	copies := int(v.GetCopies())
	present, prior := ledger.Group(v.GetMembers(), program, copies), ledger.Group(v.GetPrior(), program, copies)
	if countUnreachable(present, unreachable) > ledger.MaxWriteFailures(len(present)) {
		return false
	}
	for _, set := range ledger.Attempts(v) {
		if group := ledger.Group(set.GetMembers(), program, copies); countUnreachable(group, unreachable) > ledger.MaxReadFailures(len(group)) {
			return false
		}
	}
	return countUnreachable(prior, unreachable) <= ledger.MaxReadFailures(len(prior))
}

func countUnreachable(group []*fleetpb.Member, unreachable func(*fleetpb.Member) bool) int {
	n := 0
	for _, m := range group {
		if unreachable(m) {
			n++
		}
	}
	return n
}

// UnreachableDomains returns the failure domains without a reachable store and
// with at least one store that failed to answer a call.
func (c *Client) UnreachableDomains() []string {
	if c.health.noneUnreachable() {
		return nil
	}
	v := c.Watch.State().GetView()
	skip, out := c.reachableDomains(v), []string{}
	for _, m := range v.GetMembers() {
		if d := m.GetFailureDomain(); !skip[d] && c.health.isUnreachable(m.GetStorage()) {
			skip[d] = true
			out = append(out, d)
		}
	}
	return out
}
