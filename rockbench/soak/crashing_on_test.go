// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
)

// crashingClient returns the client of a request that crashes endpoints. It comes again as it is told for some time.
func crashingClient(f *fleet, i int, path string, duration, delay time.Duration) *standin.CrashingRequest {
	c := &standin.CrashingRequest{
		Name: fmt.Sprint("crashing-on", strings.ReplaceAll(path, "/", "-"), i), Host: host, Path: path, Entries: (&soak{fleet: f}).entries(),
		Duration: duration, HonorRetryAfter: true, Delay: delay, Repeatable: path == "/repeat/",
		Rand: rand.New(rand.NewPCG(11, uint64(i))), Recorder: f.ledger, Client: &http.Client{},
	}
	if path == "/turn/" {
		c.Tokens = crashTokens
	}
	c.Customer, c.Secret = f.customers.of(i)
	return c
}

// runCrashing sends requests that crash endpoints, and logs what their clients got.
func runCrashing(t *testing.T, f *fleet, list []*standin.CrashingRequest) {
	var running sync.WaitGroup
	for _, c := range list {
		running.Go(func() {
			answers := c.Run(t.Context())
			for n, a := range answers {
				t.Logf("%s, attempt %d: status %d after %d crashes: %s", c.Name, n, a.Status, a.Crashes, a.Text)
			}
			t.Logf("%s: %d endpoints crashed, %d runs", c.Name, f.ledger.Crashes(c.Name), f.ledger.CrashRuns(c.Name))
			if f.ledger.Crashes(c.Name) < standin.MaxCrashes {
				f.ledger.Count("requests under which fewer endpoints crashed than may")
			}
		})
	}
	running.Wait()
}

// TestNothingIsSentAfterThreeEnds guards against a request that is sent on after three endpoints have ended under it, because
// others end by chance meanwhile and its client is patient: a hold ran out, and an execution was granted again each time.
func TestNothingIsSentAfterThreeEnds(t *testing.T) {
	const clientsStay, chanceEvery = 25 * time.Second, 500 * time.Millisecond
	f := crashFleet(t)
	ctx, stop := context.WithCancel(t.Context())
	join := runBystanders(t, ctx, f)
	var running sync.WaitGroup
	running.Go(func() {
		for r := rand.New(rand.NewPCG(5, 0)); ctx.Err() == nil; waitFor(ctx, chanceEvery) {
			f.endpoint(r).End()
		}
	})
	var list []*standin.CrashingRequest
	for i, path := range []string{"/repeat/", "/turn/", "/once/", "/repeat/", "/turn/", "/once/"} {
		delay := 50 * time.Millisecond
		if i >= 3 {
			delay = time.Second
		}
		list = append(list, crashingClient(f, i, path, clientsStay, delay))
	}
	runCrashing(t, f, list)
	stop()
	running.Wait()
	join()
	reportAll(t, f)
}

// TestNothingIsSentAfterThreeEndsWhileControlStartsAgain guards against instances that know of no end, as all control instances are
// lost at that moment: each of them sent the request once.
func TestNothingIsSentAfterThreeEndsWhileControlStartsAgain(t *testing.T) {
	for _, at := range []int{1, 2, 3} {
		t.Run(fmt.Sprint("at end ", at), func(t *testing.T) {
			f := crashFleet(t)
			ctx, stop := context.WithCancel(t.Context())
			join := runBystanders(t, ctx, f)
			var list []*standin.CrashingRequest
			for i, path := range []string{"/repeat/", "/turn/", "/once/"} {
				list = append(list, crashingClient(f, i, path, 8*time.Second, 0))
			}
			var lost atomic.Bool
			var running sync.WaitGroup
			running.Go(func() {
				for !slices.ContainsFunc(list, func(c *standin.CrashingRequest) bool { return f.ledger.Crashes(c.Name) >= at }) {
					if !wait.For(ctx, time.Millisecond) {
						return
					}
				}
				lost.Store(true)
				endAll(func(f *fleet) []*instance { return f.control }, killed)(t.Context(), f, rand.New(rand.NewPCG(6, 0)), time.Second)
			})
			runCrashing(t, f, list)
			stop()
			running.Wait()
			join()
			if !lost.Load() {
				t.Error("control was not lost")
			}
			reportAll(t, f)
		})
	}
}

// endAllKinds are the processes that are lost together in TestNothingIsSentAfterThreeEndsOverALossOfPower.
var endAllKinds = []struct {
	name string
	from choose
}{
	{"control and entry instances", func(f *fleet) []*instance { return append(slices.Clone(f.control), f.entries...) }},
	{"everything", (*fleet).all},
}

// TestNothingIsSentAfterThreeEndsOverALossOfPower guards against a count that is kept in memory alone.
func TestNothingIsSentAfterThreeEndsOverALossOfPower(t *testing.T) {
	for _, kind := range endAllKinds {
		t.Run(kind.name, func(t *testing.T) {
			f := crashFleet(t)
			var list []*standin.CrashingRequest
			for i, path := range []string{"/repeat/", "/turn/", "/once/"} {
				list = append(list, crashingClient(f, i, path, 10*time.Second, 0))
			}
			var running sync.WaitGroup
			running.Go(func() {
				known := func() bool {
					for _, c := range list {
						if f.ledger.Crashes(c.Name) < standin.MaxCrashes {
							return false
						}
					}
					return true
				}
				for deadline := time.Now().Add(3 * time.Second); !known() && time.Now().Before(deadline); {
					wait.For(t.Context(), time.Millisecond)
				}
				// The last end is known once its client has an answer.
				wait.For(t.Context(), 300*time.Millisecond)
				endAll(kind.from, powerLost)(t.Context(), f, rand.New(rand.NewPCG(8, 0)), 300*time.Millisecond)
			})
			runCrashing(t, f, list)
			running.Wait()
			reportAll(t, f)
		})
	}
}

// TestNothingIsSentAfterThreeSilentEnds guards against ends that only the list shows: until then, a request whose endpoints fell silent
// was sent as one that nothing ended under, and executions that were over for longer had been forgotten by then.
func TestNothingIsSentAfterThreeSilentEnds(t *testing.T) {
	for _, silentFor := range []time.Duration{5 * time.Second, 9 * time.Second} {
		t.Run(fmt.Sprint("listed for ", silentFor), func(t *testing.T) {
			f := crashFleet(t)
			f.silentFor = silentFor
			ctx, stop := context.WithCancel(t.Context())
			join := runBystanders(t, ctx, f)
			var list []*standin.CrashingRequest
			for i, path := range []string{"/repeat/", "/turn/", "/once/"} {
				c := crashingClient(f, i, path, 25*time.Second, 0)
				c.Silent, c.Timeout = true, 2*time.Second
				list = append(list, c)
			}
			runCrashing(t, f, list)
			stop()
			join()
			reportAll(t, f)
		})
	}
}
