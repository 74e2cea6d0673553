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

// Event is what an [Owner] handles.
type Event interface{ event() }

// Start campaigns for the journal in a round that this process never used.
type Start struct{ Round uint64 }

// Replied is a replica's reply to a [Send].
type Replied struct {
	From  journal.Member
	Reply journal.Reply
}

// Lost says that a [Send] got no reply.
type Lost struct{ To journal.Member }

// Asked hands an event to the program.
type Asked struct{ Event program.Event }

// Ticked lets time pass under the newest view.
type Ticked struct{ View *roster.View }

func (Start) event()   {}
func (Replied) event() {}
func (Lost) event()    {}
func (Asked) event()   {}
func (Ticked) event()  {}

// Action is what an [Owner] wants done.
type Action interface{ action() }

// Send carries a journal message to a member.
type Send struct {
	To      journal.Member
	Message journal.Message
}

// Do is an action of the program.
type Do struct{ Action program.Action }

// Deposed says that another writer was met; the owner is of no more use.
type Deposed struct{ By journal.Ballot }

// Abandoned says that too few members answered for long; the owner is of no more
// use, and another one may start from what is known by then.
type Abandoned struct{}

func (Send) action()      {}
func (Do) action()        {}
func (Deposed) action()   {}
func (Abandoned) action() {}

// Owner owns one run. Set the exported fields before the first event.
type Owner struct {
	// Run is the run's id and the journal's name.
	Run string
	// Domain is the run's home failure domain.
	Domain string
	// Self is the own replica.
	Self journal.Member
	// Incarnation is the number of this life of the process.
	Incarnation uint64
	// Initial is the set of members of a run that does not exist yet.
	Initial journal.Members
	// Keyed is true when the run's creation may be resent to another instance.
	Keyed bool
	// Replica is the own copy if there is one, to start from.
	Replica *journal.Replica
	Machine program.Machine

	writer journal.Writer
	// started is when the campaign began.
	started time.Time
	// early are program events that wait for the journal to serve.
	early []program.Event
	// unproven are answers that are true only if this is still the owner.
	unproven []unproven
	// whole is false while the set of members should change; exposed is true
	// while a loss could leave too few copies.
	whole, exposed bool
}

// unproven is an answer that waits for a confirmation of the ownership.
type unproven struct {
	number uint64
	tell   program.Reply
}

// Serves reports whether the owner's journal serves.
func (o *Owner) Serves() bool { return o.writer.Serves() }

// Whole reports whether the journal's replicas are as they should be.
func (o *Owner) Whole() bool { return o.whole }

// Exposed reports whether a loss could leave too few copies, as of the last tick.
func (o *Owner) Exposed() bool { return o.exposed }

// Members returns the journal's members.
func (o *Owner) Members() journal.Members { return o.writer.Members() }

// Writer returns the journal's writer, for status.
func (o *Owner) Writer() *journal.Writer { return &o.writer }

// Handle takes one event.
func (o *Owner) Handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Start:
		o.started = now
		o.writer = journal.Writer{Self: o.Self, Incarnation: o.Incarnation, Initial: o.Initial, ConcurrentCreate: o.Keyed}
		if o.Replica != nil {
			o.writer.Restore(o.Replica)
		}
		return o.journal(now, journal.Campaign{Round: e.Round})
	case Replied:
		return o.journal(now, journal.Replied{From: e.From, Reply: e.Reply})
	case Lost:
		return o.journal(now, journal.NoReply{To: e.To})
	case Asked:
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
	o.exposed = !o.writer.Serves() || v != nil && Exposed(o.writer.Members(), v, o.Run, o.Domain)
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
		out = append(out, Do{Action: program.Reply{ID: id, Event: problem.Event(p), Done: true}})
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
			out = append(out, Deposed{By: a.By})
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
		out = append(out, o.do(now, o.Machine.Handle(now, program.Recorded{Records: Records(e.Payload())}))...)
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
			out = append(out, Do{Action: a})
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
		out = append(out, Do{Action: u.tell})
	}
	o.unproven = kept
	return out
}

// sendOn redirects those whose answer can no longer be proven.
func (o *Owner) sendOn(instance string) []Action {
	var out []Action
	for _, u := range o.unproven {
		e := &peerpb.DoEvent{Body: &peerpb.DoEvent_Redirect{Redirect: &peerpb.Redirect{Instance: instance}}}
		out = append(out, Do{Action: program.Reply{ID: u.tell.ID, Event: e, Done: true}})
	}
	o.unproven = nil
	return out
}

// Records decodes the payload of an entry; a payload that does not decode
// holds no records.
func Records(payload []byte) []*recordpb.Record {
	var b recordpb.Batch
	if err := proto.Unmarshal(payload, &b); err != nil {
		return nil
	}
	return b.GetRecords()
}
