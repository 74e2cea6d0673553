// SPDX-License-Identifier: MIT

package membership

import (
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// minUptime is how long a control instance must have run before silent members
	// can count as lost.
	minUptime = 4 * time.Second
	// lostTimeout is how long a member must be silent to count as lost. It exceeds
	// the time of a restart, which must not move records.
	lostTimeout = 3500 * time.Millisecond
	// domainLostTimeout is how long a whole failure domain must be silent before its
	// stores count as lost. It exceeds the platform's bound of 8 s on network
	// partitions: groups keep their quorum meanwhile, and replacing the stores would
	// move records twice. Stores get some more seconds to return after a partition.
	domainLostTimeout = 15 * time.Second
	// goneTimeout is how long a member must be silent to leave a view that has no spare
	// for it. It exceeds an outage of a few seconds, after which the member would copy
	// all records again.
	goneTimeout = 5500 * time.Millisecond
)

// Planner computes the next reconfiguration step. A new one is created on each tick; the
// exported fields must be set before [Planner.Next] is called.
type Planner struct {
	Now     time.Time
	Stores  []Peer
	Control []Peer
	// Standbys are the control instances that can keep records, Self included.
	Standbys []Peer
	// LiveDomains holds the failure domains of which any instance was seen lately.
	LiveDomains map[string]bool
	// Copies is the number of stores that keep a program's records.
	Copies int
	// StoresStable is true if the number of present stores has not changed lately.
	StoresStable bool
	Self         *fleetpb.Member
	// Uptime is how long this instance has heard most voters, which bounds the silence it can
	// observe.
	Uptime time.Duration
	// SilentBefore are the members that were silent before this instance started, by storage, and have not been heard since.
	SilentBefore map[uint64]bool
}

// Next returns the state after the next step, or nil if no step is needed.
func (p Planner) Next(s *fleetpb.State) *fleetpb.State {
	s = register.CloneState(s)
	if p.updateAddresses(s) || p.nextView(s) || p.nextVoters(s) {
		return s
	}
	return nil
}

func (p Planner) nextView(s *fleetpb.State) bool {
	v := s.GetView()
	switch {
	case v == nil:
		return p.firstView(s)
	case len(v.GetPrior()) > 0:
		return p.finishViewChange(s) || p.advanceViewChange(s) || p.abandonViewChange(s)
	}
	members := p.targetStores(s)
	if register.SameMembers(members, v.GetMembers()) {
		return p.allComplete(v) && retireNonMembers(s)
	}
	v.Prior, v.Members = v.GetMembers(), members
	v.Epoch++
	return true
}

func (p Planner) firstView(s *fleetpb.State) bool {
	var members []*fleetpb.Member
	for _, peer := range p.Stores {
		if p.isPresent(peer) {
			members = append(members, peer.Member)
		}
	}
	if !p.StoresStable || len(members) == 0 {
		return false
	}
	s.View = &fleetpb.View{Epoch: 1, Members: members, Copies: uint32(p.Copies)}
	return true
}

// finishViewChange ends a view change once the new members have copied their records.
// A few members may be missing if every group still has a read quorum without them and
// none of them has records to copy, so that each record is on as many disks as before.
func (p Planner) finishViewChange(s *fleetpb.State) bool {
	v := s.GetView()
	missing := 0
	for _, m := range v.GetMembers() {
		peer, ok := p.findKeeper(m.GetStorage())
		if ok && peer.CopiedEpoch >= v.GetEpoch() {
			continue
		}
		// A present member is still copying.
		if ok && p.isPresent(peer) || !p.holdsRecords(v, m) {
			return false
		}
		missing++
	}
	if missing > 0 && !ledger.ReadQuorumInAllGroups(v.GetMembers(), p.Copies, p.hasCopied(v.GetEpoch())) {
		return false
	}
	if missing > 0 {
		// The missing members have copied for no later view, and need not.
		v.PriorEpoch = ledger.PriorEpoch(v)
	} else {
		v.PriorEpoch = 0
	}
	v.Prior, v.Abandoned = nil, nil
	v.Epoch++
	retireNonMembers(s)
	return true
}

