// SPDX-License-Identifier: MIT

package stores

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxSpentPrograms bounds the remembered programs. An entry takes some 150 bytes.
const maxSpentPrograms = 4096

// spentPrograms remembers programs whose settled tokens leave no room for a turn
// in their budget. Programs that loop until they are stopped ask again many times,
// and each answer from the stores takes a quorum of writes. The zero value is
// ready to use.
type spentPrograms struct {
	mu  sync.Mutex
	lru *lru.LRU[string, spentProgram]
}

type spentProgram struct {
	settled uint64
	// until is when the stores may have dropped the program's records.
	until time.Time
}

// record notes the settled tokens of a program whose records the stores keep for
// a retention time.
func (s *spentPrograms) record(now time.Time, program string, settled uint64, retention time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lru == nil {
		s.lru, _ = lru.NewLRU[string, spentProgram](maxSpentPrograms, nil) // fails only for a size below 1
	}
	s.lru.Add(program, spentProgram{settled: settled, until: now.Add(retention)})
}

// check returns an error if a turn is known to exceed its program's budget.
func (s *spentPrograms) check(now time.Time, t Turn) error {
	if t.Budget == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lru == nil {
		return nil
	}
	p, ok := s.lru.Get(t.Program)
	if !ok || !now.Before(p.until) {
		return nil
	}
	err := &OverBudgetError{Budget: t.Budget, Used: p.settled, MaxTokens: t.MaxTokens, Settled: p.settled}
	if !err.isFinal() {
		return nil
	}
	return err
}
