// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
)

// readLimit bounds the time from the start of all instances after the last fault until the configuration is read: for so long operators
// try at least.
const readLimit = contact

// loseAtTheEnd loses one disk, and the power of all others, as an operator learns that a change is acknowledged. All start again within a
// second. What is read afterwards must be that change.
func (s *soak) loseAtTheEnd(ctx context.Context) {
	f := s.fleet
	if err := f.deploy(ctx); err != nil {
		f.ledger.AddViolation("a configuration was not taken: %v", err)
		return
	}
	r := rand.New(rand.NewPCG(s.cfg.Seed, seedOfEvents-1))
	disks := slices.Concat(f.controls(), f.stores)
	lost := disks[r.IntN(len(disks))]
	fmt.Fprintf(s.cfg.Out, "%6.2f s  the disk of %s and the power of all others are lost\n", time.Since(s.start).Seconds(), lost.plan.Instance)
	all := f.all()
	for _, in := range all {
		// One that starts late may still be on its way.
		in.claimed.Lock()
		defer in.claimed.Unlock()
	}
	for _, in := range all {
		in.expectEnd()
		in.signal(syscall.SIGKILL)
	}
	for _, in := range all {
		in.stop(syscall.SIGKILL)
		var err error
		if in == lost {
			err = in.wipe()
		} else {
			err = in.losePower(r)
		}
		if err != nil {
			f.ledger.AddViolation("%s: %v", in.plan.Instance, err)
		}
	}
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, in := range all {
		f.restart(in)
		wait.For(ctx, time.Duration(r.Int64N(int64(time.Second)/int64(len(all)))))
	}
	f.awaitRead(ctx)
}

// awaitRead reads the configuration from all control instances until one returns it, and breaks a promise unless that comes within
// readLimit.
func (f *fleet) awaitRead(ctx context.Context) {
	begun := time.Now()
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var readers sync.WaitGroup
	for _, c := range f.controls() {
		readers.Go(func() {
			for ok := true; ok; ok = wait.For(reading, readInterval) {
				if f.operator.Do(reading, client, &standin.OperatorCall{Address: c.plan.OperatorAddress, Read: true}) == http.StatusOK {
					f.readAfter.CompareAndSwap(0, int64(time.Since(begun)-f.watchdog.stalled(begun, time.Now())))
					cancel()
				}
			}
		})
	}
	readers.Wait()
	if took := time.Duration(f.readAfter.Load()); took > readLimit {
		f.ledger.AddViolation("the configuration was read %v after all instances had started, want %v", took, readLimit)
	}
}

// readInterval is the pause between two reads from a control instance.
const readInterval = 20 * time.Millisecond