// allComplete reports whether all members hold all records of their groups.
func (p Planner) allComplete(v *fleetpb.View) bool {
	return !slices.ContainsFunc(v.GetMembers(), func(m *fleetpb.Member) bool {
		peer, ok := p.findKeeper(m.GetStorage())
		return !ok || !ledger.IsComplete(v, peer.CopiedEpoch)
	})
}

// holdsRecords reports whether a member certainly has nothing to copy in a view change: it
// was a member before and keeps its groups, none of which shrinks.
func (p Planner) holdsRecords(v *fleetpb.View, m *fleetpb.Member) bool {
	members, prior := v.GetMembers(), v.GetPrior()
	isShrinking := min(p.Copies, len(members)) < min(p.Copies, len(prior))
	keepsGroups := max(len(members), len(prior)) <= p.Copies || haveSameInstances(members, prior)
	return register.ContainsStorage(prior, m.GetStorage()) && keepsGroups && !isShrinking && len(ledger.Attempts(v)) == 0
}

// haveSameInstances reports whether two lists name the same instances, which then have the
// same groups.
func haveSameInstances(a, b []*fleetpb.Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m *fleetpb.Member) bool { return !hasInstance(b, m.GetInstance()) })
}

// abandonViewChange replaces a view change that waits for the copy of a lost member by
// one to other members. The records of all attempts are copied.
func (p Planner) abandonViewChange(s *fleetpb.State) bool {
	v := s.GetView()
	if !slices.ContainsFunc(v.GetMembers(), func(m *fleetpb.Member) bool { return p.blocksViewChange(v, m) }) {
		return false
	}
	members := p.targetStores(s)
	if register.SameMembers(members, v.GetMembers()) || !ledger.SourcesSufficient(v, p.isSource(v)) || !ledger.AbandonedSufficient(v, p.isKeeperPresent) {
		return false
	}
	if !slices.ContainsFunc(v.GetAbandoned(), func(set *fleetpb.MemberSet) bool {
		return register.SameMembers(set.GetMembers(), v.GetMembers())
	}) {
		v.Abandoned = append(v.Abandoned, &fleetpb.MemberSet{Members: v.GetMembers()})
	}
	v.PriorEpoch = ledger.PriorEpoch(v)
	v.Members = members
	v.Epoch++
	return true
}

// blocksViewChange reports whether a view change can't end as a member is lost, or has returned with another storage.
func (p Planner) blocksViewChange(v *fleetpb.View, m *fleetpb.Member) bool {
	if p.hasCopied(v.GetEpoch())(m.GetStorage()) || !p.isKeeperLost(m) && p.returnedMember(m) == nil {
		return false
	}
	isCopying := func(o *fleetpb.Member) bool {
		peer, ok := p.findKeeper(o.GetStorage())
		return ok && p.isPresent(peer) && peer.CopiedEpoch < v.GetEpoch()
	}
	return !p.holdsRecords(v, m) || !slices.ContainsFunc(v.GetMembers(), isCopying)
}

// hasCopied returns a function that reports whether a store has copied its records for
// a view.
func (p Planner) hasCopied(epoch uint64) func(storage uint64) bool {
	return func(storage uint64) bool {
		peer, ok := p.findKeeper(storage)
		return ok && peer.CopiedEpoch >= epoch
	}
}

// retireNonMembers marks leaving stores as retired if they are not members, and thus
// hold no needed records. It reports whether there were any.
func retireNonMembers(s *fleetpb.State) bool {
	v := s.GetView()
	before := len(v.GetLeaving())
	v.Leaving = slices.DeleteFunc(v.GetLeaving(), func(name string) bool {
		if hasInstance(v.GetMembers(), name) {
			return false
		}
		if !slices.Contains(s.GetRetired(), name) {
			s.Retired = append(s.Retired, name)
		}
		return true
	})
	return len(v.GetLeaving()) < before
}

