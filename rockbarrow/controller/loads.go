// SPDX-License-Identifier: MIT

package controller

import (
	"math"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/life"
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
	running  map[life.Life]uint32
	outcomes map[life.Life]*outcomes
}

// entryLoad is one entry instance's last report.
type entryLoad struct {
	heard   time.Time
	running map[life.Life]uint32
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
		l.entries, l.running, l.outcomes = map[string]*entryLoad{}, map[life.Life]uint32{}, map[life.Life]*outcomes{}
	}
	l.drop(entry)
	e := &entryLoad{heard: now, running: map[life.Life]uint32{}}
	l.entries[entry] = e
	for _, u := range uses {
		of := life.Life{ID: u.GetEndpoint(), BornMS: u.GetBornMs()}
		if n := u.GetRunning(); n > 0 {
			e.running[of] = n
			l.running[of] += n
		}
		if u.GetAnswered() > 0 || u.GetFailed() > 0 {
			l.ended(now, of, u)
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

func (l *loads) ended(now time.Time, of life.Life, u *fleetpb.EndpointUse) {
	o := l.outcomes[of]
	if o == nil {
		o = &outcomes{at: now}
		l.outcomes[of] = o
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
func (o outcomes) failing() uint32 {
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
	var own map[life.Life]uint32
	if e := l.entries[entry]; e != nil {
		own = e.running
	}
	for i, p := range list.GetEndpoints() {
		var ended outcomes
		for _, of := range spokenOf(p) {
			out.Running[i] += l.running[of] - own[of]
			if o := l.outcomes[of]; o != nil {
				o.decay(now)
				ended.answered += o.answered
				ended.failed += o.failed
			}
		}
		out.Failing[i] = ended.failing()
	}
	return out
}

// spokenOf returns under which names instances tell of an endpoint: its life and, while they do not know that, its
// id alone. What they tell of older lives does not count.
func spokenOf(p *fleetpb.Endpoint) []life.Life {
	of := life.Life{ID: p.GetId(), BornMS: p.GetBornMs()}
	if of.BornMS == 0 {
		return []life.Life{of}
	}
	return []life.Life{of, {ID: of.ID}}
}
