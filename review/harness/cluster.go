// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"rockbarrow.dev/platform/settings"
)

//go:embed settings.toml.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// zones are the failure domains. The machines of zone i have the addresses 127.X.(i+1).N.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// role is one of the roles of the deploy file.
type role struct {
	name, class, serves string
	// number is the first host number of the role's machines in their zone.
	number   int
	memoryMB int
	cpuShare float64
}

var (
	entryRole   = role{name: "entry", class: "frontend", serves: "frontend", number: 10, memoryMB: 134, cpuShare: 0.4}
	storeRole   = role{name: "store", class: "storage", serves: "storage", number: 30, memoryMB: 144, cpuShare: 0.8}
	controlRole = role{name: "control", class: "core", serves: "control_plane", number: 50, memoryMB: 280, cpuShare: 0.48}
)

// cluster is a small deployment of the platform's program.
type cluster struct {
	root, dir, cloud string
	record           *record
	firstPort        int

	mu       sync.Mutex
	machines []*machine
}

// machine runs one process. Its disk folder outlives the process.
type machine struct {
	cluster  *cluster
	role     role
	zone     int
	number   int
	started  bool
	settings string

	cmd    *exec.Cmd
	exited chan struct{}
}

func (m *machine) name() string {
	return fmt.Sprintf("%s-%s-%d", m.role.class, zones[m.zone], m.number)
}

func (m *machine) ip() string {
	return loopback(m.zone+1, m.role.number+m.number)
}

func (m *machine) address(offset int) string {
	return net.JoinHostPort(m.ip(), fmt.Sprint(m.cluster.firstPort+offset))
}

// The ports from lastInternalPort on are for consumers, readiness and operators.
const (
	lastInternalPort = 15
	frontPort        = 20
	readyPort        = 21
	operatorPort     = 22
)

// add adds a machine without starting it.
func (c *cluster) add(r role, zone, number int) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &machine{cluster: c, role: r, zone: zone, number: number}
	c.machines = append(c.machines, m)
	return m
}

// of returns the machines of a role.
func (c *cluster) of(r role) []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*machine
	for _, m := range c.machines {
		if m.role == r {
			out = append(out, m)
		}
	}
	return out
}

func (m *machine) writeSettings(bootstrap bool) error {
	c := m.cluster
	var seeds []string
	for _, s := range c.of(controlRole) {
		seeds = append(seeds, fmt.Sprintf("%q", s.address(operatorPort)))
	}
	listen := ""
	switch m.role {
	case entryRole:
		listen = fmt.Sprintf("front = %q\nready = %q", m.address(frontPort), m.address(readyPort))
	case controlRole:
		listen = fmt.Sprintf("control = %q", m.address(operatorPort))
	}
	var b bytes.Buffer
	err := settingsTemplate.Execute(&b, map[string]any{
		"Name": m.name(), "Role": m.role.name, "Class": m.role.class, "Serves": m.role.serves, "IP": m.ip(), "Zone": zones[m.zone],
		"FirstPort": c.firstPort, "LastPort": c.firstPort + lastInternalPort, "Seeds": strings.Join(seeds[:min(3, len(seeds))], ","),
		"Bootstrap": bootstrap, "HasDisk": m.role != entryRole, "DataDir": filepath.Join(c.dir, m.name()), "Listen": listen,
		"CPUShare": m.role.cpuShare, "MemoryMB": m.role.memoryMB, "Cloud": c.cloud,
	})
	if err != nil {
		return err
	}
	m.settings = filepath.Join(c.dir, m.name()+".toml")
	return os.WriteFile(m.settings, b.Bytes(), 0o600)
}

// start starts the process with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.cluster.dir, m.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/rockbarrow", m.role.name)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.cluster.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), settings.FileVariable + "=" + m.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// The exit status of a process that is killed is of no interest.
		_ = cmd.Wait()
		close(exited)
	}()
	m.cmd, m.exited = cmd, exited
	m.cluster.record.add("start %s", m.name())
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.cluster.record.add("signal %v to %s", s, m.name())
	// An error means that the process has ended.
	_ = m.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// newCluster returns a deployment with one entry, store and control machine in each zone.
func newCluster(root, cloud string, r *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	port, err := freePorts()
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, dir: dir, cloud: cloud, record: r, firstPort: port}
	for zone := range zones {
		c.add(entryRole, zone, 1)
		c.add(storeRole, zone, 1)
		c.add(controlRole, zone, 1)
	}
	return c, nil
}

// network is the second number of the addresses. It differs between cases that run at the same time.
var network = 1 + os.Getpid()%250

func loopback(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", network, zone, host) }

// freePorts returns the first of a range of ports that are free on the addresses of all machines.
func freePorts() (int, error) {
	const first, last, step, maxNumber = 21000, 31000, 50, 2
next:
	for port := first; port < last; port += step {
		for offset := range operatorPort + 1 {
			for zone := range zones {
				for _, r := range []role{entryRole, storeRole, controlRole} {
					for number := range maxNumber {
						l, err := net.Listen("tcp", net.JoinHostPort(loopback(zone+1, r.number+number+1), fmt.Sprint(port+offset)))
						if err != nil {
							continue next
						}
						l.Close()
					}
				}
			}
		}
		return port, nil
	}
	return 0, fmt.Errorf("no free ports")
}

// startAll starts all machines for the first time, sends the first configuration and waits until all entry machines are ready.
func (c *cluster) startAll(ctx context.Context) error {
	for _, m := range c.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	if err := c.order(ctx, http.MethodPost, "/v1/config/replace", configText, nil); err != nil {
		return err
	}
	for _, m := range c.of(entryRole) {
		if err := m.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + m.address(readyPort) + "/v1/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", m.name(), ctx.Err())
}

// order sends an operator's call to the control machines in turn until one of them answers it, as the pages tell.
func (c *cluster) order(ctx context.Context, method, path, body string, reply *string) error {
	client := http.Client{Timeout: time.Second}
	list := c.of(controlRole)
	for i := 0; ctx.Err() == nil; i++ {
		m := list[i%len(list)]
		req, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(operatorPort)+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode >= http.StatusInternalServerError {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.record.add("operator %s %s at %s: %d", method, path, m.name(), resp.StatusCode)
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: status %d: %s", path, resp.StatusCode, b)
		}
		if reply != nil {
			*reply = string(b)
		}
		return nil
	}
	return ctx.Err()
}

// retire has a store machine emptied, and removes it once the platform is told that this is completed.
func (c *cluster) retire(ctx context.Context, m *machine) error {
	if err := c.order(ctx, http.MethodPost, "/v1/retire/"+m.name()+"/begin", `{"deadlineS":10}`, nil); err != nil {
		return err
	}
	for {
		var reply string
		if err := c.order(ctx, http.MethodGet, "/v1/retire/"+m.name()+"/read", "", &reply); err != nil {
			return err
		}
		if strings.Contains(reply, "completed") {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	m.kill()
	return os.RemoveAll(filepath.Join(c.dir, m.name()))
}

// close ends all processes and removes their files.
func (c *cluster) close() {
	for _, m := range c.machines {
		if m.cmd != nil {
			// The process may have ended.
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println("files are kept in", c.dir)
	}
}