// targetStores returns the desired members: each member in its position, with its latest storage, or a spare in place of a lost
// or leaving one, and standbys while there are too few stores. A change in progress is planned anew from its prior members.
//
// Lost members come first: a change that has given the spares to leaving members waits for the copies of the lost ones, and
// keeps the disks that are gone among those that must answer.
func (p Planner) targetStores(s *fleetpb.State) []*fleetpb.Member {
	v := s.GetView()
	base := v.GetMembers()
	if len(v.GetPrior()) > 0 {
		base = v.GetPrior()
	}
	out, spares := p.replaceLost(v, base, p.spares(s, base))
	if p.arePresent(v, out) {
		out, spares = p.replaceLeaving(v, out, spares)
	}
	for len(out) < p.Copies && len(spares) > 0 {
		out, spares = append(out, spares[0]), spares[1:]
	}
	return p.withStandbys(v, p.dropGone(v, out))
}

// replaceLost returns base without standbys, with the latest storage of each member, or a spare in place of a lost one, and the
// remaining spares.
func (p Planner) replaceLost(v *fleetpb.View, base, spares []*fleetpb.Member) (members, remaining []*fleetpb.Member) {
	for _, m := range base {
		switch {
		case m.GetStandby():
		case p.returnedMember(m) != nil:
			members = append(members, p.returnedMember(m))
		case (p.isStoreLost(m) || p.wasReplaced(v, m)) && len(spares) > 0 && !isLeaving(v, m):
			members, spares = append(members, spares[0]), spares[1:]
		default:
			members = append(members, m)
		}
	}
	return members, spares
}

// wasReplaced reports whether a change in progress has left out a member that is still absent. A control instance that has just started
// can't tell that it is lost.
func (p Planner) wasReplaced(v *fleetpb.View, m *fleetpb.Member) bool {
	peer, ok := findPeer(p.Stores, m.GetStorage())
	return !register.ContainsStorage(v.GetMembers(), m.GetStorage()) && !(ok && p.isPresent(peer))
}

// arePresent reports whether all members but the leaving ones are present.
func (p Planner) arePresent(v *fleetpb.View, members []*fleetpb.Member) bool {
	return !slices.ContainsFunc(members, func(m *fleetpb.Member) bool {
		peer, ok := findPeer(p.Stores, m.GetStorage())
		return !isLeaving(v, m) && !(ok && p.isPresent(peer))
	})
}

// replaceLeaving replaces leaving members by spares, and removes those without a spare as far as enough members remain. A change in
// progress keeps these for a later one.
func (p Planner) replaceLeaving(v *fleetpb.View, members, spares []*fleetpb.Member) (rest, remaining []*fleetpb.Member) {
	left := len(members)
	for _, m := range members {
		switch {
		case !isLeaving(v, m):
			rest = append(rest, m)
		case len(spares) > 0:
			rest, spares = append(rest, spares[0]), spares[1:]
		case left <= p.minMembers(), len(v.GetPrior()) > 0 && !p.isStoreLost(m):
			rest = append(rest, m)
		default:
			left--
		}
	}
	return rest, spares
}

func isLeaving(v *fleetpb.View, m *fleetpb.Member) bool {
	return slices.Contains(v.GetLeaving(), m.GetInstance())
}

// dropGone removes members that have been silent for long and have no spare, so that the
// records are copied among the others and a further loss leaves a read quorum. The view
// keeps its members if a record would then be written to too few stores to survive the
// tolerated losses, or if another member is silent and could not copy.
func (p Planner) dropGone(v *fleetpb.View, members []*fleetpb.Member) []*fleetpb.Member {
	var rest []*fleetpb.Member
	for _, m := range members {
		if p.isStoreGone(v, m, len(members)) {
			continue
		}
		if peer, ok := findPeer(p.Stores, m.GetStorage()); !ok || !p.isPresent(peer) {
			return members
		}
		rest = append(rest, m)
	}
	if len(rest) < p.minMembers() {
		return members
	}
	return rest
}

// minMembers returns the smallest number of members of which a write quorum survives the
// tolerated losses.
func (p Planner) minMembers() int {
	n := 1
	for ledger.WriteQuorum(n) <= ledger.MaxWriteFailures(p.Copies) {
		n++
	}
	return n
}

