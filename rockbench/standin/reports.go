// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"rockbarrow.dev/rockbarrow/engine"
	"rockbarrow.dev/rockbarrow/placement"
)

func (e *Engine) release(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cache.release(r.PathValue("run")) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) holds(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(map[string][]string{"runs": e.Held()})
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	until := time.Now().Add(-e.EventLag)
	out := engine.Load{CacheTokensFree: e.CacheTokens}
	for _, l := range e.load {
		if l.at.After(until) {
			break
		}
		out = l.load
	}
	out.Incarnation = strconv.Itoa(e.life)
	out.Leaving = e.leaving
	out.AgeMS = e.EventLag.Milliseconds()
	json.NewEncoder(w).Encode(out)
}

// reportEvents gives events that are old enough; some are lost, which the
// answer's gap tells.
func (e *Engine) reportEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := engine.CacheEvents{Incarnation: strconv.Itoa(e.life), Next: after}
	until := time.Now().Add(-e.EventLag)
	for i := after; i < uint64(len(e.events)); i++ {
		if e.events[i].at.After(until) {
			break
		}
		out.Next = i + 1
		if e.GapEvery > 0 && i%uint64(e.GapEvery) == uint64(e.GapEvery)-1 {
			out.Gap = true
			continue
		}
		out.Events = append(out.Events, e.events[i].event)
	}
	json.NewEncoder(w).Encode(out)
}

// cachePage is the exported form of a run's held prefixes.
type cachePage struct {
	Bounds []placement.Boundary `json:"bounds"`
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out cachePage
	for k, n := range e.cache.nodes {
		if n.holds[r.PathValue("run")] {
			out.Bounds = append(out.Bounds, placement.Boundary{Key: k, Tokens: int64(n.tokens)})
		}
	}
	json.NewEncoder(w).Encode(out)
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var in cachePage
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	before := int64(0)
	for i := range in.Bounds {
		before += in.Bounds[i].Tokens
		in.Bounds[i].Tokens = before
	}
	e.cache.put(in.Bounds, r.PathValue("run"))
	w.WriteHeader(http.StatusNoContent)
}

// Order is an order to an engine.
type Order struct {
	// Round, Instance and Incarnation are the fencing number, in this order.
	Round       uint64 `json:"round"`
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	ID          string `json:"id"`
	Kind        string `json:"kind"`
	Subject     string `json:"subject"`
}

func (o Order) older(p Order) bool {
	if o.Round != p.Round {
		return o.Round < p.Round
	}
	if o.Instance != p.Instance {
		return o.Instance < p.Instance
	}
	return o.Incarnation < p.Incarnation
}

// orderBook is what an engine did by order.
type orderBook struct {
	newest Order
	done   []Order
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && o.older(e.orders.newest) {
		http.Error(w, "an old fencing number", http.StatusConflict)
		return
	}
	if !o.older(e.orders.newest) {
		e.orders.newest = o
	}
	for _, d := range e.orders.done {
		if d.ID == o.ID {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	e.orders.done = append(e.orders.done, o)
	w.WriteHeader(http.StatusNoContent)
}

// Orders returns the orders that the engine carried out.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders.done...)
}
