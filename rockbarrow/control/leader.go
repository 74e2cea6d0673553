// SPDX-License-Identifier: MIT

package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/operatorpb"
	"rockbarrow.dev/schema/recordpb"
)

// RequestID is the host's number for one waiting operator.
type RequestID uint64

// Event is what a [Leader] handles.
type Event interface{ event() }

// Campaign starts an election in a round that this process never used.
type Campaign struct{ Round uint64 }

// ReplyReceived is a voter's reply to a [Send].
type ReplyReceived struct {
	From  journal.Member
	Reply journal.Reply
}

// SendFailed says that a [Send] got no reply.
type SendFailed struct{ To journal.Member }

// CommandReceived is an operator's command.
type CommandReceived struct {
	ID       RequestID
	Operator string
	Request  *operatorpb.ApplyRequest
}

// ReplaceVoter asks for another voter in the place of a lost one.
type ReplaceVoter struct{ New, Old journal.Member }

// Tick lets time pass.
type Tick struct{}

func (Campaign) event()        {}
func (ReplyReceived) event()   {}
func (SendFailed) event()      {}
func (CommandReceived) event() {}
func (ReplaceVoter) event()    {}
func (Tick) event()            {}

// Action is what a [Leader] wants done.
type Action interface{ action() }

// Send carries a journal message to a voter.
type Send struct {
	To      journal.Member
	Message journal.Message
}

// Respond answers a waiting operator with a stored outcome.
type Respond struct {
	ID      RequestID
	Outcome *recordpb.ControlOutcome
}

// Publish brings a version into force everywhere.
type Publish struct{ Document *configpb.Document }

// LeadershipLost says that another leader was met. Commands still waiting have an
// outcome that is not determined here.
type LeadershipLost struct {
	By      journal.Ballot
	Pending []RequestID
}

func (Send) action()           {}
func (Respond) action()        {}
func (Publish) action()        {}
func (LeadershipLost) action() {}

// Leader writes the control journal. Set the exported fields before the first
// event.
type Leader struct {
	Self        journal.Member
	Incarnation uint64
	// Voters are the first members of an empty journal.
	Voters         journal.Members
	Replica        *journal.Replica
	FailureDomains []FailureDomain
	// CompactAfter folds the journal once it holds this many entries.
	CompactAfter uint64

	writer journal.Writer
	state  State
	// queue are commands not proposed yet; one is proposed at a time, so that
	// each is decided under the state that it meets.
	queue []CommandReceived
	// proposed waits for its entry to commit.
	proposed     *CommandReceived
	appliedIndex uint64
	// published is true once the leader has told what it took over.
	published bool
	replace   *ReplaceVoter
}

// DefaultCompactAfter is the default of CompactAfter.
const DefaultCompactAfter = 1024

// State returns the folded journal.
func (l *Leader) State() *State { return &l.state }

// AcceptsCommands reports whether commands are taken.
func (l *Leader) AcceptsCommands() bool { return l.writer.Serves() }

// Writer returns the journal's writer, for status.
func (l *Leader) Writer() *journal.Writer { return &l.writer }

// AppliedIndex returns the journal index up to which the document is folded.
func (l *Leader) AppliedIndex() uint64 { return l.appliedIndex }

// Handle takes one event.
func (l *Leader) Handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Campaign:
		l.writer = journal.Writer{Self: l.Self, Incarnation: l.Incarnation, Initial: l.Voters, AnnounceCommits: true}
		if l.Replica != nil {
			l.writer.Restore(l.Replica)
		}
		return l.journal(now, journal.Campaign{Round: e.Round})
	case ReplyReceived:
		return l.journal(now, journal.Replied{From: e.From, Reply: e.Reply})
	case SendFailed:
		return l.journal(now, journal.NoReply{To: e.To})
	case CommandReceived:
		return l.asked(now, e)
	case ReplaceVoter:
		l.replace = &e
		return l.replaceStep(now)
	case Tick:
		return append(l.journal(now, journal.Resend{}), l.replaceStep(now)...)
	}
	return nil
}

func (l *Leader) asked(now time.Time, e CommandReceived) []Action {
	if e.Request.GetDryRun() {
		return []Action{Respond{ID: e.ID, Outcome: l.decide(e)}}
	}
	l.queue = append(l.queue, e)
	return l.proposeNext(now)
}

func (l *Leader) decide(e CommandReceived) *recordpb.ControlOutcome {
	a := e.Request
	return l.state.Evaluate(a.GetCommandId(), a.GetExpectedVersion(), a.GetCommand(), l.FailureDomains)
}

