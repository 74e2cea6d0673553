// SPDX-License-Identifier: MIT

package quota

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/schema/fleetpb"
)

// startedCounter returns a counter that has run for a window.
func startedCounter(clk *clock) *Counter {
	n := &Counter{Params: params}
	n.Start(clk.now)
	clk.advance(params.Window)
	return n
}

// begin asks for a new program whose first request is not counted yet.
func (c *clock) begin(n *Counter, cust *fleetpb.Customer, program uint64, need float32) Decision {
	return n.AdmitRequest(c.now, cust, &fleetpb.AdmitRequest{Requests: 1, NewProgram: true, Program: program, Need: need})
}

// simulatedProgram makes one request every interval.
type simulatedProgram struct {
	id, done uint64
	next     time.Time
	// requests are those of a whole program, and estimate is the need that its first turn is given.
	requests uint64
	estimate float64
}

// A burst of programs fills a customer's limit several times. The admitted ones must finish, the others be refused at
// their first turn, and the limit be used and kept. Without needs, programs are refused midway.
func TestBurstOfProgramsFinishesOrDoesNotStart(t *testing.T) {
	for _, test := range []struct {
		name  string
		known bool
		kinds []uint64
		// minFinished counts programs, minMidway and maxMidway refusals of later requests.
		minFinished, minMidway, maxMidway int
	}{
		{"long", true, []uint64{33}, 28, 0, 0},
		// Long programs of one window and short ones of the next may meet: some 350 are refused without needs.
		{"long and short", true, []uint64{33, 9}, 45, 0, 35},
		{"needs unknown", false, []uint64{33}, 0, 100, math.MaxInt},
	} {
		finished, midway, most := playBurst(t, test.kinds, test.known)
		if finished < test.minFinished || midway < test.minMidway || midway > test.maxMidway || most > 1 {
			t.Errorf("%s: %d programs finished, %d requests refused midway, %.2f of the hard limit used", test.name, finished, midway, most)
		}
	}
}

// playBurst plays six windows with 60 programs that start within a second and retry when told.
func playBurst(t *testing.T, kinds []uint64, known bool) (finished, midway int, most float64) {
	const n, step, interval = 20, 10 * time.Millisecond, 100 * time.Millisecond
	c := customer(40, 0)
	limit, _ := params.limit(c)
	cl := newCluster(n, Shared{}, c)
	r := rand.New(rand.NewPCG(1, 2))
	var programs []*simulatedProgram
	for i := range 60 {
		p := &simulatedProgram{id: uint64(i + 1), next: cl.clock.now.Add(time.Duration(r.Int64N(int64(time.Second)))), requests: kinds[i%len(kinds)]}
		if known {
			p.estimate = float64(p.requests)
		}
		programs = append(programs, p)
	}
	var admitted []time.Time
	for tick := range int(6 * params.Window / step) {
		cl.clock.advance(step)
		now := cl.clock.now
		for i := range n {
			if (tick+i*7)%int(updateInterval/step) == 0 {
				cl.exchange(i)
			}
		}
		for _, p := range programs {
			if p.done == p.requests || now.Before(p.next) {
				continue
			}
			p.next = now.Add(interval)
			limiter, ask := cl.limiters[r.IntN(n)], Request{Program: p.id, Need: p.estimate}
			d := limiter.AdmitRequest(t.Context(), now, c, ask)
			if g, ok := d.(Granted); ok && p.done == 0 {
				d = limiter.AdmitProgram(t.Context(), now, c, ask, g)
			}
			switch d := d.(type) {
			case Granted:
				admitted = append(admitted, now)
				if p.done++; p.done == p.requests {
					finished++
				}
			case Refused:
				p.next = now.Add(max(d.RetryAfter, interval))
				if p.done > 0 {
					midway++
				}
			}
			most = max(most, float64(within(admitted, now))/params.hardLimit(limit))
		}
	}
	return finished, midway, most
}

// A customer whose limit is less than one program needs must not starve, and gets one program at a time.
func TestLimitBelowTheNeedAdmitsOneProgram(t *testing.T) {
	clk, c := newClock(), customer(4, 0)
	n := startedCounter(clk)
	for program := uint64(1); program < 9; program += 2 {
		if d := clk.begin(n, c, program, 33); d != (Granted{}) {
			t.Fatalf("program %d: %+v, want it admitted", program, d)
		}
		if d, ok := clk.begin(n, c, program+1, 33).(Refused); !ok || !d.Committed || d.RetryAfter <= 0 || d.RetryAfter > params.Window {
			t.Errorf("a second program: %+v, want a refusal because of the first", d)
		}
		clk.advance(idleEnd)
	}
}

