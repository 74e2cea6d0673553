// SPDX-License-Identifier: MIT

package owner

import (
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/roster"
)

const (
	// copies is how many members should hold a run's history.
	copies = 3
	// maxMembers bounds the set while a member is being replaced.
	maxMembers = 5
)

// InitialMembers returns the members of a new run: the first instances of its
// home failure domain in rendezvous order, among them one with a disk if there
// is one, and a witness in another failure domain if the home has too few
// instances. The choice depends only on names, so instances that create the same
// run choose the same members.
func InitialMembers(v *roster.View, run, domain string) journal.Members {
	home := v.Ranked(run, domain, true)
	var out journal.Members
	for _, i := range home[:min(copies, len(home))] {
		out = append(out, i.Member())
	}
	out = withDisk(out, home)
	if len(out) < copies {
		if far := v.Ranked(run, domain, false); len(far) > 0 {
			out = append(out, witness(far[0]))
		}
	}
	return out
}

// withDisk gives the last seat to the first instance with a disk if no member
// has one.
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

// witness returns the instance as a holder of digests in memory; a witness
// never uses a disk, so its life is the process's.
func witness(i roster.Instance) journal.Member {
	return journal.NewMember(i.Instance(), i.Beat().Incarnation()).WithWitness()
}

// census sorts the members of a journal by what the view says of them.
type census struct {
	live, dead journal.Members
	// copies counts live members that hold history, and present also those that
	// are about to leave.
	copies, present int
	disk            bool
	witnesses       journal.Members
	spareCopies     []roster.Instance
	spareWitness    []roster.Instance
}

func count(members journal.Members, v *roster.View, run, domain string, silent func(journal.Member) bool) census {
	var c census
	for _, m := range members {
		if !m.Witness() && v.Holds(m) && !silent(m) {
			c.present++
		}
		if !holds(v, m) || silent(m) {
			c.dead = append(c.dead, m)
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
	c.spareCopies = spares(v.Ranked(run, domain, true), members)
	c.spareWitness = spares(v.Ranked(run, domain, false), members)
	return c
}

// holds reports whether a member's life goes on and does not leave; a witness
// lives as long as its process.
func holds(v *roster.View, m journal.Member) bool {
	i, ok := v.Find(m.Instance())
	if !ok || i.State() == roster.Leaving {
		return false
	}
	if !m.Witness() {
		return v.Holds(m)
	}
	if i.State() == roster.Dead {
		return false
	}
	return i.State() == roster.Unheard || i.Beat().Incarnation() == m.Incarnation()
}

// spares returns the usable instances without a seat.
func spares(ranked []roster.Instance, members journal.Members) []roster.Instance {
	var out []roster.Instance
	for _, i := range ranked {
		if i.Usable() && i.Member().Incarnation() != 0 && !seated(members, i) {
			out = append(out, i)
		}
	}
	return out
}

func seated(members journal.Members, i roster.Instance) bool {
	return members.Contains(i.Member()) || members.Contains(witness(i))
}

// plan returns the next change of the members, or nil when they are as they
// should be. A lost member is replaced before it is dismissed. A member that
// lives but never votes again, as its disk failed, is silent and counts as lost.
func plan(members journal.Members, v *roster.View, run, domain string, self journal.Member, silent func(journal.Member) bool) journal.Event {
	c := count(members, v, run, domain, silent)
	// An owner that leaves keeps its seat and hands its copies on.
	c.dead = c.dead.Without(self)
	// Nothing else commits while the only disk of the set is lost.
	if m, ok := c.lostDisk(v, silent); ok && !c.disk && c.present >= 2 {
		return journal.RemoveMember{Member: m}
	}
	if len(members) < maxMembers {
		if e := admit(c); e != nil {
			return e
		}
	}
	if len(c.dead) > 0 && c.enough() {
		return journal.RemoveMember{Member: c.dead[0]}
	}
	if len(c.dead) == 0 && len(c.witnesses) > 0 && c.copies >= copies {
		return journal.RemoveMember{Member: c.witnesses[0]}
	}
	if len(c.dead) == 0 && c.copies > copies {
		return surplus(c, self)
	}
	return nil
}

// AtRisk reports whether the members that are not leaving have too few copies to
// commit or too few votes for a majority, while another instance could become a
// member. A witness that has restarted does not count: in a failure domain of
// two instances, the loss of the witness and of one instance leaves a single
// vote.
func AtRisk(members journal.Members, v *roster.View, run, domain string) bool {
	c := count(members, v, run, domain, never)
	if c.copies < 2 && len(c.spareCopies) > 0 {
		return true
	}
	return len(c.live) < members.Majority() && len(c.spareCopies)+len(c.spareWitness) > 0
}

// NeedsRepair reports whether an owner would change the members.
func NeedsRepair(members journal.Members, v *roster.View, run, domain string, self journal.Member) bool {
	return plan(members, v, run, domain, self, never) != nil
}

func never(journal.Member) bool { return false }

// blocked reports whether the only disk of a set is lost, so that no entry but a
// new writer's first commits: a change of the set under way cannot end then.
func blocked(members journal.Members, v *roster.View, silent func(journal.Member) bool) bool {
	disks, lost, present := 0, 0, 0
	for _, m := range members {
		gone := !v.Holds(m) || silent(m)
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

func admit(c census) journal.Event {
	if !c.disk {
		for _, i := range c.spareCopies {
			if i.Disk() {
				return journal.AddMember{Member: i.Member()}
			}
		}
	}
	if c.copies < copies && len(c.spareCopies) > 0 {
		return journal.AddMember{Member: c.spareCopies[0].Member()}
	}
	if len(c.live) < copies && len(c.witnesses) == 0 && len(c.spareWitness) > 0 {
		return journal.AddMember{Member: witness(c.spareWitness[0])}
	}
	return nil
}

// enough reports whether the live members alone can make commits durable.
func (c census) enough() bool {
	return len(c.live) >= 2 && (c.copies >= 2 || c.disk)
}

func (c census) lostDisk(v *roster.View, silent func(journal.Member) bool) (journal.Member, bool) {
	for _, m := range c.dead {
		if m.Disk() && (!v.Holds(m) || silent(m)) {
			return m, true
		}
	}
	return journal.Member{}, false
}

// surplus dismisses the last copy that is neither the owner nor the only disk.
func surplus(c census, self journal.Member) journal.Event {
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

// Successor returns the member that should own a journal under a view: the
// first that lives and holds history. A leaving instance comes after all others.
func Successor(members journal.Members, v *roster.View) (journal.Member, bool) {
	var second *journal.Member
	for _, m := range members {
		if m.Witness() || !v.Holds(m) {
			continue
		}
		i, _ := v.Find(m.Instance())
		if i.Usable() {
			return m, true
		}
		if second == nil {
			second = &m
		}
	}
	if second != nil {
		return *second, true
	}
	return journal.Member{}, false
}
