// SPDX-License-Identifier: MIT

// Package fleet runs daemons as processes on loopback ports, behind a small
// balancer, with their settings, keys and data in one folder that it removes.
package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"rockbarrow.dev/rockbarrow/keys"
	"rockbarrow.dev/rockbarrow/settings"
	"rockbarrow.dev/schema/operatorpb"
)

const (
	certLife = 24 * time.Hour
	// pollEvery is how often readiness is looked at.
	pollEvery = 50 * time.Millisecond
)

// Spec is an instance to run.
type Spec struct {
	Instance, Domain string
	Disk, Control    bool
}

// Fleet is a set of daemons. Set the exported fields before Start.
type Fleet struct {
	Specs []Spec
	// Binary is the daemon's program; Build makes it.
	Binary string
	// Dir holds all files; Start makes it and Stop removes it.
	Dir         string
	PlatformURL string
	// Adjust may change the settings of each instance.
	Adjust func(*settings.Settings)
	// TLS lets peers and operators speak TLS.
	TLS bool

	instances []*Instance
	operator  *keys.Files
}

// Instance is one daemon process.
type Instance struct {
	Spec
	Settings settings.Settings
	file     string
	log      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// down is true while the process is not meant to run.
	down   bool
	exited chan struct{}
}

// Build compiles the daemon into a folder and returns the program's path.
func Build(ctx context.Context, dir string) (string, error) {
	out := filepath.Join(dir, "rockbarrow")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", out, "rockbarrow.dev/rockbarrow")
	cmd.Stderr = os.Stderr
	return out, errors.Wrap(cmd.Run(), "fleet: build")
}

// Start writes settings and keys and starts all daemons.
func (f *Fleet) Start() error {
	if err := os.MkdirAll(f.Dir, 0o700); err != nil {
		return errors.Wrap(err, "fleet: folder")
	}
	ports, err := freePorts(4 * len(f.Specs))
	if err != nil {
		return err
	}
	var peers []settings.Peer
	for i, s := range f.Specs {
		peers = append(peers, settings.Peer{Instance: s.Instance, Domain: s.Domain, Address: ports[4*i+1], Disk: s.Disk, Control: s.Control})
	}
	authority, err := f.authority()
	if err != nil {
		return err
	}
	for i, s := range f.Specs {
		in := &Instance{Spec: s, Settings: settings.Defaults()}
		in.Settings.Instance, in.Settings.Domain = s.Instance, s.Domain
		in.Settings.Listen = settings.Listen{Callers: ports[4*i], Peers: ports[4*i+1], Operators: ports[4*i+2]}
		in.Settings.TestPort = ports[4*i+3]
		in.Settings.Peers = peers
		in.Settings.Platform.ListURL = f.PlatformURL
		if s.Disk {
			in.Settings.DataDir = filepath.Join(f.Dir, "data-"+s.Instance)
		}
		if authority != nil {
			files, err := authority.Issue(s.Instance, keys.RoleInstance, certLife)
			if err != nil {
				return err
			}
			in.Settings.TLS = settings.TLS{CA: files.CA, Cert: files.Cert, Key: files.Key}
		}
		if f.Adjust != nil {
			f.Adjust(&in.Settings)
		}
		if err := in.write(f.Dir); err != nil {
			return err
		}
		f.instances = append(f.instances, in)
	}
	for _, in := range f.instances {
		if err := in.Start(f.Binary); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) authority() (*keys.Authority, error) {
	if !f.TLS {
		return nil, nil
	}
	a, err := keys.NewAuthority(filepath.Join(f.Dir, "keys"), certLife)
	if err != nil {
		return nil, err
	}
	f.operator, err = a.Issue("operator", keys.RoleOperator, certLife)
	return a, err
}

// freePorts returns addresses that were free a moment ago.
func freePorts(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "fleet: port")
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// Stop ends all daemons and removes the folder.
func (f *Fleet) Stop() {
	for _, in := range f.instances {
		in.Kill()
		in.log.Close()
	}
	os.RemoveAll(f.Dir)
}

// Instances returns the daemons.
func (f *Fleet) Instances() []*Instance { return f.instances }

// Find returns a daemon by name, or nil.
func (f *Fleet) Find(instance string) *Instance {
	for _, in := range f.instances {
		if in.Instance == instance {
			return in
		}
	}
	return nil
}

// WaitReady waits until all daemons that are up are ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, in := range f.instances {
		for !in.Down() && !in.Ready() {
			select {
			case <-ctx.Done():
				return &NotReadyError{Instance: in.Instance, Exited: in.Exited(), LastLog: in.lastLog()}
			case <-time.After(pollEvery):
			}
		}
	}
	return nil
}

// NotReadyError says that an instance did not get ready in time.
type NotReadyError struct {
	// Instance is its name.
	Instance string
	// Exited is true when its process has ended.
	Exited bool
	// LastLog is the end of its log.
	LastLog string
}

// Error shows the end of the log.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("fleet: %s is not ready, exited %v, its log ends with:\n%s", e.Instance, e.Exited, e.LastLog)
}

// Dial connects as an operator to an instance.
func (f *Fleet) Dial(in *Instance) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if f.operator != nil {
		creds = f.operator.Client()
	}
	conn, err := grpc.NewClient("passthrough:///"+in.Settings.Listen.Operators, grpc.WithTransportCredentials(creds))
	return conn, errors.Wrap(err, "fleet: dial")
}

// Operator connects as an operator to the first instance that is up. The
// returned function closes the connection.
func (f *Fleet) Operator() (operatorpb.OperatorClient, func(), error) {
	for _, in := range f.instances {
		if in.Down() {
			continue
		}
		conn, err := f.Dial(in)
		if err != nil {
			return nil, nil, err
		}
		return operatorpb.NewOperatorClient(conn), func() { conn.Close() }, nil
	}
	return nil, nil, errors.New("fleet: no instance is up")
}

// Start runs the daemon.
func (in *Instance) Start(binary string) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	cmd := exec.Command(binary, "run", in.file)
	cmd.Stdout, cmd.Stderr = in.log, in.log
	// The daemon ends with this process, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "fleet: start")
	}
	in.cmd = cmd
	in.down = false
	in.exited = make(chan struct{})
	go (&reaper{cmd: cmd, exited: in.exited}).run()
	return nil
}

// CutDomain closes all links between a failure domain and the others, both ways.
func (f *Fleet) CutDomain(domain string) error {
	for _, in := range f.instances {
		var others []string
		for _, o := range f.instances {
			if (o.Domain == domain) != (in.Domain == domain) {
				others = append(others, o.Instance)
			}
		}
		if in.Down() {
			continue
		}
		if err := in.Cut(others); err != nil {
			return err
		}
	}
	return nil
}

// Heal opens all links.
func (f *Fleet) Heal() error {
	for _, in := range f.instances {
		if in.Down() {
			continue
		}
		if err := in.Cut(nil); err != nil {
			return err
		}
	}
	return nil
}
