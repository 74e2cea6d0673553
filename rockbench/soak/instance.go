// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"rockbarrow.dev/platform/settings"
	"rockbarrow.dev/rockbarrow/durable/powerloss"
)

// instance is one process of the product.
type instance struct {
	role   string
	plan   settings.FileParams
	binary string
	file   string
	log    *os.File
	// output is where the process writes its logs, if that is not a pipe of the instance's own.
	output *os.File
	proxy  *proxy

	// onStart is called after each start of a process; nil is none.
	onStart func()

	// claimed is held while a fault has the instance.
	claimed holds
	// gone is true once another instance has replaced it.
	gone atomic.Bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// lives counts the processes.
	lives int
	// reader is the end of the process's log that the soak reads.
	reader *os.File
	// meant is true while the process is meant to run; one that ends by itself
	// then has failed.
	meant bool
	// hangUps are the times of SIGHUP.
	hangUps []time.Time
	// ends tells of each process that has failed, also of those that were started again since.
	ends []string
}

// start writes the settings and runs the process.
func (in *instance) start() error {
	if err := in.write(); err != nil {
		return err
	}
	return in.run()
}

// write writes the settings.
func (in *instance) write() error {
	text, err := in.plan.TOML()
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(in.file, []byte(text), 0o600), "soak: settings")
}

// run runs the process with the settings as they stand.
func (in *instance) run() error {
	cmd := exec.Command(in.binary, in.role, "--settings", in.file, "--peer-listen", in.plan.PeerListen())
	// The process ends with the soak, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := in.pipe(cmd)
	if err != nil {
		return err
	}
	defer out.Close()
	// The reaper must find what is noted here.
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak: start")
	}
	in.cmd, in.exited, in.meant = cmd, make(chan struct{}), true
	in.lives++
	if in.onStart != nil {
		in.onStart()
	}
	go (&reaper{instance: in, cmd: cmd, exited: in.exited}).run()
	// Only the very first start is one.
	in.plan.Bootstrap = false
	return nil
}

// pipe gives the process a log that somebody reads, who may go away. What it returns is closed once the
// process has it.
func (in *instance) pipe(cmd *exec.Cmd) (io.Closer, error) {
	if in.output != nil {
		cmd.Stdout, cmd.Stderr = in.output, in.output
		return io.NopCloser(nil), nil
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, errors.Wrap(err, "soak: log")
	}
	cmd.Stdout, cmd.Stderr = w, w
	in.mu.Lock()
	in.reader = r
	in.mu.Unlock()
	go (&logReader{from: r, to: in.log}).run()
	return w, nil
}

// logReader keeps what a process logs.
type logReader struct{ from, to *os.File }

// run ends with the process, or once a fault has closed the pipe.
func (l *logReader) run() {
	defer l.from.Close()
	if _, err := io.Copy(l.to, l.from); err != nil {
		return
	}
}

// dropReader closes the log that the process writes to.
func (in *instance) dropReader() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.reader != nil {
		in.reader.Close()
	}
}

type reaper struct {
	instance *instance
	cmd      *exec.Cmd
	exited   chan struct{}
}

// run waits for the process. One that was meant to run has failed, however soon it is started again.
func (r *reaper) run() {
	err := r.cmd.Wait()
	in := r.instance
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.meant && in.cmd == r.cmd {
		in.ends = append(in.ends, fmt.Sprintf("%s ended by itself (%v): %s", in.plan.Instance, err, in.tail()))
	}
	close(r.exited)
}

// pid returns the process's number, and whether there is one that is meant to run.
func (in *instance) pid() (int, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd == nil || !in.meant {
		return 0, false
	}
	return in.cmd.Process.Pid, true
}

// life numbers the process that runs, or ran last.
func (in *instance) life() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.lives
}

// signal sends a signal to the process that the soak started.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd == nil {
		return
	}
	if s == syscall.SIGHUP {
		in.hangUps = append(in.hangUps, time.Now())
	}
	if err := in.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		in.log.WriteString("soak: signal: " + err.Error() + "\n")
	}
}

// hungUp reports whether the instance got a SIGHUP between two times, after which it reads its settings.
func (in *instance) hungUp(from, to time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.ContainsFunc(in.hangUps, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// expectEnd lets the process end without having failed. The channel is closed once it has ended, and nil if there is none.
func (in *instance) expectEnd() chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.meant = false
	return in.exited
}

// stop ends the process by a signal and waits for its end.
func (in *instance) stop(s syscall.Signal) {
	exited := in.expectEnd()
	in.signal(s)
	if exited != nil {
		<-exited
	}
}

// failed reports whether any process of the instance has ended by itself.
func (in *instance) failed() bool { return len(in.failures()) > 0 }

// failures tells of the processes that have ended by themselves.
func (in *instance) failures() []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Clone(in.ends)
}

// logged returns what the process has logged, in all its lives.
func (in *instance) logged() []byte {
	b, err := os.ReadFile(in.log.Name())
	if err != nil {
		return []byte(err.Error())
	}
	return b
}

// tail returns the last of the logs.
func (in *instance) tail() string {
	const most = 600
	b := in.logged()
	return string(b[max(0, len(b)-most):])
}

// limitFiles bounds the size of each file that the process writes, as a disk without room does.
func (in *instance) limitFiles(bytes uint64) error {
	pid, ok := in.pid()
	if !ok {
		return nil
	}
	limit := &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	return errors.Wrap(unix.Prlimit(pid, unix.RLIMIT_FSIZE, limit, nil), "soak: limit of files")
}

// served is an address without which an instance is of no use, and its name in the logs. An instance serves
// its addresses one after the other, in their order.
type served struct{ name, address string }

func (in *instance) serves() []served {
	switch in.role {
	case "entry":
		return []served{{"consumers", in.plan.ConsumerAddress}, {"readiness", in.plan.ReadyAddress}}
	case "control":
		return []served{{"peers", in.plan.PeerListen()}, {"operators", in.plan.OperatorAddress}}
	}
	return []served{{"peers", in.plan.PeerListen()}}
}

// wipe empties the data folder of a stopped process.
func (in *instance) wipe() error {
	if err := os.RemoveAll(in.plan.DataDir); err != nil {
		return errors.Wrap(err, "soak: wipe")
	}
	return powerloss.Forget(in.plan.DataDir)
}

// losePower undoes some of what the process, which has ended, did not sync.
func (in *instance) losePower(r *rand.Rand) error {
	if in.plan.DataDir == "" {
		return nil
	}
	undone, err := powerloss.Apply(in.plan.DataDir, r)
	if len(undone) > 0 {
		fmt.Fprintf(in.log, "soak: power is lost: %s\n", undone)
	}
	return err
}

var probe = &http.Client{Timeout: 500 * time.Millisecond}

// ready reports whether an entry instance says that it is ready.
func (in *instance) ready() bool {
	resp, err := probe.Get("http://" + in.plan.ReadyAddress + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (in *instance) open(dir string) error {
	in.file = filepath.Join(dir, in.plan.Instance+".toml")
	var err error
	in.log, err = os.OpenFile(filepath.Join(dir, in.plan.Instance+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return errors.Wrap(err, "soak: log")
}
