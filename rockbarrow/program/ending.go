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

func (m *Machine) carving(now time.Time, e AllocationRequested) []Action {
	s := &m.state
	switch {
	case s.slice(e.Child) != nil:
		return []Action{m.tellView(e.ID, 0, 0)}
	case s.ended != "" || m.ending != "":
		return refuse(e.ID, problem.New(problem.RunEnded, "the run ended"))
	case s.created.GetDepth() >= s.created.GetMaxDepth():
		return refuse(e.ID, problem.New(problem.CallsExhausted, fmt.Sprintf("sub-agents may nest %d deep", s.created.GetMaxDepth())))
	case e.Tokens > s.Remaining():
		return refuse(e.ID, problem.New(problem.BudgetExhausted, fmt.Sprintf("%d tokens are left, the child asks for %d", s.Remaining(), e.Tokens)))
	}
	again := slices.ContainsFunc(m.asked, func(a ask) bool { return a.carve && a.child == e.Child })
	m.asked = append(m.asked, ask{id: e.ID, child: e.Child, carve: true})
	if again {
		return nil
	}
	record := &recordpb.Carved{Child: e.Child, Tokens: e.Tokens}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Carved{Carved: record}})}
}

func (m *Machine) crediting(now time.Time, e CreditRequested) []Action {
	sl := m.state.slice(e.Child)
	if sl == nil {
		return refuse(e.ID, problem.New(problem.NotFound, "the run has no such child"))
	}
	if sl.returned {
		return []Action{m.tellView(e.ID, 0, 0)}
	}
	again := slices.ContainsFunc(m.asked, func(a ask) bool { return !a.carve && a.child == e.Child })
	m.asked = append(m.asked, ask{id: e.ID, child: e.Child})
	if again {
		return nil
	}
	record := &recordpb.Returned{Child: e.Child, Tokens: e.Tokens}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Returned{Returned: record}})}
}

// tellAsked answers those who waited for a budget change to commit.
func (m *Machine) tellAsked(child string, carve bool) []Action {
	var out []Action
	for _, a := range m.takeAsked(child, carve) {
		out = append(out, m.tellView(a.id, 0, 0))
	}
	return out
}

func (m *Machine) refuseAsked(child string, p *peerpb.Problem) []Action {
	var out []Action
	for _, a := range m.takeAsked(child, true) {
		out = append(out, refuse(a.id, p)...)
	}
	return out
}

func (m *Machine) takeAsked(child string, carve bool) []ask {
	var taken, kept []ask
	for _, a := range m.asked {
		if a.child == child && a.carve == carve {
			taken = append(taken, a)
			continue
		}
		kept = append(kept, a)
	}
	m.asked = kept
	return taken
}

func (m *Machine) endAskedBy(now time.Time, e EndRequested) []Action {
	if m.state.ended != "" {
		return []Action{m.tellView(e.ID, 0, 0)}
	}
	m.enders = append(m.enders, e.ID)
	return m.end(now, or(e.Reason, "asked"))
}

// end ends the run now, or as soon as the call under way is settled.
func (m *Machine) end(now time.Time, reason string) []Action {
	if m.state.ended != "" || m.endAsked || !m.loaded {
		return nil
	}
	asked := m.ending != ""
	m.ending = or(m.ending, reason)
	var out []Action
	for _, c := range m.waiting {
		out = append(out, m.tellAll(c, problem.Event(problem.New(problem.RunEnded, "the run ended: "+m.ending)), true)...)
	}
	m.waiting = nil
	if c := m.open; c != nil {
		if c.stage == sent && !asked {
			out = append(out, Abort{Sequence: c.turn.GetSequence(), Attempt: c.attempt})
		}
		return out
	}
	m.endAsked = true
	record := &recordpb.Ended{Reason: m.ending}
	return append(out, m.commit(now, &recordpb.Record{Body: &recordpb.Record_Ended{Ended: record}}))
}

func (m *Machine) tellEnded() []Action {
	var out []Action
	for _, id := range m.enders {
		out = append(out, m.tellView(id, 0, 0))
	}
	m.enders = nil
	return append(out, m.afterEnd()...)
}

// afterEnd frees engine memory and gives the rest of the budget back.
func (m *Machine) afterEnd() []Action {
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

func (m *Machine) freed(now time.Time, e MemoryReleased) []Action {
	if m.state.ended == "" || !slices.Contains(m.state.held, e.Endpoint) {
		return nil
	}
	record := &recordpb.Released{Endpoint: e.Endpoint}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Released{Released: record}})}
}

func (m *Machine) creditedByParent(now time.Time) []Action {
	if m.state.ended == "" || m.state.credited {
		return nil
	}
	record := &recordpb.Returned{Child: m.state.created.GetRun()}
	return []Action{m.commit(now, &recordpb.Record{Body: &recordpb.Record_Returned{Returned: record}})}
}