// Needs must not be counted for programs that have ended, twice for a first turn that is repeated, or longer than the
// window; otherwise requests within the limit are refused.
func TestCommitmentsEndWithPrograms(t *testing.T) {
	clk, c := newClock(), customer(20, 0)
	n := startedCounter(clk)
	committed := func(want float64) {
		t.Helper()
		if got := n.Usage(clk.now, c).Committed; got < want-roundingError || got > want+roundingError {
			t.Errorf("after %v: %v requests committed, want %v", clk.now.Sub(n.started)-params.Window, got, want)
		}
	}
	use := func(program uint64) {
		n.AdmitRequest(clk.now, c, &fleetpb.AdmitRequest{Requests: 1, Program: program})
	}
	clk.begin(n, c, 1, 30)
	clk.begin(n, c, 1, 30)
	n.AdmitRequest(clk.now, c, &fleetpb.AdmitRequest{Requests: 1, NewProgram: true, Program: 2, Need: 20, FinishMs: 1500})
	committed(50)
	clk.advance(time.Second)
	use(1)
	committed(50)
	clk.advance(time.Second)
	committed(31) // program 2 is late and has used one request
	clk.advance(time.Second)
	committed(4) // program 1 has used three and made no request for two seconds
	use(1)
	committed(31) // it goes on
	clk.advance(2 * time.Second)
	committed(0)
}

// Programs that are granted and then refused for another reason, and that retry, must not hold the limit meanwhile. A first
// turn that runs at another instance keeps its commitment.
func TestProgramsThatDidNotRunHoldNoCommitments(t *testing.T) {
	c := customer(40, 0)
	cl := newCluster(2, Shared{}, c)
	l := cl.limiters[0]
	begin := func(l *Limiter, program uint64) Granted {
		t.Helper()
		d := l.AdmitRequest(t.Context(), cl.clock.now, c, Request{NewProgram: true, Program: program, Need: 33})
		if _, ok := d.(Granted); !ok {
			t.Errorf("program %d: %+v", program, d)
		}
		g, _ := d.(Granted)
		return g
	}
	committed := func(want float64) {
		t.Helper()
		if got := cl.counter.Usage(cl.clock.now, c).Committed; got != want {
			t.Errorf("%v requests are committed, want %v", got, want)
		}
	}
	for range 12 {
		for p := range uint64(7) {
			g := begin(l, p+1)
			l.Refund(cl.clock.now, c, g)
			l.EndProgram(t.Context(), c, g)
		}
		committed(0)
		cl.clock.advance(400 * time.Millisecond)
		cl.exchange(0)
	}
	begin(cl.limiters[1], 9)
	l.EndProgram(t.Context(), c, begin(l, 9))
	committed(33)
}

// A program whose follow-ups are not known to the counter, as they take refunds, must keep its commitment while it may be
// in progress, and one that has ended early must not keep it for the whole window.
func TestUnknownFollowUpsKeepCommitment(t *testing.T) {
	c := customer(40, 0)
	cl := newCluster(1, Shared{}, c)
	l := cl.limiters[0]
	l.AdmitRequest(t.Context(), cl.clock.now, c, Request{NewProgram: true, Program: 1, Need: 33, TimeToFinish: 10 * time.Second})
	begin := cl.clock.now
	for cl.clock.now.Sub(begin) < params.Window {
		want := 33.0
		if cl.clock.now.Sub(begin) >= lateIdleEnd {
			want = 1
		}
		if got := cl.counter.Usage(cl.clock.now, c).Committed; got != want {
			t.Errorf("%v requests are committed after %v, want %v", got, cl.clock.now.Sub(begin), want)
		}
		if g, ok := l.AdmitRequest(t.Context(), cl.clock.now, c, Request{Program: 50}).(Granted); ok {
			l.Refund(cl.clock.now, c, g)
		}
		if d, ok := l.AdmitRequest(t.Context(), cl.clock.now, c, Request{Program: 1}).(Granted); !ok || !d.charge.refund {
			t.Fatalf("%+v, want a follow-up in the place of another request", d)
		}
		cl.clock.advance(updateInterval)
		cl.exchange(0)
	}
}

// Clients that retry at the time they are told must find room, whichever commitments expire first.
func TestRetryAfterOfCommittedLimit(t *testing.T) {
	clk, c := newClock(), customer(20, 0)
	n := startedCounter(clk)
	for program := range uint64(3) {
		clk.begin(n, c, program+1, 30)
		clk.advance(300 * time.Millisecond)
	}
	r, ok := clk.begin(n, c, 9, 30).(Refused)
	if !ok || !r.Committed || r.RetryAfter < 4*time.Second || r.RetryAfter > 4200*time.Millisecond {
		t.Fatalf("%+v, want a refusal until the first program's commitment expires", r)
	}
	if d := clk.begin(n, c, 10, 8); d != (Granted{}) {
		t.Errorf("a program that fits: %+v", d)
	}
	clk.advance(r.RetryAfter)
	if d := clk.begin(n, c, 9, 30); d != (Granted{}) {
		t.Errorf("at the retry time: %+v", d)
	}
}

