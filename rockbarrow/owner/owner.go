// SPDX-License-Identifier: MIT

package owner

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// serveWait is how long callers wait for the journal to serve.
const serveWait = 5 * time.Second

// Event is an input of an [Owner].
type Event interface{ event() }

// Start starts a campaign for the journal, in a round that this process has not
// used before.
type Start struct{ Round uint64 }

// Replied is a replica's reply to a [Send].
type Replied struct {
	From  journal.Member
	Reply journal.Reply
}

// NoReply reports that a [Send] was not answered.
type NoReply struct{ To journal.Member }

// ProgramEvent delivers an event to the program.
type ProgramEvent struct{ Event program.Event }

// Ticked is delivered periodically with the newest view.
type Ticked struct{ View *roster.View }

func (Start) event()        {}
func (Replied) event()      {}
func (NoReply) event()      {}
func (ProgramEvent) event() {}
func (Ticked) event()       {}

// Action is an output of an [Owner] for the host to perform.
type Action interface{ action() }

// Send sends a journal message to a member.
type Send struct {
	To      journal.Member
	Message journal.Message
}

// ProgramAction is an action of the program.
type ProgramAction struct{ Action program.Action }

// OwnershipLost reports that another instance owns the run. The owner must be
// discarded.
type OwnershipLost struct{ By journal.Ballot }

// Abandoned reports that too few members have answered for too long. The owner
// must be discarded, and a new one may be started.
type Abandoned struct{}

func (Send) action()          {}
func (ProgramAction) action() {}
func (OwnershipLost) action() {}
func (Abandoned) action()     {}

// Owner owns one run. The exported fields are set before the first event.
type Owner struct {
	// Run is the id of the run and the name of its journal.
	Run string
	// Domain is the run's home failure domain.
	Domain string
	// Self is the owner's own member.
	Self journal.Member
	// Incarnation identifies this start of the process.
	Incarnation uint64
	// InitialMembers is the set of members of a run that does not exist yet.
	InitialMembers journal.Members
	// ConcurrentCreate is true if the run's creation may be resent to another
	// instance.
	ConcurrentCreate bool
	// Replica is the owner's own copy of the journal, or nil.
	Replica *journal.Replica
	Machine program.Machine

	writer journal.Writer
	// started is when the campaign began.
	started time.Time
	// early holds program events that wait for the journal to serve.
	early []program.Event
	// unproven holds replies that are valid only if this is still the owner.
	unproven []unproven
	// whole is true if the set of members needs no change. exposed is true if the
	// loss of a member could leave too few copies.
	whole, exposed bool
}

// unproven is a reply that waits for the ownership to be confirmed.
type unproven struct {
	number uint64
	tell   program.Reply
}

// Serves reports whether the owner's journal accepts proposals.
func (o *Owner) Serves() bool { return o.writer.Serves() }

// FullyReplicated reports whether the journal has all its replicas.
func (o *Owner) FullyReplicated() bool { return o.whole }

// AtRisk reports whether, as of the last tick, the journal does not serve or the
// loss of leaving members would leave too few copies or votes.
func (o *Owner) AtRisk() bool { return o.exposed }

// Members returns the members of the journal.
func (o *Owner) Members() journal.Members { return o.writer.Members() }

// Writer returns the writer of the journal. It is used for status only.
func (o *Owner) Writer() *journal.Writer { return &o.writer }

// Handle processes one event and returns the resulting actions.
func (o *Owner) Handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Start:
		o.started = now
		o.writer = journal.Writer{Self: o.Self, Incarnation: o.Incarnation, Initial: o.InitialMembers, ConcurrentCreate: o.ConcurrentCreate}
		if o.Replica != nil {
			o.writer.Restore(o.Replica)
		}
		return o.journal(now, journal.Campaign{Round: e.Round})
	case Replied:
		return o.journal(now, journal.Replied{From: e.From, Reply: e.Reply})
	case NoReply:
		return o.journal(now, journal.NoReply{To: e.To})
	case ProgramEvent:
		return o.ask(now, e.Event)
	case Ticked:
		return o.tick(now, e.View)
	}
	return nil
}

// ask holds events back until the program has its whole journal.
func (o *Owner) ask(now time.Time, e program.Event) []Action {
	if !o.Machine.Loaded() && !o.writer.Superseded() {
		o.early = append(o.early, e)
		return nil
	}
	return o.do(now, o.Machine.Handle(now, e))
}

func (o *Owner) tick(now time.Time, v *roster.View) []Action {
	out := o.journal(now, journal.Resend{})
	o.exposed = !o.writer.Serves() || v != nil && AtRisk(o.writer.Members(), v, o.Run, o.Domain)
	if !o.writer.Serves() {
		if now.Sub(o.started) < serveWait {
			return out
		}
		out = append(out, o.turnAway(now)...)
		return append(out, Abandoned{})
	}
	if o.Machine.Loaded() {
		out = append(out, o.do(now, o.Machine.Handle(now, program.Ticked{}))...)
	} else if now.Sub(o.started) >= serveWait {
		out = append(out, o.turnAway(now)...)
	}
	if v == nil {
		return out
	}
	if blocked(o.writer.Members(), v, o.writer.NonVoting) && o.writer.ChangingMembers() {
		out = append(out, o.do(now, o.Machine.Handle(now, program.OwnershipLost{By: o.Self.Instance()}))...)
		out = append(out, o.sendOn(o.Self.Instance())...)
		return append(out, Abandoned{})
	}
	step := plan(o.writer.Members(), v, o.Run, o.Domain, o.Self, o.writer.NonVoting)
	o.whole = step == nil && !o.writer.ChangingMembers()
	if step != nil {
		out = append(out, o.journal(now, step)...)
	}
	return out
}

