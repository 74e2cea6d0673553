// SPDX-License-Identifier: MIT

package membership

import (
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// returnTimeout is how long a member that was replaced as lost must be silent until nothing waits for its disk: the longest
	// outage after which a store is expected to return.
	returnTimeout = 10 * time.Second
	// freshTimeout is how lately members must have been heard where only silence tells that others are gone: three of their calls.
	freshTimeout = time.Second
)

// advanceViewChange ends a view change that waits for a member which is lost, or for sources that are missing, once a read quorum of each
// group has copied: from then on the prior members are not needed. The members that have not copied are incomplete until they have, or are
// replaced in the next change.
//
// They must be no more than the disks that are gone among the prior members, so that as many further losses are survived as before.
// A member that was replaced and is silent still may come back with its disk: each that counts as gone takes one of the losses
// that the read quorum survives. Silence proves no loss, so that a change which ends on it needs members that were heard lately.
func (p Planner) advanceViewChange(s *fleetpb.State) bool {
	v := s.GetView()
	isBlocked := slices.ContainsFunc(v.GetMembers(), func(m *fleetpb.Member) bool { return p.blocksViewChange(v, m) })
	if !isBlocked && ledger.SourcesSufficient(v, p.isSource(v)) {
		return false
	}
	hasCopied := p.hasCopied(v.GetEpoch())
	lacking := ledger.MaxMissing(v.GetMembers(), p.Copies, hasCopied)
	returned, silent, replaced := p.countGone(v)
	assumed, heardWithin := max(0, lacking-returned-silent), LivenessTimeout
	if lacking > returned {
		heardWithin = freshTimeout
	}
	isServing := func(storage uint64) bool {
		peer, ok := p.findKeeper(storage)
		return hasCopied(storage) && (ok && p.Now.Sub(peer.LastSeen) < heardWithin || storage == p.Self.GetStorage())
	}
	size := min(p.Copies, len(v.GetMembers()))
	if assumed > replaced || ledger.MaxMissing(v.GetMembers(), p.Copies, isServing)+assumed > ledger.MaxReadFailures(size) {
		return false
	}
	v.Prior, v.Abandoned, v.PriorEpoch = nil, nil, 0
	v.Epoch++
	return true
}

// countGone returns how many prior members have returned with another disk, how many have been silent for so long that nothing may wait for
// their disks, and how many further ones have been replaced as lost and are lost still.
func (p Planner) countGone(v *fleetpb.View) (returned, silent, replaced int) {
	for _, m := range v.GetPrior() {
		isReplaced := p.wasReplaced(v, m) && !isLeaving(v, m)
		switch {
		case p.returnedMember(m) != nil:
			returned++
		case p.isStoreLost(m) && (p.silence(m) > domainLostTimeout || isReplaced && p.silence(m) > returnTimeout):
			silent++
		case p.isStoreLost(m) && isReplaced:
			replaced++
		}
	}
	return returned, silent, replaced
}

// isSource returns a function that reports whether a store is present and complete for the records before a view.
func (p Planner) isSource(v *fleetpb.View) func(storage uint64) bool {
	return func(storage uint64) bool {
		peer, ok := p.findKeeper(storage)
		return ok && p.isPresent(peer) && ledger.IsComplete(v, peer.CopiedEpoch)
	}
}