// Within a window from a restart, the commitments are unknown, and only the share for new programs applies.
func TestRestartedCounterHasNoCommitments(t *testing.T) {
	clk, c := newClock(), customer(20, 0)
	n := startedCounter(clk)
	n.Start(clk.now)
	clk.advance(params.Window - time.Second)
	for program := range uint64(9) {
		if d := clk.begin(n, c, program+1, 33); d != (Granted{}) {
			t.Errorf("program %d: %+v", program, d)
		}
	}
	clk.advance(time.Second)
	if d, ok := clk.begin(n, c, 10, 33).(Refused); !ok || !d.Committed {
		t.Errorf("after a window: %+v, want a refusal", d)
	}
}

// A refused program must not keep smaller ones from asking, but similar ones are refused without a call.
func TestRefusalOfProgramIsCachedByNeed(t *testing.T) {
	clk, c := newClock(), customer(20, 0)
	l := newStubLimiter(func(req *fleetpb.AdmitRequest) *fleetpb.AdmitReply {
		return &fleetpb.AdmitReply{Granted: req.GetNeed() < 30, RetryAfterMs: 900, Committed: true}
	})
	for i, test := range []struct {
		need  float64
		want  Decision
		asked int
	}{
		{33, Refused{RetryAfter: 900 * time.Millisecond, Committed: true}, 1},
		{31, Refused{RetryAfter: 900 * time.Millisecond, Committed: true}, 1},
		{9, Granted{charge{committed: 5}}, 2},
	} {
		if d := l.AdmitProgram(t.Context(), clk.now, c, Request{Program: 5, Need: test.need}, Granted{}); d != test.want || l.asked != test.asked {
			t.Errorf("step %d: %+v after %d calls, want %+v after %d", i, d, l.asked, test.want, test.asked)
		}
	}
}

// New programs must ask control above a quarter of the limit, and below it if the allowance is less than their need.
func TestNewProgramsAskControl(t *testing.T) {
	c := customer(353, 353)
	limit, _ := params.limit(c)
	for _, test := range []struct {
		used, need float64
		asked      int
	}{{0.2, 40, 0}, {0.2, 60, 1}, {0.3, 40, 1}, {0.3, 0, 1}} {
		clk, l := newClock(), newStubLimiter(granted)
		n := startedCounter(clk)
		n.Admit(clk.now, c, uint32(test.used*limit), false)
		l.SetCounts(clk.now, n.Counts(clk.now, func(string) *fleetpb.Customer { return c }))
		l.AdmitProgram(t.Context(), clk.now, c, Request{Need: test.need}, Granted{})
		if l.asked != test.asked {
			t.Errorf("%+v: asked %d times", test, l.asked)
		}
	}
}

// Without control, a first turn must not wait for it twice.
func TestFirstTurnAsksLostControlOnce(t *testing.T) {
	clk, c := newClock(), customer(20, 0)
	l, asked := newStubLimiter(granted), 0
	l.AskControl = func(context.Context, *fleetpb.AdmitRequest) (string, *fleetpb.AdmitReply, error) {
		asked++
		return "", nil, errors.New("timeout")
	}
	g, _ := l.AdmitRequest(t.Context(), clk.now, c, Request{Program: 1}).(Granted)
	if d, ok := l.AdmitProgram(t.Context(), clk.now, c, Request{Program: 1, Need: 9}, g).(Granted); !ok || asked != 1 {
		t.Errorf("%+v after %d calls, want a grant after one", d, asked)
	}
}

// Needs must differ by route, include tool calls, start at today's rule and follow a change within some 10 s.
func TestNeedsAreMeasured(t *testing.T) {
	clk, n := newClock(), &Needs{}
	if got := n.Need(clk.now, "long"); got != 1 {
		t.Errorf("need %v without a measurement, want 1", got)
	}
	for i := range 2200 {
		clk.advance(10 * time.Millisecond)
		n.RecordTurn(clk.now, "long", i%11 == 0, 0)
		if i%4 == 0 {
			n.RecordTurn(clk.now, "short", i%12 == 0, 0)
		}
		n.RecordToolCall(clk.now)
		n.RecordToolCall(clk.now)
	}
	for route, want := range map[string]float64{"long": 11 * 2.6, "short": 3 * 2.6} {
		if got := n.Need(clk.now, route); got < 0.85*want || got > 1.02*want {
			t.Errorf("need %v on route %s, want %v", got, route, want)
		}
	}
	for i := range 100 {
		n.RecordTurn(clk.now.Add(time.Duration(i)*time.Hour), fmt.Sprint("route", i), true, 0)
	}
	if len(n.routes) > 2 {
		t.Errorf("%d routes are kept, want those with recent turns", len(n.routes))
	}
}

