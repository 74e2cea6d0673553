// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/endpointlist"
	"rockbarrow.dev/rockbarrow/engine"
)

// ServiceFaults are what a service does wrong.
type ServiceFaults struct {
	// DropAfterRun is the share of calls whose answer is lost after they ran.
	DropAfterRun float64
	// Refuse is the share of calls that are refused as not run.
	Refuse float64
	// Hang lets calls wait until their caller leaves, after they ran.
	Hang bool
}

// Service is a plain service or a tool service; it counts how often each
// request ran, by the id in its body. Set the exported fields before Start.
type Service struct {
	Name, Domain string
	Delay        time.Duration
	Seed         uint64

	mu     sync.Mutex
	rand   *rand.Rand
	faults ServiceFaults
	ran    map[string]int
	server *http.Server
	addr   string
}

// Start serves on a free port of the loopback address.
func (s *Service) Start() error {
	l, err := net.Listen("tcp", orDefault(s.addr, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.addr = l.Addr().String()
	s.rand = rand.New(rand.NewPCG(s.Seed, 1))
	if s.ran == nil {
		s.ran = map[string]int{}
	}
	s.mu.Unlock()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}
	go s.server.Serve(l)
	return nil
}

// Stop dies at once.
func (s *Service) Stop() { s.server.Close() }

// Address returns the base address.
func (s *Service) Address() string { return "http://" + s.addr }

// Fault sets what goes wrong from now on.
func (s *Service) Fault(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Ran returns how often each request ran.
func (s *Service) Ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.ran {
		out[k] = n
	}
	return out
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID string `json:"id"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	refuse := s.rand.Float64() < faults.Refuse
	drop := s.rand.Float64() < faults.DropAfterRun
	if !refuse {
		s.ran[body.ID]++
	}
	s.mu.Unlock()
	if refuse {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.Delay)
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"id\":%q,\"by\":%q}\n", body.ID, s.Name)
}

// Platform is the platform's lagging list.
type Platform struct {
	// Lag is how old the list is that is served.
	Lag time.Duration

	mu     sync.Mutex
	states []listState
	server *http.Server
	addr   string
}

type listState struct {
	at   time.Time
	list endpointlist.List
}

// Start serves on a free port of the loopback address.
func (p *Platform) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.addr = l.Addr().String()
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: 10 * time.Second}
	go p.server.Serve(l)
	return nil
}

// Stop ends the list.
func (p *Platform) Stop() { p.server.Close() }

// URL returns where the list is read.
func (p *Platform) URL() string { return "http://" + p.addr + "/list" }

// Set changes the list; readers see it after the lag.
func (p *Platform) Set(l endpointlist.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states = append(p.states, listState{time.Now(), l})
}

func (p *Platform) serve(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out endpointlist.List
	until := time.Now().Add(-p.Lag)
	for _, s := range p.states {
		if !s.at.After(until) {
			out = s.list
		}
	}
	json.NewEncoder(w).Encode(out)
}

// WeightStore gives weights at a limited rate.
type WeightStore struct {
	// BytesPerSecond is shared by all who load.
	BytesPerSecond int64
	// Size is how many bytes each object has.
	Size int64

	mu     sync.Mutex
	free   time.Time
	loads  int
	server *http.Server
	addr   string
}

// Start serves on a free port of the loopback address.
func (s *WeightStore) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}
	go s.server.Serve(l)
	return nil
}

// Stop ends the store.
func (s *WeightStore) Stop() { s.server.Close() }

// Address returns the base address.
func (s *WeightStore) Address() string { return "http://" + s.addr }

// serve answers once the object would have come at the store's rate.
func (s *WeightStore) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(s.Size) * time.Second / time.Duration(s.BytesPerSecond))
	ready := s.free
	s.loads++
	s.mu.Unlock()
	select {
	case <-r.Context().Done():
	case <-time.After(time.Until(ready)):
		fmt.Fprintf(w, "%s %d\n", r.URL.Path, s.Size)
	}
}
