// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"rockbarrow.dev/platform/settings"
	"rockbarrow.dev/rockbarrow/wait"
)

// These tests tell an incident: processes of all three roles ended by themselves, many at one
// moment, and some never began. What they ended over was around them and would have passed: the
// reader of their logs, a signal that came early, an address that the process before still held, a
// settings file that was being written, a foreign file in the data folder. Runs with real processes
// showed each of them alone to be enough.

// solo is an instance of a role alone. It is served at an address of its own once it has begun.
func solo(t *testing.T, binary, role string) *instance {
	t.Helper()
	first, err := freePorts()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	at := func(offset int) string { return fmt.Sprintf("%s:%d", ip(0, 1), first+portSpan+offset) }
	in := &instance{role: role, binary: binary, plan: settings.FileParams{
		Instance: role, FailureDomain: "domain-0", IP: ip(0, 1), FirstPort: first, LastPort: first + portSpan - 1,
		Seeds: []string{at(0)}, Bootstrap: true, DataDir: filepath.Join(dir, "data"), ListAddress: at(3), FaultTolerance: 1, MemoryMB: 256,
		GraceSeconds: 1, OperatorAddress: at(0), ConsumerAddress: at(1), ReadyAddress: at(2),
	}}
	if err := in.open(dir); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		in.stop(syscall.SIGKILL)
		in.log.Close()
	})
	return in
}

// awaitServed waits until all addresses of an instance are served. It fails the test if the process
// ends instead.
func awaitServed(t *testing.T, in *instance) {
	t.Helper()
	for _, s := range in.serves() {
		for !accepts(s.address) {
			if in.failed() {
				t.Fatalf("the %s process ended by itself: %s", in.role, in.tail())
			}
			if !wait.For(t.Context(), holdTick) {
				t.Fatal(t.Context().Err())
			}
		}
	}
}

