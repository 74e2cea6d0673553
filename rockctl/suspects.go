// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"

	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/schema/fleetpb"
)

// showSuspects shows the requests under which endpoints ended, as a control instance knows them.
func showSuspects(ctx context.Context, s *session) error {
	reply, err := s.control.Suspects(ctx, &fleetpb.SuspectsRequest{})
	if err != nil {
		return err
	}
	return s.print(reply, func(w io.Writer) { suspectRows(w, reply) })
}

func suspectRows(w io.Writer, r *fleetpb.SuspectUpdate) {
	fmt.Fprintln(w, "KEY\tOF\tSTATE\tSERVICE\tROUTE\tPROGRAM\tENDS\tENDPOINTS")
	for _, s := range r.GetSuspects() {
		of, state := "request", "suspected"
		if s.GetContent() {
			of = "content"
		}
		if len(s.GetEnds()) == 0 {
			state = "lost executions"
		}
		if s.GetRefused() {
			state = "refused for " + milliseconds(s.GetRefusedAgeMs())
		}
		var places []string
		for _, e := range s.GetEnds() {
			text := fmt.Sprintf("%s %s ago, after %s", e.GetEndpoint(), milliseconds(e.GetAgeMs()), milliseconds(e.GetExposureMs()))
			if e.GetAlone() {
				text += ", alone"
			}
			places = append(places, text)
		}
		for _, t := range s.GetTrials() {
			if t.GetLost() {
				places = append(places, fmt.Sprintf("%s without an answer %s ago", t.GetEndpoint(), milliseconds(t.GetLostAgeMs())))
			}
		}
		fmt.Fprintf(w, "%x\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", s.GetKey(), of, state, s.GetService(), s.GetRoute(), s.GetProgram(), len(s.GetEnds()), strings.Join(places, "; "))
	}
	fmt.Fprintf(w, "\nchange %d\n", r.GetSequence())
}

func milliseconds(ms uint64) string { return (time.Duration(ms) * time.Millisecond).String() }

// clearSuspect lifts the refusal of a request.
func clearSuspect(ctx context.Context, s *session) error {
	key, err := hex.DecodeString(s.flags.args[0])
	if err == nil {
		_, err = quarantine.ParseKey(s.flags.args[0])
	}
	if err != nil {
		return &UsageError{Reason: "KEY: " + err.Error()}
	}
	reply, err := s.control.ClearSuspect(ctx, &fleetpb.ClearSuspectRequest{Key: key})
	if err != nil {
		return err
	}
	return s.print(reply, func(w io.Writer) { fmt.Fprintln(w, "cleared") })
}
