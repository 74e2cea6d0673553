// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/host"
	"rockbarrow.dev/rockbarrow/membudget"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/recordpb"
)

// The headers of the contract with engines and services.
const (
	HeaderAttempt   = "Rockbarrow-Attempt"
	HeaderRun       = "Rockbarrow-Run"
	HeaderPriority  = "Rockbarrow-Priority"
	HeaderMaxPrompt = "Rockbarrow-Max-Prompt-Tokens"
	HeaderHold      = "Rockbarrow-Hold"
	HeaderNotRun    = "Rockbarrow-Not-Run"
)

const (
	// maxLine bounds one line of a stream in bytes.
	maxLine = 1 << 20
	// freeAnswer is what an answer may have without a charge to Memory, in bytes, so that usual answers need no room beside
	// large ones.
	freeAnswer = 64 << 10
	// streamFactor bounds a whole stream as a multiple of the answer's bound. A chunk has some 200 bytes beside its content.
	streamFactor = 256
)

// Client calls engines. Set the exported fields before the first call.
type Client struct {
	HTTP *http.Client
	// Stall is how long a stream may stand still.
	Stall time.Duration
	// MaxAnswer bounds an answer in bytes.
	MaxAnswer int
	// Memory bounds all answers that are coming in, services' as well; nil means no limit.
	Memory *membudget.Budget
}

// StatusError says that an engine answered with another status than expected.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Body is the beginning of the answer's body.
	Body string
}

