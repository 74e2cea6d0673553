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
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/recordpb"
)

// Client calls services. Set the exported fields before the first call.
type Client struct {
	HTTP *http.Client
	// MaxAnswer bounds an answer in bytes.
	MaxAnswer int64
}

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
	return c.answer(a, resp, time.Since(start))
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

func (c *Client) answer(a host.Attempt, resp *http.Response, first time.Duration) host.Result {
	b, err := io.ReadAll(io.LimitReader(resp.Body, c.MaxAnswer+1))
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
