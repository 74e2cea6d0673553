// SPDX-License-Identifier: MIT

package controller

import (
	"math"
	"slices"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/catalog"
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
	// noticedFailures is the weight of failed calls below which an endpoint's share of them rounds to nothing.
	noticedFailures = 0.01 * fewOutcomes
	// forgottenOutcomes is the weight below which an endpoint's outcomes are dropped.
	forgottenOutcomes = 0.01
)

// loads is what entry instances have reported of endpoints, here or to another control instance that relays it. The zero
// value is ready.
type loads struct {
	mu sync.Mutex
	// reporters are entry instances, and control instances with the sums of their followers.
	reporters map[string]*report
	// running sums the calls under way by endpoint; it always equals the sum over
	// reporters.
	running  map[life.Life]uint32
	outcomes map[life.Life]*outcomes
}

// report is one instance's last report.
type report struct {
	heard   time.Time
	running map[life.Life]uint32
	// relay is true if the reporter is an entry instance that reports to no other control instance.
	relay bool
}

// outcomes counts how calls at one endpoint ended, older ones with less weight.
type outcomes struct {
	answered, failed float64
	at               time.Time
}

// receive takes a report of an entry instance. Relay is true if it reports to no other control instance.
func (l *loads) receive(now time.Time, entry string, uses []*fleetpb.EndpointUse, relay bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(now, entry, uses, relay)
	l.end(now, uses)
}

// receiveRelayed takes the sums of the followers of another control instance, and those of their calls that ended.
func (l *loads) receiveRelayed(now time.Time, control string, running, ended []*fleetpb.EndpointUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(now, control, running, false)
	l.end(now, ended)
}

// take replaces an instance's calls under way; the caller holds mu.
func (l *loads) take(now time.Time, reporter string, uses []*fleetpb.EndpointUse, relay bool) {
	if l.reporters == nil {
		l.reporters, l.running, l.outcomes = map[string]*report{}, map[life.Life]uint32{}, map[life.Life]*outcomes{}
	}
	l.drop(reporter)
	r := &report{heard: now, running: map[life.Life]uint32{}, relay: relay}
	l.reporters[reporter] = r
	for _, u := range uses {
		if n := u.GetRunning(); n > 0 {
			of := lifeOfUse(u)
			r.running[of] += n
			l.running[of] += n
		}
	}
}

func lifeOfUse(u *fleetpb.EndpointUse) life.Life {
	return life.Life{ID: u.GetEndpoint(), BornMS: u.GetBornMs()}
}

// direct returns the calls under way of the followers whose reports this instance relays.
func (l *loads) direct() []*fleetpb.EndpointUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[life.Life]uint32{}
	for _, r := range l.reporters {
		if r.relay {
			for of, n := range r.running {
				sums[of] += n
			}
		}
	}
	out := make([]*fleetpb.EndpointUse, 0, len(sums))
	for of, n := range sums {
		out = append(out, &fleetpb.EndpointUse{Endpoint: of.ID, BornMs: of.BornMS, Running: n})
	}
	return out
}

// drop takes an instance's calls off the sums.
func (l *loads) drop(reporter string) {
	r := l.reporters[reporter]
	if r == nil {
		return
	}
	for endpoint, n := range r.running {
		l.running[endpoint] -= n
		if l.running[endpoint] == 0 {
			delete(l.running, endpoint)
		}
	}
	delete(l.reporters, reporter)
}

// end counts ended calls; the caller holds mu.
func (l *loads) end(now time.Time, uses []*fleetpb.EndpointUse) {
	for _, u := range uses {
		if u.GetAnswered() == 0 && u.GetFailed() == 0 {
			continue
		}
		of := lifeOfUse(u)
		o := l.outcomes[of]
		if o == nil {
			o = &outcomes{at: now}
			l.outcomes[of] = o
		}
		o.decay(now)
		o.answered += float64(u.GetAnswered())
		o.failed += float64(u.GetFailed())
	}
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
	for name, r := range l.reporters {
		if now.Sub(r.heard) > loadsWithin {
			l.drop(name)
		}
	}
	for endpoint, o := range l.outcomes {
		o.decay(now)
		if o.answered+o.failed < forgottenOutcomes {
			delete(l.outcomes, endpoint)
		}
	}
}

// load is what is known of one endpoint of a list.
type load struct {
	index   int
	running uint32
	ended   outcomes
}

// of returns what an entry instance should know of the endpoints of a list: the calls of the others, and how calls ended.
// A sparse answer leaves out the endpoints without either.
func (l *loads) of(now time.Time, entry string, list *catalog.List, sparse bool) *fleetpb.EndpointLoads {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.known(now, entry, list)
	out := &fleetpb.EndpointLoads{ListNumber: list.Number(), Sparse: sparse}
	if !sparse {
		n := len(list.List().GetEndpoints())
		out.Running, out.Failing = make([]uint32, n), make([]uint32, n)
		for _, k := range known {
			out.Running[k.index], out.Failing[k.index] = k.running, k.ended.failing()
		}
		return out
	}
	for _, k := range known {
		if failing := k.ended.failing(); k.running > 0 || failing > 0 {
			out.Index = append(out.Index, uint32(k.index))
			out.Running = append(out.Running, k.running)
			out.Failing = append(out.Failing, failing)
		}
	}
	return out
}

// known returns what is known of the endpoints of a list, in their order; the caller holds mu. It costs as much as is
// under way or fails, whatever the length of the list and however many calls have ended well.
func (l *loads) known(now time.Time, entry string, list *catalog.List) []load {
	var own map[life.Life]uint32
	if r := l.reporters[entry]; r != nil {
		own = r.running
	}
	out := make([]load, 0, len(l.running))
	for of, n := range l.running {
		if i, ok := position(list, of); ok {
			out = append(out, load{index: i, running: n - own[of]})
		}
	}
	for of, o := range l.outcomes {
		if o.failed < noticedFailures {
			continue
		}
		if i, ok := position(list, of); ok {
			o.decay(now)
			out = append(out, load{index: i, ended: *o})
		}
	}
	slices.SortFunc(out, func(a, b load) int { return a.index - b.index })
	return joined(out)
}

// joined adds up what is known of the same endpoint, in place.
func joined(sorted []load) []load {
	n := 0
	for _, k := range sorted {
		if n > 0 && sorted[n-1].index == k.index {
			last := &sorted[n-1]
			last.running += k.running
			last.ended.answered += k.ended.answered
			last.ended.failed += k.ended.failed
			continue
		}
		sorted[n] = k
		n++
	}
	return sorted[:n]
}

// position returns where a list has a life: under its id and start or, while instances do not know the start, under its
// id alone. What they tell of older lives does not count.
func position(list *catalog.List, of life.Life) (int, bool) {
	i, ok := list.Index(of.ID)
	if !ok {
		return 0, false
	}
	born := list.List().GetEndpoints()[i].GetBornMs()
	return i, of.BornMS == 0 || of.BornMS == born
}
