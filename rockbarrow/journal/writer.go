// SPDX-License-Identifier: MIT

package journal

const (
	// fetchLimit bounds the entries in one Fetch, and appendLimit in one Append.
	fetchLimit  = 64
	appendLimit = 64
)

// Event is what a writer handles: [Campaign], [Propose], [Admit], [Dismiss],
// [Replied], [Lost], [Resend] or [Confirm].
type Event interface{ event() }

// Campaign starts or restarts the writer under a ballot above all it has seen,
// in a round of at least Round. The host never gives one round twice in one
// process, so that no ballot is ever used by two writers.
type Campaign struct{ Round uint64 }

// Propose appends a payload. It is ignored unless the writer serves.
type Propose struct{ Payload []byte }

// Admit copies the log to a new member and then makes it count.
type Admit struct{ Member Member }

// Dismiss takes a member out of the set.
type Dismiss struct{ Member Member }

// Replied is a replica's reply to a [Send].
type Replied struct {
	From  Member
	Reply Reply
}

// Lost says that a [Send] got no reply; it may have arrived.
type Lost struct{ To Member }

// Resend sends again what members lack; it is due now and then.
type Resend struct{}

// Confirm asks whether the writer is still the writer; [Confirmed] answers it
// once a majority has accepted a message that was sent after it.
type Confirm struct{}

func (Campaign) event() {}

func (Propose) event() {}

func (Admit) event() {}

func (Dismiss) event() {}

func (Replied) event() {}

func (Lost) event() {}

func (Resend) event() {}

func (Confirm) event() {}

// Action is what a writer wants done: [Send], [Serving], [Committed],
// [Confirmed] or [Deposed].
type Action interface{ action() }

// Send carries a message to a member, the writer's own replica included.
type Send struct {
	To      Member
	Message Message
}

// Serving says that the writer's own first entry has committed.
type Serving struct{}

// Committed hands over entries in order, each once. After a takeover it starts
// with all entries above the base.
type Committed struct{ Entries []Entry }

// Confirmed says that no newer writer had a majority when the Confirm was
// handled whose number this is; the first has number 1.
type Confirmed struct{ Number uint64 }

// Deposed says that a newer ballot is promised and the writer has stopped.
type Deposed struct{ By Ballot }

func (Send) action() {}

func (Serving) action() {}

func (Committed) action() {}

func (Confirmed) action() {}

func (Deposed) action() {}

type phase int

const (
	idle phase = iota
	preparing
	fetching
	opening
	serving
	deposed
)

// progress is what the writer knows of one member.
type progress struct {
	member   Member
	promised *Promised
	// match is the highest index that the member holds for certain.
	match uint64
	// next is the index to send next, above match.
	next uint64
	// busy is true while a message is on its way.
	busy bool
	// told is the commit index in the last message.
	told uint64
	// confirmed is the highest number that the member's replies prove.
	confirmed uint64
	// silent is true when the member never answers again in this life.
	silent bool
}

// Writer is the only writer of a journal under its ballot.
type Writer struct {
	// Self is the member that writes, and replies to its own messages too.
	Self Member
	// Incarnation is the number of this life of the process. It goes into the
	// ballots, as a storage may outlive the process that wrote to it.
	Incarnation uint64
	// Initial is the set of an empty journal.
	Initial Members
	// Keyed is true when another writer may create the same journal. An empty
	// log is then adopted only if no promise of an earlier life can be lost.
	Keyed bool
	// Eager tells the members at once how far the log is committed; otherwise
	// they learn it with the next entry.
	Eager bool

	phase  phase
	ballot Ballot
	// seen is the newest ballot met; the next campaign goes above it.
	seen Ballot
	log  Log
	// commit is the newest committed index; handed is how far the owner was told.
	commit, handed uint64
	peers          []*progress
	// source is the member whose log is being fetched, up to sourceIndex.
	source      Member
	sourceIndex uint64
	// learner gets the log before it is proposed as a member.
	learner *progress
	opened  uint64
	// asked counts Confirm events; proven is the highest number confirmed.
	asked, proven uint64
}

