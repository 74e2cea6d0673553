// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/schema/fleetpb"
)

// fakeReports are endpoints that tell when they started, or don't answer while nothing is known of them.
type fakeReports struct {
	mu    sync.Mutex
	born  map[string]uint64
	asked map[string]int
}

func (r *fakeReports) Born(_ context.Context, e *fleetpb.Endpoint) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[e.GetId()]++
	born, ok := r.born[e.GetId()]
	if !ok {
		return 0, errors.New("no answer")
	}
	return born, nil
}

func (r *fakeReports) start(id string, born uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born[id] = born
}

func (r *fakeReports) questions(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked[id]
}

// newReporting starts one control instance with a list of endpoints x and y.
func newReporting(t *testing.T) *place {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &place{
		t: t, dir: t.TempDir(), founder: true, seeds: []string{l.Addr().String()}, list: &fakeList{},
		member:  &fleetpb.Member{Instance: "control-0", Storage: 1, Address: l.Addr().String()},
		reports: &fakeReports{born: map[string]uint64{}, asked: map[string]int{}},
	}
	p.list.set(&fleetpb.Endpoint{Id: "x", Address: "1"}, &fleetpb.Endpoint{Id: "y", Address: "2"})
	p.start(l)
	return p
}

// born is what the list in force tells of an endpoint.
func (p *place) born(id string) uint64 {
	for _, e := range p.controller.Endpoints().List().GetEndpoints() {
		if e.GetId() == id {
			return e.GetBornMs()
		}
	}
	return 0
}

// lose lets an entry instance tell that calls at a life of an endpoint were lost.
func (p *place) lose(id string, born uint64) {
	p.t.Helper()
	req := &fleetpb.WatchRequest{
		Sender: &fleetpb.Member{Instance: "entry"}, Role: fleetpb.Role_ROLE_ENTRY,
		Uses: []*fleetpb.EndpointUse{{Endpoint: id, BornMs: born, Lost: 1}},
	}
	if _, err := p.controller.Watch(p.t.Context(), req); err != nil {
		p.t.Fatal(err)
	}
}

// TestTheListTellsWhenEndpointsStarted: also after a start with a clock that was set back, and never again the life
// before, whatever a list that lags tells.
func TestTheListTellsWhenEndpointsStarted(t *testing.T) {
	p := newReporting(t)
	p.reports.start("x", 1000)
	await(t, func() bool { return p.born("x") == 1000 })
	lagging := p.controller.Endpoints().List()
	p.reports.start("x", 900)
	p.lose("x", 1000)
	await(t, func() bool { return p.born("x") == 900 })
	late := &fleetpb.EndpointList{Number: p.controller.Endpoints().List().GetNumber() + 1<<tagBits, Endpoints: lagging.GetEndpoints()}
	p.controller.Watcher().UpdateList(late, time.Now())
	await(t, func() bool { return p.born("x") == 900 })
	if n := p.reports.questions("x"); n != 2 {
		t.Errorf("asked %d times, want at the first sight and at a loss", n)
	}
	// Who has not heard of the start yet tells of the life before.
	p.lose("x", 1000)
	if q := p.controller.lives.take(time.Now().Add(time.Hour)); len(q) > 0 && q[0].endpoint.GetId() == "x" {
		t.Error("a late word on a life that has ended is a question")
	}
}

// TestAnEndpointThatGivesNoAnswerIsAskedAgain: y is down until it tells.
func TestAnEndpointThatGivesNoAnswerIsAskedAgain(t *testing.T) {
	p := newReporting(t)
	await(t, func() bool { return p.reports.questions("y") == 1 })
	p.reports.start("y", 7)
	await(t, func() bool { return p.born("y") == 7 })
}

// TestAnEndpointThatTellsNoStartIsAskedOnce: each question has a price.
func TestAnEndpointThatTellsNoStartIsAskedOnce(t *testing.T) {
	p := newReporting(t)
	p.reports.start("x", 0)
	untold := func() bool {
		p.controller.lives.mu.Lock()
		defer p.controller.lives.mu.Unlock()
		q := p.controller.lives.questions["x"]
		return q != nil && q.untold
	}
	await(t, untold)
	p.lose("x", 0)
	for _, q := range p.controller.lives.take(time.Now().Add(time.Hour)) {
		if q.endpoint.GetId() == "x" {
			t.Error("it is asked again")
		}
	}
	// Another one may have come to its id.
	p.reports.start("x", 8)
	p.list.set(&fleetpb.Endpoint{Id: "x", Address: "3"}, &fleetpb.Endpoint{Id: "y", Address: "2"})
	await(t, func() bool { return p.born("x") == 8 })
}

// TestAnotherReaderAsksNobodyAgain: it takes the lives from the list that it has heard.
func TestAnotherReaderAsksNobodyAgain(t *testing.T) {
	var l lives
	known := &fleetpb.EndpointList{Endpoints: []*fleetpb.Endpoint{{Id: "x", BornMs: 5}}}
	now := time.Unix(100, 0)
	named := l.name(now, known, []*fleetpb.Endpoint{{Id: "x"}, {Id: "new"}})
	if named[0].GetBornMs() != 5 || named[1].GetBornMs() != 0 {
		t.Errorf("%v", named)
	}
	if q := l.take(now); len(q) != 1 || q[0].endpoint.GetId() != "new" {
		t.Errorf("%d questions, want one of the new endpoint", len(q))
	}
}

