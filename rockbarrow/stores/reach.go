// SPDX-License-Identifier: MIT

package stores

import (
	"strconv"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

// sampled is how many groups tell whether stores are reached in general.
const sampled = 16

// Reachable reports whether half of the groups of stores or more can be written.
// Groups are spread over failure domains, so that more stores than a group may
// lose can be out of reach while every group has its quorum. A store that has not
// answered yet counts as out of reach, unless one of its failure domain answers: a process that starts behind a cut must not
// draw clients there.
func (c *Client) Reachable() bool {
	v := c.Watch.State().GetView()
	if v == nil {
		return false
	}
	if c.health.allProven(c.samples.of(v, c.Watch.Self)) {
		return true
	}
	domains := c.provenDomains(v)
	out := func(m *fleetpb.Member) bool { return !c.isProven(m, domains) }
	reached := 0
	for i := range sampled {
		if reaches(v, strconv.Itoa(i), out) {
			reached++
		}
	}
	return 2*reached >= sampled
}

// ProgramReachable reports whether a program's records can be read and written, as far as
// calls have told: a store that was not called yet may be there.
func (c *Client) ProgramReachable(program string) bool {
	v := c.Watch.State().GetView()
	return v != nil && (c.health.allThere() || reaches(v, program, func(m *fleetpb.Member) bool { return c.health.isOut(m.GetStorage()) }))
}

// cannotReachQuorum reports whether so many stores of a program have gone out of reach that a
// call under way to them will find no quorum.
func (c *Client) cannotReachQuorum(program string) bool {
	v := c.Watch.State().GetView()
	return v == nil || !c.health.allThere() && !reaches(v, program, func(m *fleetpb.Member) bool { return c.health.gone(m.GetStorage()) })
}

// isProven reports whether a store has answered its last call or, if nothing is known of it, one of its failure domain has.
func (c *Client) isProven(m *fleetpb.Member, domains map[string]bool) bool {
	if c.health.known(m.GetStorage()) {
		return c.health.proven(m.GetStorage())
	}
	return domains[m.GetFailureDomain()]
}

// provenDomains returns the failure domains of which a store answers.
func (c *Client) provenDomains(v *fleetpb.View) map[string]bool {
	out := map[string]bool{}
	for _, m := range v.GetMembers() {
		if !out[m.GetFailureDomain()] && c.health.proven(m.GetStorage()) {
			out[m.GetFailureDomain()] = true
		}
	}
	return out
}

// reaches reports whether few enough stores of a program's groups are out.
func reaches(v *fleetpb.View, program string, out func(*fleetpb.Member) bool) bool {
	copies := int(v.GetCopies())
	present, prior := ledger.Group(v.GetMembers(), program, copies), ledger.Group(v.GetPrior(), program, copies)
	return countOut(present, out) <= ledger.MaxWriteFailures(len(present)) && countOut(prior, out) <= ledger.MaxReadFailures(len(prior))
}

func countOut(group []*fleetpb.Member, out func(*fleetpb.Member) bool) int {
	n := 0
	for _, m := range group {
		if out(m) {
			n++
		}
	}
	return n
}

// UnreachableDomains returns the failure domains of which no store answers, and some did not answer a call.
func (c *Client) UnreachableDomains() []string {
	if c.health.allThere() {
		return nil
	}
	v := c.Watch.State().GetView()
	proven, out := c.provenDomains(v), []string{}
	for _, m := range v.GetMembers() {
		if d := m.GetFailureDomain(); !proven[d] && c.health.isOut(m.GetStorage()) {
			proven[d] = true
			out = append(out, d)
		}
	}
	return out
}
