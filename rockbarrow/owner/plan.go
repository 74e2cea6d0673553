// SPDX-License-Identifier: MIT

package owner

import (
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/roster"
)

const (
	// targetCopies is the number of members that should store payloads.
	targetCopies = 3
	// maxMembers is the maximum number of members while one is being replaced.
	maxMembers = 5
)

// InitialMembers returns the members of a new run: the first instances of its
// home failure domain in rendezvous order, among them one with a disk if there
// is one, and a witness in another failure domain if the home has too few
// instances. The choice depends only on names, so instances that create the same
// run choose the same members.
func InitialMembers(v *roster.View, run, domain string) journal.Members {
	home := v.RankByKey(run, domain, true)
	var out journal.Members
	for _, i := range home[:min(targetCopies, len(home))] {
		out = append(out, i.Member())
	}
	out = withDisk(out, home)
	if len(out) < targetCopies {
		if far := v.RankByKey(run, domain, false); len(far) > 0 {
			out = append(out, witness(far[0]))
		}
	}
	return out
}

// withDisk replaces the last member by the first instance with a disk if no
// member has one.
func withDisk(out journal.Members, home []roster.Instance) journal.Members {
	for _, m := range out {
		if m.Disk() {
			return out
		}
	}
	for _, i := range home[len(out):] {
		if i.Disk() {
			out[len(out)-1] = i.Member()
			return out
		}
	}
	return out
}

// witness returns the instance as a witness. A witness stores digests in memory
// only, so it has the incarnation of the process.
func witness(i roster.Instance) journal.Member {
	return journal.NewMember(i.Instance(), i.Heartbeat().Incarnation()).WithWitness()
}

// memberStatus groups the members of a journal, and the instances that could
// become members, by their state in a view.
type memberStatus struct {
	live, unavailable journal.Members
	// copies counts the live members that store payloads. present counts the
	// leaving ones too.
	copies, present int
	disk            bool
	witnesses       journal.Members
	spareCopies     []roster.Instance
	spareWitnesses  []roster.Instance
}

// assessMembers returns the status of members under a view.
func assessMembers(members journal.Members, v *roster.View, run, domain string, nonVoting func(journal.Member) bool) memberStatus {
	var c memberStatus
	for _, m := range members {
		if !m.Witness() && v.IsCurrentMember(m) && !nonVoting(m) {
			c.present++
		}
		if !available(v, m) || nonVoting(m) {
			c.unavailable = append(c.unavailable, m)
			continue
		}
		c.live = append(c.live, m)
		if m.Witness() {
			c.witnesses = append(c.witnesses, m)
			continue
		}
		c.copies++
		c.disk = c.disk || m.Disk()
	}
	c.spareCopies = spareInstances(v.RankByKey(run, domain, true), members)
	c.spareWitnesses = spareInstances(v.RankByKey(run, domain, false), members)
	return c
}

// available reports whether a member has kept its state and is not leaving. A
// witness loses its state when its process restarts.
func available(v *roster.View, m journal.Member) bool {
	i, ok := v.Find(m.Instance())
	if !ok || i.State() == roster.Leaving {
		return false
	}
	if !m.Witness() {
		return v.IsCurrentMember(m)
	}
	if i.State() == roster.Dead {
		return false
	}
	return i.State() == roster.Unknown || i.Heartbeat().Incarnation() == m.Incarnation()
}

// spareInstances returns the usable instances that are not members.
func spareInstances(ranked []roster.Instance, members journal.Members) []roster.Instance {
	var out []roster.Instance
	for _, i := range ranked {
		if i.Usable() && i.Member().Incarnation() != 0 && !isMember(members, i) {
			out = append(out, i)
		}
	}
	return out
}

func isMember(members journal.Members, i roster.Instance) bool {
	return members.Contains(i.Member()) || members.Contains(witness(i))
}

