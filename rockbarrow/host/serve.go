// SPDX-License-Identifier: MIT

package host

import (
	"context"
	"strings"
	"time"

	"rockbarrow.dev/rockbarrow/owner"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/schema/peerpb"
)

// HomeDomain returns the home failure domain of a run, which its id begins
// with.
func HomeDomain(run string) string {
	home, _, _ := strings.Cut(run, ".")
	return home
}

// Serve processes a request if this instance owns or can claim the run, and
// otherwise replies with a redirect to the owner. A redirect without an
// instance means that the run is not known here.
func (h *Host) Serve(ctx context.Context, req *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error {
	h.init()
	if !h.Learned() {
		return emit(problem.Event(problem.Retry(problem.NotServing, "this instance does not have the latest configuration yet", time.Second)))
	}
	r, e := h.acquire(req)
	if e != nil {
		return emit(e)
	}
	s := newStream()
	id := program.CallID(h.calls.Add(1))
	r.mu.Lock()
	r.callers[id] = s
	r.mu.Unlock()
	defer r.removeCaller(id)
	r.post(owner.ProgramEvent{Event: programEvent(id, req)})
	for {
		events, done, err := s.next(ctx)
		if err != nil {
			r.post(owner.ProgramEvent{Event: program.CallerLeft{ID: id}})
			return err
		}
		for _, e := range events {
			if err := emit(e); err != nil {
				r.post(owner.ProgramEvent{Event: program.CallerLeft{ID: id}})
				return err
			}
		}
		if done {
			return nil
		}
	}
}

func (r *run) removeCaller(id program.CallID) {
	r.mu.Lock()
	delete(r.callers, id)
	r.mu.Unlock()
}

func programEvent(id program.CallID, req *peerpb.DoRequest) program.Event {
	switch b := req.GetBody().(type) {
	case *peerpb.DoRequest_Create:
		return program.CreateRequested{ID: id, Created: b.Create.GetCreated()}
	case *peerpb.DoRequest_Turn:
		return program.CallReceived{ID: id, Customer: req.GetCustomer(), Turn: b.Turn}
	case *peerpb.DoRequest_End:
		return program.EndRequested{ID: id, Customer: req.GetCustomer(), Reason: b.End.GetReason()}
	case *peerpb.DoRequest_Carve:
		return program.AllocationRequested{ID: id, Customer: req.GetCustomer(), Child: b.Carve.GetChild(), Tokens: b.Carve.GetTokens()}
	case *peerpb.DoRequest_Credit:
		return program.CreditRequested{ID: id, Customer: req.GetCustomer(), Child: b.Credit.GetChild(), Tokens: b.Credit.GetTokens()}
	}
	return program.ViewRequested{ID: id, Customer: req.GetCustomer(), After: req.GetRead().GetAfter(), Limit: req.GetRead().GetLimit()}
}

// acquire returns the run if this instance owns it or claims it now, and
// otherwise the event to reply with.
func (h *Host) acquire(req *peerpb.DoRequest) (*run, *peerpb.DoEvent) {
	create := req.GetCreate() != nil
	r := h.findRun(req.GetRun(), create)
	if r == nil {
		return nil, redirect("", false)
	}
	view := h.View()
	if r.owned() {
		return h.serveOwned(r)
	}
	members, ballot, known := r.membership()
	if !known && !create {
		return nil, redirect("", false)
	}
	if h.stopping.Load() && !h.mayClaimAtStop(view) {
		return nil, h.redirectAtStop(r, create)
	}
	if !known {
		return h.claimRun(r, claimOptions{view: view, create: true, keyed: req.GetCreate().GetKeyed()})
	}
	if h.isOwnBallot(ballot) && members.Contains(h.self()) {
		return h.claimRun(r, claimOptions{view: view})
	}
	if !req.GetTakeOver() && view.IsWriterAlive(ballot) {
		return nil, redirect(ballot.Instance(), false)
	}
	m, ok := owner.Successor(members, view)
	switch {
	case !ok:
		return nil, problem.Event(problem.Retry(problem.NotServing, "no instance with the run's history is known to be alive", time.Second))
	case m.Is(h.self()), req.GetTakeOver() && members.Contains(h.self()):
		return h.claimRun(r, claimOptions{view: view})
	}
	return nil, redirect(m.Instance(), false)
}

// serveOwned returns an owned run, or a redirect to a successor if this
// instance is stopping and no call is in progress.
func (h *Host) serveOwned(r *run) (*run, *peerpb.DoEvent) {
	if !h.stopping.Load() || r.busy() {
		return r, nil
	}
	next := r.successor()
	if next == "" {
		return r, nil
	}
	return nil, redirect(next, true)
}

func (h *Host) claimRun(r *run, c claimOptions) (*run, *peerpb.DoEvent) {
	if r.claim(c) {
		return r, nil
	}
	return nil, problem.Event(problem.Retry(problem.NotServing, "the ownership of the run is changing", campaignBackoff))
}

func redirect(instance string, takeOver bool) *peerpb.DoEvent {
	return &peerpb.DoEvent{Body: &peerpb.DoEvent_Redirect{Redirect: &peerpb.Redirect{Instance: instance, TakeOver: takeOver}}}
}
