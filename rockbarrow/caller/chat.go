// SPDX-License-Identifier: MIT

package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
)

// chatPage is the chat-completions body. The model names the program. Fields of
// the form that have no meaning here are let pass.
type chatPage struct {
	Model     string        `json:"model"`
	Messages  []messagePage `json:"messages"`
	MaxTokens uint32        `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *messagePage `json:"message,omitempty"`
	Delta        *messagePage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *usagePage   `json:"usage,omitempty"`
}

// chat serves the chat-completions form. The messages are the whole history,
// which must continue the stored one; without a run in the header a new one is
// made and named in the answer's header.
func (s *Server) chat(q *request) *peerpb.Problem {
	raw, p := q.body()
	if p != nil {
		return p
	}
	var body chatPage
	if err := json.Unmarshal(raw, &body); err != nil {
		return problem.New(problem.BadRequest, "body: "+err.Error())
	}
	messages, p := toMessages(body.Messages)
	if p != nil {
		return p
	}
	key, p := q.key()
	if p != nil {
		return p
	}
	run := q.r.Header.Get(HeaderRun)
	if run == "" {
		run, p = q.chatRun(body.Model, key)
		if p != nil {
			return p
		}
	}
	if key == "" {
		key = bodyKey(raw)
	}
	turn := &peerpb.Turn{
		RequestId:       key,
		Messages:        messages,
		MaxAnswerTokens: body.MaxTokens,
		Repeatable:      true,
		WholeHistory:    true,
		EntryDomain:     s.Domain,
	}
	if p := q.resume(turn); p != nil {
		return p
	}
	if p := q.chatSequence(turn); p != nil {
		return p
	}
	q.w.Header().Set(HeaderRun, run)
	req := &peerpb.DoRequest{Run: run, Customer: q.customer.GetName(), Body: &peerpb.DoRequest_Turn{Turn: turn}}
	if body.Stream {
		return q.stream(req, &chatEvents{run: run, model: body.Model})
	}
	final, p := q.final(req)
	if p != nil {
		return p
	}
	a := final.GetAnswered()
	usage := newUsage(a.GetPromptTokens(), a.GetCachedTokens(), a.GetAnswerTokens())
	reason := a.GetFinishReason()
	q.json(http.StatusOK, chatAnswer{
		ID:      chatID(run, a.GetSequence()),
		Object:  "chat.completion",
		Model:   body.Model,
		Choices: []chatChoice{{Message: &messagePage{Role: "assistant", Content: a.GetContent()}, FinishReason: &reason}},
		Usage:   &usage,
	})
	return nil
}

// chatRun makes the run of a first message.
func (q *request) chatRun(program, key string) (string, *peerpb.Problem) {
	prog, ok := q.snapshot.Program(program)
	if !ok || prog.GetCustomer() != q.customer.GetName() {
		return "", problem.New(problem.NotFound, "model: there is no program "+program)
	}
	if key != "" {
		key = "chat-" + key
	}
	view, p := q.newRun(prog, key, createPage{})
	return view.GetRun(), p
}

func (q *request) chatSequence(t *peerpb.Turn) *peerpb.Problem {
	v := q.r.Header.Get(HeaderSequence)
	if v == "" {
		return nil
	}
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil || n == 0 {
		return problem.New(problem.BadRequest, HeaderSequence+": must be 1 or more")
	}
	t.Sequence = n
	return nil
}

func chatID(run string, sequence uint64) string {
	return run + "/" + strconv.FormatUint(sequence, 10)
}

// chatEvents is the chat-completions form of a stream. A restart has no form
// there: the stream ends with a problem, and a resend gets the new attempt.
type chatEvents struct {
	run, model string
	broken     bool
}

func (c *chatEvents) chunk(w *eventWriter, id string, choice chatChoice, u *usagePage) {
	if c.broken {
		return
	}
	w.write("", id, chatAnswer{ID: c.run, Object: "chat.completion.chunk", Model: c.model, Choices: []chatChoice{choice}, Usage: u})
}

func (c *chatEvents) delta(w *eventWriter, d *peerpb.Delta) {
	c.chunk(w, EventID(d.GetAttempt(), w.offset), chatChoice{Delta: &messagePage{Role: "assistant", Content: d.GetContent()}}, nil)
}

func (c *chatEvents) restart(w *eventWriter, _ uint32) {
	w.write("problem", "", pageOf(problem.New(problem.Undetermined, "another attempt answers; resend the request to get it whole")))
	c.broken = true
}

func (c *chatEvents) final(w *eventWriter, f *peerpb.Final) {
	a := f.GetAnswered()
	usage := newUsage(a.GetPromptTokens(), a.GetCachedTokens(), a.GetAnswerTokens())
	reason := a.GetFinishReason()
	c.chunk(w, EventID(a.GetAttempt(), w.offset), chatChoice{Delta: &messagePage{}, FinishReason: &reason}, &usage)
	if !c.broken {
		w.flush("data: [DONE]\n\n")
	}
}
