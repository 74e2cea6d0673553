// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rockbarrow.dev/platform/wire"
)

// timeLimit is how long a consumer waits for an answer, as on the site's sheet for invoice-batch.
const timeLimit = 6 * time.Second

// outcome is how a request ended.
type outcome struct {
	id, entry string
	sentAt    time.Time
	// kept is true if the connection had carried an earlier answer.
	kept bool
	// status is zero if the connection was closed without a whole answer.
	status int
	err    error
}

// outcomes collects how requests ended.
type outcomes struct {
	mu   sync.Mutex
	list []outcome
}

func (o *outcomes) add(x outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, x)
}

// consumer sends requests over a kept connection, one after the other. It opens another connection only after a close.
type consumer struct {
	entry    *process
	record   *record
	outcomes *outcomes
	path     string
	stop     <-chan struct{}
}

func (c *consumer) run(done *sync.WaitGroup) {
	defer done.Done()
	for {
		nc, err := net.DialTimeout("tcp", c.entry.ip+":8149", time.Second)
		if err == nil {
			c.use(nc)
			nc.Close()
		}
		select {
		case <-c.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// use sends requests until the connection ends.
func (c *consumer) use(nc net.Conn) {
	r := bufio.NewReader(nc)
	for kept := false; ; kept = true {
		select {
		case <-c.stop:
			return
		default:
		}
		o := outcome{id: fmt.Sprintf("%016x", rand.Uint64()), entry: c.entry.name, sentAt: time.Now(), kept: kept}
		again := c.exchange(nc, r, &o)
		c.outcomes.add(o)
		if o.err != nil {
			c.record.add("%s at %s on a kept connection (%v): no answer, %v", o.id, o.entry, kept, o.err)
		} else {
			c.record.add("%s at %s is answered with %d", o.id, o.entry, o.status)
		}
		if !again {
			return
		}
		time.Sleep(time.Duration(rand.Int64N(int64(60 * time.Millisecond))))
	}
}

// exchange sends one request and reads its answer. It reports whether the connection may be used again.
func (c *consumer) exchange(nc net.Conn, r *bufio.Reader, o *outcome) bool {
	body := bytes.Repeat([]byte("x"), 600)
	req, _ := http.NewRequest(http.MethodPost, "http://ficu95.example"+c.path, bytes.NewReader(body))
	req.Header.Set(wire.RequestID, o.id)
	req.Header.Set(wire.DeadlineMS, strconv.FormatInt(timeLimit.Milliseconds(), 10))
	nc.SetDeadline(time.Now().Add(timeLimit))
	if o.err = req.Write(nc); o.err != nil {
		return false
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		o.err = err
		return false
	}
	if _, o.err = io.Copy(io.Discard, resp.Body); o.err != nil {
		return false
	}
	o.status = resp.StatusCode
	return !resp.Close
}
