// SPDX-License-Identifier: MIT

package journal

func (w *Writer) dropLearner(p *progress) []Action {
	if w.learner == p {
		w.learner = nil
	}
	return nil
}

// removedMembers returns the members that an uncommitted change removes. They
// receive entries until it commits.
func (w *Writer) removedMembers() Members {
	now, at := w.log.membersAt()
	if at <= w.commit || at <= w.log.base.index {
		return nil
	}
	var out Members
	for _, m := range w.log.membersBefore(at) {
		if !now.Contains(m) {
			out = append(out, m)
		}
	}
	return out
}

// removedCopies counts the copies of an entry, up to the uncommitted change, in
// the members that the change removes.
func (w *Writer) removedCopies(index uint64) int {
	if _, at := w.log.membersAt(); index > at {
		return 0
	}
	n := 0
	for _, m := range w.removedMembers() {
		if !m.witness && w.hasEntry(m, index) {
			n++
		}
	}
	return n
}

func (w *Writer) addMember(m Member) []Action {
	if w.phase != serving || w.ChangingMembers() || w.Members().Contains(m) {
		return nil
	}
	// A member that was removed before and is added again keeps its progress.
	if w.learner = w.peer(m); w.learner == nil {
		w.learner = &progress{member: m, next: w.log.LastIndex() + 1}
		w.peers = append(w.peers, w.learner)
	}
	return append(w.replicate(w.learner), w.addLearner()...)
}

// addLearner proposes the new set once the learner has the committed log.
func (w *Writer) addLearner() []Action {
	l := w.learner
	if w.phase != serving || l == nil || l.match < w.commit {
		return nil
	}
	if _, at := w.log.membersAt(); at > w.commit {
		return nil
	}
	w.learner = nil
	return w.appendEntry(Entry{members: w.Members().With(l.member)})
}

func (w *Writer) removeMember(m Member) []Action {
	if w.phase != serving || w.ChangingMembers() || !w.Members().Contains(m) {
		return nil
	}
	return w.appendEntry(Entry{members: w.Members().Without(m)})
}
