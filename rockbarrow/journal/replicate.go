// SPDX-License-Identifier: MIT

package journal

func (w *Writer) propose(e Entry) []Action {
	if w.phase != serving {
		return nil
	}
	return w.appendEntry(e)
}

// appendEntry appends an entry under the writer's ballot and replicates it.
func (w *Writer) appendEntry(e Entry) []Action {
	index, _, digest := w.log.Last()
	e.index = index + 1
	e.ballot = w.ballot
	w.log.store(e.withDigests(digest))
	return w.replicateAll()
}

func (w *Writer) replicateAll() []Action {
	var out []Action
	for _, m := range append(w.removedMembers(), w.Members()...) {
		p := w.peer(m)
		if p == nil {
			p = &progress{member: m, next: w.log.LastIndex()}
			w.peers = append(w.peers, p)
		}
		out = append(out, w.replicate(p)...)
	}
	if w.learner != nil {
		out = append(out, w.replicate(w.learner)...)
	}
	return out
}

// replicate sends a member the entries that it lacks, with at most one message in
// flight.
func (w *Writer) replicate(p *progress) []Action {
	if w.phase != opening && w.phase != serving {
		return nil
	}
	if p.inFlight || p.nonVoting || p.member.incarnation == 0 {
		return nil
	}
	if p.match >= w.log.LastIndex() && p.confirmed >= w.confirmsRequested && (p.sentCommit >= w.commit || !w.AnnounceCommits) {
		return nil
	}
	p.inFlight = true
	p.sentCommit = w.commit
	next := max(p.next, 1)
	if next <= w.log.base.index {
		base := w.log.base
		if p.member.witness {
			base.state = nil
		}
		return []Action{Send{To: p.member, Message: Install{Ballot: w.ballot, Base: base}}}
	}
	digest, _ := w.log.digestAt(next - 1)
	entries := w.log.After(next-1, appendLimit)
	if p.member.witness {
		entries = withoutPayloads(entries)
	}
	msg := Append{Ballot: w.ballot, PrevIndex: next - 1, PrevDigest: digest, Entries: entries, Commit: w.commit, Nonce: w.confirmsRequested}
	return []Action{Send{To: p.member, Message: msg}}
}

func withoutPayloads(entries []Entry) []Entry {
	out := make([]Entry, len(entries))
	for i, e := range entries {
		out[i] = e.withoutPayload()
	}
	return out
}

// countAcks counts the members that have the log up to an index.
func (w *Writer) countAcks(index uint64) ackCount {
	return w.Members().countAcks(func(m Member) bool { return w.hasEntry(m, index) }, w.removedCopies(index))
}

// advance commits entries of the writer's own ballot that are durable. The opening
// entry needs only a majority of votes, so that a writer with a single copy can
// add members. Committed entries are delivered once they are safe to deliver.
func (w *Writer) advance() []Action {
	var out []Action
	if w.phase != opening && w.phase != serving {
		return nil
	}
	for index := w.log.LastIndex(); index > w.commit; index-- {
		e, _ := w.log.Entry(index)
		if e.ballot != w.ballot {
			break
		}
		t := w.countAcks(index)
		if t.durable(w.Members().Majority()) || index == w.openingIndex && t.votes >= w.Members().Majority() {
			w.commit = index
			break
		}
	}
	if w.phase == opening && w.commit >= w.openingIndex {
		w.phase = serving
		out = append(out, Serving{})
	}
	if w.phase == serving && w.delivered < w.commit && w.countAcks(w.commit).safeToDeliver() {
		out = append(out, Committed{Entries: w.log.After(w.delivered, int(w.commit-w.delivered))})
		w.delivered = w.commit
		if w.AnnounceCommits {
			out = append(out, w.replicateAll()...)
		}
	}
	return append(out, w.addLearner()...)
}

func (w *Writer) hasEntry(m Member, index uint64) bool {
	p := w.peer(m)
	return p != nil && p.match >= index
}

// confirm reports the highest number of a Confirm that a majority has answered.
func (w *Writer) confirm() []Action {
	if w.phase != serving {
		return nil
	}
	members := w.Members()
	for number := w.confirmsRequested; number > w.confirmsAnswered; number-- {
		votes := 0
		for _, m := range members {
			if p := w.peer(m); p != nil && p.confirmed >= number {
				votes++
			}
		}
		if votes >= members.Majority() {
			w.confirmsAnswered = number
			return []Action{Confirmed{Number: number}}
		}
	}
	return nil
}

func (w *Writer) resend() []Action {
	switch w.phase {
	case preparing:
		return w.prepareAll()
	case fetching:
		if p := w.peer(w.source); p != nil && !p.inFlight {
			return w.fetchMore(p)
		}
	case opening, serving:
		return append(w.replicateAll(), w.addLearner()...)
	}
	return nil
}
