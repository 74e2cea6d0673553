// SPDX-License-Identifier: MIT

package journal

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest is a SHA-256 digest of an entry and all entries before it.
type Digest [sha256.Size]byte

// Entry is one entry of a log. Its payload is immutable.
type Entry struct {
	index  uint64
	ballot Ballot
	// digest covers the previous entry's digest and all other fields, so equal
	// digests mean equal logs up to this entry.
	digest        Digest
	payloadDigest Digest
	// payload is nil in a witness, which stores only its digest.
	payload []byte
	// members is the set of members from this entry on, or nil if it is unchanged.
	members Members
}

// Index returns the entry's index in the log. The first entry has index 1.
func (e Entry) Index() uint64 { return e.index }

// Ballot returns the ballot of the writer that appended the entry.
func (e Entry) Ballot() Ballot { return e.ballot }

// Digest returns the digest of the log up to and including the entry.
func (e Entry) Digest() Digest { return e.digest }

// PayloadDigest returns the digest of the payload alone.
func (e Entry) PayloadDigest() Digest { return e.payloadDigest }

// Payload returns the application's data, or nil in an opening entry.
func (e Entry) Payload() []byte { return e.payload }

// Members returns the set of members from this entry on, or nil if it is
// unchanged.
func (e Entry) Members() Members { return e.members }

// RestoreEntry returns an entry that was received from another process or read
// from a disk. Its digest is checked when it is added to a [Log].
func RestoreEntry(index uint64, b Ballot, d, payloadDigest Digest, payload []byte, m Members) Entry {
	return Entry{index: index, ballot: b, digest: d, payloadDigest: payloadDigest, payload: payload, members: m}
}

// withoutPayload returns the entry as a witness stores it.
func (e Entry) withoutPayload() Entry { e.payload = nil; return e }

// payloadMissing reports whether the entry has lost its payload, as in a witness.
func (e Entry) payloadMissing() bool {
	return e.payload == nil && e.payloadDigest != sha256.Sum256(nil)
}

// withDigests returns the entry with its digests set, given the digest of the
// previous entry.
func (e Entry) withDigests(prev Digest) Entry {
	e.payloadDigest = sha256.Sum256(e.payload)
	e.digest = e.chainDigest(prev)
	return e
}

func (e Entry) chainDigest(prev Digest) Digest {
	h := sha256.New()
	h.Write(prev[:])
	var n [8]byte
	writeUint64 := func(v uint64) {
		binary.BigEndian.PutUint64(n[:], v)
		h.Write(n[:])
	}
	writeString := func(s string) {
		writeUint64(uint64(len(s)))
		h.Write([]byte(s))
	}
	writeUint64(e.index)
	writeUint64(e.ballot.round)
	writeString(e.ballot.instance)
	writeUint64(e.ballot.incarnation)
	h.Write(e.payloadDigest[:])
	writeUint64(uint64(len(e.members)))
	for _, m := range e.members {
		writeString(m.String())
	}
	return Digest(h.Sum(nil))
}

// Base is a snapshot that replaces all entries up to its index.
type Base struct {
	index   uint64
	ballot  Ballot
	digest  Digest
	members Members
	state   []byte
}

// Index returns the index of the last entry in the snapshot, or 0 if the log is
// empty.
func (b Base) Index() uint64 { return b.index }

// Ballot returns the ballot of the last entry in the snapshot.
func (b Base) Ballot() Ballot { return b.ballot }

// Digest returns the digest of the last entry in the snapshot.
func (b Base) Digest() Digest { return b.digest }

// Members returns the set of members at the index of the snapshot.
func (b Base) Members() Members { return b.members }

// State returns the state of the application.
func (b Base) State() []byte { return b.state }

// RestoreBase returns a base that was received from another process or read from
// a disk.
func RestoreBase(index uint64, b Ballot, d Digest, m Members, state []byte) Base {
	return Base{index: index, ballot: b, digest: d, members: m, state: state}
}

// Log is a base and the entries after it. The zero value is an empty log.
type Log struct {
	base Base
	// entries are consecutive from the base, and their digests form a chain.
	entries []Entry
}

// Base returns the snapshot that precedes the entries.
func (l *Log) Base() Base { return l.base }

// Last returns the index, ballot and digest of the newest entry.
func (l *Log) Last() (uint64, Ballot, Digest) {
	if n := len(l.entries); n > 0 {
		e := l.entries[n-1]
		return e.index, e.ballot, e.digest
	}
	return l.base.index, l.base.ballot, l.base.digest
}

// LastIndex returns the index of the newest entry.
func (l *Log) LastIndex() uint64 { return l.base.index + uint64(len(l.entries)) }

// Entry returns the entry at an index above the base.
func (l *Log) Entry(index uint64) (Entry, bool) {
	if index <= l.base.index || index > l.LastIndex() {
		return Entry{}, false
	}
	return l.entries[index-l.base.index-1], true
}

// After returns at most limit entries above index.
func (l *Log) After(index uint64, limit int) []Entry {
	if index < l.base.index || index >= l.LastIndex() {
		return nil
	}
	es := l.entries[index-l.base.index:]
	return es[:min(limit, len(es)):min(limit, len(es))]
}

// Members returns the newest set of members, or nil if the log is empty.
func (l *Log) Members() Members {
	m, _ := l.membersAt()
	return m
}

// membersAt returns the newest set of members and the index of its entry.
func (l *Log) membersAt() (Members, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if m := l.entries[i].members; m != nil {
			return m, l.entries[i].index
		}
	}
	return l.base.members, l.base.index
}

// membersBefore returns the set of members before the entry at an index.
func (l *Log) membersBefore(index uint64) Members {
	for i := index - 1; i > l.base.index; i-- {
		if e, ok := l.Entry(i); ok && e.members != nil {
			return e.members
		}
	}
	return l.base.members
}

// digestAt returns the digest of the log up to index.
func (l *Log) digestAt(index uint64) (Digest, bool) {
	if index == l.base.index {
		return l.base.digest, true
	}
	e, ok := l.Entry(index)
	return e.digest, ok
}

// store stores an entry at its index. If the log has another entry there, that
// entry and all later ones are dropped. It reports whether the entry continues
// the digest chain and whether the log has changed.
func (l *Log) store(e Entry) (ok, changed bool) {
	prev, ok := l.digestAt(e.index - 1)
	if !ok || e.chainDigest(prev) != e.digest {
		return false, false
	}
	if e.payload != nil && sha256.Sum256(e.payload) != e.payloadDigest {
		return false, false
	}
	old, has := l.Entry(e.index)
	if has && old.digest == e.digest {
		return true, false
	}
	at := e.index - l.base.index - 1
	if at < uint64(len(l.entries)) {
		// Copy the entries, as slices returned by After must not change.
		l.entries = append(l.entries[:at:at], e)
		return true, true
	}
	l.entries = append(l.entries, e)
	return true, true
}

// compact replaces the entries up to index by a snapshot.
func (l *Log) compact(index uint64, state []byte) bool {
	e, ok := l.Entry(index)
	if !ok {
		return false
	}
	members := l.base.members
	for _, o := range l.entries[:index-l.base.index] {
		if o.members != nil {
			members = o.members
		}
	}
	kept := l.entries[index-l.base.index:]
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.base = Base{index: index, ballot: e.ballot, digest: e.digest, members: members, state: state}
	return true
}

// copyLog returns a copy of the log that shares the payloads.
func (l *Log) copyLog() Log {
	return Log{base: l.base, entries: append([]Entry(nil), l.entries...)}
}
