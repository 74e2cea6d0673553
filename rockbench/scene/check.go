// SPDX-License-Identifier: MIT

package scene

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"rockbarrow.dev/rockbench/agent"
)

// Verdict is one promise with how often it was checked and broken.
type Verdict struct {
	Promise string
	Checked int
	Broken  []string
}

// Check holds every promise against what agents recorded and stand-ins counted.
func (s *Scene) Check(ctx context.Context, records []*agent.Record) []Verdict {
	histories, budgets := s.checkRuns(ctx, records)
	return []Verdict{
		histories,
		budgets,
		s.checkPlaces(records),
		s.checkOnce(),
		s.checkRefusals(),
		s.checkMemory(ctx, records),
		s.checkConfiguration(ctx),
		{Promise: "agents saw nothing wrong", Checked: len(records), Broken: s.Book.Broken()},
	}
}

// checkRuns reads every run's history back.
func (s *Scene) checkRuns(ctx context.Context, records []*agent.Record) (histories, budgets Verdict) {
	histories.Promise = "history whole, in order, not mixed"
	budgets.Promise = "budget holds"
	client := s.Client()
	for _, r := range records {
		if r.Run == "" {
			continue
		}
		run, err := client.History(ctx, r.Run)
		if err != nil {
			histories.Broken = append(histories.Broken, r.Run+": "+err.Error())
			continue
		}
		histories.Checked += len(run.Turns)
		if what := compare(run, r); what != "" {
			histories.Broken = append(histories.Broken, r.Run+": "+what)
		}
		budgets.Checked++
		if run.SpentTokens > run.BudgetTokens {
			budgets.Broken = append(budgets.Broken, fmt.Sprintf("%s: %d of %d", r.Run, run.SpentTokens, run.BudgetTokens))
		}
	}
	return histories, budgets
}

// compare tells how a stored history differs from what its agent was told.
func compare(run *agent.Run, r *agent.Record) string {
	answered := 0
	for i, t := range run.Turns {
		if t.Sequence != uint64(i+1) {
			return fmt.Sprintf("turn %d has sequence %d", i+1, t.Sequence)
		}
		if t.State != "answered" {
			continue
		}
		answered++
		if i < len(r.Answers) && (t.Answer != r.Answers[i] || !slices.Equal(t.Messages, r.Messages[i])) {
			return fmt.Sprintf("turn %d differs", i+1)
		}
	}
	if answered < len(r.Answers) {
		return fmt.Sprintf("%d turns are stored of %d answered", answered, len(r.Answers))
	}
	return ""
}

func (s *Scene) checkPlaces(records []*agent.Record) Verdict {
	v := Verdict{Promise: "allowed places only"}
	allowed := map[string][]string{}
	for _, r := range records {
		allowed[r.Run] = r.Domains
	}
	for _, e := range s.EngineList {
		for _, run := range e.Places() {
			domains, ok := allowed[run]
			if !ok {
				continue
			}
			v.Checked++
			if !slices.Contains(domains, e.Domain) {
				v.Broken = append(v.Broken, run+" ran on "+e.Name)
			}
		}
	}
	return v
}

func (s *Scene) checkOnce() Verdict {
	v := Verdict{Promise: "unrepeatable calls at most once"}
	ran := map[string]int{}
	for _, svc := range s.Services {
		if !strings.HasPrefix(svc.Name, Pairings) {
			continue
		}
		for id, n := range svc.Ran() {
			ran[id] += n
		}
	}
	for id, n := range ran {
		v.Checked++
		if n > 1 {
			v.Broken = append(v.Broken, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return v
}

// checkRefusals looks for requests that ran although their last word was that
// they did not.
func (s *Scene) checkRefusals() Verdict {
	v := Verdict{Promise: "refusals are true"}
	ran := map[string]int{}
	for _, e := range s.EngineList {
		for id, n := range e.Runs() {
			ran[id] += n
		}
	}
	for _, svc := range s.Services {
		for id, n := range svc.Ran() {
			ran[id] += n
		}
	}
	for _, key := range s.Book.NotRun() {
		v.Checked++
		if ran[key] > 0 {
			v.Broken = append(v.Broken, key+" ran after all")
		}
	}
	return v
}

// checkMemory waits until engines hold nothing for ended runs.
func (s *Scene) checkMemory(ctx context.Context, records []*agent.Record) Verdict {
	v := Verdict{Promise: "no engine memory for ended runs"}
	ended := map[string]bool{}
	for _, r := range records {
		if r.Ended && r.Err == nil {
			ended[r.Run] = true
			v.Checked++
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for {
		v.Broken = nil
		for _, e := range s.EngineList {
			for _, run := range e.Held() {
				if ended[run] {
					v.Broken = append(v.Broken, e.Name+" holds "+run)
				}
			}
		}
		if len(v.Broken) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return v
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *Scene) checkConfiguration(ctx context.Context) Verdict {
	v := Verdict{Promise: "one configuration in force everywhere"}
	newest := uint64(0)
	versions := map[string]uint64{}
	for _, in := range s.Fleet.Instances() {
		if in.Down() {
			continue
		}
		v.Checked++
		versions[in.Instance] = s.versionOf(ctx, in)
		newest = max(newest, versions[in.Instance])
	}
	for name, n := range versions {
		if n != newest {
			v.Broken = append(v.Broken, fmt.Sprintf("%s has version %d of %d", name, n, newest))
		}
	}
	return v
}
