// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"os"
	"os/exec"
	"testing"

	"rockbarrow.dev/platform/settings"
	"rockbarrow.dev/platform/standin"
)

// TestProcessesOverTheirMemoryAreTold guards against a check of memory that reads nothing, or another figure than the peak.
func TestProcessesOverTheirMemoryAreTold(t *testing.T) {
	const heldMB = 64
	held := bytes.Repeat([]byte{1}, heldMB<<20)
	p, err := os.FindProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	in := &instance{cmd: &exec.Cmd{Process: p}, meant: true}
	for mb, told := range map[int]bool{heldMB: true, 1 << 20: false} {
		in.plan = settings.FileParams{Instance: "entry", MemoryMB: mb}
		f := &fleet{ledger: &standin.Recorder{}}
		f.checkMemory(in)
		if got := len(f.ledger.Violations()) > 0; got != told {
			t.Errorf("with %d MB, and %d held: told %v, want %v", mb, len(held)>>20, got, told)
		}
	}
}
