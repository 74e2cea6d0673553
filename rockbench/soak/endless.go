// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// smallMB is the memory of the smallest instances, of which each second failure domain has entry instances.
	smallMB = 112
	// endlessPerMille is the rate of responses without end of an endpoint while it sends some, and endlessPause bounds the time between
	// two such endpoints.
	endlessPerMille = 50
	endlessPause    = 4 * time.Second
)

// endless has one endpoint after another send some responses without end, which may cost no instance its memory.
type endless struct {
	fleet *fleet
	r     *rand.Rand
}

func (x *endless) loop(ctx context.Context) {
	for wait.For(ctx, time.Duration(x.r.Int64N(int64(endlessPause)))) {
		e := x.fleet.endpoint(x.r)
		e.EndlessPerMille.Store(endlessPerMille)
		wait.For(ctx, time.Duration(x.r.Int64N(int64(endlessPause))))
		e.EndlessPerMille.Store(0)
	}
}

// checkMemory breaks a promise if the process, which must still run, has ever held more memory than its instance has.
func (f *fleet) checkMemory(in *instance) {
	pid, ok := in.pid()
	if !ok {
		return
	}
	kb, err := peakKB(pid)
	if err != nil {
		// It has ended by itself, which is reported, or not begun.
		return
	}
	if kb > in.plan.MemoryMB<<10 {
		f.ledger.AddViolation("%s has held %d kB of memory, it has %d MB", in.plan.Instance, kb, in.plan.MemoryMB)
	}
}

// peakKB returns the most memory that a process has held.
func peakKB(pid int) (kb int, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, peak, _ := bytes.Cut(b, []byte("VmHWM:"))
	_, err = fmt.Sscan(string(peak), &kb)
	return kb, err
}
