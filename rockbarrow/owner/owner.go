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

// serveTimeout is how long callers wait for the journal to serve.
const serveTimeout = 5 * time.Second

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
	// queuedEvents holds program events that wait for the journal to serve.
	queuedEvents []program.Event
	// unconfirmed holds replies that are valid only if this is still the owner.
	unconfirmed []unconfirmedReply
	// fullyReplicated is true if the set of members needs no change. atRisk is true
	// if the stop of leaving members could leave too few copies or votes.
	fullyReplicated, atRisk bool
	// ticked is true once atRisk is known.
	ticked bool
}

// unconfirmedReply is a reply that waits for the ownership to be confirmed.
type unconfirmedReply struct {
	number uint64
	reply  program.Reply
}

// Serves reports whether the owner's journal accepts proposals.
func (o *Owner) Serves() bool { return o.writer.Serves() }

// FullyReplicated reports whether the journal has all its replicas.
func (o *Owner) FullyReplicated() bool { return o.fullyReplicated }

// AtRisk reports whether, as of the last tick, the journal does not serve or the
// loss of leaving members would leave too few copies or votes. A run that was
// taken over is at risk until the first tick.
func (o *Owner) AtRisk() bool { return o.atRisk || !o.ticked && o.InitialMembers == nil }

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
		return o.stepWriter(now, journal.Campaign{Round: e.Round})
	case Replied:
		return o.stepWriter(now, journal.Replied{From: e.From, Reply: e.Reply})
	case NoReply:
		return o.stepWriter(now, journal.NoReply{To: e.To})
	case ProgramEvent:
		return o.programEvent(now, e.Event)
	case Ticked:
		return o.tick(now, e.View)
	}
	return nil
}

// programEvent passes an event to the program, or queues it until the program has
// loaded the journal.
func (o *Owner) programEvent(now time.Time, e program.Event) []Action {
	if !o.Machine.Loaded() && !o.writer.Superseded() {
		o.queuedEvents = append(o.queuedEvents, e)
		return nil
	}
	return o.perform(now, o.Machine.Handle(now, e))
}

func (o *Owner) tick(now time.Time, v *roster.View) []Action {
	out := o.stepWriter(now, journal.Resend{})
	o.ticked = true
	o.atRisk = !o.writer.Serves() || v != nil && AtRisk(o.writer.Members(), v, o.Run, o.Domain)
	if !o.writer.Serves() {
		if now.Sub(o.started) < serveTimeout {
			return out
		}
		out = append(out, o.refuseQueued(now)...)
		return append(out, Abandoned{})
	}
	if o.Machine.Loaded() {
		out = append(out, o.perform(now, o.Machine.Handle(now, program.Ticked{}))...)
	} else if now.Sub(o.started) >= serveTimeout {
		out = append(out, o.refuseQueued(now)...)
	}
	if v == nil {
		return out
	}
	if lostAllDisks(o.writer.Members(), v, o.writer.NonVoting) && o.writer.ChangingMembers() {
		out = append(out, o.perform(now, o.Machine.Handle(now, program.OwnershipLost{By: o.Self.Instance()}))...)
		out = append(out, o.redirectUnconfirmed(o.Self.Instance())...)
		return append(out, Abandoned{})
	}
	step := nextChange(o.writer.Members(), v, o.Run, o.Domain, o.Self, o.writer.NonVoting)
	o.fullyReplicated = step == nil && !o.writer.ChangingMembers()
	if step != nil {
		out = append(out, o.stepWriter(now, step)...)
	}
	return out
}

// refuseQueued refuses the queued requests. None of them has been proposed.
func (o *Owner) refuseQueued(now time.Time) []Action {
	p := problem.Retry(problem.NotServing, "too few replicas of the run answer", time.Second)
	var out []Action
	for _, e := range o.queuedEvents {
		id, ok := program.CallerOf(e)
		if !ok {
			continue
		}
		out = append(out, ProgramAction{Action: program.Reply{ID: id, Event: problem.Event(p), Done: true}})
	}
	o.queuedEvents = nil
	return out
}

