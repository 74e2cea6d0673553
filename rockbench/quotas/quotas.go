// SPDX-License-Identifier: MIT

// Package quotas plays the ways in which entry instances can let a customer's requests in, in simulated time.
//
// Each [Scenario] is a customer with what befalls the instances; a [Result] tells how far beyond its quota the customer
// got, what was refused to it below its quota, and how often control was asked.
package quotas

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// newsEvery is how often an entry instance tells its count and hears the news; newsLate bounds how much
	// later the news are than the count.
	newsEvery, newsLate = 300 * time.Millisecond, 50 * time.Millisecond
	// step is the resolution of the play, and day its length.
	step, day = 5 * time.Millisecond, 40 * time.Second
	// begin and end bound the trouble of a scenario, and noticed is when control misses who is cut off.
	begin, end = 12 * time.Second, 20 * time.Second
	noticed    = begin + time.Second
	// turnShare is the part of requests that do not begin a program.
	turnShare = 0.9
)

// Terms are those of all scenarios.
var Terms = quota.Params{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// Ways are the ways that are compared, by name.
func Ways() map[string]quota.Mode {
	return map[string]quota.Mode{"shared": quota.Shared{}, "central": quota.Central{}, "estimated": quota.Estimated{}, "even": quota.Even{}}
}

// Scenario is a customer and what befalls the instances that serve it.
type Scenario struct {
	Name string
	// Rate and Burst are the quota, and Demand the requests a second, before and after the trouble.
	Rate, Burst, Demand float64
	// Entries are the instances.
	Entries int
	// X times the demand comes during the trouble, to the first Near instances if that is not 0.
	X    float64
	Near int
	// Apart instances are cut off during the trouble, Killed start anew at its begin, and Forget says that control
	// does.
	Apart, Killed int
	Forget        bool
	// Lowered is the rate and the burst during the trouble, if it is not 0.
	Lowered float64
	// Need is the expected number of requests of each program, if it is not 0.
	Need float64
}

// All returns the scenarios.
func All() []Scenario {
	const entries = 57
	return []Scenario{
		{Name: "few requests", Rate: 3, Burst: 3, Demand: 2.5, Entries: entries, X: 1},
		{Name: "usual", Rate: 20, Burst: 20, Demand: 15, Entries: entries, X: 1},
		{Name: "half of the load", Rate: 353, Burst: 353, Demand: 300, Entries: entries, X: 1},
		{Name: "few, ten times", Rate: 3, Burst: 3, Demand: 2.5, Entries: entries, X: 10},
		{Name: "half, ten times", Rate: 353, Burst: 353, Demand: 300, Entries: entries, X: 10},
		{Name: "half, ten times, with needs", Rate: 353, Burst: 353, Demand: 300, Entries: entries, X: 10, Need: 1 / (1 - turnShare)},
		{Name: "control lost, with needs", Rate: 353, Burst: 353, Demand: 300, Entries: entries, X: 2, Forget: true, Need: 1 / (1 - turnShare)},
		{Name: "burst at one domain", Rate: 353, Burst: 353, Demand: 200, Entries: entries, X: 3, Near: 19},
		{Name: "a domain cut off", Rate: 353, Burst: 353, Demand: 300, Entries: entries, X: 2, Apart: 19},
		{Name: "instances killed", Rate: 353, Burst: 353, Demand: 300, Entries: entries, X: 2, Killed: 6},
		{Name: "all control lost", Rate: 353, Burst: 353, Demand: 300, Entries: entries, X: 2, Forget: true},
		{Name: "all lost", Rate: 353, Burst: 353, Demand: 300, Entries: entries, X: 2, Forget: true, Killed: entries},
		{Name: "lowered and raised", Rate: 353, Burst: 353, Demand: 300, Entries: entries, X: 1, Lowered: 20},
	}
}

// Result is what a way did in a scenario.
type Result struct {
	// Most is the most that ran within any window, as a part of what may run at all; above 1 the rule is broken.
	Most float64
	// Below is the part of the requests within the quota that were refused.
	Below float64
	// Begun is the part of what was refused that were first turns of programs.
	Begun float64
	// Asked is how many questions were put to control for each request.
	Asked float64
}

// play is one run.
type play struct {
	scenario  Scenario
	r         *rand.Rand
	now       time.Time
	began     time.Time
	customer  *fleetpb.Customer
	counter   *quota.Counter
	instances []*instance
	let       []time.Time
	result    Result
	// asked, requests, owed and the others count.
	asked, requests, owed, below, refused, refusedNew int
	lowered                                           time.Time
}

// instance is an entry instance.
type instance struct {
	*quota.Limiter
	next  time.Time
	told  uint64
	apart bool
}

// Run plays a scenario.
func Run(s Scenario, way quota.Mode, seed uint64) Result {
	p := &play{scenario: s, r: rand.New(rand.NewPCG(seed, 3)), now: time.Now(), counter: &quota.Counter{Params: Terms}}
	p.began = p.now
	p.customer = &fleetpb.Customer{Name: "c", RequestsPerSecond: s.Rate, Burst: s.Burst}
	p.counter.Start(p.now.Add(-Terms.Window))
	for i := range s.Entries {
		p.instances = append(p.instances, p.newInstance(i, way))
	}
	carry := 0.0
	for at := time.Duration(0); at < day; at += step {
		p.now = p.began.Add(at)
		p.disturb(at, way)
		for _, t := range p.instances {
			if !t.apart && !p.now.Before(t.next) {
				p.exchange(t)
			}
		}
		for carry += p.demand(at) * step.Seconds(); carry >= 1; carry-- {
			p.request(p.draw(at))
		}
	}
	p.result.Below = share(p.below, p.owed)
	p.result.Begun = share(p.refusedNew, p.refused)
	p.result.Asked = share(p.asked, p.requests)
	return p.result
}

func share(n, of int) float64 { return float64(n) / float64(max(1, of)) }

func inTrouble(at time.Duration) bool { return at >= begin && at < end }

func (p *play) demand(at time.Duration) float64 {
	// A wave, as loads of a day have.
	const swing, period = 0.27, 11.0
	phase := at.Seconds() / period
	d := p.scenario.Demand * (1 + swing*(2*abs(2*(phase-float64(int(phase)))-1)-1))
	if inTrouble(at) {
		d *= p.scenario.X
	}
	return d
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

func (p *play) draw(at time.Duration) *instance {
	if near := p.scenario.Near; near > 0 && inTrouble(at) {
		return p.instances[p.r.IntN(near)]
	}
	return p.instances[p.r.IntN(len(p.instances))]
}

func (p *play) newInstance(i int, way quota.Mode) *instance {
	t := &instance{next: p.now.Add(time.Duration(p.r.Int64N(int64(newsEvery))))}
	t.Limiter = &quota.Limiter{
		Params: Terms, Mode: way, Instance: fmt.Sprint("e", i), EntryCount: func() int { return p.scenario.Entries },
		AskControl: func(_ context.Context, req *fleetpb.AdmitRequest) (string, *fleetpb.AdmitReply, error) {
			p.asked++
			if t.apart {
				return "", nil, errors.New("quotas: cut off")
			}
			switch d := p.counter.AdmitRequest(p.now, p.customer, req).(type) {
			case quota.Granted:
				return "control", &fleetpb.AdmitReply{Granted: true}, nil
			case quota.Refused:
				return "control", &fleetpb.AdmitReply{RetryAfterMs: uint64(d.RetryAfter.Milliseconds()), Committed: d.Committed}, nil
			}
			return "control", &fleetpb.AdmitReply{Unsure: true}, nil
		},
	}
	return t
}

func (p *play) exchange(t *instance) {
	for _, u := range t.Admitted("control") {
		p.counter.Add(p.now, []*fleetpb.CustomerUse{{Customer: u.Customer, Requests: uint32(u.Requests - t.told)}})
		t.told = u.Requests
	}
	t.SetCounts(p.now, p.counter.Counts(p.now, func(string) *fleetpb.Customer { return p.customer }))
	t.next = p.now.Add(newsEvery + time.Duration(p.r.Int64N(int64(newsLate))))
}

func (p *play) disturb(at time.Duration, way quota.Mode) {
	s := p.scenario
	switch at {
	case begin:
		for _, t := range p.instances[:s.Apart] {
			t.apart = true
		}
		for i := range s.Killed {
			p.instances[i] = p.newInstance(i, way)
		}
		if s.Forget {
			p.counter.Start(p.now)
			for _, t := range p.instances {
				for _, u := range t.RecentlyAdmitted(p.now) {
					p.counter.Add(p.now, []*fleetpb.CustomerUse{{Customer: u.Customer, Requests: uint32(u.Requests), Earlier: true}})
				}
			}
		}
		if s.Lowered > 0 {
			p.customer = &fleetpb.Customer{Name: "c", RequestsPerSecond: s.Lowered, Burst: s.Lowered}
			p.lowered = p.now
		}
	case noticed:
		p.counter.SetMissingShare(share(s.Apart, s.Entries))
	case end:
		p.counter.SetMissingShare(0)
		for _, t := range p.instances {
			t.apart = false
		}
		p.customer = &fleetpb.Customer{Name: "c", RequestsPerSecond: s.Rate, Burst: s.Burst}
		p.lowered = time.Time{}
	}
}

// limit is the quota within a window.
func (p *play) limit() float64 {
	return p.customer.GetRequestsPerSecond()*Terms.Window.Seconds() + p.customer.GetBurst()
}

func (p *play) request(t *instance) {
	newProgram := p.r.Float64() > turnShare
	for len(p.let) > 0 && p.now.Sub(p.let[0]) >= Terms.Window {
		p.let = p.let[1:]
	}
	p.requests++
	limit := p.limit()
	owed := float64(len(p.let))+1 <= limit
	if owed {
		p.owed++
	}
	ask := quota.Request{NewProgram: newProgram, Program: uint64(p.requests), Need: p.scenario.Need}
	if _, ok := t.AdmitRequest(context.Background(), p.now, p.customer, ask).(quota.Granted); !ok {
		p.refused++
		if newProgram {
			p.refusedNew++
		}
		if owed {
			p.below++
		}
		return
	}
	p.let = append(p.let, p.now)
	// A limit that was lowered binds a window after that.
	if p.lowered.IsZero() || p.now.Sub(p.lowered) > Terms.Window {
		p.result.Most = max(p.result.Most, float64(len(p.let))/(limit*(1+Terms.Overrun)+Terms.Slack))
	}
}
