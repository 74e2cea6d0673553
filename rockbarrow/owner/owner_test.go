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

// told steps an owner against a trio's replicas and returns what callers hear.
func (t *trio) told(o *Owner, e Event) map[program.CallID]*peerpb.DoEvent {
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
				if tell, ok := a.Action.(program.Reply); ok {
					out[tell.ID] = tell.Event
				}
				queue = append(queue, t.act(a.Action)...)
			}
		}
	}
	return out
}

func call(id program.CallID, seq uint64) ProgramEvent {
	return ProgramEvent{Event: program.CallReceived{ID: id, Customer: "c", Turn: &peerpb.Turn{
		Sequence: seq, RequestId: fmt.Sprint("r", id), Messages: []*recordpb.Message{{Role: "user", Content: "x"}}, Repeatable: true,
	}}}
}

// TestStaleOwnerSaysNothingThatMayBeFalse lets a second owner take over behind
// the first one's back, which then refuses a call and shows the run.
func TestStaleOwnerSaysNothingThatMayBeFalse(t *testing.T) {
	tr := newTrio(false)
	b := journal.NewMember("b", 1)
	next := &Owner{Run: "d.r", Domain: "d", Self: b, Incarnation: 2, Replica: tr.replicas[b]}
	tr.told(next, Start{Round: 2})
	if got := tr.told(next, call(50, 1)); got[50].GetFinal() == nil {
		t.Fatalf("the second owner answered %v", got[50])
	}
	got := tr.told(&tr.o, call(51, 7000))
	if got[51] != nil && got[51].GetProblem() != nil {
		t.Fatalf("a stale owner refused with %v", got[51])
	}
	got = tr.told(&tr.o, call(52, 0))
	if p := got[52].GetProblem(); p.GetNotRun() {
		t.Fatalf("a stale owner said %v of a request that its successor may have run", p)
	}
	if got[52].GetRedirect() == nil {
		t.Fatalf("a stale owner said %v, want a redirect", got[52])
	}
}

// TestOwnerProvesItselfBeforeItShowsARun lets the true owner do the same.
func TestOwnerProvesItselfBeforeItShowsARun(t *testing.T) {
	tr := newTrio(false)
	if got := tr.told(&tr.o, call(50, 0)); !got[50].GetProblem().GetNotRun() {
		t.Fatalf("the owner said %v, want a refusal that is certain", got[50])
	}
	got := tr.told(&tr.o, ProgramEvent{Event: program.ViewRequested{ID: 51, Customer: "c"}})
	if got[51].GetView().GetRun() != "d.r" {
		t.Fatalf("the owner showed %v", got[51])
	}
}