// turnAway refuses what waited for the journal; nothing was proposed.
func (o *Owner) turnAway(now time.Time) []Action {
	p := problem.Retry(problem.NotServing, "too few replicas of the run answer", time.Second)
	var out []Action
	for _, e := range o.early {
		id, ok := program.CallerOf(e)
		if !ok {
			continue
		}
		out = append(out, ProgramAction{Action: program.Reply{ID: id, Event: problem.Event(p), Done: true}})
	}
	o.early = nil
	return out
}

// journal steps the writer and everything that follows from it.
func (o *Owner) journal(now time.Time, e journal.Event) []Action {
	var out []Action
	for _, a := range o.writer.Handle(e) {
		switch a := a.(type) {
		case journal.Send:
			out = append(out, Send{To: a.To, Message: a.Message})
		case journal.Committed:
			out = append(out, o.committed(now, a.Entries)...)
		case journal.Confirmed:
			out = append(out, o.prove(a.Number)...)
		case journal.Superseded:
			out = append(out, o.sendOn(a.By.Instance())...)
			out = append(out, o.do(now, o.Machine.Handle(now, program.OwnershipLost{By: a.By.Instance()}))...)
			out = append(out, o.release(now)...)
			out = append(out, OwnershipLost{By: a.By})
		}
	}
	return out
}

// committed folds entries. The first ones after a takeover are the whole
// journal; only then is the program loaded.
func (o *Owner) committed(now time.Time, entries []journal.Entry) []Action {
	var out []Action
	for _, e := range entries {
		if e.Payload() == nil {
			continue
		}
		out = append(out, o.do(now, o.Machine.Handle(now, program.Recorded{Records: DecodeRecords(e.Payload())}))...)
	}
	if o.Machine.Loaded() {
		return out
	}
	out = append(out, o.do(now, o.Machine.Handle(now, program.Loaded{}))...)
	return append(out, o.release(now)...)
}

// release hands the events that came early to the program.
func (o *Owner) release(now time.Time) []Action {
	early := o.early
	o.early = nil
	var out []Action
	for _, e := range early {
		out = append(out, o.do(now, o.Machine.Handle(now, e))...)
	}
	return out
}

// do turns the program's commits into proposals and passes the rest on.
func (o *Owner) do(now time.Time, actions []program.Action) []Action {
	var out []Action
	for _, a := range actions {
		if t, ok := a.(program.Reply); ok && !o.writer.Superseded() && needsProof(t) {
			out = append(out, o.confirm(now, t)...)
			continue
		}
		c, ok := a.(program.Commit)
		if !ok {
			out = append(out, ProgramAction{Action: a})
			continue
		}
		payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(&recordpb.Batch{Records: c.Records})
		if err != nil {
			// Only invalid UTF-8 cannot be encoded, and adapters refuse it.
			continue
		}
		out = append(out, o.journal(now, journal.Propose{Payload: payload})...)
	}
	return out
}

// needsProof reports whether an answer would be false if another instance had
// become the owner: that a request did not run, or what the run looks like.
func needsProof(t program.Reply) bool {
	return t.Event.GetProblem().GetNotRun() || t.Event.GetView() != nil
}

// confirm keeps an answer back until a majority has confirmed the ownership.
func (o *Owner) confirm(now time.Time, t program.Reply) []Action {
	out := o.journal(now, journal.Confirm{})
	o.unproven = append(o.unproven, unproven{number: o.writer.LastConfirm(), tell: t})
	return out
}

func (o *Owner) prove(number uint64) []Action {
	var out []Action
	kept := o.unproven[:0:0]
	for _, u := range o.unproven {
		if u.number > number {
			kept = append(kept, u)
			continue
		}
		out = append(out, ProgramAction{Action: u.tell})
	}
	o.unproven = kept
	return out
}

// sendOn redirects those whose answer can no longer be proven.
func (o *Owner) sendOn(instance string) []Action {
	var out []Action
	for _, u := range o.unproven {
		e := &peerpb.DoEvent{Body: &peerpb.DoEvent_Redirect{Redirect: &peerpb.Redirect{Instance: instance}}}
		out = append(out, ProgramAction{Action: program.Reply{ID: u.tell.ID, Event: e, Done: true}})
	}
	o.unproven = nil
	return out
}

// DecodeRecords decodes the payload of an entry. It returns nil if the payload is
// invalid.
func DecodeRecords(payload []byte) []*recordpb.Record {
	var b recordpb.Batch
	if err := proto.Unmarshal(payload, &b); err != nil {
		return nil
	}
	return b.GetRecords()
}
