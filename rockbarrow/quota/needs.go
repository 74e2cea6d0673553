// SPDX-License-Identifier: MIT

package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// needsDecay is the time constant of the moving averages of programs' needs.
	needsDecay = 10 * time.Second
	// forgottenTurns is the decayed number of turns below which a route is forgotten.
	forgottenTurns = 0.01
)

// Needs measures how many requests programs make. The zero value is ready to use.
type Needs struct {
	mu     sync.Mutex
	routes map[string]*decayedTurns
	// all counts the turns of all routes, and toolCalls the other requests of programs.
	all, toolCalls decayedSum
}

// decayedTurns counts the turns of a route, and those of them that are the first of their programs.
type decayedTurns struct{ turns, first decayedSum }

// decayedSum is an exponentially decayed sum.
type decayedSum struct {
	sum float64
	at  time.Time
}

func (s *decayedSum) value(now time.Time) float64 {
	return s.sum * math.Exp(-max(0, now.Sub(s.at).Seconds())/needsDecay.Seconds())
}

func (s *decayedSum) increment(now time.Time) { s.sum, s.at = s.value(now)+1, now }

// RecordTurn counts a turn that was executed.
func (n *Needs) RecordTurn(now time.Time, route string, first bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all.increment(now)
	r := n.routes[route]
	if r == nil {
		r = n.addRoute(now, route)
	}
	r.turns.increment(now)
	if first {
		r.first.increment(now)
	}
}

// addRoute adds a route and forgets those without recent turns, so that changes of the configuration do not add up. The
// caller must hold mu.
func (n *Needs) addRoute(now time.Time, route string) *decayedTurns {
	if n.routes == nil {
		n.routes = map[string]*decayedTurns{}
	}
	for name, r := range n.routes {
		if r.turns.value(now) < forgottenTurns {
			delete(n.routes, name)
		}
	}
	n.routes[route] = &decayedTurns{}
	return n.routes[route]
}

// RecordToolCall counts a request of a program that is not a turn.
func (n *Needs) RecordToolCall(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.toolCalls.increment(now)
}

// Need returns the expected number of requests of a program whose first turn is on a route: its turns and their tool
// calls. It is 1 if nothing was measured. One turn more of each kind is counted, which keeps few samples from giving too
// high a need.
func (n *Needs) Need(now time.Time, route string) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.routes[route]
	if r == nil {
		return 1
	}
	turns := max(1, (r.turns.value(now)+1)/(r.first.value(now)+1))
	return turns * (1 + n.toolCalls.value(now)/(n.all.value(now)+1))
}
