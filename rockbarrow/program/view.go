// SPDX-License-Identifier: MIT

package program

import (
	"rockbarrow.dev/schema/peerpb"
)

// View returns the public view of the run with at most limit turns after a
// sequence. A limit of 0 omits the turns.
func (s *State) View(owner string, after uint64, limit uint32) *peerpb.RunView {
	c := s.created
	v := &peerpb.RunView{
		Run:            c.GetRun(),
		Program:        c.GetProgram(),
		State:          s.phase(),
		NextSequence:   s.NextSequence(),
		BudgetTokens:   c.GetBudgetTokens(),
		SpentTokens:    s.spent,
		ReservedTokens: s.reserved,
		Owner:          owner,
		ConfigVersion:  c.GetConfigVersion(),
		Parent:         c.GetParent(),
		Depth:          c.GetDepth(),
		MaxDepth:       c.GetMaxDepth(),
	}
	for i := after; i < uint64(len(s.turns)) && uint32(len(v.Turns)) < limit; i++ {
		v.Turns = append(v.Turns, s.turns[i].view())
	}
	v.More = limit > 0 && after+uint64(len(v.Turns)) < uint64(len(s.turns))
	return v
}

func (s *State) phase() string {
	switch {
	case s.ended != "":
		return "ended:" + s.ended
	case s.OpenTurn() != nil:
		return "calling"
	}
	return "idle"
}

func (t *Turn) view() *peerpb.TurnView {
	in := t.intent
	return &peerpb.TurnView{
		Sequence:      in.GetSequence(),
		RequestId:     in.GetRequestId(),
		State:         t.state.String(),
		Messages:      t.messages,
		Answer:        t.answered.GetContent(),
		Attempt:       in.GetAttempt(),
		Endpoint:      in.GetEndpoint(),
		Domain:        in.GetDomain(),
		ConfigVersion: in.GetConfigVersion(),
		Reason:        t.Reason(),
		PromptTokens:  t.answered.GetPromptTokens(),
		CachedTokens:  t.answered.GetCachedTokens(),
		AnswerTokens:  t.answered.GetAnswerTokens(),
	}
}