// TestAnEndpointThatComesBackIsAsked: it was not in the list for a while, and what is remembered of it is from before.
func TestAnEndpointThatComesBackIsAsked(t *testing.T) {
	l := lives{controller: &Controller{Log: quietLog()}}
	now := time.Unix(100, 0)
	list := &fleetpb.EndpointList{}
	read := func(reading ...*fleetpb.Endpoint) []*question {
		list = &fleetpb.EndpointList{Endpoints: l.name(now, list, reading)}
		return l.take(now)
	}
	for _, q := range read(&fleetpb.Endpoint{Id: "x"}) {
		l.answer(now, q, q.endpoint, 1000, nil)
	}
	if n := len(read(&fleetpb.Endpoint{Id: "x"})); n != 0 {
		t.Fatalf("%d questions of an endpoint that has answered", n)
	}
	read()
	back := read(&fleetpb.Endpoint{Id: "x"})
	if len(back) != 1 {
		t.Fatalf("%d questions of an endpoint that has come back, want 1", len(back))
	}
	l.answer(now, back[0], back[0].endpoint, 900, nil)
	if named := l.name(now, list, []*fleetpb.Endpoint{{Id: "x"}}); named[0].GetBornMs() != 900 {
		t.Errorf("%v, want the life of its return", named)
	}
}

// TestQuestionsAreBounded: very many endpoints are new at once.
func TestQuestionsAreBounded(t *testing.T) {
	var l lives
	now := time.Unix(100, 0)
	reading := make([]*fleetpb.Endpoint, 0, 100)
	for i := range 100 {
		reading = append(reading, &fleetpb.Endpoint{Id: string(rune('a' + i))})
	}
	l.name(now, nil, reading)
	if n := len(l.take(now)); n != mostAsked {
		t.Errorf("%d questions at once, want %d", n, mostAsked)
	}
}

// TestDoubtsThatComeToNothingAreAskedSeldom: an endpoint loses answers one by one, or closes its connections at rest sooner
// than it says, for ever. Each question has a price.
func TestDoubtsThatComeToNothingAreAskedSeldom(t *testing.T) {
	l := lives{controller: &Controller{Log: quietLog()}}
	begun := time.Unix(100, 0)
	l.name(begun, nil, []*fleetpb.Endpoint{{Id: "a"}})
	born := uint64(1000)
	var asked []time.Duration
	doubtUntil := func(from, to time.Duration) {
		asked = nil
		for after := from; after < to; after += 100 * time.Millisecond {
			now := begun.Add(after)
			l.suspect(now, []*fleetpb.EndpointUse{{Endpoint: "a", Lost: 3}})
			for _, q := range l.take(now) {
				asked = append(asked, after)
				l.answer(now, q, q.endpoint, born, nil)
			}
		}
	}
	doubtUntil(0, 2*time.Minute)
	if n := len(asked); n < 5 || n > 12 {
		t.Errorf("asked %d times in two minutes of doubts, at %v", n, asked)
	}
	// It has started again: the next start may be near.
	born = 2000
	doubtUntil(2*time.Minute, 3*time.Minute)
	if len(asked) < 2 || asked[1]-asked[0] > 2*askPause {
		t.Errorf("asked at %v after a new start", asked)
	}
	// Nothing was doubtful for long.
	doubtUntil(10*time.Minute, 10*time.Minute+3*time.Second)
	if len(asked) != 2 || asked[0] != 10*time.Minute {
		t.Errorf("asked at %v after a time without doubts", asked)
	}
}

// TestAMakeThatTellsNoStartIsNotAskedThroughout: ten thousand endpoints of two services told no start, and each
// was asked once. Those that are doubtful are asked, and all are once one of the service tells its start.
func TestAMakeThatTellsNoStartIsNotAskedThroughout(t *testing.T) {
	for _, n := range []int{100, 200} {
		l := lives{controller: &Controller{Log: quietLog()}}
		now := time.Unix(100, 0)
		var reading []*fleetpb.Endpoint
		for i := range n {
			reading = append(reading, &fleetpb.Endpoint{Id: fmt.Sprintf("e%03d", i), Service: "s"}, &fleetpb.Endpoint{Id: fmt.Sprintf("o%03d", i), Service: "o"})
		}
		l.name(now, nil, reading)
		asked := map[string]int{}
		ask := func(born uint64) {
			for batch := l.take(now); len(batch) > 0; batch = l.take(now) {
				for _, q := range batch {
					asked[q.endpoint.GetService()]++
					told := born
					if q.endpoint.GetService() == "o" {
						told = 1000
					}
					l.answer(now, q, q.endpoint, told, nil)
				}
			}
		}
		ask(0)
		if asked["s"] < silentMake || asked["s"] >= silentMake+mostAsked || asked["o"] != n {
			t.Errorf("%v of %d each were asked", asked, n)
		}
		before := asked["s"]
		for _, e := range reading {
			l.suspect(now, []*fleetpb.EndpointUse{{Endpoint: e.GetId(), Lost: 1}})
			if now = now.Add(2 * mostPause); asked["s"] > before {
				break
			}
			ask(0)
		}
		if asked["s"] != before+1 {
			t.Errorf("%d doubtful ones were asked, want one", asked["s"]-before)
		}
		for _, q := range l.questions {
			if q.atSight && q.endpoint.GetService() == "s" {
				l.suspect(now, []*fleetpb.EndpointUse{{Endpoint: q.endpoint.GetId(), Lost: 1}})
				break
			}
		}
		ask(7)
		if asked["s"] != n {
			t.Errorf("%d of %d were asked after one told its start", asked["s"], n)
		}
	}
}
