// SPDX-License-Identifier: MIT

package soak

import (
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
)

// loadVariable makes the test binary a process that takes one processor.
const loadVariable = "ROCKBENCH_SOAK_LOAD"

func TestMain(m *testing.M) {
	for os.Getenv(loadVariable) != "" {
	}
	os.Exit(m.Run())
}

// startLoad has other processes take all processors, two for each, until the test ends.
func startLoad(t *testing.T) {
	t.Helper()
	for range 2 * runtime.NumCPU() {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), loadVariable+"=1", "GOMAXPROCS=1")
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			// The errors are those of a process that was killed.
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
	}
}
