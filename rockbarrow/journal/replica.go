// SPDX-License-Identifier: MIT

package journal

// Replica stores one copy of a journal and votes on ballots and entries.
type Replica struct {
	// Witness is true if the replica must not store payloads.
	Witness bool
	// Fresh is true if an earlier start of the process may have given a promise
	// that was lost.
	Fresh bool

	// promised is the newest ballot that was promised. It never decreases.
	promised Ballot
	log      Log
	// commit never decreases, and entries up to it are never replaced.
	commit uint64
	// failed is set after a failed sync and never cleared.
	failed bool
}

// Change is the effect of one message, to be stored on a disk before the reply.
type Change struct {
	// Promised is the promised ballot.
	Promised Ballot
	// Commit is the commit index.
	Commit uint64
	// Base is set if a snapshot has replaced the entries up to its index.
	Base *Base
	// Truncate is the index from which stored entries are dropped, or 0.
	Truncate uint64
	// Entries are the entries to store after the truncation.
	Entries []Entry
	// Durable is true if the change must be synced before the reply.
	Durable bool
}

// RestoreReplica returns a replica from stored data.
func RestoreReplica(promised Ballot, commit uint64, base Base, entries []Entry) (*Replica, error) {
	r := &Replica{promised: promised, log: Log{base: base}}
	for _, e := range entries {
		if ok, _ := r.log.store(e); !ok {
			return nil, &CorruptError{Index: e.index}
		}
	}
	if commit > r.log.LastIndex() {
		return nil, &CorruptError{Index: commit}
	}
	r.commit = max(commit, base.index)
	return r, nil
}

// Log returns the log of the replica. It is valid until the next call of Handle.
func (r *Replica) Log() *Log { return &r.log }

// Promised returns the newest ballot that the replica promised.
func (r *Replica) Promised() Ballot { return r.promised }

// Commit returns the newest index that the replica knows to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// Observe promises a ballot that was seen elsewhere. No writer relies on the
// promise, so it needs no sync.
func (r *Replica) Observe(b Ballot) {
	if b.Compare(r.promised) > 0 {
		r.promised = b
	}
}

// Fail permanently stops the replica from voting, after a failed sync.
func (r *Replica) Fail() { r.failed = true }

// Failed reports whether the replica has stopped voting.
func (r *Replica) Failed() bool { return r.failed }

// Handle processes one message. If the change is durable, it must be synced
// before the reply is sent.
func (r *Replica) Handle(m Message) (Reply, Change) {
	if r.failed {
		return NonVoting{}, Change{}
	}
	switch m := m.(type) {
	case Prepare:
		return r.prepare(m)
	case Fetch:
		return r.fetch(m), Change{}
	case Append:
		return r.append(m)
	case Install:
		return r.install(m)
	}
	return NonVoting{}, Change{}
}

// Compact replaces the committed entries up to index by a snapshot.
func (r *Replica) Compact(index uint64, state []byte) (Change, bool) {
	if index > r.commit || !r.log.compact(index, state) {
		return Change{}, false
	}
	base := r.log.base
	return Change{Promised: r.promised, Commit: r.commit, Base: &base, Durable: true}, true
}

func (r *Replica) prepare(m Prepare) (Reply, Change) {
	if m.Ballot.Compare(r.promised) < 0 {
		return Refused{Promised: r.promised}, Change{}
	}
	r.promised = m.Ballot
	index, ballot, digest := r.log.Last()
	reply := Promised{
		Ballot:     m.Ballot,
		LastIndex:  index,
		LastBallot: ballot,
		LastDigest: digest,
		Commit:     r.commit,
		Fresh:      r.Fresh && index == 0,
	}
	return reply, Change{Promised: r.promised, Commit: r.commit, Durable: true}
}

// fetch refuses ballots older than the promised one, as the log may have changed
// since they were promised.
func (r *Replica) fetch(m Fetch) Reply {
	if m.Ballot.Compare(r.promised) < 0 {
		return Refused{Promised: r.promised}
	}
	out := Fetched{Ballot: m.Ballot, After: m.After}
	after := m.After
	if after < r.log.base.index {
		base := r.log.base
		out.Base = &base
		after = base.index
	}
	out.Entries = r.log.After(after, m.Limit)
	return out
}

func (r *Replica) append(m Append) (Reply, Change) {
	if m.Ballot.Compare(r.promised) < 0 {
		return Refused{Promised: r.promised}, Change{}
	}
	change := Change{Promised: m.Ballot, Durable: m.Ballot != r.promised}
	r.promised = m.Ballot
	if m.PrevIndex < r.log.base.index {
		return r.mismatch(m.Ballot, r.log.base.index), r.withCommit(change)
	}
	digest, ok := r.log.digestAt(m.PrevIndex)
	if !ok {
		return r.mismatch(m.Ballot, r.log.LastIndex()), r.withCommit(change)
	}
	if digest != m.PrevDigest {
		return r.mismatch(m.Ballot, max(r.commit, m.PrevIndex-1)), r.withCommit(change)
	}
	held := m.PrevIndex
	for _, e := range m.Entries {
		if e.index != held+1 {
			break
		}
		if r.Witness {
			e = e.withoutPayload()
		}
		old, had := r.log.Entry(e.index)
		if e.index <= r.commit && had && old.digest != e.digest {
			break
		}
		ok, changed := r.log.store(e)
		if !ok {
			break
		}
		held = e.index
		if changed {
			if had && change.Truncate == 0 {
				change.Truncate = e.index
			}
			change.Entries = append(change.Entries, e)
			change.Durable = true
		}
	}
	r.commit = max(r.commit, min(m.Commit, held))
	return Accepted{Ballot: m.Ballot, Index: held, Nonce: m.Nonce}, r.withCommit(change)
}

func (r *Replica) install(m Install) (Reply, Change) {
	if m.Ballot.Compare(r.promised) < 0 {
		return Refused{Promised: r.promised}, Change{}
	}
	r.promised = m.Ballot
	change := Change{Promised: m.Ballot, Durable: true}
	if m.Base.index > r.commit {
		base := m.Base
		if r.Witness {
			base.state = nil
		}
		r.log = Log{base: base}
		r.commit = base.index
		change.Base = &base
	}
	return Accepted{Ballot: m.Ballot, Index: r.commit}, r.withCommit(change)
}

func (r *Replica) mismatch(b Ballot, index uint64) Reply { return Mismatch{Ballot: b, Index: index} }

func (r *Replica) withCommit(c Change) Change {
	c.Commit = r.commit
	return c
}
