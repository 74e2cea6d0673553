// SPDX-License-Identifier: MIT

package journal

import (
	"cmp"
	"fmt"
)

// Member is one life of an instance's journal storage. The zero incarnation
// names an instance whose storage is not known; it holds a seat and never votes.
type Member struct {
	instance    string
	incarnation uint64
	witness     bool
	disk        bool
}

// NewMember returns the member for one life of an instance's storage.
func NewMember(instance string, incarnation uint64) Member {
	return Member{instance: instance, incarnation: incarnation}
}

// Instance returns the name of the instance.
func (m Member) Instance() string { return m.instance }

// Incarnation returns the number of this life of the storage.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Witness reports whether the member votes without holding payloads.
func (m Member) Witness() bool { return m.witness }

// Disk reports whether the member answers only after a sync.
func (m Member) Disk() bool { return m.disk }

// WithWitness returns the member as a holder of digests only.
func (m Member) WithWitness() Member { m.witness = true; return m }

// WithDisk returns the member as one that syncs before it answers.
func (m Member) WithDisk() Member { m.disk = true; return m }

// Is reports whether both name the same life of the same storage.
func (m Member) Is(o Member) bool {
	return m.instance == o.instance && m.incarnation == o.incarnation
}

// String returns the member as instance#incarnation.
func (m Member) String() string { return fmt.Sprintf("%s#%d", m.instance, m.incarnation) }

// Members is the set of members of a journal, in a fixed order.
type Members []Member

// Has reports whether the set holds this life of the storage.
func (s Members) Contains(m Member) bool {
	for _, o := range s {
		if o.Is(m) {
			return true
		}
	}
	return false
}

// Majority returns how many votes decide.
func (s Members) Majority() int { return len(s)/2 + 1 }

// Without returns the set less one member.
func (s Members) Without(m Member) Members {
	out := make(Members, 0, len(s))
	for _, o := range s {
		if !o.Is(m) {
			out = append(out, o)
		}
	}
	return out
}

// With returns the set and one member more.
func (s Members) With(m Member) Members {
	return append(append(make(Members, 0, len(s)+1), s...), m)
}

// tally counts the members that hold an entry.
type tally struct {
	votes, copies, synced, disks int
}

// count counts acknowledgements. Copies of members that are just being
// dismissed, extra, count as copies but not as votes.
func (s Members) count(acked func(Member) bool, extra int) tally {
	t := tally{copies: extra}
	for _, m := range s {
		if m.disk {
			t.disks++
		}
		if !acked(m) {
			continue
		}
		t.votes++
		if !m.witness {
			t.copies++
		}
		if m.disk && !m.witness {
			t.synced++
		}
	}
	return t
}

// durable reports whether an entry satisfies the durability rule: a majority of
// votes, and one synced copy where a member has a disk, or else two copies.
func (t tally) durable(majority int) bool {
	if t.votes < majority {
		return false
	}
	return t.synced > 0 || t.disks == 0 && t.copies >= 2
}

// kept reports whether what a writer adopted is safe to act on: one synced copy,
// or two copies in memory also where the only disk was lost.
func (t tally) kept() bool { return t.synced > 0 || t.copies >= 2 }

// Ballot orders writers totally. The zero ballot is older than every other.
type Ballot struct {
	round       uint64
	instance    string
	incarnation uint64
}

// NewBallot returns the ballot of a round for a writer.
func NewBallot(round uint64, m Member) Ballot {
	return Ballot{round: round, instance: m.instance, incarnation: m.incarnation}
}

// Round returns the round, which a writer raises over all it has seen.
func (b Ballot) Round() uint64 { return b.round }

// Instance returns the writer's instance.
func (b Ballot) Instance() string { return b.instance }

// Incarnation returns the writer's incarnation.
func (b Ballot) Incarnation() uint64 { return b.incarnation }

// Compare returns -1, 0 or +1 as b is older than, equal to or newer than o.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(
		cmp.Compare(b.round, o.round),
		cmp.Compare(b.instance, o.instance),
		cmp.Compare(b.incarnation, o.incarnation),
	)
}

// String returns the ballot as round.instance#incarnation.
func (b Ballot) String() string {
	return fmt.Sprintf("%d.%s#%d", b.round, b.instance, b.incarnation)
}
