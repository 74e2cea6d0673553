// SPDX-License-Identifier: MIT

package journal

import "cmp"

func (w *Writer) campaign(round uint64) []Action {
	w.ballot = Ballot{
		round:       max(w.seen.round+1, round),
		instance:    w.Self.instance,
		incarnation: w.Incarnation,
	}
	w.seen = w.ballot
	w.phase = preparing
	w.handed = w.log.base.index
	w.peers = nil
	w.learner = nil
	w.proven = w.asked
	return w.prepareAll()
}

// prepareAll sends Prepare to members that have neither promised nor been asked.
func (w *Writer) prepareAll() []Action {
	var out []Action
	for _, m := range w.Members() {
		p := w.peer(m)
		if p == nil {
			p = &progress{member: m}
			w.peers = append(w.peers, p)
		}
		if p.promised == nil && !p.busy && !p.silent && m.incarnation != 0 {
			p.busy = true
			out = append(out, Send{To: m, Message: Prepare{Ballot: w.ballot}})
		}
	}
	return out
}

// adoptBest picks the newest promised log once a majority has promised.
func (w *Writer) adoptBest() []Action {
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
	if best.promised.LastIndex == index && best.promised.LastDigest == digest && !w.hasStripped() {
		return w.open()
	}
	w.phase = fetching
	w.source = best.member
	w.sourceIndex = best.promised.LastIndex
	return w.fetchMore(best)
}

// promisedByMajority also holds an empty keyed journal to the rule that no
// earlier promise can be lost.
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
	return last > 0 || !w.ConcurrentCreate || w.surelyEmpty(members)
}

// surelyEmpty reports whether no entry can have committed that the promises do
// not show: enough promises are of replicas that forgot nothing; or a disk's is,
// without which nothing commits; or every member that holds copies promised, of
// which two have each committed entry.
func (w *Writer) surelyEmpty(members Members) bool {
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

// bestPromise returns the member with the newest log that also holds payloads,
// or nil when only witnesses hold the newest.
func (w *Writer) bestPromise() *progress {
	var best *progress
	for _, p := range w.peers {
		if p.promised == nil {
			continue
		}
		if best == nil || newer(p, best) {
			best = p
		}
	}
	if best != nil && best.member.witness && best.promised.LastIndex > 0 {
		return nil
	}
	return best
}

// newer prefers the higher last ballot, then the longer log, then payloads.
func newer(p, o *progress) bool {
	c := cmp.Or(
		p.promised.LastBallot.Compare(o.promised.LastBallot),
		cmp.Compare(p.promised.LastIndex, o.promised.LastIndex),
	)
	if c == 0 {
		return o.member.witness && !p.member.witness
	}
	return c > 0
}

func (w *Writer) hasStripped() bool {
	for _, e := range w.log.entries {
		if e.stripped() {
			return true
		}
	}
	return false
}

// fetchMore asks for what follows the committed prefix, which is equal in
// every log.
func (w *Writer) fetchMore(p *progress) []Action {
	p.busy = true
	after := w.commit
	if w.hasStripped() {
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
		w.handed = r.Base.index
	}
	progressed := false
	for _, e := range r.Entries {
		ok, _ := w.putFetched(e)
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
		p.busy = true
		return []Action{Send{To: p.member, Message: Fetch{Ballot: w.ballot, After: reached, Limit: fetchLimit}}}
	}
	if reached < w.sourceIndex {
		w.phase = preparing
		p.promised = nil
		return w.prepareAll()
	}
	w.truncate(w.sourceIndex)
	// The fetched log may name other members, and newer promises may have come
	// meanwhile, so both are judged again.
	w.phase = preparing
	return w.adoptBest()
}

// putFetched also replaces an equal entry whose payload is missing here.
func (w *Writer) putFetched(e Entry) (bool, bool) {
	if old, ok := w.log.Entry(e.index); ok && old.digest == e.digest && old.stripped() && !e.stripped() {
		w.log.entries[e.index-w.log.base.index-1] = e
		return true, true
	}
	return w.log.put(e)
}

func (w *Writer) truncate(index uint64) {
	index = max(index, w.commit)
	if index < w.log.LastIndex() {
		w.log.entries = w.log.entries[:index-w.log.base.index]
	}
}

// open appends the writer's own first entry to the adopted log.
func (w *Writer) open() []Action {
	w.phase = opening
	for _, p := range w.peers {
		p.next = w.log.LastIndex() + 1
		p.match = 0
	}
	e := Entry{}
	if w.log.Members() == nil {
		e.members = w.Initial
	}
	out := w.write(e)
	w.opened = w.log.LastIndex()
	return out
}