// spares returns the stores that may replace members of base: first those that a change in progress has taken, unless they are lost, then
// the present ones that are neither members, leaving nor retired.
func (p Planner) spares(s *fleetpb.State, base []*fleetpb.Member) []*fleetpb.Member {
	v := s.GetView()
	isFree := func(m *fleetpb.Member) bool {
		name := m.GetInstance()
		return !hasInstance(base, name) && !slices.Contains(v.GetLeaving(), name) && !slices.Contains(s.GetRetired(), name)
	}
	var out []*fleetpb.Member
	for _, m := range v.GetMembers() {
		if isFree(m) && !m.GetStandby() && p.returnedMember(m) == nil && !p.isStoreLost(m) {
			out = append(out, m)
		}
	}
	for _, peer := range p.Stores {
		if p.isPresent(peer) && isFree(peer.Member) && !hasInstance(out, peer.Member.GetInstance()) {
			out = append(out, peer.Member)
		}
	}
	for _, peer := range p.Stores {
		// A store that has left the members as it leaves holds records that others may lack.
		if p.isPresent(peer) && isLeaving(v, peer.Member) && !hasInstance(base, peer.Member.GetInstance()) {
			out = append(out, peer.Member)
		}
	}
	return out
}

// returnedMember returns the member record of a store that returned with another
// storage, for example after the loss of its disk, or nil.
func (p Planner) returnedMember(m *fleetpb.Member) *fleetpb.Member {
	for _, peer := range p.Stores {
		o := peer.Member
		if o.GetInstance() == m.GetInstance() && o.GetStorage() != m.GetStorage() && p.isPresent(peer) {
			return o
		}
	}
	return nil
}

func (p Planner) isPresent(s Peer) bool { return p.Now.Sub(s.LastSeen) < LivenessTimeout }

// isLost reports whether a member has been silent for longer than lostTimeout.
func (p Planner) isLost(peers []Peer, m *fleetpb.Member) bool {
	if m.GetStorage() == p.Self.GetStorage() {
		return false
	}
	peer, ok := findPeer(peers, m.GetStorage())
	if !ok && p.SilentBefore[m.GetStorage()] {
		return p.Uptime > LivenessTimeout
	}
	if p.Uptime <= minUptime {
		return false
	}
	return !ok || p.Now.Sub(peer.LastSeen) > lostTimeout
}

// isKeeperLost reports whether a member of a view is lost, a store or a standby.
func (p Planner) isKeeperLost(m *fleetpb.Member) bool {
	if m.GetStandby() {
		return p.isLost(p.Standbys, m)
	}
	return p.isLost(p.Stores, m)
}

// findKeeper finds a store or a standby.
func (p Planner) findKeeper(storage uint64) (Peer, bool) {
	if peer, ok := findPeer(p.Stores, storage); ok {
		return peer, true
	}
	return findPeer(p.Standbys, storage)
}

// isStoreLost reports whether a store has been silent long enough to be replaced. The
// limit is longer if its whole failure domain is silent.
func (p Planner) isStoreLost(m *fleetpb.Member) bool {
	if !p.isLost(p.Stores, m) {
		return false
	}
	if p.LiveDomains[m.GetFailureDomain()] {
		return true
	}
	return p.silence(m) > domainLostTimeout
}

// isStoreGone reports whether a store has been silent long enough to leave a view of n
// members. The limit is longer if the groups are not the whole view, since a store that
// left it returns only as a spare, unless a change in progress waits for its copy.
func (p Planner) isStoreGone(v *fleetpb.View, m *fleetpb.Member, n int) bool {
	limit := goneTimeout
	if n > p.Copies && len(v.GetPrior()) == 0 {
		limit = domainLostTimeout
	}
	return p.isStoreLost(m) && p.silence(m) > limit
}

// silence returns how long a store has been silent, as far as this instance has observed.
func (p Planner) silence(m *fleetpb.Member) time.Duration {
	if peer, ok := findPeer(p.Stores, m.GetStorage()); ok {
		return p.Now.Sub(peer.LastSeen)
	}
	return p.Uptime
}

func findPeer(peers []Peer, storage uint64) (Peer, bool) {
	for _, s := range peers {
		if s.Member.GetStorage() == storage {
			return s, true
		}
	}
	return Peer{}, false
}

func hasInstance(list []*fleetpb.Member, name string) bool {
	for _, m := range list {
		if m.GetInstance() == name {
			return true
		}
	}
	return false
}
