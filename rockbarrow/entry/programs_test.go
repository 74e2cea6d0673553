// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/schema/fleetpb"
)

// programEntry is a new entry instance with stores, whose quota calls to control are recorded.
type programEntry struct {
	*Entry
	sender *fakeSender
	mu     sync.Mutex
	calls  []*fleetpb.AdmitRequest
}

// newProgramEntry returns an instance at which control refuses new programs for the given time, if it is not zero, and
// admits everything else.
func newProgramEntry(t *testing.T, view *fleetpb.View, refuse time.Duration) *programEntry {
	p := &programEntry{sender: &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}}}
	p.Entry = newStreamEntry(t, view, p.sender)
	d := streamDocument()
	d.Version, d.Customers = 2, keyedDocument(2).Customers
	d.Customers[0].RequestsPerSecond = 10
	for _, r := range d.Routes {
		r.Keyed = true
	}
	p.applyDocument(t, d)
	p.Quota = &quota.Limiter{
		Params: quota.Params{Window: 5 * time.Second}, Mode: quota.Central{}, EntryCount: func() int { return 1 },
		AskControl: func(_ context.Context, req *fleetpb.AdmitRequest) (string, *fleetpb.AdmitReply, error) {
			p.mu.Lock()
			p.calls = append(p.calls, req)
			p.mu.Unlock()
			if req.GetNewProgram() && refuse > 0 {
				return "control", &fleetpb.AdmitReply{RetryAfterMs: uint64(refuse.Milliseconds())}, nil
			}
			return "control", &fleetpb.AdmitReply{Granted: true}, nil
		},
	}
	return p
}

// serve serves a turn of customer a, and returns its status and outcome.
func (p *programEntry) serve(t *testing.T, path, id, program string, budget uint64) (int, Outcome) {
	r := newTurn(path, id, program, budget)
	r.Key, r.HasKey = routing.DigestKey("ka"), true
	w := &fakeWriter{}
	o := p.Serve(t.Context(), r, w)
	return statusOf(o, w), o
}

// asked returns the quota calls since the last one, as charged requests with n for a check of a new program and e for the
// end of one.
func (p *programEntry) asked() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := ""
	for _, c := range p.calls {
		out += fmt.Sprint(c.GetRequests())
		if c.GetNewProgram() {
			out += "n"
		}
		if c.GetEnded() {
			out += "e"
		}
		out += " "
	}
	p.calls = nil
	return out
}

// TestLaterTurnsAreNoNewPrograms guards against refusing programs in progress on routes without history, whose later
// turns do not name the previous one, at the limit for new programs. On routes with history they do, and the stores are
// not asked; otherwise the quota and the admission level would take the same turn differently.
func TestLaterTurnsAreNoNewPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, test := range []struct {
			name, path string
			budget     uint64
			// first and same are the quota calls for the first turn and for a later one at the same instance,
			// other those for a later one at another instance.
			first, same, other string
			// otherStatus is that of the last one. Control refuses new programs then.
			otherStatus int
		}{
			{"with a budget", "r", 500, "1 0n ", "1 ", "1 ", 200},
			{"with history", "k", 500, "1n ", "1 ", "1n ", http.StatusTooManyRequests},
			{"unknown to the stores", "r", 0, "1n ", "1 ", "1n ", http.StatusTooManyRequests},
		} {
			program := "later" + test.path + fmt.Sprint(test.budget)
			a := newProgramEntry(t, view, 0)
			if got, o := a.serve(t, test.path, program+"1", program, test.budget); got != 200 || a.sender.requests == nil {
				t.Fatalf("%s: the first turn got %d %+v", test.name, got, o)
			}
			if got := a.asked(); got != test.first {
				t.Errorf("%s: quota calls of the first turn %q, want %q", test.name, got, test.first)
			}
			synctest.Wait()
			for _, later := range []struct {
				p      *programEntry
				want   string
				status int
			}{{a, test.same, 200}, {newProgramEntry(t, view, time.Second), test.other, test.otherStatus}} {
				got, o := later.p.serve(t, test.path, program+later.want, program, test.budget)
				if calls := later.p.asked(); calls != later.want || got != later.status {
					t.Errorf("%s: a later turn got %d %+v with quota calls %q, want %q", test.name, got, o, calls, later.want)
				}
			}
			if test.path != "k" {
				continue
			}
			p, r := newProgramEntry(t, view, time.Second), newTurn("k", "subagent", program, test.budget)
			r.Key, r.HasKey, r.PreviousTurn = routing.DigestKey("ka"), true, program+"1"
			if o := p.Serve(t.Context(), r, &fakeWriter{}); o != (Completed{}) || p.asked() != "1 " {
				t.Errorf("a sub-agent's first turn got %+v, or was taken for a new program", o)
			}
		}
	})
}

