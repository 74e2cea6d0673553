// SPDX-License-Identifier: MIT

package journal

import "cmp"

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
func (Propose) event()  {}
func (Admit) event()    {}
func (Dismiss) event()  {}
func (Replied) event()  {}
func (Lost) event()     {}
func (Resend) event()   {}
func (Confirm) event()  {}

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

func (Send) action()      {}
func (Serving) action()   {}
func (Committed) action() {}
func (Confirmed) action() {}
func (Deposed) action()   {}

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

func (w *Writer) giveUpLearner(p *progress) []Action {
	if w.learner == p {
		w.learner = nil
	}
	return nil
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
	return last > 0 || !w.Keyed || w.surelyEmpty(members)
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
	if p.match >= w.log.LastIndex() && p.confirmed >= w.asked && (p.told >= w.commit || !w.Eager) {
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

// advance commits what the durability rule allows, in entries of the writer's
// own ballot only.
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
		held := func(m Member) bool { return w.holds(m, index) }
		if w.Members().durable(held, index == w.opened, w.leavingCopies(index)) {
			w.commit = index
			break
		}
	}
	if w.phase == opening && w.commit >= w.opened {
		w.phase = serving
		out = append(out, Serving{})
	}
	if w.phase == serving && w.handed < w.commit {
		out = append(out, Committed{Entries: w.log.After(w.handed, int(w.commit-w.handed))})
		w.handed = w.commit
		if w.Eager {
			out = append(out, w.replicateAll()...)
		}
	}
	return append(out, w.seatLearner()...)
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
		if !now.Has(m) {
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

func (w *Writer) admit(m Member) []Action {
	if w.phase != serving || w.Changing() || w.Members().Has(m) {
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
	if w.phase != serving || w.Changing() || !w.Members().Has(m) {
		return nil
	}
	return w.write(Entry{members: w.Members().Without(m)})
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
