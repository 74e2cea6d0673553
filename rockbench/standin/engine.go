// SPDX-License-Identifier: MIT

// Package standin holds small stand-ins of the systems that the product serves:
// model engines, plain services, a weight store and the platform's list. Each
// takes a seed and settings for its faults, and counts what it ran.
package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/engine"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/schema/recordpb"
)

// EngineFaults are what an engine does wrong; the zero value does nothing wrong.
type EngineFaults struct {
	// DropAfterRun is the share of answers that are lost after they ran.
	DropAfterRun float64
	// Refuse is the share of calls that are refused as not run.
	Refuse float64
	// Slow multiplies the time of a step; 0 means 1.
	Slow float64
	// Hang lets streams stand still.
	Hang bool
}

// Engine is a model engine that batches continuously and caches prefixes. Set
// the exported fields before Start.
type Engine struct {
	Name, Domain string
	// Step, PerCall and PerPrompt are the time of a step: its base, and what each
	// running call and each computed prompt token add.
	Step, PerCall, PerPrompt time.Duration
	// Batch is how many calls run at once; more wait by priority.
	Batch int
	// Chunk is how many prompt tokens a step computes at most.
	Chunk int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// EventLag delays cache events and reports; every GapEvery-th event is lost.
	EventLag time.Duration
	GapEvery int
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	Seed          uint64
	// Ledger is shared by all engines, to tell wasted work; it may be nil.
	Ledger *Ledger

	mu      sync.Mutex
	rand    *rand.Rand
	faults  EngineFaults
	waiting []*sequence
	running []*sequence
	cache   cache
	wake    chan struct{}
	life    int
	leaving bool
	// runs counts executions by the caller's run and sequence.
	runs map[string]int
	// places are the runs that were processed here.
	places map[string]bool
	events []stampedEvent
	load   []stampedLoad
	orders orderBook
	server *http.Server
	addr   string
	done   chan struct{}
}

type stampedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

type stampedLoad struct {
	at   time.Time
	load engine.Load
}

// sequence is a call in the engine.
type sequence struct {
	run, id  string
	priority uint64
	bounds   []placement.Boundary
	prompt   int
	cached   int
	left     int
	answer   []string
	sent     int
	out      chan string
	gone     bool
	hold     bool
	arrived  time.Time
}

// Start serves on a free port of the loopback address.
func (e *Engine) Start() error {
	l, err := net.Listen("tcp", orDefault(e.addr, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.life++
	e.addr = l.Addr().String()
	e.rand = rand.New(rand.NewPCG(e.Seed, uint64(e.life)))
	e.wake = make(chan struct{}, 1)
	e.done = make(chan struct{})
	e.cache = cache{capacity: e.CacheTokens}
	e.waiting, e.running, e.events, e.load = nil, nil, nil, nil
	e.leaving = false
	if e.runs == nil {
		e.runs = map[string]int{}
		e.places = map[string]bool{}
	}
	e.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.completions)
	mux.HandleFunc("DELETE /rockbarrow/holds/{run}", e.release)
	mux.HandleFunc("GET /rockbarrow/holds", e.holds)
	mux.HandleFunc("GET /rockbarrow/load", e.reportLoad)
	mux.HandleFunc("GET /rockbarrow/events", e.reportEvents)
	mux.HandleFunc("POST /rockbarrow/orders", e.order)
	mux.HandleFunc("GET /rockbarrow/cache/{run}", e.exportCache)
	mux.HandleFunc("PUT /rockbarrow/cache/{run}", e.importCache)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go e.server.Serve(l)
	go e.loop(e.done)
	return nil
}

// Stop dies at once: streams break, the cache is lost.
func (e *Engine) Stop() {
	close(e.done)
	e.server.Close()
	if e.Ledger != nil {
		e.Ledger.forget(e.Name)
	}
}

// Address returns the base address.
func (e *Engine) Address() string { return "http://" + e.addr }

// Fault sets what goes wrong from now on.
func (e *Engine) Fault(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Leave refuses new calls from now on.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Runs returns how often each call ran here.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for k, n := range e.runs {
		out[k] = n
	}
	return out
}

// Places returns the runs that were processed here.
func (e *Engine) Places() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for run := range e.places {
		out = append(out, run)
	}
	return out
}

// Held returns the runs that hold memory here.
func (e *Engine) Held() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.heldRuns()
}

type chatBody struct {
	Model     string              `json:"model"`
	Messages  []*recordpb.Message `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
}

func (e *Engine) completions(w http.ResponseWriter, r *http.Request) {
	var body chatBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuseCall(w, http.StatusBadRequest, err.Error())
		return
	}
	s, status, reason := e.admit(r, body)
	if s == nil {
		refuseCall(w, status, reason)
		return
	}
	e.stream(w, r, s)
}

func refuseCall(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(engine.HeaderNotRun, "true")
	http.Error(w, reason, status)
}

// admit queues a call, or tells why it does not run.
func (e *Engine) admit(r *http.Request, body chatBody) (*sequence, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bounds := placement.Boundaries(body.Messages)
	if len(bounds) == 0 {
		return nil, http.StatusBadRequest, "no messages"
	}
	prompt := int(bounds[len(bounds)-1].Tokens)
	most, err := strconv.Atoi(r.Header.Get(engine.HeaderMaxPrompt))
	switch {
	case e.leaving:
		return nil, http.StatusServiceUnavailable, "leaving"
	case e.rand.Float64() < e.faults.Refuse:
		return nil, http.StatusServiceUnavailable, "refused"
	case err == nil && prompt > most:
		return nil, http.StatusRequestEntityTooLarge, "the prompt is longer than allowed"
	}
	priority, _ := strconv.ParseUint(r.Header.Get(engine.HeaderPriority), 10, 64)
	run := r.Header.Get(engine.HeaderRun)
	id := r.Header.Get(engine.HeaderAttempt)
	s := &sequence{
		run: run, id: id, priority: priority, bounds: bounds, prompt: prompt,
		answer: Answer(bounds[len(bounds)-1].Key, body.MaxTokens),
		out:    make(chan string, body.MaxTokens+2), hold: r.Header.Get(engine.HeaderHold) == "true",
		arrived: time.Now(),
	}
	e.runs[id[:strings.LastIndex(id, "/")]]++
	e.places[run] = true
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, 0, ""
}

// Answer returns the tokens of the answer to a prompt: its key, so that a
// caller can tell whether the engine saw the right history, and some words.
func Answer(key uint64, maxTokens int) []string {
	const longest = 48
	n := 4 + int(key%longest)
	n = max(2, min(n, maxTokens))
	out := []string{"prompt " + engine.KeyName(key)}
	for i := 1; i < n; i++ {
		out = append(out, fmt.Sprintf(" w%02d", (key>>(i%40))%97))
	}
	return out
}

// stream writes tokens as they come.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	rc.Flush()
	sent := 0
	for {
		select {
		case <-r.Context().Done():
			e.cancel(s)
			return
		case <-e.done:
			return
		case token, ok := <-s.out:
			if !ok {
				e.finish(w, s, sent)
				rc.Flush()
				return
			}
			sent++
			text, _ := json.Marshal(token)
			fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", text)
			rc.Flush()
		}
	}
}

func (e *Engine) finish(w http.ResponseWriter, s *sequence, sent int) {
	e.mu.Lock()
	drop := e.rand.Float64() < e.faults.DropAfterRun
	e.mu.Unlock()
	if drop {
		return
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n",
		s.prompt, sent, s.cached)
}

func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.gone = true
}

func orDefault(v, fallback string) string {
	if v == "" {
		return fallback
	}
	return v
}