// TestRefusedNewProgramIsUndone guards against a refused first turn that runs, keeps its reservation or its charge, or
// has no retry time.
func TestRefusedNewProgramIsUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProgramEntry(t, startStores(t), 700*time.Millisecond)
		_, o := p.serve(t, "r", "1", "new", 9)
		if r, ok := o.(Rejected); !ok || r.Status != http.StatusTooManyRequests || r.RetryAfter != 700*time.Millisecond || len(p.sender.requests) > 0 {
			t.Errorf("%+v after %d dispatches", o, len(p.sender.requests))
		}
		if got := p.asked(); got != "1 0n " {
			t.Errorf("quota calls %q", got)
		}
		// Fits only without the first reservation.
		awaitBudget(t, p.Entry, "new", 9, 9)
		if got, _ := p.serve(t, "once", "2", "", 0); got != 200 || p.asked() != "" {
			t.Errorf("the next request got %d, or was charged although the refused one was refunded", got)
		}
	})
}

// TestRefusedProgramHoldsNoCommitment guards against programs that control commits a part of the limit to although the
// endpoints have no room for them, so that others are refused without reason.
func TestRefusedProgramHoldsNoCommitment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProgramEntry(t, startStores(t), 0)
		p.sender.responses = []func(EndpointRequest) (*Response, error){notExecuted}
		for path, want := range map[string]string{"r": "1 0n 0e ", "k": "1n 0e "} {
			got, _ := p.serve(t, path, path, "unsent"+path, 9)
			synctest.Wait()
			if calls := p.asked(); got != http.StatusServiceUnavailable || calls != want {
				t.Errorf("%s: an endpoint that has no room gave %d with quota calls %q, want %q", path, got, calls, want)
			}
			time.Sleep(time.Second)
		}
		s := p.Watch.State()
		p.Decode = func([]byte) (*fleetpb.Document, error) {
			d := streamDocument()
			d.Version, d.Customers, d.Services[0].Slots = 3, keyedDocument(3).Customers, 1
			d.Customers[0].RequestsPerSecond = 10
			for _, r := range d.Routes {
				r.Keyed = true
				if r.GetName() != "plain" {
					r.Priority = 1 // programs of the most urgent priority are not refused by the level
				}
			}
			return d, nil
		}
		p.Watch.ApplyReply(&fleetpb.WatchReply{Entries: 4, State: &fleetpb.State{Number: s.GetNumber() + 1, Configuration: &fleetpb.Configuration{Version: 3}, View: s.GetView()}})
		p.refresh()
		p.ReceiveLoads(&fleetpb.EndpointLoads{ListNumber: 1, Running: []uint32{5, 5, 5}, Failing: make([]uint32, 3)})
		for path, want := range map[string]string{"r": "1 ", "k": ""} {
			_, o := p.serve(t, path, path, "level"+path, 9)
			synctest.Wait()
			if r, ok := o.(Rejected); !ok || !strings.Contains(r.Reason, "no room for new programs") {
				t.Errorf("%s: %+v", path, o)
			}
			if calls := p.asked(); calls != want {
				t.Errorf("%s: quota calls %q, want %q", path, calls, want)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestNeedOfProgramsReachesControl guards against a control instance that does not learn how many requests a program
// will make, and against a refusal that names the wrong cause.
func TestNeedOfProgramsReachesControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProgramEntry(t, startStores(t), 0)
		for n := range 6 {
			p.serve(t, "r", fmt.Sprint("turn", n), "first", 500)
			tool := newKeyedRequest("ka", "/once/1")
			tool.Program = "first"
			p.Serve(t.Context(), tool, &fakeWriter{})
		}
		p.asked()
		p.sender.responses = []func(EndpointRequest) (*Response, error){notExecuted}
		p.serve(t, "once", "other", "first", 0)
		r := newTurn("r", "next", "second", 500)
		r.Key, r.HasKey = routing.DigestKey("ka"), true
		r.Arrived, r.TimeToFinish, r.HasTimeToFinish = time.Now(), 3*time.Second, true
		p.Serve(t.Context(), r, &fakeWriter{})
		synctest.Wait()
		// Half a program and half a turn more are counted: 5 later turns of 1.5 programs, 6 tool calls of 6.5 turns. The
		// last call is the end of the program, as its first turn does not run.
		got := p.calls[len(p.calls)-2]
		if want := float32(1+5/1.5) * (1 + 6/6.5); got.GetNeed() < want-0.01 || got.GetNeed() > want+0.01 || got.GetProgram() == 0 || got.GetFinishMs() != 3000 {
			t.Errorf("asked %v, want a need of %v", got, want)
		}
	})
	o, ok := quotaOutcome(quota.Refused{Committed: true}).(Rejected)
	if !ok || o.Status != http.StatusTooManyRequests || o.Reason != "the customer's programs in progress need the rest of its limit" {
		t.Errorf("%+v", o)
	}
}
