// SPDX-License-Identifier: MIT

package owner

import (
	"fmt"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// repliesFrom passes an event to an owner and returns the last reply to each
// caller.
func (t *testRun) repliesFrom(o *Owner, e Event) map[program.CallID]*peerpb.DoEvent {
	out := map[program.CallID]*peerpb.DoEvent{}
	queue := []Event{e}
	for len(queue) > 0 {
		e := queue[0]
		queue = queue[1:]
		for _, a := range o.Handle(time.Unix(1000, 0), e) {
			switch a := a.(type) {
			case Send:
				reply, _ := t.replicas[a.To].Handle(a.Message)
				queue = append(queue, Replied{From: a.To, Reply: reply})
			case ProgramAction:
				if reply, ok := a.Action.(program.Reply); ok {
					out[reply.ID] = reply.Event
				}
				queue = append(queue, t.performAction(a.Action)...)
			}
		}
	}
	return out
}

func newCall(id program.CallID, seq uint64) ProgramEvent {
	return ProgramEvent{Event: program.CallReceived{ID: id, Customer: "c", Turn: &peerpb.Turn{
		Sequence: seq, RequestId: fmt.Sprint("r", id), Messages: []*recordpb.Message{{Role: "user", Content: "x"}}, Repeatable: true,
	}}}
}

// TestStaleOwnerDoesNotRefuse checks that an owner that has not noticed a takeover
// redirects calls and does not refuse them.
func TestStaleOwnerDoesNotRefuse(t *testing.T) {
	tr := newTestRun(false)
	b := journal.NewMember("b", 1)
	next := &Owner{Run: "d.r", Domain: "d", Self: b, Incarnation: 2, Replica: tr.replicas[b]}
	tr.repliesFrom(next, Start{Round: 2})
	if got := tr.repliesFrom(next, newCall(50, 1)); got[50].GetFinal() == nil {
		t.Fatalf("the second owner answered %v", got[50])
	}
	got := tr.repliesFrom(&tr.o, newCall(51, 7000))
	if got[51] != nil && got[51].GetProblem() != nil {
		t.Fatalf("a stale owner refused with %v", got[51])
	}
	got = tr.repliesFrom(&tr.o, newCall(52, 0))
	if p := got[52].GetProblem(); p.GetNotRun() {
		t.Fatalf("a stale owner replied %v to a request that its successor may have run", p)
	}
	if got[52].GetRedirect() == nil {
		t.Fatalf("a stale owner replied %v, want a redirect", got[52])
	}
}

// TestOwnerRepliesAfterConfirmation checks that an owner sends refusals and views
// once its ownership is confirmed.
func TestOwnerRepliesAfterConfirmation(t *testing.T) {
	tr := newTestRun(false)
	if got := tr.repliesFrom(&tr.o, newCall(50, 0)); !got[50].GetProblem().GetNotRun() {
		t.Fatalf("the owner replied %v, want a refusal with not_run", got[50])
	}
	got := tr.repliesFrom(&tr.o, ProgramEvent{Event: program.ViewRequested{ID: 51, Customer: "c"}})
	if got[51].GetView().GetRun() != "d.r" {
		t.Fatalf("the owner replied %v, want a view of the run", got[51])
	}
}

// TestConfirmationCoversOnlyRepliesUpToIt checks that a reply which waits for a
// later confirmation is not sent with an earlier one.
func TestConfirmationCoversOnlyRepliesUpToIt(t *testing.T) {
	o := &Owner{unconfirmed: []unconfirmedReply{
		{number: 1, reply: program.Reply{ID: 1}},
		{number: 2, reply: program.Reply{ID: 2}},
	}}
	for _, want := range []program.CallID{1, 2} {
		out := o.confirmed(uint64(want))
		if len(out) != 1 || out[0].(ProgramAction).Action.(program.Reply).ID != want {
			t.Fatalf("confirmation %d sent %v, want reply %d alone", want, out, want)
		}
	}
}

// Guards against a stop, or a readiness, between a takeover and the first look at the run's copies, when the run may lack some.
func TestARunIsAtRiskFromItsTakeoverToTheFirstTick(t *testing.T) {
	tr := newTestRun(false)
	if tr.o.AtRisk() {
		t.Fatal("a new run, whose members were chosen for it, is at risk")
	}
	b := journal.NewMember("b", 1)
	next := &Owner{Run: "d.r", Domain: "d", Self: b, Incarnation: 2, Replica: tr.replicas[b]}
	if !next.AtRisk() {
		t.Fatal("a run is not at risk before its owner has begun")
	}
	tr.repliesFrom(next, Start{Round: 2})
	if !next.Serves() || !next.AtRisk() {
		t.Fatalf("serves %v, at risk %v, want both", next.Serves(), next.AtRisk())
	}
	tr.repliesFrom(next, Ticked{})
	if next.AtRisk() {
		t.Fatal("a run with all copies stays at risk")
	}
}
