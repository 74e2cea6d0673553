// SPDX-License-Identifier: MIT

package emulator

import (
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Deployment is what a run plays.
type Deployment struct {
	Name string `toml:"name"`
	// Entries is the number of entry instances, Seconds how long programs arrive.
	Entries int     `toml:"entries"`
	Seconds float64 `toml:"seconds"`
	// PerSecond is how many programs arrive a second.
	PerSecond float64 `toml:"per_second"`
	// NewsMS is how old an entry's knowledge of others' calls is, WayMS how long a turn
	// takes beside its endpoint.
	NewsMS   float64   `toml:"news_ms"`
	WayMS    float64   `toml:"way_ms"`
	Engine   Engine    `toml:"engine"`
	Kinds    []Kind    `toml:"kinds"`
	Bursts   []Burst   `toml:"bursts"`
	Restarts []Restart `toml:"restarts"`
	Slow     []Slow    `toml:"slow"`
}

// Engine describes the model engines, which are all alike but for their speeds.
type Engine struct {
	Count int `toml:"count"`
	// Slots is the size of a batch, Queue how many calls wait beside it.
	Slots int `toml:"slots"`
	Queue int `toml:"queue"`
	// CacheTokens is the memory for running calls and kept prefixes.
	CacheTokens int `toml:"cache_tokens"`
	// StepMS is the time of a step; each running call adds StepPerCallMS and each 1,000
	// tokens of context StepPerKMS.
	StepMS        float64 `toml:"step_ms"`
	StepPerCallMS float64 `toml:"step_per_call_ms"`
	StepPerKMS    float64 `toml:"step_per_k_ms"`
	// ReadPerMS is how many prompt tokens are read in a millisecond, Piece how many
	// between two steps.
	ReadPerMS float64 `toml:"read_per_ms"`
	Piece     int     `toml:"piece"`
	// Speeds are multiples of all these times, which the engines have in turn; empty means 1.
	Speeds []float64 `toml:"speeds"`
}

// speed returns the multiple of an engine.
func (e *Engine) speed(i int) float64 {
	if len(e.Speeds) == 0 {
		return 1
	}
	return e.Speeds[i%len(e.Speeds)]
}

// Kind is a kind of program.
type Kind struct {
	Name string `toml:"name"`
	// Share of all programs.
	Share    float64 `toml:"share"`
	Priority uint32  `toml:"priority"`
	Turns    float64 `toml:"turns"`
	// SharedTokens begin each prompt, one of Prefixes texts; InputTokens come with each
	// turn, OutputTokens are generated.
	SharedTokens int     `toml:"shared_tokens"`
	Prefixes     int     `toml:"prefixes"`
	InputTokens  float64 `toml:"input_tokens"`
	OutputTokens float64 `toml:"output_tokens"`
	// PauseMS lies between turns, tools included.
	PauseMS float64 `toml:"pause_ms"`
	// Fan is the share of turns after which Width lines of two turns run side by side.
	Fan   float64 `toml:"fan"`
	Width int     `toml:"width"`
	// Aim times a program's time on idle engines, and ObjectiveMS, is the time that it has.
	Aim         float64 `toml:"aim"`
	ObjectiveMS float64 `toml:"objective_ms"`
	Worth       float64 `toml:"worth"`
	LateWorth   float64 `toml:"late_worth"`
	// Runaway is the share of programs that go on until RunawayTurns, and earn nothing.
	Runaway      float64 `toml:"runaway"`
	RunawayTurns int     `toml:"runaway_turns"`
}

// Burst multiplies the arrivals for a while.
type Burst struct {
	// Kind is the kind that comes more often; empty means all.
	Kind string  `toml:"kind"`
	AtS  float64 `toml:"at_s"`
	ForS float64 `toml:"for_s"`
	X    float64 `toml:"x"`
	// Entries is the share of the entry instances that what comes on top arrives at; 0 means all.
	Entries float64 `toml:"entries"`
}

// Carries is how many programs a second fill all engines, were each prompt read once, without programs that run away.
func (d *Deployment) Carries() float64 {
	var work, shares float64
	for _, k := range d.Kinds {
		shares += k.Share
		work += k.Share * d.Engine.programWork(k)
	}
	return 1000 * float64(d.Engine.Count) * shares / work
}

// programWork is the time of one engine in milliseconds for a program of a kind in the mean, with a full batch.
func (e *Engine) programWork(k Kind) float64 {
	turns := k.Turns * (1 + k.Fan*float64(k.Width)*lineTurns)
	context := float64(k.SharedTokens) + k.Turns/2*(k.InputTokens+k.OutputTokens)
	return turns * (k.InputTokens/e.ReadPerMS + k.OutputTokens*e.perToken(int(context)))
}

// active reports whether a burst is under way for a kind.
func (b Burst) active(s float64, kind string) bool {
	return s >= b.AtS && s < b.AtS+b.ForS && (b.Kind == "" || b.Kind == kind)
}

// FieldError says which key of a deployment is wrong.
type FieldError struct{ Key, Expected string }

// Error describes the key and the expected value.
func (e *FieldError) Error() string { return fmt.Sprintf("deployment: %s: %s", e.Key, e.Expected) }

// Load reads and checks a deployment file.
func Load(path string) (*Deployment, error) {
	var d Deployment
	md, err := toml.DecodeFile(path, &d)
	if err != nil {
		return nil, errors.Wrap(err, "deployment")
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return nil, &FieldError{Key: extra[0].String(), Expected: "is not a known key"}
	}
	return &d, d.check()
}

// check returns a [FieldError] for the first wrong value.
func (d *Deployment) check() error {
	e := d.Engine
	positive := []struct {
		key   string
		value float64
	}{
		{"entries", float64(d.Entries)}, {"seconds", d.Seconds}, {"per_second", d.PerSecond},
		{"engine.count", float64(e.Count)}, {"engine.slots", float64(e.Slots)}, {"engine.cache_tokens", float64(e.CacheTokens)},
		{"engine.step_ms", e.StepMS}, {"engine.read_per_ms", e.ReadPerMS}, {"engine.piece", float64(e.Piece)},
		{"kinds", float64(len(d.Kinds))},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return &FieldError{Key: p.key, Expected: "must be more than zero"}
		}
	}
	for i, k := range d.Kinds {
		if k.Share <= 0 || k.Turns < 1 || k.Aim < 1 || k.OutputTokens < 1 || k.Prefixes < 1 {
			return &FieldError{Key: fmt.Sprintf("kinds[%d]", i), Expected: "share, turns, aim, output_tokens and prefixes must be set"}
		}
	}
	for i, s := range d.Slow {
		if s.wrong() {
			return &FieldError{Key: fmt.Sprintf("slow[%d]", i), Expected: "share must be from 0 to 1, x at least 1, for_s more than zero"}
		}
	}
	for i, r := range d.Restarts {
		if r.wrong() {
			return &FieldError{Key: fmt.Sprintf("restarts[%d]", i), Expected: "share must be from 0 to 1, times at least 1, every_s set if there are more"}
		}
	}
	for i, b := range d.Bursts {
		known := b.Kind == "" || slices.ContainsFunc(d.Kinds, func(k Kind) bool { return k.Name == b.Kind })
		if !known {
			return &FieldError{Key: fmt.Sprintf("bursts[%d].kind", i), Expected: "must name one of the kinds"}
		}
		if b.X < 0 || b.ForS <= 0 || b.Entries < 0 || b.Entries > 1 {
			return &FieldError{Key: fmt.Sprintf("bursts[%d]", i), Expected: "x must not be negative, for_s more than zero, entries from 0 to 1"}
		}
	}
	return nil
}

// rates are the arrivals a second of each kind at a time.
func (d *Deployment) rates(s float64) []float64 {
	var total float64
	for _, k := range d.Kinds {
		total += k.Share
	}
	var out []float64
	for _, k := range d.Kinds {
		r := d.PerSecond * k.Share / total
		for _, b := range d.Bursts {
			if b.active(s, k.Name) {
				r *= b.X
			}
		}
		out = append(out, r)
	}
	return out
}

// peak is a bound of the rate of all arrivals.
func (d *Deployment) peak() float64 {
	r := sum(d.rates(-1))
	for _, b := range d.Bursts {
		r = max(r, sum(d.rates(b.AtS)))
	}
	return r
}

func sum(list []float64) float64 {
	var n float64
	for _, v := range list {
		n += v
	}
	return n
}
