// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/crowd"
)

// crowdMachine is a machine under test.
type crowdMachine struct{ entryMB, controlMB, files int }

var (
	// smallestMachine has the memory of the smallest entry instances, less than control instances have, and few descriptors.
	smallestMachine = crowdMachine{entryMB: 88, controlMB: 128, files: 1024}
	// usualMachine is the smallest of the deployments in force, and twinMachine that of their small twins.
	usualMachine = crowdMachine{entryMB: 112, controlMB: 128, files: 4100}
	twinMachine  = crowdMachine{entryMB: 88, controlMB: 128, files: 4100}
)

const (
	// manyClients, and mostClients, send bodies of manyBytes, and fewClients some of largeBodyBytes.
	manyClients, manyBytes     = 1500, 64 << 10
	mostClients                = 2500
	fewClients, largeBodyBytes = 400, 900 << 10
	// crowdWait bounds the wait for the answer to an ordinary request.
	crowdWait = 20 * time.Second
)

// checkAnswers checks what the clients were answered: a refusal that says that a request is not run, and when to send it again. If begun is
// true, each has sent whole requests before the one that is not.
func checkAnswers(t *testing.T, f *fleet, x *crowd.Crowd, begun bool) {
	counts := map[int]int{}
	for _, resp := range x.Answers() {
		counts[resp.StatusCode]++
		if resp.StatusCode == http.StatusServiceUnavailable && x.Address == f.entries[0].plan.ConsumerAddress && resp.Header.Get("Retry-After") == "" {
			t.Errorf("503 without Retry-After")
		}
		if resp.StatusCode < 300 && resp.StatusCode >= 200 && !begun {
			t.Errorf("status %d for a request that was not whole", resp.StatusCode)
		}
	}
	for i := range x.Clients {
		if f.ledger.HasRun(x.ID(i)) {
			t.Errorf("%s has run, although it was not whole", x.ID(i))
		}
	}
	t.Logf("answers: %v", counts)
}

// crowdFleet starts a fleet, with limited memory and descriptors for the first instance of each role.
func crowdFleet(t *testing.T, m crowdMachine, contracts ...string) *fleet {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1, Domains: seeds, NoCustomers: true})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	// The limit of bodies changes with the versions.
	for f.routes.tight {
		if err := f.deploy(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for in, mb := range map[*instance]int{f.entries[0]: m.entryMB, f.control[0]: m.controlMB} {
		in.stop(syscall.SIGKILL)
		in.plan.MemoryMB, in.plan.MaxFDs, in.plan.Contracts = mb, m.files, contracts
		if err := in.start(); err != nil {
			t.Fatal(err)
		}
		pid, _ := in.pid()
		limit := &unix.Rlimit{Cur: uint64(m.files), Max: uint64(m.files)}
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), readyWithin)
	defer cancel()
	for !f.entries[0].ready() {
		if !wait.For(ctx, holdTick) {
			t.Fatal("the entry instance is not ready")
		}
	}
	for !f.answersOperator(ctx, f.control[0]) {
		if !wait.For(ctx, holdTick) {
			t.Fatal("the control instance does not answer")
		}
	}
	return f
}

// answersConsumer sends an ordinary request to an entry instance, on a new connection, and reports whether it is served.
func (f *fleet) answersConsumer(ctx context.Context, e *instance, id string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	status, err := standin.Probe(ctx, client, e.plan.ConsumerAddress, host, firstRoute+"x", id)
	return err == nil && status == http.StatusOK
}

// answersOperator sends a read of the configuration to a control instance, on a new connection, and reports whether it is answered.
func (f *fleet) answersOperator(ctx context.Context, c *instance) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.plan.OperatorAddress+"/v1/config/read", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// checkCrowd has a crowd send to an instance, while it stays and once it has gone, an ordinary request must be answered. The process must live,
// within its memory and descriptors.
func checkCrowd(t *testing.T, f *fleet, in *instance, x *crowd.Crowd, begun bool, ordinary func(ctx context.Context, n int) bool) {
	t.Helper()
	pid, ok := in.pid()
	if !ok {
		t.Fatal("the process does not run")
	}
	life := in.life()
	p := &crowd.Footprint{PID: pid, Address: x.Address}
	done := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() { p.Loop(done) })
	x.Run()
	asked := 0
	answered := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), crowdWait)
		defer cancel()
		for {
			asked++
			if ordinary(ctx, asked) {
				return true
			}
			if !wait.For(ctx, holdTick) {
				return false
			}
		}
	}
	if !answered() {
		t.Error("no ordinary request is answered while the crowd stays")
	}
	checkAnswers(t, f, x, begun)
	x.Leave()
	if !answered() {
		t.Error("no ordinary request is answered once the crowd has gone")
	}
	close(done)
	sampling.Wait()
	peak, err := peakKB(pid)
	if err != nil || in.failed() || in.life() != life {
		t.Errorf("the process has ended: %v %v", err, in.failures())
	}
	most := p.Most()
	t.Logf("%s: peak %d MB; with %d MB unread %d MB of %d; %d descriptors; asked %d times", in.plan.Instance, peak>>10, most.Unread>>20, most.Memory>>20, in.plan.MemoryMB, most.Files, asked)
	if peak > in.plan.MemoryMB<<10 || most.Memory > int64(in.plan.MemoryMB)<<20 {
		t.Errorf("%s has held %d MB, and %d MB with what was unread; its machine has %d MB", in.plan.Instance, peak>>10, most.Memory>>20, in.plan.MemoryMB)
	}
	if most.Files > in.plan.MaxFDs {
		t.Errorf("%s had %d descriptors open, of %d", in.plan.Instance, most.Files, in.plan.MaxFDs)
	}
}

// checkConsumers is checkCrowd for clients of the first entry instance.
func checkConsumers(t *testing.T, clients int, send func(c net.Conn, id string)) {
	t.Helper()
	checkConsumersBehind(t, clients, false, send)
}

// checkConsumersBehind is checkConsumers for clients that may send whole requests first.
func checkConsumersBehind(t *testing.T, clients int, begun bool, send func(c net.Conn, id string), contracts ...string) {
	t.Helper()
	checkMachine(t, smallestMachine, clients, begun, send, contracts...)
}

// checkMachine is checkConsumersBehind for an instance on a given machine.
func checkMachine(t *testing.T, m crowdMachine, clients int, begun bool, send func(c net.Conn, id string), contracts ...string) {
	t.Helper()
	f := crowdFleet(t, m, contracts...)
	e := f.entries[0]
	x := &crowd.Crowd{Clients: clients, Send: send, Address: e.plan.ConsumerAddress}
	checkCrowd(t, f, e, x, begun, func(ctx context.Context, n int) bool { return f.answersConsumer(ctx, e, fmt.Sprint("ordinary-", n)) })
}

// checkOperators is checkCrowd for clients of the first control instance.
func checkOperators(t *testing.T, clients int, send func(c net.Conn, id string)) {
	t.Helper()
	f := crowdFleet(t, smallestMachine)
	c := f.control[0]
	x := &crowd.Crowd{Clients: clients, Send: send, Address: c.plan.OperatorAddress}
	checkCrowd(t, f, c, x, false, func(ctx context.Context, _ int) bool { return f.answersOperator(ctx, c) })
}

// documentHead is the head of an operator's request.
func documentHead(framing string) string {
	return "POST /v1/config/replace HTTP/1.1\r\nHost: " + host + "\r\n" + framing + "\r\n\r\n"
}

var (
	manyBody  = strings.Repeat("x", manyBytes)
	largeBody = strings.Repeat("x", largeBodyBytes)
)
