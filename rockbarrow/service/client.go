// SPDX-License-Identifier: MIT

// Package service calls plain services: one POST for each attempt, whose answer
// of any status is the service's answer, unless the service says itself that it
// did not run the call.
package service

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"rockbarrow.dev/rockbarrow/engine"
	"rockbarrow.dev/rockbarrow/host"
	"rockbarrow.dev/rockbarrow/membudget"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/recordpb"
)

// Client calls services. Set the exported fields before the first call.
type Client struct {
	HTTP *http.Client
	// MaxAnswer bounds an answer in bytes.
	MaxAnswer int64
	// Memory bounds all answers that are coming in, engines' as well; nil means no limit.
	Memory *membudget.Budget
}

// firstBuffer is the size of the first buffer for an answer in bytes.
const firstBuffer = 4 << 10

// Call sends an attempt and returns its whole answer.
func (c *Client) Call(ctx context.Context, a host.Attempt, _ func(uint64, string)) host.Result {
	w := &engine.Writing{}
	ctx = httptrace.WithClientTrace(ctx, w.Trace())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Endpoint.GetAddress()+"/", bytes.NewReader(a.Intent.GetServiceBody()))
	if err != nil {
		return host.Result{NotExecuted: true, Permanent: true, Reason: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.HeaderAttempt, engine.AttemptID(a.Run, a.Intent))
	req.Header.Set(engine.HeaderRun, a.Run)
	start := time.Now()
	if !start.Before(a.Deadline) {
		return host.Result{NotExecuted: true, Reason: "the intent is older than the lease"}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return host.Result{NotExecuted: !w.Begun(), Reason: "service " + a.Endpoint.GetName() + ": " + err.Error()}
	}
	defer resp.Body.Close()
	if c.refused(a, resp) {
		return engine.Refusal(a.Endpoint, resp)
	}
	return c.answer(ctx, a, resp, time.Since(start))
}

// refused reports whether an answer is no answer of the service: its own word
// that it did not run, or the word of something in between for a call that may
// be repeated.
func (c *Client) refused(a host.Attempt, resp *http.Response) bool {
	if resp.Header.Get(engine.HeaderNotRun) == "true" {
		return true
	}
	switch resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return a.Intent.GetRepeatable()
	}
	return false
}

// read reads an answer, and one byte more than its limit if it is too long. It charges the buffer as it grows.
func (c *Client) read(ctx context.Context, r io.Reader, held *engine.Held) ([]byte, error) {
	b := make([]byte, 0, firstBuffer)
	for int64(len(b)) <= c.MaxAnswer {
		if len(b) == cap(b) {
			size := min(2*cap(b), int(c.MaxAnswer)+1)
			if err := held.Grow(ctx, size); err != nil {
				return nil, err
			}
			b = append(make([]byte, 0, size), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (c *Client) answer(ctx context.Context, a host.Attempt, resp *http.Response, first time.Duration) host.Result {
	held := &engine.Held{Account: c.Memory.Open(nil)}
	defer held.Account.Close()
	b, err := c.read(ctx, resp.Body, held)
	if err != nil {
		return host.Result{Reason: "service " + a.Endpoint.GetName() + ": " + err.Error()}
	}
	if int64(len(b)) > c.MaxAnswer {
		return host.Result{Reason: "service " + a.Endpoint.GetName() + ": the answer is too long"}
	}
	sum := sha256.Sum256(b)
	return host.Result{
		TimeToFirstToken: first,
		Duration:         first,
		Answer: &recordpb.Answered{
			Sequence:     a.Intent.GetSequence(),
			Attempt:      a.Intent.GetAttempt(),
			Content:      string(b),
			Digest:       sum[:],
			FinishReason: "stop",
			Endpoint:     a.Intent.GetEndpoint(),
			Status:       uint32(resp.StatusCode),
		},
	}
}

// Release does nothing: services hold no memory for runs.
func (c *Client) Release(context.Context, *configpb.Endpoint, string) error { return nil }
