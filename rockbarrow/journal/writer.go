// SPDX-License-Identifier: MIT

package journal

const (
	// fetchLimit is the maximum number of entries in the reply to a Fetch, and
	// appendLimit in an Append.
	fetchLimit  = 64
	appendLimit = 64
)

// Event is an input of a [Writer]: [Campaign], [Propose], [AddMember],
// [RemoveMember], [Replied], [NoReply], [Resend] or [Confirm].
type Event interface{ event() }

// Campaign starts or restarts the writer under a ballot newer than all that it
// has seen, in a round of at least Round. The host never uses a round twice in
// one process, so that no two writers share a ballot.
type Campaign struct{ Round uint64 }

// Propose appends a payload. It is ignored unless the writer serves.
type Propose struct{ Payload []byte }

// AddMember copies the log to a new member and then adds it to the set.
type AddMember struct{ Member Member }

// RemoveMember removes a member from the set.
type RemoveMember struct{ Member Member }

// Replied is a replica's reply to a [Send].
type Replied struct {
	From  Member
	Reply Reply
}

// NoReply reports that a [Send] was not answered. The message may have arrived.
type NoReply struct{ To Member }

// Resend sends the members what they lack. It is handled periodically.
type Resend struct{}

// Confirm checks that no newer writer has been elected. [Confirmed] answers it
// once a majority has accepted a message that was sent after it.
type Confirm struct{}

func (Campaign) event() {}

func (Propose) event() {}

func (AddMember) event() {}

func (RemoveMember) event() {}

func (Replied) event() {}

func (NoReply) event() {}

func (Resend) event() {}

func (Confirm) event() {}

// Action is an output of a [Writer]: [Send], [Serving], [Committed],
// [Confirmed] or [Superseded].
type Action interface{ action() }

// Send sends a message to a member, which may be the writer's own replica.
type Send struct {
	To      Member
	Message Message
}

// Serving reports that the writer's first entry has committed.
type Serving struct{}

// Committed delivers committed entries in order, each once. The first delivery
// of a writer contains all entries above the base.
type Committed struct{ Entries []Entry }

// Confirmed reports that no newer writer had a majority when the Confirm with
// this number was handled. The first Confirm has number 1.
type Confirmed struct{ Number uint64 }

// Superseded reports that a replica has promised a newer ballot and that the
// writer has stopped.
type Superseded struct{ By Ballot }

func (Send) action() {}

func (Serving) action() {}

func (Committed) action() {}

func (Confirmed) action() {}

func (Superseded) action() {}

type phase int

const (
	idle phase = iota
	preparing
	fetching
	opening
	serving
	superseded
)

// progress is the state of replication to one member.
type progress struct {
	member   Member
	promised *Promised
	// match is the highest index that the member has acknowledged.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// inFlight is true while a message has not been answered.
	inFlight bool
	// sentCommit is the commit index in the last message.
	sentCommit uint64
	// confirmed is the highest number of a Confirm that the member has acknowledged.
	confirmed uint64
	// nonVoting is true if the member has replied that it will not vote again.
	nonVoting bool
}

// Writer is the only writer of a journal under its ballot.
type Writer struct {
	// Self is the writer's own member, which also receives its messages.
	Self Member
	// Incarnation identifies this start of the process. It is part of the ballots,
	// as the storage may outlive the process.
	Incarnation uint64
	// Initial is the set of members of an empty journal.
	Initial Members
	// ConcurrentCreate is true if another writer may create the same journal. An
	// empty log is then adopted only if no earlier promise can be lost.
	ConcurrentCreate bool
	// AnnounceCommits sends the members the commit index as soon as it advances.
	// Otherwise it is sent with the next entry.
	AnnounceCommits bool

	phase  phase
	ballot Ballot
	// newestBallot is the newest ballot seen. The next campaign uses a newer one.
	newestBallot Ballot
	log          Log
	// commit is the commit index, and delivered the last index in a Committed.
	commit, delivered uint64
	peers             []*progress
	// source is the member whose log is being fetched, up to sourceIndex.
	source      Member
	sourceIndex uint64
	// learner receives the log before it is proposed as a member.
	learner *progress
	// openingIndex is the index of the writer's first entry.
	openingIndex uint64
	// confirmsRequested counts Confirm events. confirmsAnswered is the highest
	// number in a Confirmed.
	confirmsRequested, confirmsAnswered uint64
}