// stepWriter passes an event to the writer and performs the resulting actions.
func (o *Owner) stepWriter(now time.Time, e journal.Event) []Action {
	var out []Action
	for _, a := range o.writer.Handle(e) {
		switch a := a.(type) {
		case journal.Send:
			out = append(out, Send{To: a.To, Message: a.Message})
		case journal.Committed:
			out = append(out, o.committed(now, a.Entries)...)
		case journal.Confirmed:
			out = append(out, o.confirmed(a.Number)...)
		case journal.Superseded:
			out = append(out, o.redirectUnconfirmed(a.By.Instance())...)
			out = append(out, o.perform(now, o.Machine.Handle(now, program.OwnershipLost{By: a.By.Instance()}))...)
			out = append(out, o.handleQueued(now)...)
			out = append(out, OwnershipLost{By: a.By})
		}
	}
	return out
}

// committed applies entries to the program. The first entries after a takeover
// are the whole journal, and the program is loaded after them.
func (o *Owner) committed(now time.Time, entries []journal.Entry) []Action {
	var out []Action
	for _, e := range entries {
		if e.Payload() == nil {
			continue
		}
		out = append(out, o.perform(now, o.Machine.Handle(now, program.Recorded{Records: DecodeRecords(e.Payload())}))...)
	}
	if o.Machine.Loaded() {
		return out
	}
	out = append(out, o.perform(now, o.Machine.Handle(now, program.Loaded{}))...)
	return append(out, o.handleQueued(now)...)
}

// handleQueued passes the queued events to the program.
func (o *Owner) handleQueued(now time.Time) []Action {
	early := o.queuedEvents
	o.queuedEvents = nil
	var out []Action
	for _, e := range early {
		out = append(out, o.perform(now, o.Machine.Handle(now, e))...)
	}
	return out
}

// perform proposes the program's commits, holds replies back that need a
// confirmation, and returns all other actions to the host.
func (o *Owner) perform(now time.Time, actions []program.Action) []Action {
	var out []Action
	for _, a := range actions {
		if r, ok := a.(program.Reply); ok && !o.writer.Superseded() && needsConfirmation(r) {
			out = append(out, o.confirm(now, r)...)
			continue
		}
		c, ok := a.(program.Commit)
		if !ok {
			out = append(out, ProgramAction{Action: a})
			continue
		}
		payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(&recordpb.Batch{Records: c.Records})
		if err != nil {
			// Encoding fails only on invalid UTF-8. Package caller replaces it in the messages of
			// requests; package service does not check its answers for it.
			continue
		}
		out = append(out, o.stepWriter(now, journal.Propose{Payload: payload})...)
	}
	return out
}

// needsConfirmation reports whether a reply could be wrong if another instance had
// become the owner: a refusal that claims that a request did not run, or a view.
func needsConfirmation(r program.Reply) bool {
	return r.Event.GetProblem().GetNotRun() || r.Event.GetView() != nil
}

// confirm holds a reply back until a majority has confirmed the ownership.
func (o *Owner) confirm(now time.Time, r program.Reply) []Action {
	out := o.stepWriter(now, journal.Confirm{})
	o.unconfirmed = append(o.unconfirmed, unconfirmedReply{number: o.writer.LastConfirm(), reply: r})
	return out
}

// confirmed sends the replies that wait for a confirmation up to number.
func (o *Owner) confirmed(number uint64) []Action {
	var out []Action
	kept := o.unconfirmed[:0:0]
	for _, u := range o.unconfirmed {
		if u.number > number {
			kept = append(kept, u)
			continue
		}
		out = append(out, ProgramAction{Action: u.reply})
	}
	o.unconfirmed = kept
	return out
}

// redirectUnconfirmed redirects the callers whose replies can no longer be
// confirmed.
func (o *Owner) redirectUnconfirmed(instance string) []Action {
	var out []Action
	for _, u := range o.unconfirmed {
		e := &peerpb.DoEvent{Body: &peerpb.DoEvent_Redirect{Redirect: &peerpb.Redirect{Instance: instance}}}
		out = append(out, ProgramAction{Action: program.Reply{ID: u.reply.ID, Event: e, Done: true}})
	}
	o.unconfirmed = nil
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
