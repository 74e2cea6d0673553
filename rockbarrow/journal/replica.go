// SPDX-License-Identifier: MIT

package journal

// Replica holds one copy of a journal and votes on it.
type Replica struct {
	// Witness is true when payloads must not be kept here.
	Witness bool
	// Fresh is true when this process may have forgotten a promise that an
	// earlier life gave for a journal unknown here.
	Fresh bool

	// promised never gets older.
	promised Ballot
	log      Log
	// commit never shrinks, and entries up to it are never replaced.
	commit uint64
	// failed is set by a sync that failed and is never cleared.
	failed bool
}

// Change is what one message changed, for a disk to sync before the reply.
type Change struct {
	// Promised is the ballot to keep.
	Promised Ballot
	// Commit is the committed index to keep.
	Commit uint64
	// Base is set when a snapshot replaced all before it.
	Base *Base
	// Truncate drops stored entries at and after this index; 0 drops none.
	Truncate uint64
	// Entries are to be stored after the truncation.
	Entries []Entry
	// Durable is false when the change need not be synced before the reply.
	Durable bool
}

// RestoreReplica returns a replica from what a disk kept.
func RestoreReplica(promised Ballot, commit uint64, base Base, entries []Entry) (*Replica, error) {
	r := &Replica{promised: promised, log: Log{base: base}}
	for _, e := range entries {
		if ok, _ := r.log.put(e); !ok {
			return nil, &CorruptError{Index: e.index}
		}
	}
	if commit > r.log.LastIndex() {
		return nil, &CorruptError{Index: commit}
	}
	r.commit = max(commit, base.index)
	return r, nil
}

// Log returns the held log; the caller must not keep it over a Handle.
func (r *Replica) Log() *Log { return &r.log }

// Promised returns the newest ballot that the replica promised.
func (r *Replica) Promised() Ballot { return r.promised }

// Commit returns the newest index that the replica knows to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// Observe promises a ballot that was met elsewhere. No one relies on the promise,
// so it needs no sync.
func (r *Replica) Observe(b Ballot) {
	if b.Compare(r.promised) > 0 {
		r.promised = b
	}
}

// Fail ends the replica's voting for good, after a failed sync.
func (r *Replica) Fail() { r.failed = true }

// Failed reports whether the replica has stopped voting.
func (r *Replica) Failed() bool { return r.failed }

// Handle takes one message. The reply may go out only after the change, if it
// is durable, has been synced.
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

// Compact folds committed entries up to index into state.
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

// fetch refuses older ballots too, as the log may have changed since their
// promise.
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
		return r.gap(m.Ballot, r.log.base.index), r.kept(change)
	}
	digest, ok := r.log.digestAt(m.PrevIndex)
	if !ok {
		return r.gap(m.Ballot, r.log.LastIndex()), r.kept(change)
	}
	if digest != m.PrevDigest {
		return r.gap(m.Ballot, max(r.commit, m.PrevIndex-1)), r.kept(change)
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
		ok, changed := r.log.put(e)
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
	return Accepted{Ballot: m.Ballot, Index: held, Nonce: m.Nonce}, r.kept(change)
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
	return Accepted{Ballot: m.Ballot, Index: r.commit}, r.kept(change)
}

func (r *Replica) gap(b Ballot, index uint64) Reply { return Mismatch{Ballot: b, Index: index} }

func (r *Replica) kept(c Change) Change {
	c.Commit = r.commit
	return c
}
