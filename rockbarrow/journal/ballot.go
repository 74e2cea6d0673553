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
func (s Members) Has(m Member) bool {
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

// durable reports whether acknowledgements satisfy the durability rule. The
// opening entry of a writer carries no payload: for it two copies stand in for
// the sync of a disk that may be lost, as what it adopts is history already.
// Copies of members that are just being dismissed, extra, count as copies but
// not as votes.
func (s Members) durable(acked func(Member) bool, opening bool, extra int) bool {
	votes, copies, synced, disks := 0, extra, 0, 0
	for _, m := range s {
		if m.disk {
			disks++
		}
		if !acked(m) {
			continue
		}
		votes++
		if !m.witness {
			copies++
		}
		if m.disk && !m.witness {
			synced++
		}
	}
	if votes < s.Majority() {
		return false
	}
	if synced > 0 {
		return true
	}
	return copies >= 2 && (disks == 0 || opening)
}

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