// nextChange returns the next change of the set of members, or nil if none is
// needed. A lost member is replaced before it is removed. A member that no longer
// votes, for example after a disk failure, counts as lost.
func nextChange(members journal.Members, v *roster.View, run, domain string, self journal.Member, nonVoting func(journal.Member) bool) journal.Event {
	c := assessMembers(members, v, run, domain, nonVoting)
	// A leaving owner stays a member while it replicates its journal.
	c.unavailable = c.unavailable.Without(self)
	// No other change commits while the only disk of the set is lost.
	if m, ok := c.lostDisk(v, nonVoting); ok && !c.disk && c.present >= 2 {
		return journal.RemoveMember{Member: m}
	}
	if len(members) < maxMembers {
		if e := memberToAdd(c); e != nil {
			return e
		}
	}
	if len(c.unavailable) > 0 && c.canCommit() {
		return journal.RemoveMember{Member: c.unavailable[0]}
	}
	if len(c.unavailable) == 0 && len(c.witnesses) > 0 && c.copies >= targetCopies {
		return journal.RemoveMember{Member: c.witnesses[0]}
	}
	if len(c.unavailable) == 0 && c.copies > targetCopies {
		return removeSurplus(c, self)
	}
	return nil
}

// AtRisk reports whether the members that are not leaving have too few copies to
// commit or too few votes for a majority, while another instance could become a
// member. A witness that has restarted does not count: in a failure domain of
// two instances, the loss of the witness and of one instance leaves a single
// vote.
func AtRisk(members journal.Members, v *roster.View, run, domain string) bool {
	c := assessMembers(members, v, run, domain, assumeVoting)
	if c.copies < 2 && len(c.spareCopies) > 0 {
		return true
	}
	return len(c.live) < members.Majority() && len(c.spareCopies)+len(c.spareWitnesses) > 0
}

// NeedsRepair reports whether an owner would change the members.
func NeedsRepair(members journal.Members, v *roster.View, run, domain string, self journal.Member) bool {
	return nextChange(members, v, run, domain, self, assumeVoting) != nil
}

// assumeVoting is used where no replies of the members are known.
func assumeVoting(journal.Member) bool { return false }

// lostAllDisks reports whether all disks of a set are lost while two copies are
// left. Only the opening entry of a new writer commits then, and a change of the
// set in progress cannot complete.
func lostAllDisks(members journal.Members, v *roster.View, nonVoting func(journal.Member) bool) bool {
	disks, lost, present := 0, 0, 0
	for _, m := range members {
		gone := !v.IsCurrentMember(m) || nonVoting(m)
		if m.Disk() {
			disks++
			if gone {
				lost++
			}
		}
		if !m.Witness() && !gone {
			present++
		}
	}
	return disks > 0 && lost == disks && present >= 2
}

// memberToAdd returns the addition of a missing disk, copy or witness, or nil.
func memberToAdd(c memberStatus) journal.Event {
	if !c.disk {
		for _, i := range c.spareCopies {
			if i.Disk() {
				return journal.AddMember{Member: i.Member()}
			}
		}
	}
	if c.copies < targetCopies && len(c.spareCopies) > 0 {
		return journal.AddMember{Member: c.spareCopies[0].Member()}
	}
	if len(c.live) < targetCopies && len(c.witnesses) == 0 && len(c.spareWitnesses) > 0 {
		return journal.AddMember{Member: witness(c.spareWitnesses[0])}
	}
	return nil
}

// canCommit reports whether the live members alone can commit entries.
func (c memberStatus) canCommit() bool {
	return len(c.live) >= 2 && (c.copies >= 2 || c.disk)
}

// lostDisk returns a member with a disk that is lost, if there is one.
func (c memberStatus) lostDisk(v *roster.View, nonVoting func(journal.Member) bool) (journal.Member, bool) {
	for _, m := range c.unavailable {
		if m.Disk() && (!v.IsCurrentMember(m) || nonVoting(m)) {
			return m, true
		}
	}
	return journal.Member{}, false
}

// removeSurplus removes the last copy that is neither the owner nor the only
// disk.
func removeSurplus(c memberStatus, self journal.Member) journal.Event {
	disks := 0
	for _, m := range c.live {
		if m.Disk() {
			disks++
		}
	}
	for n := len(c.live) - 1; n >= 0; n-- {
		m := c.live[n]
		if m.Witness() || m.Is(self) || (m.Disk() && disks == 1) {
			continue
		}
		return journal.RemoveMember{Member: m}
	}
	return nil
}

// Successor returns the member that should own a journal under a view: the first
// available member that is not a witness. Leaving instances come last.
func Successor(members journal.Members, v *roster.View) (journal.Member, bool) {
	var leaving *journal.Member
	for _, m := range members {
		if m.Witness() || !v.IsCurrentMember(m) {
			continue
		}
		i, _ := v.Find(m.Instance())
		if i.Usable() {
			return m, true
		}
		if leaving == nil {
			leaving = &m
		}
	}
	if leaving != nil {
		return *leaving, true
	}
	return journal.Member{}, false
}
