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
	// calmAfter is how long a control instance must have run before it takes
	// another's silence for a loss.
	calmAfter = 4 * time.Second
	// lostAfter is how long a member stays silent before a spare one takes its
	// place. Shorter would move records when a process restarts.
	lostAfter = 3500 * time.Millisecond
	// cutAtMost is how long a failure domain may be silent as a whole before its stores
	// count as lost. Cuts end by themselves, after 8 s at the most by the platform's
	// bound, and each group holds few stores of one domain; to replace some of them
	// meanwhile moves records twice and slows every turn. Some seconds more, for what
	// comes back after a cut.
	cutAtMost = 15 * time.Second
)

// Planner decides the next step of the members. It is made anew from what is known at each
// tick. Set the exported fields before the call of [Planner.Next].
type Planner struct {
	Now     time.Time
	Stores  []Peer
	Control []Peer
	// LiveDomains are the failure domains of which any instance was heard lately.
	LiveDomains map[string]bool
	// Copies is how many stores keep a program's records.
	Copies int
	// StoresStable is true when no store has come lately.
	StoresStable bool
	Self         *fleetpb.Member
	// Uptime is how long this instance has run: nobody's silence is known to be longer.
	Uptime time.Duration
}

// Next returns the state with one step made, or nil if there is none to make.
func (p Planner) Next(s *fleetpb.State) *fleetpb.State {
	s = register.CloneState(s)
	if p.nextView(s) || p.nextVoters(s) {
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
		return p.finishView(s)
	}
	members := p.wantedStores(s)
	if register.SameMembers(members, v.GetMembers()) {
		return retireOthers(s)
	}
	v.Prior, v.Members = v.GetMembers(), members
	v.Epoch++
	return true
}

func (p Planner) firstView(s *fleetpb.State) bool {
	var members []*fleetpb.Member
	for _, peer := range p.Stores {
		if p.present(peer) {
			members = append(members, peer.Member)
		}
	}
	if !p.StoresStable || len(members) == 0 {
		return false
	}
	s.View = &fleetpb.View{Epoch: 1, Members: members, Copies: uint32(p.Copies)}
	return true
}

// finishView ends a move once the new members hold what they need. A few may be
// missing: each group then still has a quorum that does.
func (p Planner) finishView(s *fleetpb.State) bool {
	v := s.GetView()
	missing := 0
	for _, m := range v.GetMembers() {
		peer, ok := find(p.Stores, m.GetStorage())
		if ok && peer.CopiedEpoch >= v.GetEpoch() {
			continue
		}
		// One that is present will be done soon.
		if ok && p.present(peer) {
			return false
		}
		missing++
	}
	if missing > 0 && !ledger.ReadQuorumInAllGroups(v.GetMembers(), p.Copies, p.copiedFor(v.GetEpoch())) {
		return false
	}
	v.Prior = nil
	v.Epoch++
	retireOthers(s)
	return true
}

// copiedFor returns a function that reports whether a store holds what a view needs.
func (p Planner) copiedFor(epoch uint64) func(storage uint64) bool {
	return func(storage uint64) bool {
		peer, ok := find(p.Stores, storage)
		return ok && peer.CopiedEpoch >= epoch
	}
}

// retireOthers calls the leaving stores emptied that are no members, spare ones
// included, which hold nothing. It reports whether there were any.
func retireOthers(s *fleetpb.State) bool {
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

// wantedStores returns the members that should be: each at its place, with its
// present storage, unless it leaves or is lost and a spare can stand in.
func (p Planner) wantedStores(s *fleetpb.State) []*fleetpb.Member {
	v := s.GetView()
	spares := p.spares(s)
	var out []*fleetpb.Member
	for _, m := range v.GetMembers() {
		switch {
		case slices.Contains(v.GetLeaving(), m.GetInstance()):
			if len(spares) > 0 {
				out, spares = append(out, spares[0]), spares[1:]
			}
		case p.reborn(m) != nil:
			out = append(out, p.reborn(m))
		case p.storeLost(m) && len(spares) > 0:
			out, spares = append(out, spares[0]), spares[1:]
		default:
			out = append(out, m)
		}
	}
	for len(out) < p.Copies && len(spares) > 0 {
		out, spares = append(out, spares[0]), spares[1:]
	}
	return p.withoutLost(out)
}

// withoutLost leaves out lost members once too few are there to write but enough
// to read: of two stores, the one that is left goes on alone, as it holds every
// record. The other comes back as a spare and copies.
func (p Planner) withoutLost(members []*fleetpb.Member) []*fleetpb.Member {
	var there []*fleetpb.Member
	for _, m := range members {
		if !p.lost(p.Stores, m) {
			there = append(there, m)
		}
	}
	n := min(p.Copies, len(members))
	if lost := len(members) - len(there); lost > ledger.MaxWriteFailures(n) && lost <= ledger.MaxReadFailures(n) {
		return there
	}
	return members
}

// spares are present stores that are not members, do not leave and have not been
// emptied.
func (p Planner) spares(s *fleetpb.State) []*fleetpb.Member {
	v := s.GetView()
	var out []*fleetpb.Member
	for _, peer := range p.Stores {
		name := peer.Member.GetInstance()
		if !p.present(peer) || hasInstance(v.GetMembers(), name) {
			continue
		}
		if slices.Contains(v.GetLeaving(), name) || slices.Contains(s.GetRetired(), name) {
			continue
		}
		out = append(out, peer.Member)
	}
	return out
}

// reborn returns the present life of a member that came back with an empty disk
// or at another address.
func (p Planner) reborn(m *fleetpb.Member) *fleetpb.Member {
	for _, peer := range p.Stores {
		o := peer.Member
		if o.GetInstance() == m.GetInstance() && o.GetStorage() != m.GetStorage() && p.present(peer) {
			return o
		}
	}
	return nil
}

func (p Planner) present(s Peer) bool { return p.Now.Sub(s.LastSeen) < LivenessTimeout }

// lost reports whether a member has been silent for long.
func (p Planner) lost(peers []Peer, m *fleetpb.Member) bool {
	if p.Uptime <= calmAfter || m.GetStorage() == p.Self.GetStorage() {
		return false
	}
	peer, ok := find(peers, m.GetStorage())
	return !ok || p.Now.Sub(peer.LastSeen) > lostAfter
}

// storeLost reports whether a store has been silent for so long that another takes its
// place, longer where its whole failure domain is.
func (p Planner) storeLost(m *fleetpb.Member) bool {
	if !p.lost(p.Stores, m) {
		return false
	}
	if p.LiveDomains[m.GetFailureDomain()] {
		return true
	}
	silent := p.Uptime
	if peer, ok := find(p.Stores, m.GetStorage()); ok {
		silent = p.Now.Sub(peer.LastSeen)
	}
	return silent > cutAtMost
}

func find(peers []Peer, storage uint64) (Peer, bool) {
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
