// SPDX-License-Identifier: MIT

package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/settings"
	"rockbarrow.dev/rockbench/agent"
	"rockbarrow.dev/rockbench/scene"
)

// tail bounds the wait for programs under way at the end of a run.
const tail = 15 * time.Second

// Result is what one run measured.
type Result struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate"`
	Offered  int     `json:"offered"`
	Finished int     `json:"finished"`
	// Latencies of finished programs in milliseconds, in order.
	Latencies []float64 `json:"latencies_ms"`
	P50       float64   `json:"p50_ms"`
	P95       float64   `json:"p95_ms"`
	// Goodput is finished programs a second.
	Goodput float64 `json:"goodput"`
	// Prompt tokens and what was wasted of them.
	Prompt        int64          `json:"prompt_tokens"`
	Cached        int64          `json:"cached_tokens"`
	HeldElsewhere int64          `json:"held_elsewhere_tokens"`
	Evicted       int64          `json:"evicted_before_reuse_tokens"`
	Refusals      map[string]int `json:"refusals"`
	Broken        []string       `json:"broken"`
}

// Wasted is the wasted share of all prompt tokens.
func (r *Result) Wasted() float64 {
	return float64(r.HeldElsewhere+r.Evicted) / math.Max(1, float64(r.Prompt))
}

// Run runs one policy at one rate with one seed.
func Run(ctx context.Context, s *Scenario, policy string, rate float64, seed uint64) (*Result, error) {
	sc := &scene.Scene{
		Engines: s.EnginesPerDomain, Seed: seed, TLS: true,
		PromptTokenUS: s.PromptTokenUS, CacheTokens: s.CacheTokens,
		Adjust: func(c *settings.Settings) {
			c.Placement = settings.Placement{LatencyWeight: s.LatencyWeight, CacheWeight: s.CacheWeight, Policy: policy}
			c.Log.Level = "error"
		},
	}
	defer sc.Stop()
	if err := sc.Start(ctx); err != nil {
		return nil, err
	}
	l := &load{scenario: s, scene: sc, rand: rand.New(rand.NewPCG(seed, 77)), records: &agent.Records{}}
	if err := l.run(ctx, rate, time.Duration(s.Seconds)*time.Second); err != nil {
		return nil, err
	}
	return l.result(policy, rate, seed), nil
}

// load offers programs at seeded times, whether or not earlier ones finished.
type load struct {
	scenario *Scenario
	scene    *scene.Scene
	rand     *rand.Rand
	records  *agent.Records
	offered  int
	took     time.Duration
}

func (l *load) run(ctx context.Context, rate float64, d time.Duration) error {
	client := l.scene.Client()
	client.HTTP = agent.Transport(256)
	client.Patience = tail
	var wait sync.WaitGroup
	start := time.Now()
	at := time.Duration(0)
	for {
		at += time.Duration(l.rand.ExpFloat64() / rate * float64(time.Second))
		if at > d {
			break
		}
		one := l.program(client)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(at))):
		}
		wait.Add(1)
		go (&offered{agent: one, wait: &wait}).run(ctx)
	}
	wait.Wait()
	l.took = time.Since(start)
	return nil
}

// program draws the next program; turns have a heavy tail.
func (l *load) program(client *agent.Client) *agent.Agent {
	l.offered++
	share := l.draw()
	turns := share.Turns
	if l.rand.IntN(10) == 0 {
		turns *= 3
	}
	var domains []string
	for _, p := range scene.Programs {
		if p.Name == share.Program {
			domains = p.Domains
		}
	}
	return &agent.Agent{
		Client: client, Records: l.records, Name: fmt.Sprintf("x-%d", l.offered), Seed: l.rand.Uint64(),
		Shape: agent.Shape{
			Program: share.Program, Domains: domains, Turns: turns, Prompt: share.PromptWords, Turn: share.TurnWords,
			Pause: time.Duration(share.PauseMS) * time.Millisecond, Child: share.Child && l.rand.IntN(4) == 0, Vanish: l.rand.IntN(20) == 0,
		},
	}
}

func (l *load) draw() Share {
	total := 0
	for _, p := range l.scenario.Programs {
		total += p.Share
	}
	n := l.rand.IntN(max(1, total))
	for _, p := range l.scenario.Programs {
		if n < p.Share {
			return p
		}
		n -= p.Share
	}
	return l.scenario.Programs[0]
}

type offered struct {
	agent *agent.Agent
	wait  *sync.WaitGroup
}

func (o *offered) run(ctx context.Context) {
	defer o.wait.Done()
	// The record keeps the error.
	_ = o.agent.Run(ctx)
}

func (l *load) result(policy string, rate float64, seed uint64) *Result {
	w := l.scene.Ledger.Waste()
	r := &Result{
		Scenario: l.scenario.Name, Policy: policy, Seed: seed, Rate: rate, Offered: l.offered,
		Prompt: w.Prompt, Cached: w.Cached, HeldElsewhere: w.HeldElsewhere, Evicted: w.EvictedBeforeReuse,
		Refusals: l.scene.Book.Refusals(), Broken: l.scene.Book.Broken(),
	}
	for _, one := range l.records.All() {
		if one.Err == nil && !one.Started.IsZero() {
			r.Latencies = append(r.Latencies, float64(one.Took.Microseconds())/1000)
		}
	}
	sort.Float64s(r.Latencies)
	r.Finished = len(r.Latencies)
	r.P50, r.P95 = quantile(r.Latencies, 0.5), quantile(r.Latencies, 0.95)
	r.Goodput = float64(r.Finished) / l.took.Seconds()
	return r
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
