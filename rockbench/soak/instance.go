// SPDX-License-Identifier: MIT

package soak

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/platform/settings"
)

// instance is one process of the product.
type instance struct {
	role   string
	plan   settings.Plan
	binary string
	file   string
	log    *os.File
	// output is where the process writes its logs, if that is not log.
	output *os.File
	proxy  *proxy

	// claimed is held while a fault has the instance.
	claimed sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// meant is true while the process is meant to run; one that ends by itself
	// then has failed.
	meant bool
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
	text, err := in.plan.Text()
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(in.file, []byte(text), 0o600), "soak: settings")
}

// run runs the process with the settings as they stand.
func (in *instance) run() error {
	cmd := exec.Command(in.binary, in.role, "--settings", in.file, "--peer-listen", in.plan.PeerListen())
	cmd.Stdout, cmd.Stderr = in.log, in.log
	if in.output != nil {
		cmd.Stdout, cmd.Stderr = in.output, in.output
	}
	// The process ends with the soak, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak: start")
	}
	in.mu.Lock()
	in.cmd, in.exited, in.meant = cmd, make(chan struct{}), true
	in.mu.Unlock()
	go (&reaper{cmd: cmd, exited: in.exited}).run()
	// Only the very first start is one.
	in.plan.First = false
	return nil
}

type reaper struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// run waits for the process; its exit code tells nothing after a kill.
func (r *reaper) run() {
	if err := r.cmd.Wait(); err != nil {
		defer close(r.exited)
		return
	}
	close(r.exited)
}

// signal sends a signal to the process that the soak started.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd == nil {
		return
	}
	if err := in.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		in.log.WriteString("soak: signal: " + err.Error() + "\n")
	}
}

// stop ends the process by a signal and waits for its end.
func (in *instance) stop(s syscall.Signal) {
	in.mu.Lock()
	in.meant = false
	exited := in.exited
	in.mu.Unlock()
	in.signal(s)
	if exited != nil {
		<-exited
	}
}

// failed reports whether the process ended by itself.
func (in *instance) failed() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.meant || in.exited == nil {
		return false
	}
	select {
	case <-in.exited:
		return true
	default:
		return false
	}
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

// wipe empties the data folder of a stopped process.
func (in *instance) wipe() error {
	if err := os.RemoveAll(in.plan.DataDir); err != nil {
		return errors.Wrap(err, "soak: wipe")
	}
	return nil
}

var probe = &http.Client{Timeout: 500 * time.Millisecond}

// ready reports whether an entry instance says that it is ready.
func (in *instance) ready() bool {
	resp, err := probe.Get("http://" + in.plan.Ready + "/v1/readyz")
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
