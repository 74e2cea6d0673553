// SPDX-License-Identifier: MIT

package membership

import "rockbarrow.dev/schema/fleetpb"

// Step is what a change of the state does to the stores' view. It is logged as view_step and tags the counter view_steps.
type Step string

const (
	// StepFirst forms the first view, and StepBegin begins a change of its members.
	StepFirst Step = "first"
	StepBegin Step = "begin"
	// StepEnd ends a view change whose members have copied all, and StepAdvance one that some have not.
	StepEnd     Step = "end"
	StepAdvance Step = "advance"
	// StepAbandon gives an attempt at a view change up for another one.
	StepAbandon Step = "abandon"
)

// Step returns what a change from one state to another does to the view, "" for nothing, and the members because of which
// it advances or abandons a view change, with what is known of them.
func (p Planner) Step(before, after *fleetpb.State) (step Step, causes []string) {
	v, next := before.GetView(), after.GetView()
	switch {
	case v.GetEpoch() == next.GetEpoch():
		return "", nil
	case v == nil:
		return StepFirst, nil
	case len(v.GetPrior()) == 0:
		return StepBegin, nil
	}
	for _, m := range v.GetMembers() {
		pending := p.pendingMember(v, m)
		switch {
		case pending.State == MemberCopied:
		case p.returnedMember(m) != nil:
			causes = append(causes, m.GetInstance()+" returned with another storage")
		default:
			causes = append(causes, m.GetInstance()+" "+string(pending.State))
		}
	}
	switch {
	case len(next.GetPrior()) > 0:
		return StepAbandon, causes
	case len(causes) > 0 && next.GetPriorEpoch() == 0:
		return StepAdvance, causes
	}
	return StepEnd, nil
}