func accepts(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// awaitLogged waits until an instance has logged a text.
func awaitLogged(t *testing.T, in *instance, text string) {
	t.Helper()
	for !bytes.Contains(in.logged(), []byte(text)) {
		if in.failed() {
			t.Fatalf("the %s process ended by itself: %s", in.role, in.tail())
		}
		if !wait.For(t.Context(), holdTick) {
			t.Fatalf("%q was not logged: %v", text, t.Context().Err())
		}
	}
}

func (in *instance) mustStart(t *testing.T) {
	t.Helper()
	if err := in.start(); err != nil {
		t.Fatal(err)
	}
}

func (in *instance) writeSettings(t *testing.T) {
	t.Helper()
	if err := in.write(); err != nil {
		t.Fatal(err)
	}
}

// openFIFO opens the settings, a named pipe, once the process has opened them to read.
func (in *instance) openFIFO(t *testing.T) *os.File {
	t.Helper()
	for {
		f, err := os.OpenFile(in.file, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return f
		}
		if !wait.For(t.Context(), holdTick) {
			t.Fatal(err)
		}
	}
}

var rolesOfProcesses = []string{"entry", "store", "control"}

func eachRole(t *testing.T, binary string, f func(t *testing.T, in *instance)) {
	for _, role := range rolesOfProcesses {
		t.Run(role, func(t *testing.T) { f(t, solo(t, binary, role)) })
	}
}

func TestNoProcessEndsOverItsSurroundings(t *testing.T) {
	binary, err := build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Run("the reader of its logs goes away", func(t *testing.T) { eachRole(t, binary, readerGoesAway) })
	t.Run("a hang-up before it has read its settings", func(t *testing.T) { eachRole(t, binary, earlyHangUp) })
	t.Run("its addresses are held", func(t *testing.T) { eachRole(t, binary, addressesHeld) })
	t.Run("its settings are being written", func(t *testing.T) { eachRole(t, binary, settingsHalfWritten) })
	t.Run("foreign names in its data folder", func(t *testing.T) { eachRole(t, binary, foreignNames) })
}

// TestSettingsChangeWithoutASignal: the file may change, and name other control instances, with nobody telling the
// process. It had kept the old ones until a signal came.
func TestSettingsChangeWithoutASignal(t *testing.T) {
	binary, err := build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	in := solo(t, binary, "entry")
	in.mustStart(t)
	awaitServed(t, in)
	in.plan.Seeds = append(in.plan.Seeds, ip(1, 1)+":1")
	in.writeSettings(t)
	awaitLogged(t, in, "the settings were read again")
}

// TestAnEntryIsNotAskedForReadinessBeforeItServes: while another process holds the address of consumers, the balancer
// must not lead them there. Readiness was served first.
func TestAnEntryIsNotAskedForReadinessBeforeItServes(t *testing.T) {
	binary, err := build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	in := solo(t, binary, "entry")
	l, err := net.Listen("tcp", in.plan.ConsumerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	in.mustStart(t)
	awaitLogged(t, in, `"what":"consumers"`)
	if accepts(in.plan.ReadyAddress) {
		t.Error("readiness is served")
	}
	l.Close()
	awaitServed(t, in)
}

// TestAHangUpAsSoonAsItIsHandled: the runtime takes a hang-up from its first millisecond on and ends the process for
// it until the program asks for it, over 10 ms later on a busy machine. Settings that change while a process starts ended it.
func TestAHangUpAsSoonAsItIsHandled(t *testing.T) {
	binary, err := build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	eachRole(t, binary, func(t *testing.T, in *instance) {
		in.mustStart(t)
		for !handlesHangUp(t, in.cmd.Process.Pid) {
			continue
		}
		in.signal(syscall.SIGHUP)
		awaitServed(t, in)
	})
}

// handlesHangUp reports whether a process ignores or catches SIGHUP.
func handlesHangUp(t *testing.T, pid int) bool {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"SigIgn:", "SigCgt:"} {
		_, rest, _ := strings.Cut(string(status), name)
		mask, err := strconv.ParseUint(strings.TrimSpace(rest[:strings.IndexByte(rest, '\n')]), 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		if mask&(1<<(syscall.SIGHUP-1)) != 0 {
			return true
		}
	}
	return false
}

// TestAStopWhileSettingsAreAwaited: a stop is no failure, whatever the process waits for.
func TestAStopWhileSettingsAreAwaited(t *testing.T) {
	binary, err := build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	in := solo(t, binary, "entry")
	if err := in.run(); err != nil {
		t.Fatal(err)
	}
	awaitLogged(t, in, "the settings can't be read yet")
	in.stop(syscall.SIGTERM)
	if code := in.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("it ended with code %d", code)
	}
}

func readerGoesAway(t *testing.T, in *instance) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	in.output = w
	in.mustStart(t)
	w.Close()
	awaitServed(t, in)
	r.Close()
	// Each reading of the settings is logged, and so meets the closed pipe.
	for range 3 {
		in.signal(syscall.SIGHUP)
		wait.For(t.Context(), probe.Timeout/5)
	}
	awaitServed(t, in)
}

func earlyHangUp(t *testing.T, in *instance) {
	in.writeSettings(t)
	text, err := os.ReadFile(in.file)
	if err != nil {
		t.Fatal(err)
	}
	// The process waits in its reading of the settings until this test writes them.
	if err := os.Remove(in.file); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(in.file, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := in.run(); err != nil {
		t.Fatal(err)
	}
	fifo := in.openFIFO(t)
	in.signal(syscall.SIGHUP)
	// The signal is delivered before the process goes on with what it reads.
	wait.For(t.Context(), probe.Timeout/5)
	if _, err := fifo.Write(text); err != nil {
		t.Log(err)
	}
	fifo.Close()
	if err := os.Remove(in.file); err != nil {
		t.Fatal(err)
	}
	in.writeSettings(t)
	awaitServed(t, in)
}

func addressesHeld(t *testing.T, in *instance) {
	var held []net.Listener
	for _, s := range in.serves() {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, l)
	}
	in.mustStart(t)
	for i, s := range in.serves() {
		awaitLogged(t, in, `"what":"`+s.name+`"`)
		held[i].Close()
	}
	awaitServed(t, in)
}

func settingsHalfWritten(t *testing.T, in *instance) {
	in.writeSettings(t)
	text, err := os.ReadFile(in.file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(in.file, text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if err := in.run(); err != nil {
		t.Fatal(err)
	}
	awaitLogged(t, in, "the settings can't be read")
	in.writeSettings(t)
	awaitServed(t, in)
}

func foreignNames(t *testing.T, in *instance) {
	for _, name := range []string{"records-foo", "records-0000000003.bak", "lost+found", "records-18446744073709551616"} {
		if err := os.MkdirAll(filepath.Join(in.plan.DataDir, name), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	in.mustStart(t)
	awaitServed(t, in)
}
