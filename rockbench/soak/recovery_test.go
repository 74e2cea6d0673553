// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/requestlog"
)

const (
	// programs are under way when all processes are killed, each with so many turns that
	// none has ended by then.
	programs = 4
	turns    = 40
	// turnsBefore are answered before the kill.
	turnsBefore = 12
)

// TestAllAreKilledUnderLoad kills every process at one moment, as a loss of power does to
// all but the disks, and starts them again. Programs under way go on with their histories.
// The time that each part of the recovery took is printed; nothing asserts it.
func TestAllAreKilledUnderLoad(t *testing.T) {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{fleet: f}
	var running sync.WaitGroup
	for i := range programs {
		p := &standin.Program{
			Name: fmt.Sprint("p", i), Turns: turns, Entries: s.entries(), Host: host,
			TurnPath: "/turn/", OncePath: "/once/", RepeatPath: "/repeat/",
			Rand: rand.New(rand.NewPCG(1, uint64(i))), Recorder: f.ledger, Client: &http.Client{Transport: &http.Transport{}},
		}
		p.Customer, p.Secret = f.customers.of(i)
		running.Go(func() {
			if !p.Run(t.Context()) {
				t.Errorf("program %s did not come to its end", p.Name)
			}
		})
	}
	for f.ledger.Counts()["turns"] < turnsBefore {
		wait.For(t.Context(), holdTick)
	}
	for _, in := range f.all() {
		in.expectEnd()
		in.signal(syscall.SIGKILL)
	}
	for _, in := range f.all() {
		in.stop(syscall.SIGKILL)
	}
	before := f.ledger.Counts()["turns"]
	for _, in := range f.all() {
		if err := in.start(); err != nil {
			t.Fatal(err)
		}
	}
	running.Wait()
	if !f.operator.Check(t.Context()) {
		t.Error("no control instance is sure of the configuration")
	}
	for _, b := range append(f.ledger.Violations(), f.failures()...) {
		t.Error(b)
	}
	if before >= programs*turns {
		t.Error("all programs had ended before the kill")
	}
	printLives(t, f)
}

// printLives prints how long each role took from its starts to the steps of the recovery.
func printLives(t *testing.T, f *fleet) {
	var events []requestlog.Event
	for _, in := range f.all() {
		b, err := os.ReadFile(in.log.Name())
		if err != nil {
			t.Fatal(err)
		}
		if err := requestlog.ReadEvents(bytes.NewReader(b), func(e requestlog.Event) { events = append(events, e) }); err != nil {
			t.Fatal(err)
		}
	}
	slices.SortStableFunc(events, func(a, b requestlog.Event) int { return int(a.At - b.At) })
	var lives requestlog.Lives
	for _, e := range events {
		lives.Add(e)
	}
	if err := lives.Write(t.Output()); err != nil {
		t.Fatal(err)
	}
}

// TestAnAcknowledgedVersionOutlivesALossOfPower guards against a deployment that comes back older, or not at all, after the
// power of all its instances was lost: names of files were never synced, so that votes and identities could be gone.
func TestAnAcknowledgedVersionOutlivesALossOfPower(t *testing.T) {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1, Domains: 4})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	r := rand.New(rand.NewPCG(1, 0))
	for range 3 {
		if err := f.deploy(t.Context()); err != nil {
			t.Fatal(err)
		}
		endAll((*fleet).all, powerLost)(t.Context(), f, r, 0)
		if len(f.failures()) > 0 {
			t.Fatal(f.failures())
		}
		for !f.operator.Check(t.Context()) {
			wait.For(t.Context(), holdTick)
		}
	}
	f.checkRoutes(t.Context())
	for _, b := range append(f.ledger.Violations(), f.failures()...) {
		t.Error(b)
	}
}
