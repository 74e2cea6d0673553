// SPDX-License-Identifier: MIT

// Command kit2 runs the scripted cases of the second review: the project's processes on loopback addresses, with
// stand-ins of the platform, of engines and of consumers.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rockbarrow.dev/platform/settings"
)

const (
	// memoryMB is the memory of an entry instance on the sheet of the site spoc-rockbarrow.
	memoryMB = 284
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// watchInterval is the interval at which the platform measures the memory of processes.
	watchInterval = 20 * time.Millisecond
)

var zones = []string{"bilbao-a", "santander-b", "oviedo-c"}

// process is one process of the project.
type process struct {
	cluster    *cluster
	name, role string
	ip, file   string

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	bootstrap bool
	// memoryKills counts how often the platform ended the process for its memory.
	memoryKills int
	peakKB      int
}

// cluster is a small deployment with its platform.
type cluster struct {
	root, kit, dir string
	network        string
	record         *record
	list           *listServer
	processes      []*process
	entries        []*process
	control        []*process
	stopped        chan struct{}
}

// newCluster starts three instances of each role.
func newCluster(root, kit string, rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-kit2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, kit: kit, dir: dir, record: rec, stopped: make(chan struct{})}
	c.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
	if c.list, err = startList(c.network + "200:0"); err != nil {
		return nil, err
	}
	for i := range 3 {
		c.control = append(c.control, c.add("control", "core", i, 1+i))
	}
	for i := range 3 {
		c.add("store", "storage", i, 11+i)
	}
	for i := range 3 {
		c.entries = append(c.entries, c.add("entry", "frontend", i, 21+i))
	}
	for _, p := range c.processes {
		if err := p.start(); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) add(role, class string, i, host int) *process {
	p := &process{
		cluster: c, role: role, name: fmt.Sprintf("%s-%s-1", class, zones[i]), ip: c.network + strconv.Itoa(host), bootstrap: true,
	}
	p.file = filepath.Join(c.dir, p.name+".toml")
	c.processes = append(c.processes, p)
	return p
}

func (c *cluster) seeds() string {
	var out []string
	for _, p := range c.control {
		out = append(out, strconv.Quote(p.ip+":8144"))
	}
	return strings.Join(out, ",")
}

// write writes the settings of the process as they are at this moment.
func (p *process) write() error {
	text, err := os.ReadFile(filepath.Join(p.cluster.kit, "settings.txt"))
	if err != nil {
		return err
	}
	serves := map[string]string{"entry": "frontend", "store": "storage", "control": "control_plane"}[p.role]
	class, zone, _ := strings.Cut(p.name, "-")
	zone = strings.TrimSuffix(zone, "-1")
	data := ""
	if p.role != "entry" {
		data = filepath.Join(p.cluster.dir, "data-"+p.name)
	}
	out := strings.NewReplacer(
		"@NAME@", p.name, "@ROLE@", p.role, "@CLASS@", class, "@SERVES@", serves, "@IP@", p.ip, "@ZONE@", zone, "@SEEDS@", p.cluster.seeds(),
		"@BOOTSTRAP@", strconv.FormatBool(p.bootstrap), "@COUNTED@", strconv.FormatBool(p.role != "entry"), "@DATA@", data,
		"@MEMORY@", strconv.Itoa(memoryMB), "@LIST@", p.cluster.list.address(),
	).Replace(string(text))
	return os.WriteFile(p.file, []byte(out), 0o600)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.write(); err != nil {
		return err
	}
	p.bootstrap = false
	log, err := os.OpenFile(filepath.Join(p.cluster.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/rockbarrow", p.role)
	cmd.Dir = p.cluster.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", settings.FileVariable + "=" + p.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	p.cluster.record.add("%s starts, process %d", p.name, cmd.Process.Pid)
	go p.wait(cmd, p.exited)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.cluster.record.add("%s ends: %v", p.name, err)
	close(exited)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	// The error is that the process has ended already.
	_ = cmd.Process.Kill()
	<-exited
}

// watchMemory does what the platform does: it ends the process when it takes more than its memory, and starts a process
// that has ended again.
func (p *process) watchMemory() {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-p.cluster.stopped:
			return
		}
		kb := p.residentKB()
		p.mu.Lock()
		p.peakKB = max(p.peakKB, kb)
		p.mu.Unlock()
		if kb <= memoryMB*1024 {
			continue
		}
		p.cluster.record.add("%s takes %d MB of its %d MB and is killed by the platform", p.name, kb/1024, memoryMB)
		p.kill()
		p.mu.Lock()
		p.memoryKills++
		p.mu.Unlock()
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			p.cluster.record.add("%s could not be started: %v", p.name, err)
			return
		}
	}
}

// residentKB returns the resident memory of the process, zero if it has ended.
func (p *process) residentKB() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// stop ends all processes and removes their files.
func (c *cluster) stop() {
	close(c.stopped)
	for _, p := range c.processes {
		p.kill()
	}
	c.list.server.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	}
}

// configure sends a desired state until it is acknowledged.
func (c *cluster) configure(ctx context.Context, body []byte) error {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		resp, err := client.Post("http://"+c.control[i%len(c.control)].ip+":8144/v1/config/replace", "application/json", bytes.NewReader(body))
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				c.record.add("the desired state is acknowledged")
				return nil
			}
			if resp.StatusCode < 500 {
				return fmt.Errorf("the desired state is refused with %d", resp.StatusCode)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// awaitReady waits until all entry instances say that they are ready.
func (c *cluster) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for _, p := range c.entries {
		for {
			resp, err := client.Get("http://" + p.ip + ":8141/v1/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready: %w", p.name, ctx.Err())
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// listServer is the platform's list of engines.
type listServer struct {
	server   *http.Server
	listener net.Listener

	mu      sync.Mutex
	engines []*engine
	// foreign are entries of other writers.
	foreign []string
}

func startList(address string) (*listServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &listServer{listener: l}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s, nil
}

func (s *listServer) address() string { return s.listener.Addr().String() }

func (s *listServer) add(e *engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = append(s.engines, e)
}

func (s *listServer) remove(e *engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = slices.DeleteFunc(s.engines, func(o *engine) bool { return o == e })
}

func (s *listServer) addForeign(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.foreign = append(s.foreign, entry)
}

// ServeHTTP answers with one page.
func (s *listServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := slices.Clone(s.foreign)
	for _, e := range s.engines {
		state := "ready"
		if e.isDraining() {
			state = "draining"
		}
		b, err := json.Marshal(map[string]any{
			"id": e.id, "service": e.service, "address": e.address(), "zone": e.zone, "version": "v1", "slots": e.slots, "state": state, "coldLeftMs": 0,
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		entries = append(entries, string(b))
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"instances":[%s],"nextToken":null}`, strings.Join(entries, ","))
}

// record is what the case writes down.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
