// SPDX-License-Identifier: MIT

package host

import (
	"rockbarrow.dev/rockbarrow/owner"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/peerpb"
)

// Stop hands runs over to other instances, and returns the number of runs with a
// call in progress. It has to be called repeatedly until the end of the stop.
func (h *Host) Stop() int {
	h.stopping.Store(true)
	busy := 0
	for _, r := range h.allRuns() {
		r.beginStop()
		if r.busy() {
			busy++
		}
	}
	return busy
}

// RefuseCalls refuses calls and new runs from now on, unless another owner can
// take them, and forwards none.
func (h *Host) RefuseCalls() { h.callsRefused.Store(true) }

// EndCalls ends the calls in progress: they are handed over, or settled.
func (h *Host) EndCalls() {
	for _, r := range h.allRuns() {
		if r.busy() {
			r.post(owner.ProgramEvent{Event: program.StopEnded{Successor: r.successor()}})
		}
	}
}

// beginStop tells the owner that no call begins, once there is a successor or
// calls are refused.
func (r *run) beginStop() {
	if !r.owned() {
		return
	}
	successor := r.successor()
	if successor == "" && !r.host.callsRefused.Load() {
		return
	}
	r.mu.Lock()
	told := r.owner == nil || r.toldOfStop == r.owner
	r.toldOfStop = r.owner
	r.mu.Unlock()
	if !told {
		r.post(owner.ProgramEvent{Event: program.StopBegun{Successor: successor}})
	}
}

// successor returns the instance that should own the run once this one has
// stopped, or "". It need not be usable at the moment: what the stopping instance
// wrote meanwhile could be lost with it.
func (r *run) successor() string {
	members, _, known := r.membership()
	if !known {
		return ""
	}
	m, ok := owner.Successor(members.Without(r.host.self()), r.host.View())
	if !ok {
		return ""
	}
	return m.Instance()
}

// handOver ends the ownership of the run. Callers whose replies still wait for a
// confirmation of the ownership are redirected too.
func (r *run) handOver(o *owner.Owner, a program.HandOver) {
	r.host.Metrics.Counter("handed_over").Inc(1)
	r.dropOwner(o)
	r.mu.Lock()
	r.handedOver = true
	callers := r.callers
	r.callers = map[program.CallID]*stream{}
	r.mu.Unlock()
	for _, s := range callers {
		s.push(redirect(a.To, true), true)
	}
}

func (r *run) wasHandedOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handedOver
}

// mayClaimAtStop reports whether a stopping instance may own further runs: only
// one with a disk keeps what no other instance of the failure domain has.
func (h *Host) mayClaimAtStop(v *roster.View) bool {
	if h.StorageIncarnation == 0 || h.callsRefused.Load() {
		return false
	}
	for _, i := range v.Instances() {
		if i.Domain() == h.Domain && i.Instance() != h.Instance && i.State() != roster.Dead {
			return false
		}
	}
	return true
}

// redirectAtStop returns the reply for a run that a stopping instance does not
// own.
func (h *Host) redirectAtStop(r *run, create bool) *peerpb.DoEvent {
	_, ballot, known := r.membership()
	switch {
	case !known && !create:
		return redirect("", false)
	case !known:
		return problem.Event(stopProblem())
	case !h.isOwnBallot(ballot) && h.View().IsWriterAlive(ballot):
		return redirect(ballot.Instance(), false)
	}
	if next := r.successor(); next != "" {
		return redirect(next, true)
	}
	return problem.Event(stopProblem())
}

// begins reports whether a request begins a call or a run.
func begins(req *peerpb.DoRequest) bool { return req.GetTurn() != nil || req.GetCreate() != nil }

// stopProblem returns the reply to a request that is not begun because the
// instance stops. An earlier sending of it may have run.
func stopProblem() *peerpb.Problem {
	return problem.Retry(problem.NotServing, "the instance stops before the request could end", problem.StopRetryAfter)
}