// Restore sets the log of the writer's own replica, before a Campaign.
func (w *Writer) Restore(r *Replica) {
	w.log = r.log.copyLog()
	w.commit = r.commit
	w.observeBallot(r.promised)
}

// Ballot returns the ballot of the newest campaign.
func (w *Writer) Ballot() Ballot { return w.ballot }

// Serves reports whether the writer accepts proposals.
func (w *Writer) Serves() bool { return w.phase == serving }

// Superseded reports whether a replica has promised a newer ballot.
func (w *Writer) Superseded() bool { return w.phase == superseded }

// Commit returns the newest committed index.
func (w *Writer) Commit() uint64 { return w.commit }

// LastIndex returns the index of the newest proposed entry.
func (w *Writer) LastIndex() uint64 { return w.log.LastIndex() }

// Log returns the writer's log. It is valid until the next call of Handle.
func (w *Writer) Log() *Log { return &w.log }

// Members returns the newest set of members in the log.
func (w *Writer) Members() Members {
	if m := w.log.Members(); m != nil {
		return m
	}
	return w.Initial
}

// NonVoting reports whether a member has replied that it will not vote again.
func (w *Writer) NonVoting(m Member) bool {
	p := w.peer(m)
	return p != nil && p.nonVoting
}

// ChangingMembers reports whether a change of the set is in progress.
func (w *Writer) ChangingMembers() bool {
	_, at := w.log.membersAt()
	return w.learner != nil || at > w.commit
}

// Compact replaces the delivered entries up to index by a snapshot.
func (w *Writer) Compact(index uint64, state []byte) bool {
	return index <= w.delivered && w.log.compact(index, state)
}

// Handle processes one event and returns the resulting actions.
func (w *Writer) Handle(e Event) []Action {
	switch e := e.(type) {
	case Campaign:
		return w.campaign(e.Round)
	case Propose:
		return w.propose(Entry{payload: e.Payload})
	case AddMember:
		return w.addMember(e.Member)
	case RemoveMember:
		return w.removeMember(e.Member)
	case Replied:
		return w.replied(e)
	case NoReply:
		if p := w.peer(e.To); p != nil {
			p.inFlight = false
		}
		return nil
	case Resend:
		return w.resend()
	case Confirm:
		w.confirmsRequested++
		return w.replicateAll()
	}
	return nil
}

// LastConfirm returns the number of the newest Confirm.
func (w *Writer) LastConfirm() uint64 { return w.confirmsRequested }

func (w *Writer) replied(e Replied) []Action {
	p := w.peer(e.From)
	if p == nil {
		return nil
	}
	switch r := e.Reply.(type) {
	case Refused:
		return w.refused(p, r)
	case NonVoting:
		p.inFlight = false
		p.nonVoting = true
		return w.dropLearner(p)
	case Promised:
		if r.Ballot != w.ballot {
			return nil
		}
		p.inFlight = false
		p.promised = &r
		return append(w.adoptNewestLog(), w.replicate(p)...)
	case Fetched:
		if r.Ballot != w.ballot {
			return nil
		}
		p.inFlight = false
		return w.fetched(p, r)
	case Accepted:
		if r.Ballot != w.ballot {
			return nil
		}
		p.inFlight = false
		p.match = max(p.match, r.Index)
		p.next = p.match + 1
		p.confirmed = max(p.confirmed, r.Nonce)
		out := append(w.advance(), w.confirm()...)
		return append(out, w.replicate(p)...)
	case Mismatch:
		if r.Ballot != w.ballot {
			return nil
		}
		p.inFlight = false
		p.next = max(p.match, min(r.Index, w.log.LastIndex())) + 1
		return w.replicate(p)
	}
	return nil
}

func (w *Writer) refused(p *progress, r Refused) []Action {
	p.inFlight = false
	w.observeBallot(r.Promised)
	if r.Promised.Compare(w.ballot) <= 0 || w.phase == superseded {
		return nil
	}
	w.phase = superseded
	return []Action{Superseded{By: r.Promised}}
}

func (w *Writer) observeBallot(b Ballot) {
	if b.Compare(w.newestBallot) > 0 {
		w.newestBallot = b
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
