// SPDX-License-Identifier: MIT

package caller

import (
	"net/http"
	"strconv"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// defaultMaxCalls, defaultAnswer, defaultWall and defaultIdle stand where a
	// program names no limit.
	defaultMaxCalls = 256
	defaultAnswer   = 1024
	defaultWall     = 86_400
	defaultIdle     = 3600
	// maxPage bounds the turns of one page of history.
	maxPage = 100
)

// createPage is the body that creates a run.
type createPage struct {
	Parent       string `json:"parent"`
	BudgetTokens uint64 `json:"budget_tokens"`
}

// runPage is a run as callers see it.
type runPage struct {
	Run            string     `json:"run"`
	Program        string     `json:"program"`
	State          string     `json:"state"`
	NextSequence   uint64     `json:"next_sequence"`
	BudgetTokens   uint64     `json:"budget_tokens"`
	SpentTokens    uint64     `json:"spent_tokens"`
	ReservedTokens uint64     `json:"reserved_tokens"`
	Parent         string     `json:"parent,omitempty"`
	Owner          string     `json:"owner"`
	ConfigVersion  uint64     `json:"config_version"`
	Turns          []turnPage `json:"turns,omitempty"`
	More           bool       `json:"more,omitempty"`
}

// turnPage is a turn as callers see it.
type turnPage struct {
	Sequence      uint64        `json:"sequence"`
	State         string        `json:"state"`
	Messages      []messagePage `json:"messages"`
	Answer        string        `json:"answer"`
	Attempt       uint32        `json:"attempt"`
	Endpoint      string        `json:"endpoint"`
	Domain        string        `json:"domain"`
	ConfigVersion uint64        `json:"config_version"`
	Reason        string        `json:"reason"`
	Usage         usagePage     `json:"usage"`
}

type messagePage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *Server) createRun(q *request) *peerpb.Problem {
	var body createPage
	if p := q.decode(&body, true); p != nil {
		return p
	}
	key, p := q.key()
	if p != nil {
		return p
	}
	prog, ok := q.snapshot.Program(q.r.PathValue("program"))
	if !ok || prog.GetCustomer() != q.customer.GetName() {
		return problem.New(problem.NotFound, "there is no such program")
	}
	view, p := q.newRun(prog, key, body)
	if p != nil {
		return p
	}
	q.json(http.StatusCreated, runOf(view))
	return nil
}

// newRun creates a run of a program, within its parent's budget if it has one.
func (q *request) newRun(prog *configpb.Program, key string, body createPage) (*peerpb.RunView, *peerpb.Problem) {
	b, p := q.mayEnter(prog.GetBinding())
	if p != nil {
		return nil, p
	}
	if q.server.Stop.late() {
		return nil, stopRefusal(key)
	}
	run, p := q.server.Homes.NewRunID(q.customer.GetName(), key, b)
	if p != nil {
		return nil, p
	}
	created := createdOf(prog, run, q.snapshot.Version())
	if body.BudgetTokens > 0 && body.BudgetTokens < created.GetBudgetTokens() {
		created.BudgetTokens = body.BudgetTokens
	}
	if body.Parent != "" {
		if p := q.carve(created, body.Parent); p != nil {
			return nil, p
		}
	}
	return q.view(&peerpb.DoRequest{
		Run:      run,
		Customer: q.customer.GetName(),
		Body:     &peerpb.DoRequest_Create{Create: &peerpb.Create{Created: created, Keyed: key != ""}},
	})
}

// mayEnter checks that this instance may take a call for a binding.
func (q *request) mayEnter(name string) (control.Binding, *peerpb.Problem) {
	b, ok := q.snapshot.Binding(name)
	if !ok {
		return b, problem.New(problem.NotServing, "the binding was removed")
	}
	if b.Proto().GetForbidRelay() && !b.Allows(q.server.Domain) {
		return b, problem.New(problem.PlaceForbidden, "the binding forbids calls through failure domain "+q.server.Domain)
	}
	return b, nil
}

func createdOf(prog *configpb.Program, run string, version uint64) *recordpb.Created {
	return &recordpb.Created{
		Run:             run,
		Program:         prog.GetName(),
		Customer:        prog.GetCustomer(),
		Binding:         prog.GetBinding(),
		Model:           prog.GetModel(),
		BudgetTokens:    prog.GetBudgetTokens(),
		MaxCalls:        or(prog.GetMaxCalls(), defaultMaxCalls),
		MaxAnswerTokens: or(prog.GetMaxAnswerTokens(), defaultAnswer),
		WallMs:          int64(or(prog.GetWallSeconds(), defaultWall)) * 1000,
		IdleMs:          int64(or(prog.GetIdleSeconds(), defaultIdle)) * 1000,
		MaxDepth:        prog.GetMaxDepth(),
		ConfigVersion:   version,
	}
}