// Adopt gives the writer the log of its own replica, before a Campaign.
func (w *Writer) Adopt(r *Replica) {
	w.log = r.log.copyLog()
	w.commit = r.commit
	w.see(r.promised)
}

// Ballot returns the ballot of the newest campaign.
func (w *Writer) Ballot() Ballot { return w.ballot }

// Serves reports whether proposals are taken.
func (w *Writer) Serves() bool { return w.phase == serving }

// Deposed reports whether a newer writer was met.
func (w *Writer) Deposed() bool { return w.phase == deposed }

// Commit returns the newest committed index.
func (w *Writer) Commit() uint64 { return w.commit }

// LastIndex returns the index of the newest proposed entry.
func (w *Writer) LastIndex() uint64 { return w.log.LastIndex() }

// Log returns the writer's log; the caller must not keep it over a Handle.
func (w *Writer) Log() *Log { return &w.log }

// Members returns the set in force.
func (w *Writer) Members() Members {
	if m := w.log.Members(); m != nil {
		return m
	}
	return w.Initial
}

// Silent reports whether a member has said that it never votes again.
func (w *Writer) Silent(m Member) bool {
	p := w.peer(m)
	return p != nil && p.silent
}

// Changing reports whether a change of the set is under way.
func (w *Writer) Changing() bool {
	_, at := w.log.membersAt()
	return w.learner != nil || at > w.commit
}

// Compact folds committed entries up to index into state.
func (w *Writer) Compact(index uint64, state []byte) bool {
	return index <= w.handed && w.log.compact(index, state)
}

// Handle takes one event.
func (w *Writer) Handle(e Event) []Action {
	switch e := e.(type) {
	case Campaign:
		return w.campaign(e.Round)
	case Propose:
		return w.propose(Entry{payload: e.Payload})
	case Admit:
		return w.admit(e.Member)
	case Dismiss:
		return w.dismiss(e.Member)
	case Replied:
		return w.replied(e)
	case Lost:
		if p := w.peer(e.To); p != nil {
			p.busy = false
		}
		return nil
	case Resend:
		return w.resend()
	case Confirm:
		w.asked++
		return w.replicateAll()
	}
	return nil
}

// Asked returns the number of the newest Confirm.
func (w *Writer) Asked() uint64 { return w.asked }

func (w *Writer) replied(e Replied) []Action {
	p := w.peer(e.From)
	if p == nil {
		return nil
	}
	switch r := e.Reply.(type) {
	case Refused:
		return w.refused(p, r)
	case Silent:
		p.busy = false
		p.silent = true
		return w.giveUpLearner(p)
	case Promised:
		if r.Ballot != w.ballot {
			return nil
		}
		p.busy = false
		p.promised = &r
		return append(w.adoptBest(), w.replicate(p)...)
	case Fetched:
		if r.Ballot != w.ballot {
			return nil
		}
		p.busy = false
		return w.fetched(p, r)
	case Accepted:
		if r.Ballot != w.ballot {
			return nil
		}
		p.busy = false
		p.match = max(p.match, r.Index)
		p.next = p.match + 1
		p.confirmed = max(p.confirmed, r.Nonce)
		out := append(w.advance(), w.prove()...)
		return append(out, w.replicate(p)...)
	case Gap:
		if r.Ballot != w.ballot {
			return nil
		}
		p.busy = false
		p.next = max(p.match, min(r.Index, w.log.LastIndex())) + 1
		return w.replicate(p)
	}
	return nil
}

func (w *Writer) refused(p *progress, r Refused) []Action {
	p.busy = false
	w.see(r.Promised)
	if r.Promised.Compare(w.ballot) <= 0 || w.phase == deposed {
		return nil
	}
	w.phase = deposed
	return []Action{Deposed{By: r.Promised}}
}

func (w *Writer) see(b Ballot) {
	if b.Compare(w.seen) > 0 {
		w.seen = b
	}
}

func (w *Writer) peer(m Member) *progress {
	for _, p := range w.peers {
		if p.member.Is(m) {
			return p
		}
	}
	return nil
}
