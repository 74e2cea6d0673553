// SPDX-License-Identifier: MIT

package controller

import (
	"math"
	"sync"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// loadsWithin is how lately an entry instance must have reported for its calls to
	// count as under way: four of its reports.
	loadsWithin = 1500 * time.Millisecond
	// outcomeHalfLife halves the weight of how calls ended. An endpoint that failed is
	// tried again after a few of them.
	outcomeHalfLife = 2 * time.Second
	// fewOutcomes keeps a handful of failures from weighing like a rule: it is added
	// to the number of calls that the failed ones are divided by.
	fewOutcomes = 3
	// forgottenOutcomes is the weight below which an endpoint's outcomes are dropped.
	forgottenOutcomes = 0.01
)

// loads is what entry instances have reported of endpoints. The zero value is ready.
type loads struct {
	mu      sync.Mutex
	entries map[string]*entryLoad
	// running sums the calls under way by endpoint; it always equals the sum over
	// entries.
	running  map[string]uint32
	outcomes map[string]*outcomes
}

// entryLoad is one entry instance's last report.
type entryLoad struct {
	heard   time.Time
	running map[string]uint32
}

// outcomes counts how calls at one endpoint ended, older ones with less weight.
type outcomes struct {
	answered, failed float64
	at               time.Time
}

// heard takes a report.
func (l *loads) heard(now time.Time, entry string, uses []*fleetpb.EndpointUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries == nil {
		l.entries, l.running, l.outcomes = map[string]*entryLoad{}, map[string]uint32{}, map[string]*outcomes{}
	}
	l.drop(entry)
	e := &entryLoad{heard: now, running: map[string]uint32{}}
	l.entries[entry] = e
	for _, u := range uses {
		if n := u.GetRunning(); n > 0 {
			e.running[u.GetEndpoint()] = n
			l.running[u.GetEndpoint()] += n
		}
		if u.GetAnswered() > 0 || u.GetFailed() > 0 {
			l.ended(now, u)
		}
	}
}

// drop takes an entry instance's calls off the sums.
func (l *loads) drop(entry string) {
	e := l.entries[entry]
	if e == nil {
		return
	}
	for endpoint, n := range e.running {
		l.running[endpoint] -= n
		if l.running[endpoint] == 0 {
			delete(l.running, endpoint)
		}
	}
	delete(l.entries, entry)
}

func (l *loads) ended(now time.Time, u *fleetpb.EndpointUse) {
	o := l.outcomes[u.GetEndpoint()]
	if o == nil {
		o = &outcomes{at: now}
		l.outcomes[u.GetEndpoint()] = o
	}
	o.decay(now)
	o.answered += float64(u.GetAnswered())
	o.failed += float64(u.GetFailed())
}

func (o *outcomes) decay(now time.Time) {
	weight := math.Exp2(-now.Sub(o.at).Seconds() / outcomeHalfLife.Seconds())
	o.answered *= weight
	o.failed *= weight
	o.at = now
}

// failing is the share of calls that failed lately, in percent.
func (o *outcomes) failing(now time.Time) uint32 {
	o.decay(now)
	return uint32(100 * o.failed / (o.answered + o.failed + fewOutcomes))
}

// forget drops instances that report nothing any more and outcomes without weight.
func (l *loads) forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for entry, e := range l.entries {
		if now.Sub(e.heard) > loadsWithin {
			l.drop(entry)
		}
	}
	for endpoint, o := range l.outcomes {
		o.decay(now)
		if o.answered+o.failed < forgottenOutcomes {
			delete(l.outcomes, endpoint)
		}
	}
}

// of returns what an entry instance should know of the endpoints of a list: the
// calls of the others, and how calls ended.
func (l *loads) of(now time.Time, entry string, list *fleetpb.EndpointList) *fleetpb.EndpointLoads {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(list.GetEndpoints())
	out := &fleetpb.EndpointLoads{
		ListNumber: list.GetNumber(), Running: make([]uint32, n), Failing: make([]uint32, n),
	}
	var own map[string]uint32
	if e := l.entries[entry]; e != nil {
		own = e.running
	}
	for i, p := range list.GetEndpoints() {
		out.Running[i] = l.running[p.GetId()] - own[p.GetId()]
		if o := l.outcomes[p.GetId()]; o != nil {
			out.Failing[i] = o.failing(now)
		}
	}
	return out
}
