// SPDX-License-Identifier: MIT

package journal

func (w *Writer) propose(e Entry) []Action {
	if w.phase != serving {
		return nil
	}
	return w.write(e)
}

// write appends an entry of the writer's own ballot and sends it out.
func (w *Writer) write(e Entry) []Action {
	index, _, digest := w.log.Last()
	e.index = index + 1
	e.ballot = w.ballot
	w.log.put(e.sealed(digest))
	return w.replicateAll()
}

func (w *Writer) replicateAll() []Action {
	var out []Action
	for _, m := range append(w.leaving(), w.Members()...) {
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

// replicate sends what a member lacks, one message at a time.
func (w *Writer) replicate(p *progress) []Action {
	if w.phase != opening && w.phase != serving {
		return nil
	}
	if p.busy || p.silent || p.member.incarnation == 0 {
		return nil
	}
	if p.match >= w.log.LastIndex() && p.confirmed >= w.asked && (p.told >= w.commit || !w.AnnounceCommits) {
		return nil
	}
	p.busy = true
	p.told = w.commit
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
	msg := Append{Ballot: w.ballot, PrevIndex: next - 1, PrevDigest: digest, Entries: entries, Commit: w.commit, Nonce: w.asked}
	return []Action{Send{To: p.member, Message: msg}}
}

func withoutPayloads(entries []Entry) []Entry {
	out := make([]Entry, len(entries))
	for i, e := range entries {
		out[i] = e.withoutPayload()
	}
	return out
}

// tally counts who holds the log up to an index.
func (w *Writer) tally(index uint64) tally {
	return w.Members().count(func(m Member) bool { return w.holds(m, index) }, w.leavingCopies(index))
}

// advance commits what the durability rule allows, in entries of the writer's
// own ballot only. The opening entry carries no payload and needs the votes
// alone, so that a writer with a single copy can admit members; what it adopted
// is handed over only once it is kept.
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
		t := w.tally(index)
		if t.durable(w.Members().Majority()) || index == w.opened && t.votes >= w.Members().Majority() {
			w.commit = index
			break
		}
	}
	if w.phase == opening && w.commit >= w.opened {
		w.phase = serving
		out = append(out, Serving{})
	}
	if w.phase == serving && w.handed < w.commit && w.tally(w.commit).kept() {
		out = append(out, Committed{Entries: w.log.After(w.handed, int(w.commit-w.handed))})
		w.handed = w.commit
		if w.AnnounceCommits {
			out = append(out, w.replicateAll()...)
		}
	}
	return append(out, w.seatLearner()...)
}

func (w *Writer) holds(m Member, index uint64) bool {
	p := w.peer(m)
	return p != nil && p.match >= index
}

// prove tells of the highest number that a majority has confirmed.
func (w *Writer) prove() []Action {
	if w.phase != serving {
		return nil
	}
	members := w.Members()
	for number := w.asked; number > w.proven; number-- {
		votes := 0
		for _, m := range members {
			if p := w.peer(m); p != nil && p.confirmed >= number {
				votes++
			}
		}
		if votes >= members.Majority() {
			w.proven = number
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
		if p := w.peer(w.source); p != nil && !p.busy {
			return w.fetchMore(p)
		}
	case opening, serving:
		return append(w.replicateAll(), w.seatLearner()...)
	}
	return nil
}
