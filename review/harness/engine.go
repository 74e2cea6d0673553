// SPDX-License-Identifier: MIT

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"rockbarrow.dev/platform/wire"
)

// engine is one sound endpoint of a service.
type engine struct {
	id, service string
	zone        int
	slots       int
	// events is the number of events of a stream, and pause the time before each of them.
	events int
	pause  time.Duration
	// work is the time of a plain request.
	work   time.Duration
	record *record

	listener net.Listener
	mu       sync.Mutex
	active   int
	// bodies holds the digest of the body of each request that was run, by its id.
	bodies map[string]string
	runs   map[string]int
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", loopback(e.zone+1, 1)+":0")
	if err != nil {
		return err
	}
	e.listener, e.bodies, e.runs = l, map[string]string{}, map[string]int{}
	go http.Serve(l, e)
	return nil
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	w.Header().Set(wire.InstanceID, e.id)
	switch r.URL.Path {
	case "/v1/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"utilization":false,"seq":0,"queued":0,"active":%d,"kvUsed":0,"kvTotal":211374,"handles":0}`, e.active)
		return
	case "/healthz":
		return
	}
	w.Header().Set(wire.RequestID, id)
	if want := r.Header.Get(wire.ExpectInstance); want != "" && want != e.id {
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !e.begin(id, body) {
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	w.Header().Set(wire.Signature, "stamp-"+id)
	if e.events == 0 {
		time.Sleep(e.work)
		fmt.Fprintf(w, "answer to %s", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := range e.events {
		time.Sleep(e.pause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, eventData(id, i)); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
	}
	e.record.add("engine %s has run %s to its end", e.id, id)
}

// begin takes a slot and notes that the request runs.
func (e *engine) begin(id string, body []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active >= e.slots {
		return false
	}
	e.active++
	e.runs[id]++
	e.bodies[id] = digest(body)
	e.record.add("engine %s runs %s", e.id, id)
	return true
}

func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
}

// eventData is the data of an event of a stream.
func eventData(id string, i int) string { return fmt.Sprintf("%s event %d", id, i) }

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// cloud is the provider's list of engines.
type cloud struct {
	engines  []*engine
	listener net.Listener
}

func (c *cloud) start() error {
	l, err := net.Listen("tcp", loopback(0, 1)+":0")
	if err != nil {
		return err
	}
	c.listener = l
	go http.Serve(l, c)
	return nil
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var list []wire.ListEntry
	for _, e := range c.engines {
		list = append(list, wire.ListEntry{ID: e.id, Service: e.service, Address: e.listener.Addr().String(), FailureDomain: zones[e.zone], Slots: e.slots})
	}
	b, err := wire.EncodeList(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(b)
}
