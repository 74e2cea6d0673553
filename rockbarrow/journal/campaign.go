// SPDX-License-Identifier: MIT

package journal

import "cmp"

func (w *Writer) campaign(round uint64) []Action {
	w.ballot = Ballot{
		round:       max(w.newestBallot.round+1, round),
		instance:    w.Self.instance,
		incarnation: w.Incarnation,
	}
	w.newestBallot = w.ballot
	w.phase = preparing
	w.delivered = w.log.base.index
	w.peers = nil
	w.learner = nil
	w.confirmsAnswered = w.confirmsRequested
	return w.prepareAll()
}

// prepareAll sends Prepare to the members that have not promised and have no
// message in flight.
func (w *Writer) prepareAll() []Action {
	var out []Action
	for _, m := range w.Members() {
		p := w.peer(m)
		if p == nil {
			p = &progress{member: m}
			w.peers = append(w.peers, p)
		}
		if p.promised == nil && !p.inFlight && !p.nonVoting && m.incarnation != 0 {
			p.inFlight = true
			out = append(out, Send{To: m, Message: Prepare{Ballot: w.ballot}})
		}
	}
	return out
}

// adoptNewestLog adopts the newest log once a majority has promised.
func (w *Writer) adoptNewestLog() []Action {
	if w.phase != preparing {
		return nil
	}
	if !w.promisedByMajority() {
		return w.prepareAll()
	}
	best := w.bestPromise()
	if best == nil {
		return w.prepareAll()
	}
	index, _, digest := w.log.Last()
	if best.promised.LastIndex == index && best.promised.LastDigest == digest && !w.lacksPayloads() {
		return w.appendOpeningEntry()
	}
	w.phase = fetching
	w.source = best.member
	w.sourceIndex = best.promised.LastIndex
	return w.fetchMore(best)
}

// promisedByMajority reports whether a majority has promised. If another writer
// may create the same journal, an empty log must also be provably empty.
func (w *Writer) promisedByMajority() bool {
	members := w.Members()
	votes, last := 0, uint64(0)
	for _, m := range members {
		if p := w.peer(m); p != nil && p.promised != nil {
			votes++
			last = max(last, p.promised.LastIndex)
		}
	}
	if votes < members.Majority() {
		return false
	}
	return last > 0 || !w.ConcurrentCreate || w.provablyEmpty(members)
}

// provablyEmpty reports whether no entry can have committed, given that all
// promises are for an empty log. That is so if a majority of the promises come
// from replicas that lost no state, if one comes from a disk that lost no state,
// as no entry commits without it, or if all members that store copies promised,
// as every committed entry has two copies.
func (w *Writer) provablyEmpty(members Members) bool {
	settled, copies, promised := 0, 0, 0
	for _, m := range members {
		if !m.witness {
			copies++
		}
		p := w.peer(m)
		if p == nil || p.promised == nil {
			continue
		}
		if !m.witness {
			promised++
		}
		if !p.promised.Fresh {
			settled++
		}
		if m.disk && !p.promised.Fresh {
			return true
		}
	}
	return settled >= members.Majority() || promised == copies
}

// bestPromise returns the member with the newest log, or nil if only witnesses
// have it, as they store no payloads.
func (w *Writer) bestPromise() *progress {
	var best *progress
	for _, p := range w.peers {
		if p.promised == nil {
			continue
		}
		if best == nil || hasNewerLog(p, best) {
			best = p
		}
	}
	if best != nil && best.member.witness && best.promised.LastIndex > 0 {
		return nil
	}
	return best
}

// hasNewerLog prefers the newer last ballot, then the longer log, then a member
// that stores payloads.
func hasNewerLog(p, o *progress) bool {
	c := cmp.Or(
		p.promised.LastBallot.Compare(o.promised.LastBallot),
		cmp.Compare(p.promised.LastIndex, o.promised.LastIndex),
	)
	if c == 0 {
		return o.member.witness && !p.member.witness
	}
	return c > 0
}

func (w *Writer) lacksPayloads() bool {
	for _, e := range w.log.entries {
		if e.payloadMissing() {
			return true
		}
	}
	return false
}

// fetchMore fetches the entries after the committed prefix, which is equal in
// all logs.
func (w *Writer) fetchMore(p *progress) []Action {
	p.inFlight = true
	after := w.commit
	if w.lacksPayloads() {
		after = w.log.base.index
	}
	return []Action{Send{To: p.member, Message: Fetch{Ballot: w.ballot, After: after, Limit: fetchLimit}}}
}

func (w *Writer) fetched(p *progress, r Fetched) []Action {
	if w.phase != fetching || !p.member.Is(w.source) {
		return nil
	}
	if r.Base != nil && r.Base.index > w.log.base.index {
		w.log = Log{base: *r.Base}
		w.commit = max(w.commit, r.Base.index)
		w.delivered = r.Base.index
	}
	progressed := false
	for _, e := range r.Entries {
		ok, _ := w.storeFetched(e)
		if !ok {
			break
		}
		progressed = true
	}
	reached := uint64(0)
	if n := len(r.Entries); n > 0 && progressed {
		reached = r.Entries[n-1].index
	} else {
		reached = max(r.After, w.log.base.index)
	}
	if reached < w.sourceIndex && progressed {
		p.inFlight = true
		return []Action{Send{To: p.member, Message: Fetch{Ballot: w.ballot, After: reached, Limit: fetchLimit}}}
	}
	if reached < w.sourceIndex {
		w.phase = preparing
		p.promised = nil
		return w.prepareAll()
	}
	w.truncate(w.sourceIndex)
	// The fetched log may have other members, and newer promises may have arrived
	// in the meantime.
	w.phase = preparing
	return w.adoptNewestLog()
}

// storeFetched stores an entry, also if it only adds the payload of an entry that
// the log has without one.
func (w *Writer) storeFetched(e Entry) (bool, bool) {
	if old, ok := w.log.Entry(e.index); ok && old.digest == e.digest && old.payloadMissing() && !e.payloadMissing() {
		w.log.entries[e.index-w.log.base.index-1] = e
		return true, true
	}
	return w.log.store(e)
}

func (w *Writer) truncate(index uint64) {
	index = max(index, w.commit)
	if index < w.log.LastIndex() {
		w.log.entries = w.log.entries[:index-w.log.base.index]
	}
}

// appendOpeningEntry appends the writer's first entry to the adopted log.
func (w *Writer) appendOpeningEntry() []Action {
	w.phase = opening
	for _, p := range w.peers {
		p.next = w.log.LastIndex() + 1
		p.match = 0
	}
	e := Entry{}
	if w.log.Members() == nil {
		e.members = w.Initial
	}
	out := w.appendEntry(e)
	w.openingIndex = w.log.LastIndex()
	return out
}