// The charge of a refused first turn must be gone at once, wherever it was counted; otherwise a burst of refused programs
// uses up the limit of those in progress.
func TestRefusedProgramIsNotCharged(t *testing.T) {
	for _, mode := range []Mode{Shared{}, Central{}} {
		cl := newCluster(1, mode, customer(20, 0))
		cl.exchange(0)
		for program := range uint64(3) {
			cl.clock.begin(cl.counter, cl.customer, program+1, 30)
		}
		for program := range uint64(40) {
			ask := Request{Program: program + 10, Need: 30}
			g, ok := cl.limiters[0].AdmitRequest(t.Context(), cl.clock.now, cl.customer, ask).(Granted)
			if d, refused := cl.limiters[0].AdmitProgram(t.Context(), cl.clock.now, cl.customer, ask, g).(Refused); !ok || !refused || !d.Committed {
				t.Fatalf("%T: %+v after a charge granted: %v", mode, d, ok)
			}
			cl.exchange(0)
			cl.clock.advance(10 * time.Millisecond)
		}
		if got := cl.counter.Usage(cl.clock.now, cl.customer).Requests; got > 4 {
			t.Errorf("%T: %d requests are counted, 3 ran", mode, got)
		}
	}
}

// A request whose count was removed by a control instance that then could not be heard must be counted again if it runs.
func TestRequestRunsCountedAfterLostRefusal(t *testing.T) {
	clk, c := newClock(), customer(20, 0)
	n := startedCounter(clk)
	n.Process = 7
	for program := range uint64(3) {
		clk.begin(n, c, program+1, 30)
	}
	l := newStubLimiter(granted)
	l.AskControl = func(_ context.Context, req *fleetpb.AdmitRequest) (string, *fleetpb.AdmitReply, error) {
		if _, ok := n.AdmitRequest(clk.now, c, req).(Granted); ok {
			return "control", &fleetpb.AdmitReply{Granted: true, Process: 7}, nil
		}
		return "", nil, errors.New("the reply was lost")
	}
	g, _ := l.AdmitRequest(t.Context(), clk.now, c, Request{Program: 9}).(Granted)
	if d, ok := l.AdmitProgram(t.Context(), clk.now, c, Request{Program: 9, Need: 30}, g).(Granted); !ok {
		t.Fatalf("%+v without control", d)
	}
	if got := l.Admitted("control"); len(got) != 1 || got[0].Requests != 1 || n.Usage(clk.now, c).Requests != 3 {
		t.Errorf("%v to report, %d counted, want one to report beside three", got, n.Usage(clk.now, c).Requests)
	}
}

// A burst of first turns must not make programs look short, nor their later turns make them look long: needs matter most
// in a burst.
func TestNeedsDuringABurst(t *testing.T) {
	const turns, gap, steps = 10, 300 * time.Millisecond, 25 * time.Second / (300 * time.Millisecond)
	clk, n := newClock(), &Needs{}
	r := rand.New(rand.NewPCG(3, 4))
	var ages []int
	for step := range steps {
		clk.advance(gap)
		begun := 0
		if r.Float64() < 0.3 {
			begun = 1
		}
		if step == steps-15 {
			begun = 8
		}
		for range begun {
			ages = append(ages, 0)
		}
		running := ages[:0]
		for _, age := range ages {
			n.RecordTurn(clk.now, "r", age == 0, 14*turns*gap/10)
			if age+1 < turns {
				running = append(running, age+1)
			}
		}
		ages = running
		if got := n.Need(clk.now, "r"); step >= steps-15 && (got < 0.6*turns || got > 1.4*turns) {
			t.Errorf("%v after the burst: need %v, want about %d", time.Duration(step-steps+15)*gap, got, turns)
		}
	}
}

// BenchmarkAdmitProgram measures a decision beside 1,000 commitments.
func BenchmarkAdmitProgram(b *testing.B) {
	clk, c := newClock(), customer(1e6, 0)
	n := startedCounter(clk)
	for program := range uint64(1000) {
		clk.begin(n, c, program+1, 33)
	}
	b.ReportAllocs()
	for b.Loop() {
		if d := clk.begin(n, c, 5000, 1e7); d == (Granted{}) {
			b.Fatal("admitted")
		}
	}
}
