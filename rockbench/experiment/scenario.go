// SPDX-License-Identifier: MIT

// Package experiment runs a scenario under several policies and loads, each
// against the same seeded arrivals, and writes a report with tables and plots.
package experiment

import (
	"fmt"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Scenario is what an experiment runs.
type Scenario struct {
	Name             string    `toml:"name"`
	EnginesPerDomain int       `toml:"engines_per_domain"`
	LatencyWeight    float64   `toml:"latency_weight"`
	CacheWeight      float64   `toml:"cache_weight"`
	Policies         []string  `toml:"policies"`
	Seeds            []uint64  `toml:"seeds"`
	Seconds          int       `toml:"seconds"`
	Rates            []float64 `toml:"rates"`
	CacheTokens      int       `toml:"cache_tokens"`
	// PromptTokenUS is what an engine takes to compute a prompt token.
	PromptTokenUS int     `toml:"prompt_token_us"`
	Programs      []Share `toml:"programs"`
}

// Share is a kind of program and how often it comes.
type Share struct {
	Program     string `toml:"program"`
	Share       int    `toml:"share"`
	Turns       int    `toml:"turns"`
	PromptWords int    `toml:"prompt_words"`
	TurnWords   int    `toml:"turn_words"`
	PauseMS     int    `toml:"pause_ms"`
	Child       bool   `toml:"child"`
}

// FieldError says which key of a scenario is wrong.
type FieldError struct {
	// Key is the path of the key.
	Key string
	// Expected tells what a right value looks like.
	Expected string
}

// Error describes the key and the expected value.
func (e *FieldError) Error() string { return fmt.Sprintf("scenario: %s: %s", e.Key, e.Expected) }

// Load reads and checks a scenario file.
func Load(path string) (*Scenario, error) {
	var s Scenario
	md, err := toml.DecodeFile(path, &s)
	if err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return nil, &FieldError{Key: extra[0].String(), Expected: "is not a known key"}
	}
	switch {
	case s.Name == "":
		return nil, &FieldError{Key: "name", Expected: "must be set"}
	case s.EnginesPerDomain < 1 || s.EnginesPerDomain > 16:
		return nil, &FieldError{Key: "engines_per_domain", Expected: "must be from 1 to 16"}
	case len(s.Policies) == 0 || len(s.Seeds) == 0 || len(s.Rates) == 0 || len(s.Programs) == 0:
		return nil, &FieldError{Key: "policies, seeds, rates, programs", Expected: "must each hold at least one"}
	case s.Seconds < 1 || s.Seconds > 600:
		return nil, &FieldError{Key: "seconds", Expected: "must be from 1 to 600"}
	case s.CacheTokens < 1000:
		return nil, &FieldError{Key: "cache_tokens", Expected: "must be 1000 or more"}
	}
	return &s, nil
}
