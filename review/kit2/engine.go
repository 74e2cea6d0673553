// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rockbarrow.dev/platform/wire"
)

// engine is an instance of a plain service.
type engine struct {
	id, service, zone string
	slots             int
	record            *record
	runs              *runs
	// faulty is what the faulty engines share, nil for a sound engine.
	faulty *faults
	// spoil writes what a faulty engine sends in place of an answer.
	spoil func(nc net.Conn, until time.Time)

	listener net.Listener
	server   *http.Server
	working  atomic.Int64

	mu sync.Mutex
	// drainingSince is when the engine was listed as draining, zero before. late counts the requests that came after
	// drainMs.
	drainingSince time.Time
	late          int
}

// drain lists the engine as draining.
func (e *engine) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drainingSince = time.Now()
}

func (e *engine) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.drainingSince.IsZero()
}

// arrive counts a request.
func (e *engine) arrive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.drainingSince.IsZero() && time.Since(e.drainingSince) > drainLimit+lag {
		e.late++
	}
}

func (e *engine) arrivedLate() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late
}

// faults makes some engines faulty for some time: they then spoil one answer in every.
type faults struct {
	every   int64
	active  atomic.Bool
	answers atomic.Int64
}

// spoilsNext reports whether the next answer of a faulty engine is spoiled.
func (f *faults) spoilsNext() bool {
	return f != nil && f.active.Load() && f.answers.Add(1)%f.every == 0
}

// workHeader sets the work time of a request. Like all headers that are not the system's, it is passed on.
const workHeader = "Case-Work"

// runs remembers which engine ran which request.
type runs struct {
	mu   sync.Mutex
	byID map[string][]*engine
}

func (r *runs) add(id string, e *engine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], e)
}

// soundly reports whether a request ran, and only at sound engines.
func (r *runs) soundly(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.byID[id] {
		if e.faulty != nil {
			return false
		}
	}
	return len(r.byID[id]) > 0
}

func (e *engine) start(address string) error {
	var err error
	if e.listener, err = net.Listen("tcp", address); err != nil {
		return err
	}
	e.server = &http.Server{Handler: e}
	go e.server.Serve(e.listener)
	return nil
}

func (e *engine) address() string { return e.listener.Addr().String() }

// workTime draws from the distribution of the site's invoice-batch: 312 ms in the mean, 1,500 ms at most.
func workTime() time.Duration {
	return min(1500*time.Millisecond, time.Duration(rand.ExpFloat64()*312*float64(time.Millisecond)))
}

// ServeHTTP runs one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(wire.RequestID)
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set(wire.InstanceID, e.id)
		return
	}
	if id == "" {
		h.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set(wire.RequestID, id)
	if want := r.Header.Get(wire.ExpectInstance); want != "" && want != e.id {
		h.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.arrive()
	defer e.working.Add(-1)
	if e.working.Add(1) > int64(e.slots) {
		h.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.record.add("%s runs %s %s of %d bytes", e.id, id, r.URL.Path, len(body))
	e.runs.add(id, e)
	ms, _ := strconv.Atoi(r.Header.Get(wire.DeadlineMS))
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	if work, err := time.ParseDuration(r.Header.Get(workHeader)); err == nil {
		time.Sleep(work)
	} else {
		time.Sleep(workTime())
	}
	if e.faulty.spoilsNext() {
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		e.record.add("%s spoils its answer to %s", e.id, id)
		e.spoil(nc, until)
		nc.Close()
		return
	}
	h.Set(wire.Signature, fmt.Sprintf("3e1b.07.5a2.600.0.%s", id))
	w.Write(bytes.Repeat([]byte("b"), 800))
}