// proposeNext decides waiting commands until one needs an entry.
func (l *Leader) proposeNext(now time.Time) []Action {
	var out []Action
	for l.proposed == nil && l.writer.Serves() && len(l.queue) > 0 {
		e := l.queue[0]
		l.queue = l.queue[1:]
		outcome := l.decide(e)
		known := l.state.Outcome(e.Request.GetCommandId()) != nil
		if known || outcome.GetResult() == recordpb.ControlOutcome_RESULT_REUSED_ID {
			out = append(out, Respond{ID: e.ID, Outcome: outcome})
			continue
		}
		l.proposed = &e
		out = append(out, l.propose(now, e, outcome)...)
	}
	return out
}

func (l *Leader) propose(now time.Time, e CommandReceived, outcome *recordpb.ControlOutcome) []Action {
	r := &recordpb.ControlRecord{
		AtMs:            now.UnixMilli(),
		CommandId:       e.Request.GetCommandId(),
		Operator:        e.Operator,
		ExpectedVersion: e.Request.GetExpectedVersion(),
		Command:         e.Request.GetCommand(),
		Outcome:         outcome,
	}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		l.proposed = nil
		return nil
	}
	return l.journal(now, journal.Propose{Payload: payload})
}

func (l *Leader) journal(now time.Time, e journal.Event) []Action {
	var out []Action
	for _, a := range l.writer.Handle(e) {
		switch a := a.(type) {
		case journal.Send:
			out = append(out, Send{To: a.To, Message: a.Message})
		case journal.Serving:
			l.restore()
		case journal.Committed:
			out = append(out, l.committed(now, a.Entries)...)
		case journal.Superseded:
			out = append(out, l.deposed(a.By))
		}
	}
	return out
}

// restore starts the fold from the journal's base.
func (l *Leader) restore() {
	base := l.writer.Log().Base()
	l.state = State{}
	l.appliedIndex = base.Index()
	if base.State() != nil {
		if err := l.state.Restore(base.State()); err != nil {
			// The base's digest chain was checked; only a foreign build writes this.
			l.state = State{}
		}
	}
}

func (l *Leader) committed(now time.Time, entries []journal.Entry) []Action {
	var out []Action
	before := l.state.Document().GetVersion()
	for _, e := range entries {
		l.appliedIndex = e.Index()
		r := ApplyEntry(&l.state, e)
		if p := l.proposed; p != nil && p.Request.GetCommandId() == r.GetCommandId() {
			out = append(out, Respond{ID: p.ID, Outcome: l.state.Outcome(r.GetCommandId())})
			l.proposed = nil
		}
	}
	if doc := l.state.Document(); doc.GetVersion() > before || !l.published {
		l.published = true
		out = append([]Action{Publish{Document: doc}}, out...)
	}
	l.compact()
	return append(out, l.proposeNext(now)...)
}

// ApplyEntry folds an entry of the control journal and returns its record; the
// record is empty for a writer's own first entry.
func ApplyEntry(s *State, e journal.Entry) *recordpb.ControlRecord {
	r := &recordpb.ControlRecord{}
	if e.Payload() == nil {
		return r
	}
	if err := proto.Unmarshal(e.Payload(), r); err != nil {
		// Only another build writes this; every voter skips it alike.
		return &recordpb.ControlRecord{}
	}
	s.Apply(e.Index(), r)
	return r
}

func (l *Leader) compact() {
	after := l.CompactAfter
	if after == 0 {
		after = DefaultCompactAfter
	}
	log := l.writer.Log()
	if l.appliedIndex-log.Base().Index() < after {
		return
	}
	if state, err := l.state.Snapshot(); err == nil {
		l.writer.Compact(l.appliedIndex, state)
	}
}

func (l *Leader) deposed(by journal.Ballot) Action {
	d := LeadershipLost{By: by}
	if l.proposed != nil {
		d.Pending = append(d.Pending, l.proposed.ID)
	}
	for _, q := range l.queue {
		d.Pending = append(d.Pending, q.ID)
	}
	l.proposed = nil
	l.queue = nil
	return d
}

// replaceStep first admits the new voter, which copies the journal before it
// counts, and then dismisses the old one.
func (l *Leader) replaceStep(now time.Time) []Action {
	r := l.replace
	if r == nil || !l.writer.Serves() || l.writer.ChangingMembers() {
		return nil
	}
	members := l.writer.Members()
	if !members.Contains(r.New) {
		return l.journal(now, journal.AddMember{Member: r.New})
	}
	if members.Contains(r.Old) {
		return l.journal(now, journal.RemoveMember{Member: r.Old})
	}
	l.replace = nil
	return nil
}
