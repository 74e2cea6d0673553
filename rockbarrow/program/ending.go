// SPDX-License-Identifier: MIT

package program

import (
	"fmt"
	"slices"
	"time"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

func (m *Machine) allocationRequested(now time.Time, e AllocationRequested) []Action {
	s := &m.state
	switch {
	case s.allocation(e.Child) != nil:
		return []Action{m.replyView(e.ID, 0, 0)}
	case s.ended != "" || m.ending != "":
		return refuse(e.ID, problem.New(problem.RunEnded, "the run ended"))
	case s.created.GetDepth() >= s.created.GetMaxDepth():
		return refuse(e.ID, problem.New(problem.CallsExhausted, fmt.Sprintf("sub-agents may nest %d deep", s.created.GetMaxDepth())))
	case e.Tokens > s.Remaining():
		return refuse(e.ID, problem.New(problem.BudgetExhausted, fmt.Sprintf("%d tokens are left, the child asks for %d", s.Remaining(), e.Tokens)))
	}
	duplicate := slices.ContainsFunc(m.budgetRequests, func(a budgetRequest) bool { return a.allocate && a.child == e.Child })
	m.budgetRequests = append(m.budgetRequests, budgetRequest{id: e.ID, child: e.Child, allocate: true})
	if duplicate {
		return nil
	}
	record := &recordpb.Carved{Child: e.Child, Tokens: e.Tokens}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Carved{Carved: record}})}
}

func (m *Machine) creditRequested(now time.Time, e CreditRequested) []Action {
	alloc := m.state.allocation(e.Child)
	if alloc == nil {
		return refuse(e.ID, problem.New(problem.NotFound, "the run has no such child"))
	}
	if alloc.returned {
		return []Action{m.replyView(e.ID, 0, 0)}
	}
	duplicate := slices.ContainsFunc(m.budgetRequests, func(a budgetRequest) bool { return !a.allocate && a.child == e.Child })
	m.budgetRequests = append(m.budgetRequests, budgetRequest{id: e.ID, child: e.Child})
	if duplicate {
		return nil
	}
	record := &recordpb.Returned{Child: e.Child, Tokens: e.Tokens}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Returned{Returned: record}})}
}

// replyBudgetRequests replies to the callers that wait for a budget change to
// commit.
func (m *Machine) replyBudgetRequests(child string, carve bool) []Action {
	var out []Action
	for _, a := range m.takeBudgetRequests(child, carve) {
		out = append(out, m.replyView(a.id, 0, 0))
	}
	return out
}

func (m *Machine) refuseAllocations(child string, p *peerpb.Problem) []Action {
	var out []Action
	for _, a := range m.takeBudgetRequests(child, true) {
		out = append(out, refuse(a.id, p)...)
	}
	return out
}

func (m *Machine) takeBudgetRequests(child string, carve bool) []budgetRequest {
	var taken, kept []budgetRequest
	for _, a := range m.budgetRequests {
		if a.child == child && a.allocate == carve {
			taken = append(taken, a)
			continue
		}
		kept = append(kept, a)
	}
	m.budgetRequests = kept
	return taken
}

func (m *Machine) endRequested(now time.Time, e EndRequested) []Action {
	if m.state.ended != "" {
		return []Action{m.replyView(e.ID, 0, 0)}
	}
	m.endWaiters = append(m.endWaiters, e.ID)
	return m.end(now, orDefault(e.Reason, "asked"))
}

// end ends the run immediately, or as soon as the call in progress is settled.
func (m *Machine) end(now time.Time, reason string) []Action {
	if m.state.ended != "" || m.endProposed || !m.loaded {
		return nil
	}
	alreadyEnding := m.ending != ""
	m.ending = orDefault(m.ending, reason)
	var out []Action
	for _, c := range m.waiting {
		out = append(out, m.notifyListeners(c, problem.Event(problem.New(problem.RunEnded, "the run ended: "+m.ending)), true)...)
	}
	m.waiting = nil
	if c := m.open; c != nil {
		if c.stage == sent && !alreadyEnding {
			out = append(out, Abort{Sequence: c.turn.GetSequence(), Attempt: c.attempt})
		}
		return out
	}
	m.endProposed = true
	record := &recordpb.Ended{Reason: m.ending}
	return append(out, m.commit(now, &recordpb.Record{Body: &recordpb.Record_Ended{Ended: record}}))
}

func (m *Machine) replyEnded() []Action {
	var out []Action
	for _, id := range m.endWaiters {
		out = append(out, m.replyView(id, 0, 0))
	}
	m.endWaiters = nil
	return append(out, m.releaseResources()...)
}

// releaseResources frees the engine memory of an ended run and returns its
// unspent budget to the parent.
func (m *Machine) releaseResources() []Action {
	s := &m.state
	if s.ended == "" {
		return nil
	}
	var out []Action
	for _, endpoint := range s.held {
		out = append(out, ReleaseMemory{Endpoint: endpoint})
	}
	if parent := s.created.GetParent(); parent != "" && !s.credited {
		out = append(out, ReturnBudget{Parent: parent, Child: s.created.GetRun(), Tokens: s.Remaining()})
	}
	return out
}

func (m *Machine) memoryReleased(now time.Time, e MemoryReleased) []Action {
	if m.state.ended == "" || !slices.Contains(m.state.held, e.Endpoint) {
		return nil
	}
	record := &recordpb.Released{Endpoint: e.Endpoint}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Released{Released: record}})}
}

func (m *Machine) parentCredited(now time.Time) []Action {
	if m.state.ended == "" || m.state.credited {
		return nil
	}
	record := &recordpb.Returned{Child: m.state.created.GetRun()}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Returned{Returned: record}})}
}
