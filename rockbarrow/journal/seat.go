// SPDX-License-Identifier: MIT

package journal

func (w *Writer) giveUpLearner(p *progress) []Action {
	if w.learner == p {
		w.learner = nil
	}
	return nil
}

// leaving returns the members that an uncommitted change dismisses; they get
// entries until it commits.
func (w *Writer) leaving() Members {
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

// leavingCopies counts the copies that members about to be dismissed hold of an
// entry up to the change.
func (w *Writer) leavingCopies(index uint64) int {
	if _, at := w.log.membersAt(); index > at {
		return 0
	}
	n := 0
	for _, m := range w.leaving() {
		if !m.witness && w.holds(m, index) {
			n++
		}
	}
	return n
}

func (w *Writer) admit(m Member) []Action {
	if w.phase != serving || w.ChangingMembers() || w.Members().Contains(m) {
		return nil
	}
	// A member that was dismissed and comes back keeps its progress.
	if w.learner = w.peer(m); w.learner == nil {
		w.learner = &progress{member: m, next: w.log.LastIndex() + 1}
		w.peers = append(w.peers, w.learner)
	}
	return append(w.replicate(w.learner), w.seatLearner()...)
}

// seatLearner proposes the new set once the learner holds the committed log.
func (w *Writer) seatLearner() []Action {
	l := w.learner
	if w.phase != serving || l == nil || l.match < w.commit {
		return nil
	}
	if _, at := w.log.membersAt(); at > w.commit {
		return nil
	}
	w.learner = nil
	return w.write(Entry{members: w.Members().With(l.member)})
}

func (w *Writer) dismiss(m Member) []Action {
	if w.phase != serving || w.ChangingMembers() || !w.Members().Contains(m) {
		return nil
	}
	return w.write(Entry{members: w.Members().Without(m)})
}
