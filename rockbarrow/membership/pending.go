// SPDX-License-Identifier: MIT

package membership

import (
	"time"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// MemberState is what a control instance knows of a member during a view change.
type MemberState string

// A member is silent before it counts as lost, and gone once it may leave the view without a spare.
const (
	MemberCopied  MemberState = "copied"
	MemberCopying MemberState = "copying"
	MemberSilent  MemberState = "silent"
	MemberLost    MemberState = "lost"
	MemberGone    MemberState = "gone"
)

// PendingMember is a member that keeps a view change from ending, or one of the stores before it that is missing.
type PendingMember struct {
	Instance string
	State    MemberState
	// Silence is how long it has been silent, as far as this instance has observed.
	Silence time.Duration
	// CopiedEpoch is the newest view for which it holds all its records, as far as known.
	CopiedEpoch uint64
	// MustCopy is true unless it certainly has no records to copy.
	MustCopy bool
}

// PendingViewChange tells why a view change has not ended.
type PendingViewChange struct {
	// Members are those that have not copied, and Sources the silent ones of the stores before the change and of its abandoned
	// attempts.
	Members, Sources []PendingMember
	// Reasons are why the change can't end now, and why no other attempt takes its place.
	Reasons []string
}

// The reasons of a [PendingViewChange].
const (
	// ReasonCopying: members that are present are still copying.
	ReasonCopying = "members_copy"
	// ReasonSilentMustCopy: silent members may have records to copy.
	ReasonSilentMustCopy = "silent_members_must_copy"
	// ReasonNoReadQuorum: those that have copied are too few for a read quorum of every group.
	ReasonNoReadQuorum = "too_few_have_copied"
	// ReasonNotLost: the silent members are not lost yet, or this instance has not heard most voters for long enough to tell.
	ReasonNotLost = "silent_members_not_lost_yet"
	// ReasonNoOthers: members are lost, and no other members can take their place.
	ReasonNoOthers = "no_other_members"
	// ReasonSourcesMissing: the stores that are present do not hold all records to copy.
	ReasonSourcesMissing = "sources_missing"
	// ReasonAbandonedMissing: those of an abandoned attempt are too few for its records.
	ReasonAbandonedMissing = "abandoned_sources_missing"
	// ReasonStepDue: the change can end or be abandoned in the next step, unless the voters do not agree.
	ReasonStepDue = "step_due"
)

// Pending returns why the view change in progress has not ended, or nil if there is none. It changes nothing.
func (p Planner) Pending(s *fleetpb.State) *PendingViewChange {
	v := s.GetView()
	if len(v.GetPrior()) == 0 {
		return nil
	}
	out := &PendingViewChange{}
	copying, silent, mustCopy, blocking := false, false, false, false
	for _, m := range v.GetMembers() {
		pending := p.pendingMember(v, m)
		if pending.State == MemberCopied {
			continue
		}
		out.Members = append(out.Members, pending)
		if pending.State == MemberCopying {
			copying = true
			continue
		}
		silent = silent || pending.State == MemberSilent
		mustCopy = mustCopy || pending.MustCopy
		blocking = blocking || p.blocksViewChange(v, m)
	}
	out.Sources = p.silentSources(v)
	reasons := []struct {
		holds  bool
		reason string
	}{
		{copying, ReasonCopying},
		{mustCopy, ReasonSilentMustCopy},
		{len(out.Members) > 0 && !ledger.ReadQuorumInAllGroups(v.GetMembers(), p.Copies, p.hasCopied(v.GetEpoch())), ReasonNoReadQuorum},
		{silent, ReasonNotLost},
		{blocking && register.SameMembers(p.targetStores(s), v.GetMembers()), ReasonNoOthers},
		{!ledger.SourcesSufficient(v, p.isKeeperPresent), ReasonSourcesMissing},
		{!ledger.AbandonedSufficient(v, p.isKeeperPresent), ReasonAbandonedMissing},
		{p.endsViewChange(s), ReasonStepDue},
	}
	for _, r := range reasons {
		if r.holds {
			out.Reasons = append(out.Reasons, r.reason)
		}
	}
	return out
}

// endsViewChange reports whether the next step ends, advances or abandons the view change.
func (p Planner) endsViewChange(s *fleetpb.State) bool {
	s = register.CloneState(s)
	return p.finishViewChange(s) || p.advanceViewChange(s) || p.abandonViewChange(s)
}

func (p Planner) pendingMember(v *fleetpb.View, m *fleetpb.Member) PendingMember {
	out := PendingMember{Instance: m.GetInstance(), MustCopy: !p.holdsRecords(v, m)}
	peer, known := p.findKeeper(m.GetStorage())
	out.CopiedEpoch = peer.CopiedEpoch
	switch {
	case known && peer.CopiedEpoch >= v.GetEpoch():
		out.State = MemberCopied
		return out
	case known && p.isPresent(peer):
		out.State = MemberCopying
		return out
	}
	out.State, out.Silence = p.silentState(v, m)
	return out
}

// silentState returns the state of a silent member of a view, and for how long it has been silent.
func (p Planner) silentState(v *fleetpb.View, m *fleetpb.Member) (MemberState, time.Duration) {
	silence := p.Uptime
	if peer, ok := p.findKeeper(m.GetStorage()); ok {
		silence = p.Now.Sub(peer.LastSeen)
	}
	switch {
	case !m.GetStandby() && p.isStoreGone(v, m, len(v.GetMembers())):
		return MemberGone, silence
	case p.isKeeperLost(m):
		return MemberLost, silence
	}
	return MemberSilent, silence
}

// isKeeperPresent reports whether a storage was heard lately, or is that of this instance.
func (p Planner) isKeeperPresent(storage uint64) bool {
	peer, ok := p.findKeeper(storage)
	return ok && p.isPresent(peer) || storage == p.Self.GetStorage()
}

// silentSources returns the silent stores of those that records are copied from.
func (p Planner) silentSources(v *fleetpb.View) []PendingMember {
	var out []PendingMember
	for _, m := range ledger.CopySources(v, 0) {
		if p.isKeeperPresent(m.GetStorage()) {
			continue
		}
		state, silence := p.silentState(v, m)
		peer, _ := p.findKeeper(m.GetStorage())
		out = append(out, PendingMember{Instance: m.GetInstance(), State: state, Silence: silence, CopiedEpoch: peer.CopiedEpoch})
	}
	return out
}
