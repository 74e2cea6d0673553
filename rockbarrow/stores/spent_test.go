// SPDX-License-Identifier: MIT

package stores

import (
	"testing"
	"time"
)

// Guards against refusing a turn that fits, and against a refusal that outlives the
// records it was based on.
func TestSpentProgramsRefuseOnlyWhatCannotFit(t *testing.T) {
	var s spentPrograms
	now := time.Unix(1, 0)
	s.record(now, "p", 90, time.Minute)
	for _, c := range []struct {
		name    string
		at      time.Time
		turn    Turn
		refused bool
	}{
		{"too large", now, Turn{Program: "p", MaxTokens: 11, Budget: 100}, true},
		{"fits", now, Turn{Program: "p", MaxTokens: 10, Budget: 100}, false},
		{"larger budget", now, Turn{Program: "p", MaxTokens: 11, Budget: 101}, false},
		{"no budget", now, Turn{Program: "p", MaxTokens: 11}, false},
		{"another program", now, Turn{Program: "q", MaxTokens: 100, Budget: 100}, false},
		{"records dropped", now.Add(time.Minute), Turn{Program: "p", MaxTokens: 11, Budget: 100}, false},
	} {
		if err := s.check(c.at, c.turn); (err != nil) != c.refused {
			t.Errorf("%s: %v, want refused %v", c.name, err, c.refused)
		}
	}
}