// Error describes the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: status %d: %s", e.Status, e.Body)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens uint32    `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type chunk struct {
	Choices []struct {
		Delta        message `json:"delta"`
		FinishReason string  `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

type usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens uint64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// AttemptID names an attempt to an endpoint.
func AttemptID(run string, in *recordpb.Intent) string {
	return fmt.Sprintf("%s/%d/%d", run, in.GetSequence(), in.GetAttempt())
}

// Call sends an attempt and streams its answer. It returns when the answer is
// whole, has failed, or ctx ends.
func (c *Client) Call(ctx context.Context, a host.Attempt, emit func(offset uint64, content string)) host.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(c.Stall, cancel)
	defer stall.Stop()
	w := &Writing{}
	req, err := c.request(httptrace.WithClientTrace(ctx, w.Trace()), a)
	if err != nil {
		return host.Result{NotExecuted: true, Permanent: true, Reason: err.Error()}
	}
	start := time.Now()
	// The last moment: a process that was paused sends nothing.
	if !start.Before(a.Deadline) {
		return host.Result{NotExecuted: true, Reason: "the intent is older than the lease"}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return host.Result{NotExecuted: !w.Begun(), Reason: "engine " + a.Endpoint.GetName() + ": " + err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Refusal(a.Endpoint, resp)
	}
	r := &reading{client: c, attempt: a, emit: emit, stall: stall, start: start, held: Held{Account: c.Memory.Open(nil)}}
	defer r.held.Account.Close()
	return r.all(ctx, http.MaxBytesReader(nil, resp.Body, streamFactor*int64(c.MaxAnswer)))
}

func (c *Client) request(ctx context.Context, a host.Attempt) (*http.Request, error) {
	body := completionRequest{Model: a.Created.GetModel(), MaxTokens: a.Intent.GetMaxAnswerTokens(), Stream: true}
	for _, m := range a.History {
		body.Messages = append(body.Messages, message{Role: m.GetRole(), Content: m.GetContent()})
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "engine: request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Endpoint.GetAddress()+"/v1/chat/completions", bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "engine: request")
	}
	in := a.Intent
	req.Header.Set("Content-Type", "application/json")
	// An Idempotency-Key header would let net/http send the request twice.
	req.Header.Set(HeaderAttempt, AttemptID(a.Run, in))
	req.Header.Set(HeaderRun, a.Run)
	req.Header.Set(HeaderPriority, strconv.FormatUint(a.Priority, 10))
	req.Header.Set(HeaderMaxPrompt, strconv.FormatUint(in.GetReserveTokens()-uint64(in.GetMaxAnswerTokens()), 10))
	if in.GetHold() {
		req.Header.Set(HeaderHold, "true")
	}
	return req, nil
}

// Writing tells whether any byte of a request may have left.
type Writing struct{ begun atomic.Bool }

// Begun reports whether a byte may have left.
func (w *Writing) Begun() bool { return w.begun.Load() }

// Trace watches a request.
func (w *Writing) Trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { w.begun.Store(true) },
		WroteHeaders: func() { w.begun.Store(true) },
	}
}

// Refusal reads an endpoint's refusal. Only its own word makes it certain that
// nothing ran.
func Refusal(e *configpb.Endpoint, resp *http.Response) host.Result {
	const head = 300
	b, _ := io.ReadAll(io.LimitReader(resp.Body, head))
	notRun := resp.Header.Get(HeaderNotRun) == "true"
	err := &StatusError{Status: resp.StatusCode, Body: strings.TrimSpace(string(b))}
	return host.Result{
		NotExecuted: notRun,
		Permanent:   notRun && (resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusRequestEntityTooLarge),
		Reason:      e.GetName() + ": " + err.Error(),
	}
}

// reading is an answer that is coming in.
type reading struct {
	client  *Client
	attempt host.Attempt
	emit    func(offset uint64, content string)
	stall   *time.Timer
	start   time.Time
	first   time.Duration
	content strings.Builder
	finish  string
	usage   *usage
	held    Held
}

// Held charges what an answer holds while it comes in.
type Held struct {
	Account *membudget.Account
	charged int
}

// Grow charges what an answer holds now, in bytes. It may wait for room. The error is that of [membudget.Account.ChargeBody].
func (h *Held) Grow(ctx context.Context, size int) error {
	more := size - freeAnswer - h.charged
	if more <= 0 {
		return nil
	}
	if err := h.Account.ChargeBody(ctx, int64(more)); err != nil {
		return errors.Wrap(err, "engine: the answer has no room")
	}
	h.charged += more
	return nil
}

// lineSplitter splits a stream into lines, and charges the buffer for a long one.
type lineSplitter struct {
	ctx     context.Context
	reading *reading
}

func (l *lineSplitter) split(data []byte, atEOF bool) (int, []byte, error) {
	n, line, err := bufio.ScanLines(data, atEOF)
	if n > 0 || err != nil {
		return n, line, err
	}
	// The scanner doubles a buffer that is full.
	return 0, nil, l.reading.held.Grow(l.ctx, l.reading.content.Cap()+2*len(data))
}

func (r *reading) all(ctx context.Context, body io.Reader) host.Result {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), maxLine)
	s.Split((&lineSplitter{ctx: ctx, reading: r}).split)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return r.done()
		}
		if err := r.chunk(ctx, data); err != nil {
			return r.failed(err.Error())
		}
	}
	if err := s.Err(); err != nil {
		return r.failed(err.Error())
	}
	return r.failed("the stream ended early")
}

func (r *reading) chunk(ctx context.Context, data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "engine: stream")
	}
	r.stall.Reset(r.client.Stall)
	if c.Usage != nil {
		r.usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != "" {
			r.finish = choice.FinishReason
		}
		if choice.Delta.Content == "" {
			continue
		}
		if r.first == 0 {
			r.first = time.Since(r.start)
		}
		offset := uint64(r.content.Len())
		if r.content.Len()+len(choice.Delta.Content) > r.client.MaxAnswer {
			return errors.New("engine: the answer is too long")
		}
		if err := r.held.Grow(ctx, 2*(r.content.Len()+len(choice.Delta.Content))); err != nil {
			return err
		}
		r.content.WriteString(choice.Delta.Content)
		r.emit(offset, choice.Delta.Content)
	}
	return nil
}

func (r *reading) failed(reason string) host.Result {
	return host.Result{Reason: r.attempt.Endpoint.GetName() + ": " + reason, TimeToFirstToken: r.first, Duration: time.Since(r.start)}
}

func (r *reading) done() host.Result {
	if r.usage == nil || r.finish == "" {
		return r.failed("the stream ended without usage")
	}
	content := r.content.String()
	sum := sha256.Sum256([]byte(content))
	in := r.attempt.Intent
	return host.Result{
		TimeToFirstToken: r.first,
		Duration:         time.Since(r.start),
		Answer: &recordpb.Answered{
			Sequence:     in.GetSequence(),
			Attempt:      in.GetAttempt(),
			Content:      content,
			Digest:       sum[:],
			PromptTokens: r.usage.PromptTokens,
			CachedTokens: r.usage.Details.CachedTokens,
			AnswerTokens: r.usage.CompletionTokens,
			FinishReason: r.finish,
			Endpoint:     in.GetEndpoint(),
		},
	}
}

// Release asks an engine to free what it holds for a run.
func (c *Client) Release(ctx context.Context, e *configpb.Endpoint, run string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, e.GetAddress()+"/rockbarrow/holds/"+run, nil)
	if err != nil {
		return errors.Wrap(err, "engine: release")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "engine: release")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotFound {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}
