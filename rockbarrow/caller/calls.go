// SPDX-License-Identifier: MIT

package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// callPage is the body of a call.
type callPage struct {
	Sequence   uint64        `json:"sequence"`
	Messages   []messagePage `json:"messages"`
	MaxTokens  uint32        `json:"max_tokens"`
	Stream     bool          `json:"stream"`
	Repeatable *bool         `json:"repeatable"`
}

// usagePage counts tokens in the chat-completions form.
type usagePage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
	Details          struct {
		CachedTokens uint64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func newUsage(prompt, cached, answer uint64) usagePage {
	u := usagePage{PromptTokens: prompt, CompletionTokens: answer, TotalTokens: prompt + answer}
	u.Details.CachedTokens = cached
	return u
}

// answerPage is a whole answer.
type answerPage struct {
	Run          string    `json:"run"`
	Sequence     uint64    `json:"sequence"`
	Attempt      uint32    `json:"attempt"`
	Content      string    `json:"content"`
	Digest       string    `json:"digest"`
	FinishReason string    `json:"finish_reason"`
	Usage        usagePage `json:"usage"`
	Endpoint     string    `json:"endpoint"`
	Replayed     bool      `json:"replayed"`
}

func answerOf(run string, f *peerpb.Final) answerPage {
	a := f.GetAnswered()
	return answerPage{
		Run:          run,
		Sequence:     a.GetSequence(),
		Attempt:      a.GetAttempt(),
		Content:      a.GetContent(),
		Digest:       hex.EncodeToString(a.GetDigest()),
		FinishReason: a.GetFinishReason(),
		Usage:        newUsage(a.GetPromptTokens(), a.GetCachedTokens(), a.GetAnswerTokens()),
		Endpoint:     a.GetEndpoint(),
		Replayed:     f.GetReplayed(),
	}
}

func (s *Server) call(q *request) *peerpb.Problem {
	var body callPage
	if p := q.decode(&body, false); p != nil {
		return p
	}
	key, p := q.key()
	if p != nil {
		return p
	}
	if body.Sequence == 0 {
		return problem.New(problem.BadRequest, "sequence: must be 1 or more")
	}
	if key == "" {
		key = "sequence-" + strconv.FormatUint(body.Sequence, 10)
	}
	messages, p := toMessages(body.Messages)
	if p != nil {
		return p
	}
	turn := &peerpb.Turn{
		Sequence:        body.Sequence,
		RequestId:       key,
		Messages:        messages,
		MaxAnswerTokens: body.MaxTokens,
		Repeatable:      body.Repeatable == nil || *body.Repeatable,
		EntryDomain:     s.Domain,
	}
	if p := q.resume(turn); p != nil {
		return p
	}
	run := q.r.PathValue("run")
	req := &peerpb.DoRequest{Run: run, Customer: q.customer.GetName(), Body: &peerpb.DoRequest_Turn{Turn: turn}}
	if body.Stream {
		return q.stream(req, &callEvents{run: run})
	}
	final, p := q.final(req)
	if p != nil {
		return p
	}
	q.json(http.StatusOK, answerOf(run, final))
	return nil
}

var roles = map[string]bool{"system": true, "user": true, "assistant": true, "tool": true}

func toMessages(in []messagePage) ([]*recordpb.Message, *peerpb.Problem) {
	if len(in) == 0 {
		return nil, problem.New(problem.BadRequest, "messages: must hold at least one")
	}
	out := make([]*recordpb.Message, 0, len(in))
	for i, m := range in {
		if !roles[m.Role] {
			return nil, problem.New(problem.BadRequest, fmt.Sprintf("messages[%d].role: must be system, user, assistant or tool", i))
		}
		out = append(out, &recordpb.Message{Role: m.Role, Content: strings.ToValidUTF8(m.Content, "\uFFFD")})
	}
	return out, nil
}

// resume reads where a stream is to go on.
func (q *request) resume(t *peerpb.Turn) *peerpb.Problem {
	id := q.r.Header.Get(HeaderLastEventID)
	if id == "" {
		return nil
	}
	attempt, offset, err := ParseEventID(id)
	if err != nil {
		return problem.New(problem.BadRequest, HeaderLastEventID+": "+err.Error())
	}
	t.ResumeAttempt = attempt
	t.ResumeOffset = offset
	return nil
}

// final waits for the whole answer.
func (q *request) final(req *peerpb.DoRequest) (*peerpb.Final, *peerpb.Problem) {
	var final *peerpb.Final
	var refused *peerpb.Problem
	err := q.server.Router.Do(q.r.Context(), req, func(e *peerpb.DoEvent) error {
		if f := e.GetFinal(); f != nil {
			final = f
		}
		if p := e.GetProblem(); p != nil {
			refused = p
		}
		return nil
	})
	switch {
	case final != nil:
		return final, nil
	case refused != nil:
		return nil, refused
	case err != nil:
		return nil, problem.New(problem.Undetermined, err.Error())
	}
	return nil, problem.New(problem.Undetermined, "the owner gave no answer")
}

// bodyKey is the request id of a body that came without one, so that the same
// body sent again finds its answer.
func bodyKey(b []byte) string {
	sum := sha256.Sum256(b)
	return "body-" + hex.EncodeToString(sum[:16])
}
