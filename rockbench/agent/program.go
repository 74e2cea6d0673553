// SPDX-License-Identifier: MIT

package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/engine"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/schema/recordpb"
)

// Shape is how a program behaves.
type Shape struct {
	Program string
	// Domains are the failure domains that the program may use.
	Domains []string
	// Turns is how many calls the program makes.
	Turns int
	// Prompt is the size of the shared system prompt, Turn that of each message,
	// in words.
	Prompt, Turn int
	// Pause is the longest tool pause.
	Pause time.Duration
	// Child lets a sub-agent make two calls half way.
	Child bool
	// Pairing calls a service that may not be repeated, Tool one that may.
	Pairing, Tool string
	// Vanish leaves the run without an end.
	Vanish bool
	// Deadline, if set, ends the program; an answer after it is worthless.
	Deadline time.Duration
}

// Record is what an agent knows of its run afterwards.
type Record struct {
	Run      string
	Domains  []string
	Messages [][]Message
	Answers  []string
	Budget   uint64
	Ended    bool
	Started  time.Time
	Took     time.Duration
	Err      error
}

// Records is what all agents know. The zero value is empty.
type Records struct {
	mu  sync.Mutex
	all []*Record
}

// Add keeps a record.
func (r *Records) Add(one *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// All returns the records.
func (r *Records) All() []*Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Record(nil), r.all...)
}

// Agent runs one program.
type Agent struct {
	Client  *Client
	Shape   Shape
	Name    string
	Seed    uint64
	Records *Records

	rand   *rand.Rand
	record *Record
	bound  placement.Boundary
}

// Run makes the program's calls and records what came back.
func (a *Agent) Run(ctx context.Context) error {
	a.rand = rand.New(rand.NewPCG(a.Seed, 3))
	start := time.Now()
	a.record = &Record{Domains: a.Shape.Domains, Started: start}
	defer a.Records.Add(a.record)
	err := a.run(ctx)
	a.record.Err = err
	a.record.Took = time.Since(start)
	if err == nil {
		a.Client.Book.Finished(a.record.Took)
	}
	return err
}

func (a *Agent) run(ctx context.Context) error {
	run, err := a.Client.Create(ctx, a.Shape.Program, a.Name, "", 0)
	if err != nil {
		return errors.Wrap(err, "create")
	}
	a.record.Run = run.Run
	a.record.Budget = run.BudgetTokens
	for n := 1; n <= a.Shape.Turns; n++ {
		if err := a.turn(ctx, n); err != nil {
			return errors.Wrapf(err, "call %d of %s", n, run.Run)
		}
		if err := a.pause(ctx, n); err != nil {
			return err
		}
		if a.Shape.Child && n == (a.Shape.Turns+1)/2 {
			if err := a.child(ctx, run.Run); err != nil {
				return errors.Wrap(err, "sub-agent of "+run.Run)
			}
		}
	}
	if a.Shape.Vanish {
		return nil
	}
	a.record.Ended = true
	return errors.Wrap(a.Client.End(ctx, run.Run), "end")
}

func (a *Agent) turn(ctx context.Context, n int) error {
	var messages []Message
	if n == 1 {
		messages = append(messages, Message{"system", a.Shape.Program + words(7, a.Shape.Prompt)})
	}
	messages = append(messages, Message{"user", fmt.Sprintf("%s turn %d", a.Name, n) + words(a.rand.Uint64(), a.Shape.Turn)})
	key := fmt.Sprintf("%s/%d", a.record.Run, n)
	start := time.Now()
	answer, err := a.Client.Call(ctx, a.record.Run, key, CallBody{Sequence: uint64(n), Messages: messages, Repeatable: true})
	if err != nil {
		return err
	}
	a.Client.Book.Answered(time.Since(start))
	a.check(n, messages, answer)
	return nil
}

// check holds the answer against the history that this agent knows: the engine
// names the prompt it saw.
func (a *Agent) check(n int, messages []Message, answer *Answer) {
	for _, m := range messages {
		a.bound = placement.NextBoundary(a.bound, &recordpb.Message{Role: m.Role, Content: m.Content})
	}
	want := "prompt " + engine.KeyName(a.bound.Key)
	if !strings.HasPrefix(answer.Content, want) {
		a.Client.Book.Break(fmt.Sprintf("history: call %d of %s was answered for another history", n, a.record.Run))
	}
	if sum := sha256.Sum256([]byte(answer.Content)); hex.EncodeToString(sum[:]) != answer.Digest {
		a.Client.Book.Break(fmt.Sprintf("whole answers: call %d of %s has a wrong digest", n, a.record.Run))
	}
	a.bound = placement.NextBoundary(a.bound, &recordpb.Message{Role: "assistant", Content: answer.Content})
	a.record.Messages = append(a.record.Messages, messages)
	a.record.Answers = append(a.record.Answers, answer.Content)
}

// pause calls tools, as an agent does between its calls.
func (a *Agent) pause(ctx context.Context, n int) error {
	if a.Shape.Tool != "" && n%2 == 1 {
		id := fmt.Sprintf("%s-tool-%d", a.Name, n)
		var out map[string]any
		if err := a.Client.Service(ctx, a.Shape.Tool, id, map[string]string{"id": id}, &out); err != nil {
			return errors.Wrap(err, "tool")
		}
	}
	if a.Shape.Pairing != "" && n == 2 {
		if err := a.pairing(ctx); err != nil {
			return err
		}
	}
	if a.Shape.Pause > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(a.rand.Int64N(int64(a.Shape.Pause)))):
		}
	}
	return nil
}

// pairing calls a service that may not be repeated. An unknown outcome is a
// true answer, with which the program goes on.
func (a *Agent) pairing(ctx context.Context) error {
	id := a.Name + "-pairing"
	var out map[string]any
	err := a.Client.Service(ctx, a.Shape.Pairing, id, map[string]string{"id": id}, &out)
	var p *Problem
	if errors.As(err, &p) && p.Type == "urn:rockbarrow:outcome_unknown" {
		return nil
	}
	return errors.Wrap(err, "pairing")
}

func (a *Agent) child(ctx context.Context, parent string) error {
	const budget = 6000
	run, err := a.Client.Create(ctx, a.Shape.Program, a.Name+"-child", parent, budget)
	if err != nil {
		return err
	}
	record := &Record{Run: run.Run, Domains: a.Shape.Domains, Budget: run.BudgetTokens}
	defer a.Records.Add(record)
	for n := 1; n <= 2; n++ {
		m := []Message{{"user", fmt.Sprintf("%s child %d", a.Name, n)}}
		key := fmt.Sprintf("%s/%d", run.Run, n)
		start := time.Now()
		answer, err := a.Client.Call(ctx, run.Run, key, CallBody{Sequence: uint64(n), Messages: m, Repeatable: true})
		if err != nil {
			return err
		}
		a.Client.Book.Answered(time.Since(start))
		record.Messages = append(record.Messages, m)
		record.Answers = append(record.Answers, answer.Content)
	}
	record.Ended = true
	return a.Client.End(ctx, run.Run)
}

// words returns text of a length, the same for the same seed.
func words(seed uint64, n int) string {
	r := rand.New(rand.NewPCG(seed, 5))
	var b strings.Builder
	for range n {
		fmt.Fprintf(&b, " w%03d", r.IntN(1000))
	}
	return b.String()
}

// Transport returns an HTTP client for many agents at once.
func Transport(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, IdleConnTimeout: 5 * time.Second}}
}