// carve takes the child's budget out of its parent's, before the child is made.
func (q *request) carve(created *recordpb.Created, parent string) *peerpb.Problem {
	up, p := q.view(&peerpb.DoRequest{Run: parent, Customer: q.customer.GetName(), Body: &peerpb.DoRequest_Read{Read: &peerpb.Read{}}})
	if p != nil {
		return p
	}
	created.Parent = parent
	created.Depth = up.GetDepth() + 1
	created.MaxDepth = up.GetMaxDepth()
	carve := &peerpb.Carve{Child: created.GetRun(), Tokens: created.GetBudgetTokens()}
	_, p = q.view(&peerpb.DoRequest{Run: parent, Customer: q.customer.GetName(), Body: &peerpb.DoRequest_Carve{Carve: carve}})
	return p
}

// view carries a request whose answer is a view of the run.
func (q *request) view(req *peerpb.DoRequest) (*peerpb.RunView, *peerpb.Problem) {
	var view *peerpb.RunView
	var refused *peerpb.Problem
	err := q.server.Router.Do(q.r.Context(), req, func(e *peerpb.DoEvent) error {
		if v := e.GetView(); v != nil {
			view = v
		}
		if p := e.GetProblem(); p != nil {
			refused = p
		}
		return nil
	})
	switch {
	case view != nil:
		return view, nil
	case refused != nil:
		return nil, refused
	case err != nil:
		return nil, problem.New(problem.Undetermined, err.Error())
	}
	return nil, problem.New(problem.Undetermined, "the owner gave no answer")
}

func (s *Server) readRun(q *request) *peerpb.Problem {
	view, p := q.view(&peerpb.DoRequest{
		Run:      q.r.PathValue("run"),
		Customer: q.customer.GetName(),
		Body:     &peerpb.DoRequest_Read{Read: &peerpb.Read{}},
	})
	if p != nil {
		return p
	}
	q.json(http.StatusOK, runOf(view))
	return nil
}

func (s *Server) readHistory(q *request) *peerpb.Problem {
	read := &peerpb.Read{Limit: maxPage}
	if v := q.r.URL.Query().Get("after"); v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil {
			return problem.New(problem.BadRequest, "after: must be a sequence")
		}
		read.After = n
	}
	if v := q.r.URL.Query().Get("limit"); v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil || n == 0 || n > maxPage {
			return problem.New(problem.BadRequest, "limit: must be from 1 to "+strconv.Itoa(maxPage))
		}
		read.Limit = uint32(n)
	}
	view, p := q.view(&peerpb.DoRequest{Run: q.r.PathValue("run"), Customer: q.customer.GetName(), Body: &peerpb.DoRequest_Read{Read: read}})
	if p != nil {
		return p
	}
	q.json(http.StatusOK, runOf(view))
	return nil
}

func (s *Server) endRun(q *request) *peerpb.Problem {
	view, p := q.view(&peerpb.DoRequest{
		Run:      q.r.PathValue("run"),
		Customer: q.customer.GetName(),
		Body:     &peerpb.DoRequest_End{End: &peerpb.End{Reason: "asked"}},
	})
	if p != nil {
		return p
	}
	q.json(http.StatusOK, runOf(view))
	return nil
}

func runOf(v *peerpb.RunView) runPage {
	out := runPage{
		Run:            v.GetRun(),
		Program:        v.GetProgram(),
		State:          v.GetState(),
		NextSequence:   v.GetNextSequence(),
		BudgetTokens:   v.GetBudgetTokens(),
		SpentTokens:    v.GetSpentTokens(),
		ReservedTokens: v.GetReservedTokens(),
		Parent:         v.GetParent(),
		Owner:          v.GetOwner(),
		ConfigVersion:  v.GetConfigVersion(),
		More:           v.GetMore(),
	}
	for _, t := range v.GetTurns() {
		out.Turns = append(out.Turns, turnOf(t))
	}
	return out
}

func turnOf(t *peerpb.TurnView) turnPage {
	out := turnPage{
		Sequence:      t.GetSequence(),
		State:         t.GetState(),
		Answer:        t.GetAnswer(),
		Attempt:       t.GetAttempt(),
		Endpoint:      t.GetEndpoint(),
		Domain:        t.GetDomain(),
		ConfigVersion: t.GetConfigVersion(),
		Reason:        t.GetReason(),
		Usage:         newUsage(t.GetPromptTokens(), t.GetCachedTokens(), t.GetAnswerTokens()),
	}
	for _, m := range t.GetMessages() {
		out.Messages = append(out.Messages, messagePage{Role: m.GetRole(), Content: m.GetContent()})
	}
	return out
}

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
