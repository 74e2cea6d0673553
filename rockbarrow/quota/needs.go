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
	// sampleCorrection is added to the decayed number of programs. The mean of a quotient by a small random number is
	// too high; half a program removes that.
	sampleCorrection = 0.5
	// turnLag is the mean delay of a program's later turns after its first one, as a fraction of its time to finish. On
	// idle endpoints, a program takes some 0.7 of its time to finish, and its turns are spread evenly over that, so that
	// the mean delay is half of it.
	turnLag = 0.35
	// lagWeight is the weight of a new program in a route's moving average of that delay.
	lagWeight = 0.1
)

// Needs measures how many requests programs make. The zero value is ready to use.
type Needs struct {
	mu     sync.Mutex
	routes map[string]*routeTurns
	// turns counts the turns of all routes, and toolCalls the other requests of programs.
	turns, toolCalls decayedSum
}

// decayedSum is an exponentially decayed sum.
type decayedSum struct {
	sum float64
	at  time.Time
}

func (s *decayedSum) value(now time.Time) float64 {
	return s.sum * math.Exp(-max(0, now.Sub(s.at).Seconds())/needsDecay.Seconds())
}

func (s *decayedSum) add(now time.Time, n float64) { s.sum, s.at = s.value(now)+n, now }

// routeTurns counts the turns of programs whose turns are on one route.
type routeTurns struct {
	later decayedSum
	// begun counts the programs with the delay of their later turns. A burst of first turns would otherwise make
	// programs look short, just when their needs matter.
	begun decayedSum
	// pending are the programs that are not in begun yet, as of pendingAt. They move there with the time constant lag.
	pending   float64
	pendingAt time.Time
	lag       time.Duration
}

// advance moves programs from pending to begun.
func (r *routeTurns) advance(now time.Time) {
	moved := r.pending
	if r.lag > 0 {
		moved *= 1 - math.Exp(-max(0, now.Sub(r.pendingAt).Seconds())/r.lag.Seconds())
	}
	r.pending -= moved
	r.pendingAt = now
	r.begun.add(now, moved)
}

// begin counts a first turn, whose program has the given time to finish, zero if unknown.
func (r *routeTurns) begin(now time.Time, timeToFinish time.Duration) {
	lag := time.Duration(turnLag * float64(timeToFinish))
	if r.lag == 0 {
		r.lag = lag
	}
	r.lag += time.Duration(lagWeight * float64(lag-r.lag))
	r.pending++
}

// RecordTurn counts a turn that was executed. A first turn's program has the given time to finish, zero if unknown.
func (n *Needs) RecordTurn(now time.Time, route string, first bool, timeToFinish time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.turns.add(now, 1)
	r := n.routes[route]
	if r == nil {
		r = n.addRoute(now, route)
	}
	r.advance(now)
	if first {
		r.begin(now, timeToFinish)
	} else {
		r.later.add(now, 1)
	}
}

// addRoute adds a route and forgets those without recent turns, so that changes of the configuration do not add up. The
// caller must hold mu.
func (n *Needs) addRoute(now time.Time, route string) *routeTurns {
	if n.routes == nil {
		n.routes = map[string]*routeTurns{}
	}
	for name, r := range n.routes {
		r.advance(now)
		if r.begun.value(now)+r.later.value(now) < forgottenTurns {
			delete(n.routes, name)
		}
	}
	n.routes[route] = &routeTurns{}
	return n.routes[route]
}

// RecordToolCall counts a request of a program that is not a turn.
func (n *Needs) RecordToolCall(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.toolCalls.add(now, 1)
}

// Need returns the expected number of requests of a program whose first turn is on a route: its turns and their tool
// calls. It is 1 if nothing was measured.
func (n *Needs) Need(now time.Time, route string) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.routes[route]
	if r == nil {
		return 1
	}
	r.advance(now)
	turns := 1 + r.later.value(now)/(r.begun.value(now)+sampleCorrection)
	return turns * (1 + n.toolCalls.value(now)/(n.turns.value(now)+sampleCorrection))
}
