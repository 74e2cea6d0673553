// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"rockbarrow.dev/platform/wire"
)

const (
	// shortWork and longWork are work times within those of the site's invoice-batch.
	shortWork, longWork = 200 * time.Millisecond, 1400 * time.Millisecond
	// graceLimit is graceS.
	graceLimit = 8 * time.Second
	// pairsEach is how many consumers of each kind use an entry instance.
	pairsEach = 4
)

// rollingConsumer has one request in progress at an entry instance while that is stopped.
type rollingConsumer struct {
	entry  *process
	record *record
	// pipelines is true if the consumer sends the request together with the one before it.
	pipelines bool
	outcomes  *outcomes
}

// lookup returns the bytes of a request of an idempotent route, after which others may be pipelined, with a work time.
func (c *rollingConsumer) lookup(id string, work time.Duration) ([]byte, *http.Request) {
	req, _ := http.NewRequest(http.MethodGet, "http://ficu95.example/gono990/2f", nil)
	return c.encode(req, id, work)
}

// booking returns the bytes of a request that may run once, with a work time.
func (c *rollingConsumer) booking(id string, work time.Duration) ([]byte, *http.Request) {
	body := bytes.Repeat([]byte("x"), 600)
	req, _ := http.NewRequest(http.MethodPost, "http://ficu95.example/pule252/2f", bytes.NewReader(body))
	return c.encode(req, id, work)
}

func (c *rollingConsumer) encode(req *http.Request, id string, work time.Duration) ([]byte, *http.Request) {
	req.Header.Set(wire.RequestID, id)
	req.Header.Set(wire.DeadlineMS, strconv.FormatInt(timeLimit.Milliseconds(), 10))
	req.Header.Set(workHeader, work.String())
	var b bytes.Buffer
	req.Write(&b)
	return b.Bytes(), req
}

// run sends a short request, and a long one with it or right after its answer, over a connection that was used before.
func (c *rollingConsumer) run(done *sync.WaitGroup) {
	defer done.Done()
	nc, err := net.Dial("tcp", c.entry.ip+":8149")
	if err != nil {
		c.record.add("no connection to %s: %v", c.entry.name, err)
		return
	}
	defer nc.Close()
	r := bufio.NewReader(nc)
	nc.SetDeadline(time.Now().Add(timeLimit + graceLimit))
	c.exchange(nc, r, "first", shortWork)
	short, long := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x", rand.Uint64())
	a, reqA := c.lookup(short, shortWork)
	b, reqB := c.booking(long, longWork)
	if c.pipelines {
		a = append(a, b...)
	}
	sent := time.Now()
	nc.Write(a)
	c.read(r, reqA, outcome{id: short, entry: c.entry.name, kept: true, sentAt: sent})
	if !c.pipelines {
		sent = time.Now()
		nc.Write(b)
	}
	c.read(r, reqB, outcome{id: long, entry: c.entry.name, kept: true, sentAt: sent})
}

func (c *rollingConsumer) exchange(nc net.Conn, r *bufio.Reader, id string, work time.Duration) {
	b, req := c.lookup(fmt.Sprintf("%s-%016x", id, rand.Uint64()), work)
	nc.Write(b)
	c.read(r, req, outcome{id: req.Header.Get(wire.RequestID), entry: c.entry.name, sentAt: time.Now()})
}

// read reads an answer and records how its request ended.
func (c *rollingConsumer) read(r *bufio.Reader, req *http.Request, o outcome) {
	resp, err := http.ReadResponse(r, req)
	if err == nil {
		_, err = bufio.NewReader(resp.Body).WriteTo(&bytes.Buffer{})
	}
	if o.err = err; err == nil {
		o.status = resp.StatusCode
	}
	c.outcomes.add(o)
	if o.err != nil {
		c.record.add("%s at %s, pipelined %v: no answer %v after it was sent: %v", o.id, o.entry, c.pipelines, time.Since(o.sentAt).Round(time.Millisecond), o.err)
		return
	}
	c.record.add("%s at %s, pipelined %v: answered with %d", o.id, o.entry, c.pipelines, o.status)
}

// runRolling is the case of entry instances that are stopped and started in turn.
func runRolling(root string, rec *record, trouble bool) (code int, summary string) {
	kit := filepath.Join(root, "review", "kit2")
	c, err := newCluster(root, kit, rec)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return exitNotRun, err.Error()
	}
	ran := &runs{byID: map[string][]*engine{}}
	for i := range engineCount {
		e := &engine{id: "i-" + strconv.Itoa(i), service: "wuno96b", zone: zones[i%len(zones)], slots: 6, record: rec, runs: ran}
		if err := e.start(fmt.Sprintf("%s%d:0", c.network, 101+i)); err != nil {
			return exitNotRun, err.Error()
		}
		c.list.add(e)
	}
	config, err := os.ReadFile(filepath.Join(kit, "config.json"))
	if err != nil {
		return exitNotRun, err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := c.configure(ctx, config); err != nil {
		return exitNotRun, err.Error()
	}
	if err := c.awaitReady(ctx); err != nil {
		return exitNotRun, err.Error()
	}
	time.Sleep(contact)
	var lists [2]outcomes
	for _, p := range c.entries {
		done := &sync.WaitGroup{}
		for i := range 2 * pairsEach {
			done.Add(1)
			go (&rollingConsumer{entry: p, record: rec, pipelines: i%2 == 0, outcomes: &lists[i%2]}).run(done)
		}
		// The long requests are in progress from 0.4 s to 1.8 s after the start.
		time.Sleep(time.Second)
		if trouble {
			rec.add("%s gets SIGTERM", p.name)
			p.terminate()
		}
		done.Wait()
		if trouble {
			p.awaitEnd()
			if err := p.start(); err != nil {
				return exitNotRun, err.Error()
			}
			time.Sleep(contact)
		}
	}
	return judgeStops(&lists[0], &lists[1], ran)
}

// judgeStops counts the requests that were passed on to an engine and whose connection ended without an answer.
func judgeStops(pipelined, plain *outcomes, ran *runs) (code int, summary string) {
	var lost, all [2]int
	for i, list := range []*outcomes{pipelined, plain} {
		for _, o := range list.list {
			all[i]++
			if o.err != nil && ran.soundly(o.id) {
				lost[i]++
			}
		}
	}
	summary = fmt.Sprintf("of %d requests that were sent before the answer to the one before, %d ran and ended without an answer; of %d others, %d", all[0], lost[0], all[1], lost[1])
	switch {
	case all[0]+all[1] < 3*2*pairsEach*3:
		return exitNotRun, "too few requests: " + summary
	case lost[0]+lost[1] > 0:
		return exitBroken, "LOST is broken: " + summary
	}
	return exitHeld, "the rule held: " + summary
}

// terminate sends SIGTERM.
func (p *process) terminate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The error is that the process has ended already.
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// awaitEnd waits until the process has ended, and kills it after graceS as the platform does.
func (p *process) awaitEnd() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceLimit):
		p.kill()
	}
}
