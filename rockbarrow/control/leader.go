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

// RequestID identifies an operator's pending request within the process.
type RequestID uint64

// Event is an input of a [Leader].
type Event interface{ event() }

// Campaign starts an election in a round that this process has not used before.
type Campaign struct{ Round uint64 }

// ReplyReceived is a voter's reply to a [Send].
type ReplyReceived struct {
	From  journal.Member
	Reply journal.Reply
}

// SendFailed reports that a [Send] got no reply.
type SendFailed struct{ To journal.Member }

// CommandReceived is an operator's command.
type CommandReceived struct {
	ID       RequestID
	Operator string
	Request  *operatorpb.ApplyRequest
}

// ReplaceVoter requests the replacement of a lost voter.
type ReplaceVoter struct{ New, Old journal.Member }

// Tick resends unanswered messages and continues a replacement of a voter.
type Tick struct{}

func (Campaign) event()        {}
func (ReplyReceived) event()   {}
func (SendFailed) event()      {}
func (CommandReceived) event() {}
func (ReplaceVoter) event()    {}
func (Tick) event()            {}

// Action is requested of the caller by a [Leader].
type Action interface{ action() }

// Send sends a journal message to a voter.
type Send struct {
	To      journal.Member
	Message journal.Message
}

// Respond answers an operator's request.
type Respond struct {
	ID      RequestID
	Outcome *recordpb.ControlOutcome
}

// Publish distributes a new version to all instances.
type Publish struct{ Document *configpb.Document }

// LeadershipLost reports that another leader has taken over. The outcome of the
// pending requests is undetermined.
type LeadershipLost struct {
	By      journal.Ballot
	Pending []RequestID
}

func (Send) action()           {}
func (Respond) action()        {}
func (Publish) action()        {}
func (LeadershipLost) action() {}

// Leader writes the control journal. The exported fields must be set before the
// first event.
type Leader struct {
	Self        journal.Member
	Incarnation uint64
	// Voters are the initial members of an empty journal.
	Voters         journal.Members
	Replica        *journal.Replica
	FailureDomains []FailureDomain
	// CompactAfter is the number of entries after which the journal is compacted;
	// 0 means DefaultCompactAfter.
	CompactAfter uint64

	writer journal.Writer
	state  State
	// pending holds the commands not proposed yet. Only one is proposed at a time,
	// so that each is evaluated against the state that it is applied to.
	pending []CommandReceived
	// proposed is the command whose entry is not committed yet.
	proposed     *CommandReceived
	appliedIndex uint64
	// initialPublished is set once the version found at the election is published.
	initialPublished bool
	replacement      *ReplaceVoter
}

// DefaultCompactAfter is the default of CompactAfter.
const DefaultCompactAfter = 1024

// State returns the state after the entries applied so far.
func (l *Leader) State() *State { return &l.state }

// AcceptsCommands reports whether the leader was elected and processes commands.
func (l *Leader) AcceptsCommands() bool { return l.writer.Serves() }

// Writer returns the journal's writer for status reports.
func (l *Leader) Writer() *journal.Writer { return &l.writer }

// AppliedIndex returns the index of the last applied journal entry.
func (l *Leader) AppliedIndex() uint64 { return l.appliedIndex }

// Handle processes an event and returns the resulting actions.
func (l *Leader) Handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Campaign:
		l.writer = journal.Writer{Self: l.Self, Incarnation: l.Incarnation, Initial: l.Voters, AnnounceCommits: true}
		if l.Replica != nil {
			l.writer.Restore(l.Replica)
		}
		return l.stepWriter(now, journal.Campaign{Round: e.Round})
	case ReplyReceived:
		return l.stepWriter(now, journal.Replied{From: e.From, Reply: e.Reply})
	case SendFailed:
		return l.stepWriter(now, journal.NoReply{To: e.To})
	case CommandReceived:
		return l.handleCommand(now, e)
	case ReplaceVoter:
		l.replacement = &e
		return l.continueReplacement(now)
	case Tick:
		return append(l.stepWriter(now, journal.Resend{}), l.continueReplacement(now)...)
	}
	return nil
}

func (l *Leader) handleCommand(now time.Time, e CommandReceived) []Action {
	if e.Request.GetDryRun() {
		return []Action{Respond{ID: e.ID, Outcome: l.evaluate(e)}}
	}
	l.pending = append(l.pending, e)
	return l.proposeNext(now)
}

func (l *Leader) evaluate(e CommandReceived) *recordpb.ControlOutcome {
	a := e.Request
	return l.state.Evaluate(a.GetCommandId(), a.GetExpectedVersion(), a.GetCommand(), l.FailureDomains)
}

// proposeNext evaluates pending commands until one requires a journal entry.
func (l *Leader) proposeNext(now time.Time) []Action {
	var out []Action
	for l.proposed == nil && l.writer.Serves() && len(l.pending) > 0 {
		e := l.pending[0]
		l.pending = l.pending[1:]
		outcome := l.evaluate(e)
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
	return l.stepWriter(now, journal.Propose{Payload: payload})
}

func (l *Leader) stepWriter(now time.Time, e journal.Event) []Action {
	var out []Action
	for _, a := range l.writer.Handle(e) {
		switch a := a.(type) {
		case journal.Send:
			out = append(out, Send{To: a.To, Message: a.Message})
		case journal.Serving:
			l.restoreState()
		case journal.Committed:
			out = append(out, l.applyCommitted(now, a.Entries)...)
		case journal.Superseded:
			out = append(out, l.failPending(a.By))
		}
	}
	return out
}

// restoreState loads the state from the journal's base.
func (l *Leader) restoreState() {
	base := l.writer.Log().Base()
	l.state = State{}
	l.appliedIndex = base.Index()
	if base.State() != nil {
		if err := l.state.Restore(base.State()); err != nil {
			// The digest chain of the base is verified, so only an incompatible build
			// can have written it.
			l.state = State{}
		}
	}
}

func (l *Leader) applyCommitted(now time.Time, entries []journal.Entry) []Action {
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
	if doc := l.state.Document(); doc.GetVersion() > before || !l.initialPublished {
		l.initialPublished = true
		out = append([]Action{Publish{Document: doc}}, out...)
	}
	l.compact()
	return append(out, l.proposeNext(now)...)
}

// ApplyEntry applies an entry of the control journal and returns its record,
// which is empty for the first entry of a new writer.
func ApplyEntry(s *State, e journal.Entry) *recordpb.ControlRecord {
	r := &recordpb.ControlRecord{}
	if e.Payload() == nil {
		return r
	}
	if err := proto.Unmarshal(e.Payload(), r); err != nil {
		// Written by an incompatible build; all voters skip it.
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

func (l *Leader) failPending(by journal.Ballot) Action {
	d := LeadershipLost{By: by}
	if l.proposed != nil {
		d.Pending = append(d.Pending, l.proposed.ID)
	}
	for _, c := range l.pending {
		d.Pending = append(d.Pending, c.ID)
	}
	l.proposed = nil
	l.pending = nil
	return d
}

// continueReplacement first admits the new voter, which copies the journal before
// its vote counts, and then dismisses the old one.
func (l *Leader) continueReplacement(now time.Time) []Action {
	r := l.replacement
	if r == nil || !l.writer.Serves() || l.writer.ChangingMembers() {
		return nil
	}
	members := l.writer.Members()
	if !members.Contains(r.New) {
		return l.stepWriter(now, journal.AddMember{Member: r.New})
	}
	if members.Contains(r.Old) {
		return l.stepWriter(now, journal.RemoveMember{Member: r.Old})
	}
	l.replacement = nil
	return nil
}
