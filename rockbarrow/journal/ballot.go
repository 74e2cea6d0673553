// SPDX-License-Identifier: MIT

package journal

import (
	"cmp"
	"fmt"
)

// Member is an instance together with the incarnation of its journal storage. A
// member with incarnation 0 has unknown storage; it counts for the majority but
// never votes.
type Member struct {
	instance    string
	incarnation uint64
	witness     bool
	disk        bool
}

// NewMember returns the member for an incarnation of an instance's storage.
func NewMember(instance string, incarnation uint64) Member {
	return Member{instance: instance, incarnation: incarnation}
}

// Instance returns the name of the instance.
func (m Member) Instance() string { return m.instance }

// Incarnation returns the incarnation of the storage.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Witness reports whether the member votes but does not store payloads.
func (m Member) Witness() bool { return m.witness }

// Disk reports whether the member syncs to disk before it replies.
func (m Member) Disk() bool { return m.disk }

// WithWitness returns the member as a witness, which stores digests only.
func (m Member) WithWitness() Member { m.witness = true; return m }

// WithDisk returns the member as one that syncs before it replies.
func (m Member) WithDisk() Member { m.disk = true; return m }

// Is reports whether both members have the same instance and incarnation.
func (m Member) Is(o Member) bool {
	return m.instance == o.instance && m.incarnation == o.incarnation
}

// String returns the member as instance#incarnation.
func (m Member) String() string { return fmt.Sprintf("%s#%d", m.instance, m.incarnation) }

// Members is the set of members of a journal, in a fixed order.
type Members []Member

// Contains reports whether the set contains a member.
func (s Members) Contains(m Member) bool {
	for _, o := range s {
		if o.Is(m) {
			return true
		}
	}
	return false
}

// Majority returns the number of votes that form a majority.
func (s Members) Majority() int { return len(s)/2 + 1 }

// Without returns the set without a member.
func (s Members) Without(m Member) Members {
	out := make(Members, 0, len(s))
	for _, o := range s {
		if !o.Is(m) {
			out = append(out, o)
		}
	}
	return out
}

// With returns the set with one more member.
func (s Members) With(m Member) Members {
	return append(append(make(Members, 0, len(s)+1), s...), m)
}

// ackCount counts the members that have acknowledged an entry.
type ackCount struct {
	votes, copies, synced, disks int
}

// countAcks counts acknowledgements. The copies of members whose removal has not
// committed, extra, count as copies but not as votes.
func (s Members) countAcks(acked func(Member) bool, extra int) ackCount {
	t := ackCount{copies: extra}
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

// durable reports whether an entry may commit: it has a majority of votes, and
// one synced copy if a member has a disk, or otherwise two copies.
func (t ackCount) durable(majority int) bool {
	if t.votes < majority {
		return false
	}
	return t.synced > 0 || t.disks == 0 && t.copies >= 2
}

// safeToDeliver reports whether committed entries may be delivered: they have one
// synced copy, or two copies in memory even if the only disk was lost.
func (t ackCount) safeToDeliver() bool { return t.synced > 0 || t.copies >= 2 }

// Ballot identifies a writer. Ballots are totally ordered, and the zero ballot is
// the oldest.
type Ballot struct {
	round       uint64
	instance    string
	incarnation uint64
}

// NewBallot returns the ballot of a writer for a round.
func NewBallot(round uint64, m Member) Ballot {
	return Ballot{round: round, instance: m.instance, incarnation: m.incarnation}
}

// Round returns the round, which a writer chooses above all that it has seen.
func (b Ballot) Round() uint64 { return b.round }

// Instance returns the name of the writer's instance.
func (b Ballot) Instance() string { return b.instance }

// Incarnation returns the writer's incarnation.
func (b Ballot) Incarnation() uint64 { return b.incarnation }

// Compare returns -1, 0 or +1 if b is older than, equal to or newer than o.
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
