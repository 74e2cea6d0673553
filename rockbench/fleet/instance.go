// SPDX-License-Identifier: MIT

package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

func (in *Instance) lastLog() string {
	b, err := os.ReadFile(in.log.Name())
	if err != nil {
		return err.Error()
	}
	const end = 1500
	return string(b[max(0, len(b)-end):])
}

func (in *Instance) write(dir string) error {
	in.file = filepath.Join(dir, in.Instance+".toml")
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(in.Settings); err != nil {
		return errors.Wrap(err, "fleet: settings")
	}
	if err := os.WriteFile(in.file, text.Bytes(), 0o600); err != nil {
		return errors.Wrap(err, "fleet: settings")
	}
	var err error
	in.log, err = os.OpenFile(filepath.Join(dir, in.Instance+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return errors.Wrap(err, "fleet: log")
}

type reaper struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// run waits for the process, whose exit code tells nothing after a kill.
func (r *reaper) run() {
	_ = r.cmd.Wait()
	close(r.exited)
}

// Signal sends a signal to the process.
func (in *Instance) Signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		_ = in.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (in *Instance) Kill() {
	in.setDown()
	in.Signal(syscall.SIGKILL)
	in.wait()
}

// Terminate asks the process to stop and waits for its end.
func (in *Instance) Terminate() {
	in.setDown()
	in.Signal(syscall.SIGTERM)
	in.wait()
}

func (in *Instance) setDown() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.down = true
}

func (in *Instance) wait() {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Down reports whether the process is not meant to run.
func (in *Instance) Down() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.down
}

// Exited reports whether the process has ended.
func (in *Instance) Exited() bool {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// PID returns the process's number.
func (in *Instance) PID() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd.Process.Pid
}

var probe = &http.Client{Timeout: time.Second}

// Ready reports whether the instance says that it is ready.
func (in *Instance) Ready() bool {
	resp, err := probe.Get("http://" + in.Settings.Listen.Callers + "/readyz")
	if err != nil {
		return false
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Cut closes the instance's links to others.
func (in *Instance) Cut(others []string) error {
	if others == nil {
		others = []string{}
	}
	b, err := json.Marshal(others)
	if err != nil {
		return errors.Wrap(err, "fleet: cut")
	}
	resp, err := probe.Post("http://"+in.Settings.TestPort+"/cut", "application/json", bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "fleet: cut")
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("fleet: cut: status %d", resp.StatusCode)
	}
	return nil
}
