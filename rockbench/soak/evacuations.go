// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// evacuatedAfter is how long after its acknowledgement an evacuation is in force everywhere once the faults are over.
	evacuatedAfter = time.Second
	// evacuatedPrograms run while a failure domain is evacuated.
	evacuatedPrograms = 12
)

// checkEvacuation breaks a promise if endpoints of an evacuated failure domain get requests, or none of them does after the
// domain was taken back.
func (f *fleet) checkEvacuation(ctx context.Context, entries []string) {
	f.replacing.Lock()
	defer f.replacing.Unlock()
	const domain = "domain-0"
	taken := func() (n int64) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, e := range f.endpoints {
			if e.Domain == domain {
				n += e.RequestCount()
			}
		}
		return n
	}
	if err := f.operator.Evacuate(ctx, domain, false); err != nil {
		f.ledger.AddViolation("no control instance acknowledges an evacuation: %v", err)
		return
	}
	wait.For(ctx, evacuatedAfter)
	before := taken()
	f.runPrograms(ctx, "evacuated", entries)
	if after := taken(); after != before {
		f.ledger.AddViolation("endpoints of an evacuated failure domain got %d requests", after-before)
	}
	if err := f.operator.Evacuate(ctx, domain, true); err != nil {
		f.ledger.AddViolation("no control instance acknowledges the end of an evacuation: %v", err)
		return
	}
	for end := time.Now().Add(usedWithin); taken() == before; {
		if ctx.Err() != nil || time.Now().After(end) {
			f.ledger.AddViolation("endpoints of a failure domain that was taken back got no request")
			return
		}
		f.runPrograms(ctx, "taken-back", entries)
	}
	f.ledger.Count("evacuations")
}

// runPrograms runs some programs of one turn.
func (f *fleet) runPrograms(ctx context.Context, name string, entries []string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	r := rand.New(rand.NewPCG(seedOfOperators, uint64(len(name))))
	for n := range evacuatedPrograms {
		p := &standin.Program{
			Name: fmt.Sprint(name, "-", n, "-", time.Now().UnixNano()), Turns: 1, Entries: entries, Host: host, TurnPath: "/turn/", OncePath: "/once/",
			RepeatPath: "/repeat/", Rand: r, Recorder: f.ledger, Client: client,
		}
		p.Customer, p.Secret = f.customers.of(n)
		p.Run(ctx)
	}
}
