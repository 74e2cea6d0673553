// SPDX-License-Identifier: MIT

// Package agent drives agent programs through the callers' interface and
// remembers what it was told, to check it later.
package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Client calls the product as a caller would. It resends under the same request
// id after a lost answer or a refusal that tells when to come back.
type Client struct {
	HTTP *http.Client
	Base string
	Key  string
	// Patience bounds how long one request is resent.
	Patience time.Duration
	// Book records every outcome.
	Book *Book
}

// Problem is a problem details object.
type Problem struct {
	Type         string `json:"type"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int    `json:"retry_after_ms"`
}

// Error describes the problem.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%d, not run %v): %s", p.Type, p.Status, p.NotRun, p.Detail)
}

// Run is a run as the product shows it.
type Run struct {
	Run          string `json:"run"`
	State        string `json:"state"`
	Owner        string `json:"owner"`
	BudgetTokens uint64 `json:"budget_tokens"`
	SpentTokens  uint64 `json:"spent_tokens"`
	Turns        []struct {
		Sequence uint64    `json:"sequence"`
		State    string    `json:"state"`
		Messages []Message `json:"messages"`
		Answer   string    `json:"answer"`
		Endpoint string    `json:"endpoint"`
		Domain   string    `json:"domain"`
	} `json:"turns"`
	More bool `json:"more"`
}

// Message is one message of a history.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer is a whole answer.
type Answer struct {
	Sequence uint64 `json:"sequence"`
	Content  string `json:"content"`
	Digest   string `json:"digest"`
	Usage    struct {
		PromptTokens     uint64 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens uint64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// send makes one request and decodes a success into out. Failures are a
// [*Problem] or the transport's error.
func (c *Client) send(ctx context.Context, method, path, key string, body, out any) error {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "agent: body")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "agent: request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "agent: send")
	}
	defer resp.Body.Close()
	const most = 64 << 20
	raw, err := io.ReadAll(io.LimitReader(resp.Body, most))
	if err != nil {
		return errors.Wrap(err, "agent: answer")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		p := &Problem{Status: resp.StatusCode}
		if err := json.Unmarshal(raw, p); err != nil {
			p.Detail = string(raw)
		}
		return p
	}
	return errors.Wrap(json.Unmarshal(raw, out), "agent: answer")
}

// Do resends a request until it is settled or patience ends.
func (c *Client) Do(ctx context.Context, method, path, key string, body, out any) error {
	deadline := time.Now().Add(c.Patience)
	for {
		err := c.send(ctx, method, path, key, body, out)
		if err == nil {
			c.Book.settled(key)
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		wait := 50 * time.Millisecond
		var p *Problem
		if errors.As(err, &p) {
			c.Book.refused(key, p)
			if p.RetryAfterMS == 0 && p.Type != "urn:rockbarrow:undetermined" {
				return err
			}
			wait = time.Duration(max(p.RetryAfterMS, 50)) * time.Millisecond
		} else {
			c.Book.lost()
		}
		if time.Now().Add(wait).After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// Create makes a run.
func (c *Client) Create(ctx context.Context, program, key, parent string, budget uint64) (*Run, error) {
	var out Run
	body := struct {
		Parent       string `json:"parent,omitempty"`
		BudgetTokens uint64 `json:"budget_tokens,omitempty"`
	}{parent, budget}
	err := c.Do(ctx, http.MethodPost, "/v1/programs/"+program+"/runs", key, body, &out)
	return &out, err
}

// CallBody is the body of a call.
type CallBody struct {
	Sequence   uint64    `json:"sequence"`
	Messages   []Message `json:"messages"`
	MaxTokens  uint32    `json:"max_tokens,omitempty"`
	Stream     bool      `json:"stream,omitempty"`
	Repeatable bool      `json:"repeatable"`
}

// Call makes one call of a run.
func (c *Client) Call(ctx context.Context, run, key string, body CallBody) (*Answer, error) {
	var out Answer
	err := c.Do(ctx, http.MethodPost, "/v1/runs/"+run+"/calls", key, body, &out)
	return &out, err
}

// Service calls a plain service.
func (c *Client) Service(ctx context.Context, service, key string, body, out any) error {
	return c.Do(ctx, http.MethodPost, "/v1/services/"+service, key, body, out)
}

// History reads all turns of a run.
func (c *Client) History(ctx context.Context, run string) (*Run, error) {
	var all Run
	after := uint64(0)
	for {
		var page Run
		if err := c.Do(ctx, http.MethodGet, fmt.Sprintf("/v1/runs/%s/history?after=%d", run, after), "", nil, &page); err != nil {
			return nil, err
		}
		turns := append(all.Turns, page.Turns...)
		all = page
		all.Turns = turns
		if !page.More || len(page.Turns) == 0 {
			return &all, nil
		}
		after = page.Turns[len(page.Turns)-1].Sequence
	}
}

// End ends a run.
func (c *Client) End(ctx context.Context, run string) error {
	var out Run
	return c.Do(ctx, http.MethodDelete, "/v1/runs/"+run, "", nil, &out)
}
