// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"rockbarrow.dev/schema/fleetpb"
)

// TestSuspectsAreShownWithTheirEvidence: a refused request is found by its key, and each end by its endpoint.
func TestSuspectsAreShownWithTheirEvidence(t *testing.T) {
	var b strings.Builder
	suspectRows(&b, &fleetpb.SuspectUpdate{Sequence: 9, Suspects: []*fleetpb.Suspect{
		{Key: []byte{0xab, 1}, Service: "s", Route: "r", Program: "p", Refused: true, RefusedAgeMs: 1500, Ends: []*fleetpb.SuspectEnd{
			{Endpoint: "e-1", AgeMs: 3000, ExposureMs: 50}, {Endpoint: "e-2", AgeMs: 2000, ExposureMs: 51, Alone: true},
		}},
		{Key: []byte{0xcd}, Content: true, Ends: []*fleetpb.SuspectEnd{{Endpoint: "e-1"}}},
		{Key: []byte{0xef}, Trials: []*fleetpb.SuspectTrial{{Endpoint: "e-3"}, {Endpoint: "e-4", Lost: true, LostAgeMs: 2000}}},
	}})
	for _, want := range []string{
		"ab01\trequest\trefused for 1.5s\ts\tr\tp\t2\te-1 3s ago, after 50ms; e-2 2s ago, after 51ms, alone", "cd\tcontent\tsuspected\t",
		"ef\trequest\tlost executions\t\t\t\t0\te-4 without an answer 2s ago\n", "change 9",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q lacks %q", b.String(), want)
		}
	}
}

// TestAKeyThatIsNoneIsAUsageError: nothing is sent for it.
func TestAKeyThatIsNoneIsAUsageError(t *testing.T) {
	for _, key := range []string{"", "xyz", "ab", strings.Repeat("ab", 17)} {
		s := &session{flags: &flags{}}
		s.flags.args[0] = key
		var usage *UsageError
		if err := clearSuspect(context.Background(), s); !errors.As(err, &usage) {
			t.Errorf("%q: %v", key, err)
		}
	}
}
