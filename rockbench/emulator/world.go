// SPDX-License-Identifier: MIT

package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"

	"rockbarrow.dev/rockbarrow/limiter"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/schema/configpb"
)

// Run is one play of a deployment.
type Run struct {
	Deployment *Deployment
	Seed       uint64
	// Limited is true if entries have a limiter.
	Limited bool
	// Policy places turns.
	Policy placement.Policy
	// ByName is true if entries do not hear that engines have started again.
	ByName bool
}

// Result is what a run came to.
type Result struct {
	// Share is the worth earned of all that could be.
	Share float64 `json:"share"`
	// Ideal is the share that someone would earn who knows how long everything takes.
	Ideal float64 `json:"ideal"`
	// LastShare is the share of the programs that arrived in the last quarter of the day.
	LastShare float64 `json:"last_share"`
	// Programs arrived, InTime and Late ended, Failed did not.
	Programs int `json:"programs"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Failed   int `json:"failed"`
	// Turns were sent and Refused of them not run.
	Turns   int `json:"turns"`
	Refused int `json:"refused"`
	// Read is the prompt tokens that engines read.
	Read int `json:"read_tokens"`
	// TurnP50 and TurnP99 are the times of answered turns in milliseconds.
	TurnP50 int64 `json:"turn_p50_ms"`
	TurnP99 int64 `json:"turn_p99_ms"`
	// MostInFlight is the most calls that were at the engines at once.
	MostInFlight int `json:"most_in_flight"`
}

// drain is how long programs may go on after the last arrival.
const drain = 30 * time.Second

// world is a run under way.
type world struct {
	deployment *Deployment
	clock      clock
	rand       *rand.Rand
	limited    bool
	entries    []*entry
	engines    map[string]*engine
	names      []string
	// listed is the engines with their present lives, in the order of names.
	listed    []placement.ListedEndpoint
	policy    placement.Policy
	byName    bool
	result    Result
	times     *hdrhistogram.Histogram
	owed, had float64
	// lastOwed and lastHad are those of the last quarter.
	lastOwed, lastHad float64
	// demands are the programs that are owed.
	demands []demand
	// peak bounds the rate of arrivals.
	peak  float64
	lines int
	// priorities are the distinct priorities of the kinds in ascending order.
	priorities []uint32
	// inFlight is the number of calls at the engines.
	inFlight int
	decoding map[string]*decoding
}

// decoding holds the decayed tokens of an engine and the time that they took, as control instances add them up, and the
// totals of the last report.
type decoding struct{ tokens, micros, reportedTokens, reportedMicros float64 }

// decodingDecay is the weight that remains after each report interval of 300 ms with a half-life of 2 s, and
// minDecodedTokens the number of tokens from which the time is reported, as by control instances.
const (
	decodingDecay    = 0.9
	minDecodedTokens = 50
)

// decodingTime returns an engine's time to decode a token in microseconds as it is reported to entries, 0 if unknown.
func (w *world) decodingTime(name string) uint32 {
	var tokens, micros float64
	for _, e := range w.entries {
		u := e.fleet.Endpoint(name).Usage()
		tokens, micros = tokens+float64(u.DecodedTokens), micros+float64(u.DecodeMicros)
	}
	d := w.decoding[name]
	if d == nil {
		d = &decoding{}
		w.decoding[name] = d
	}
	d.tokens = d.tokens*decodingDecay + max(0, tokens-d.reportedTokens)
	d.micros = d.micros*decodingDecay + max(0, micros-d.reportedMicros)
	d.reportedTokens, d.reportedMicros = tokens, micros
	if d.tokens < minDecodedTokens {
		return 0
	}
	return uint32(d.micros / d.tokens)
}

// Play runs a deployment.
func (r Run) Play() Result {
	w := &world{
		deployment: r.Deployment, limited: r.Limited, engines: map[string]*engine{}, decoding: map[string]*decoding{}, policy: r.Policy, byName: r.ByName,
		peak:  r.Deployment.peak(),
		rand:  rand.New(rand.NewPCG(r.Seed, 1)),
		times: hdrhistogram.New(1, 120_000, 3),
	}
	for _, k := range r.Deployment.Kinds {
		w.priorities = append(w.priorities, k.Priority)
	}
	slices.Sort(w.priorities)
	w.priorities = slices.Compact(w.priorities)
	for i := range r.Deployment.Engine.Count {
		name := fmt.Sprintf("engine-%03d", i)
		w.names = append(w.names, name)
		w.engines[name] = &engine{deployment: &r.Deployment.Engine, clock: &w.clock, name: name, speed: r.Deployment.Engine.speed(i), slow: 1}
		w.listed = append(w.listed, placement.ListedEndpoint{BornMS: 1, Config: &configpb.Endpoint{
			Name: name, Service: service, MaxCalls: uint32(r.Deployment.Engine.Slots), Domain: "domain", Address: name,
		}})
	}
	for i := range r.Deployment.Entries {
		e := &entry{world: w, rand: rand.New(rand.NewPCG(r.Seed, uint64(i+2))), waiting: map[limiter.ID]*attempt{}}
		e.fleet = placement.NewServiceFleet(w.clock.time(), w.listed, r.Policy, nil)
		e.fleet.SetWindowStart(w.rand.Uint64())
		w.entries = append(w.entries, e)
	}
	w.clock.after(0, w.arrive)
	w.clock.after(0, w.news)
	w.runRestarts()
	w.runSlow()
	w.clock.run(ms(1000*r.Deployment.Seconds) + drain)
	return w.sum()
}

func (w *world) sum() Result {
	r := w.result
	for _, e := range w.engines {
		r.Read += e.tokens
	}
	if w.owed > 0 {
		r.Share = w.had / w.owed
	}
	if w.lastOwed > 0 {
		r.LastShare = w.lastHad / w.lastOwed
	}
	r.Ideal = w.ideal()
	r.TurnP50, r.TurnP99 = w.times.ValueAtQuantile(50), w.times.ValueAtQuantile(99)
	return r
}

// arrive draws the next arrival from a process of the highest rate, and thins it to the
// rates of the moment.
func (w *world) arrive() {
	s := w.clock.now.Seconds()
	if s >= w.deployment.Seconds {
		return
	}
	at := w.rand.Float64() * w.peak
	for i, r := range w.deployment.rates(s) {
		if at -= r; at < 0 && s > 0 {
			w.begin(&w.deployment.Kinds[i])
			break
		}
	}
	gap := distuv.Exponential{Rate: w.peak, Src: w.rand}.Rand()
	w.clock.after(ms(1000*gap), w.arrive)
}

// news tells each entry the calls of the others.
func (w *world) news() {
	all := map[string]int64{}
	for _, name := range w.names {
		for _, e := range w.entries {
			all[name] += e.fleet.Endpoint(name).InFlight()
		}
	}
	times := make(map[string]uint32, len(w.names))
	for _, name := range w.names {
		times[name] = w.decodingTime(name)
	}
	for _, e := range w.entries {
		loads := make([]placement.RemoteLoad, 0, len(w.names))
		for _, name := range w.names {
			p := e.fleet.Endpoint(name)
			loads = append(loads, placement.RemoteLoad{Endpoint: p, Running: uint32(all[name] - p.InFlight()), TokenMicros: times[name]})
		}
		// It arrives later, as it stood now.
		fleet := e.fleet
		w.clock.after(ms(w.deployment.NewsMS), func() { fleet.SetRemoteLoads(w.clock.time(), loads) })
	}
	if w.clock.now < ms(1000*w.deployment.Seconds)+drain {
		w.clock.after(ms(max(10, w.deployment.NewsMS)), w.news)
	}
}

// begin draws a program.
func (w *world) begin(k *Kind) {
	p := &program{
		world: w, kind: k, entry: w.drawEntry(k), began: w.clock.now,
		runaway: w.rand.Float64() < k.Runaway,
		hash:    rand.NewPCG(uint64(w.result.Programs), 0).Uint64(),
	}
	l, idle := w.drawLine(p, w.drawTurns(p), true)
	l.done = p.ended
	aim := time.Duration(k.Aim*float64(idle)) + ms(k.ObjectiveMS)
	p.due, p.late = p.began+aim, p.began+2*aim
	w.result.Programs++
	if !p.runaway {
		w.owed += k.Worth
		if w.last(p) {
			w.lastOwed += k.Worth
		}
		w.demands = append(w.demands, demand{kind: k, work: l.work(&w.deployment.Engine, l.context), from: p.began, due: p.due, end: p.late})
	}
	l.next()
}

// drawEntry returns the entry instance that a program arrives at: any, or for what comes on top in a burst one of its
// own.
func (w *world) drawEntry(k *Kind) *entry {
	s := w.clock.now.Seconds()
	for _, b := range w.deployment.Bursts {
		if b.Entries > 0 && b.X > 1 && b.active(s, k.Name) && w.rand.Float64() < 1-1/b.X {
			return w.entries[w.rand.IntN(max(1, int(b.Entries*float64(len(w.entries)))))]
		}
	}
	return w.entries[w.rand.IntN(len(w.entries))]
}

func (w *world) drawTurns(p *program) int {
	if p.runaway {
		return max(1, p.kind.RunawayTurns)
	}
	return max(1, int(w.around(p.kind.Turns, 0.4)+0.5))
}

// around draws a positive value with a mean and a spread of its logarithm.
func (w *world) around(mean, spread float64) float64 {
	return mean * distuv.LogNormal{Mu: -spread * spread / 2, Sigma: spread, Src: w.rand}.Rand()
}

// drawLine draws the turns of a line, and its time on idle engines.
func (w *world) drawLine(p *program, turns int, main bool) (*line, time.Duration) {
	k := p.kind
	w.lines++
	l := &line{program: p, id: w.lines, prefix: w.rand.IntN(k.Prefixes)*len(w.deployment.Kinds) + w.kindIndex(k), shared: k.SharedTokens}
	if main {
		l.context = k.SharedTokens
	}
	var idle time.Duration
	for i := range turns {
		s := step{
			input: max(1, int(w.around(k.InputTokens, 0.7))), output: max(1, int(w.around(k.OutputTokens, 0.8))),
			pause: ms(w.around(max(1, k.PauseMS), 0.6)),
		}
		if main && i < turns-1 && w.rand.Float64() < k.Fan {
			var longest time.Duration
			for range k.Width {
				b, took := w.drawLine(p, lineTurns, false)
				s.beside = append(s.beside, b)
				longest = max(longest, took)
			}
			idle += longest
		}
		l.left = append(l.left, s)
		idle += w.deployment.Engine.idle(s.input, s.output) + s.pause + ms(w.deployment.WayMS)
	}
	return l, idle
}

func (w *world) kindIndex(k *Kind) int {
	for i := range w.deployment.Kinds {
		if k == &w.deployment.Kinds[i] {
			return i
		}
	}
	return 0
}

// earn takes what a program has come to.
func (w *world) earn(p *program, worth float64) {
	w.had += worth
	if w.last(p) {
		w.lastHad += worth
	}
}

// countCall counts a call that an engine has taken.
func (w *world) countCall() {
	w.inFlight++
	w.result.MostInFlight = max(w.result.MostInFlight, w.inFlight)
}

// last reports whether a program came in the last quarter of the day.
func (w *world) last(p *program) bool { return p.began.Seconds() >= 0.75*w.deployment.Seconds }

func (w *world) took(d time.Duration) {
	// The histogram holds up to two minutes, longer than a run goes on.
	_ = w.times.RecordValue(max(1, d.Milliseconds()))
}
