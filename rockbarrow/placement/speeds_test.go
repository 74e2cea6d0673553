// SPDX-License-Identifier: MIT

package placement

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/configpb"
)

// timedFleet returns 24 endpoints with 6 slots. The token times are given in turn; the first
// two thirds get the first one.
func timedFleet(now time.Time, fast, slow uint32) *Fleet {
	var list []*configpb.Endpoint
	for k := range 24 {
		name := fmt.Sprintf("e%02d", k)
		list = append(list, &configpb.Endpoint{Name: name, Domain: string(rune('a' + k%3)), Service: "s", MaxCalls: 6, Address: name})
	}
	f := NewServiceFleet(now, listed(list), Spread, nil)
	f.SetWindowStart(0)
	report(f, now, fast, slow, nil)
	return f
}

// report applies a report with the given calls of other instances, by endpoint.
func report(f *Fleet, now time.Time, fast, slow uint32, running map[string]uint32) {
	var loads []RemoteLoad
	for k, e := range f.Endpoints() {
		l := RemoteLoad{Endpoint: e, TokenMicros: fast, Running: running[e.Name()]}
		if k >= 16 {
			l.TokenMicros = slow
		}
		loads = append(loads, l)
	}
	f.SetRemoteLoads(now, loads)
}

func timedRequest(last string) Request {
	return Request{Class: Class{Service: "s"}, Domain: "a", PromptTokens: 3000, OutputTokens: 150, LastEndpoint: incarnation.ID{EndpointID: last}}
}

// Slow endpoints with free slots must not get calls while fast ones have room, but must get some
// under load.
func TestFastEndpointsAreFilledFirst(t *testing.T) {
	now, r := time.Unix(100, 0), rand.New(rand.NewPCG(1, 1))
	f := timedFleet(now, 1300, 3200)
	slow := 0
	for i := range 110 {
		c, ok := f.Choose(now, timedRequest(""), r)
		if !ok {
			t.Fatal("no endpoint was chosen")
		}
		if c.Endpoint().tokens.micros.Load() == 3200 {
			slow++
		}
		if i == 47 && slow > 2 {
			t.Errorf("%d of 48 calls are at slow endpoints while a third of the slots is in use", slow)
		}
	}
	if slow < 10 || slow > 40 {
		t.Errorf("%d of 110 calls are at slow endpoints, want some of the load", slow)
	}
}

// A new session must leave an endpoint where it would wait, and only such a one. A session in
// progress must stay whatever the load.
func TestNewSessionLeavesAQueue(t *testing.T) {
	now, r := time.Unix(100, 0), rand.New(rand.NewPCG(1, 1))
	f := timedFleet(now, 1300, 3200)
	for _, test := range []struct {
		running uint32
		last    string
		moves   bool
	}{{0, "e05", false}, {3, "e05", false}, {9, "e05", true}, {0, "e20", true}} {
		report(f, now, 1300, 3200, map[string]uint32{test.last: test.running})
		for _, newSession := range []bool{true, false} {
			req := timedRequest(test.last)
			req.NewSession = newSession
			c, _ := f.Choose(now, req, r)
			c.Done(now, Result{OK: true})
			if got, want := c.Endpoint().Name() != test.last, test.moves && newSession; got != want {
				t.Errorf("%d calls at %s, new session %v: it moves is %v, want %v", test.running, test.last, newSession, got, want)
			}
		}
	}
	// Elsewhere each endpoint is more than a third full.
	busy := map[string]uint32{"e05": 9}
	for _, e := range f.Endpoints() {
		if e.Name() != "e05" {
			busy[e.Name()] = 3
		}
	}
	report(f, now, 1300, 3200, busy)
	crowded := timedRequest("e05")
	crowded.NewSession = true
	if c, _ := f.Choose(now, crowded, r); c.Endpoint().Name() != "e05" {
		t.Error("a new session moved under load")
	}
	// A long prompt that is nearly all cached costs more to compute again than a queue does.
	report(f, now, 1300, 3200, map[string]uint32{"e05": 5})
	long := timedRequest("e05")
	long.PromptTokens, long.LastTokens, long.NewSession = 30_000, 29_900, true
	if c, _ := f.Choose(now, long, r); c.Endpoint().Name() != "e05" {
		t.Error("the run left its cached prompt")
	}
	if s := f.classes[long.Class].speeds; s.moved.Load() != 2 || s.stayed.Load() != 4 {
		t.Errorf("%d runs moved and %d stayed, want 2 and 4", s.moved.Load(), s.stayed.Load())
	}
}

// Sub-agents start at their parent's endpoint, which must not get all of them.
func TestSubAgentsSpread(t *testing.T) {
	now, r := time.Unix(100, 0), rand.New(rand.NewPCG(1, 1))
	f := timedFleet(now, 1300, 3200)
	report(f, now, 1300, 3200, map[string]uint32{"e05": 2})
	for range 5 {
		req := timedRequest("e05")
		req.NewSession = true
		f.Choose(now, req, r)
	}
	if n := f.Endpoint("e05").InFlight(); n < 1 || n > 3 {
		t.Errorf("%d of 5 sub-agents are at their parent's endpoint, want 1 to 3", n)
	}
}

// New sessions of a program must not move back and forth between endpoints that are equally fast, where their prompts
// would be computed again. Sessions in progress never move.
func TestNewSessionsDoNotFlap(t *testing.T) {
	now, r := time.Unix(100, 0), rand.New(rand.NewPCG(1, 1))
	f := timedFleet(now, 1300, 3200)
	last, moves := "e01", 0
	for range 300 {
		running := map[string]uint32{}
		for k := range 16 {
			running[fmt.Sprintf("e%02d", k)] = uint32(1 + r.IntN(3))
		}
		report(f, now, 1300, 3200, running)
		req := timedRequest(last)
		req.NewSession = true
		c, _ := f.Choose(now, req, r)
		c.Done(now, Result{OK: true})
		if c.Endpoint().Name() != last {
			moves++
		}
		last = c.Endpoint().Name()
	}
	if moves > 3 {
		t.Errorf("%d of 300 new sessions moved", moves)
	}
}

// Ten instances with the same report must not all choose the endpoint that it shows as best.
func TestStaleTokenTimesCauseNoHerding(t *testing.T) {
	now := time.Unix(100, 0)
	count, highest := map[string]int{}, 0
	for i := range 10 {
		f := timedFleet(now, 1300, 3200)
		f.SetWindowStart(uint64(i))
		f.Endpoint("e00").tokens.micros.Store(600)
		c, _ := f.Choose(now, timedRequest(""), rand.New(rand.NewPCG(uint64(i), 1)))
		count[c.Endpoint().Name()]++
		highest = max(highest, count[c.Endpoint().Name()])
	}
	if highest > 5 {
		t.Errorf("calls %v, want at most 5 of 10 at any endpoint", count)
	}
}

// A new incarnation must not have the token time of the old one.
func TestNewIncarnationHasTheMedianTokenTime(t *testing.T) {
	now := time.Unix(100, 0)
	f := NewServiceFleet(now, startedAt(3, 1000), Spread, nil)
	var loads []RemoteLoad
	for i, e := range f.Endpoints() {
		loads = append(loads, RemoteLoad{Endpoint: e, TokenMicros: uint32(1000 * (i + 1))})
	}
	f.SetRemoteLoads(now, loads)
	f = f.Next(now, startedAt(1, 2000), nil)
	s := f.classes[Class{Service: "s"}].speeds
	estimate, ok := s.estimate(Request{OutputTokens: 200})
	if got := estimate.micros(f.Endpoint("e0000"), 0, 0); !ok || got != 100*2000 {
		t.Errorf("expected time %v us, want that of 100 tokens at the median of 2000 us", got)
	}
	f.SetRemoteLoads(now, nil)
	if n := s.known.Load(); n != 2 {
		t.Errorf("%d token times are known, want 2", n)
	}
}

// Expected times must be used only while endpoints are known to differ, without toggling in between.
func TestUnevenSpeedsHaveHysteresis(t *testing.T) {
	now := time.Unix(100, 0)
	f := timedFleet(now, 1000, 1000)
	for _, test := range []struct {
		slow   uint32
		uneven bool
	}{{1400, false}, {1500, true}, {1400, true}, {1300, false}, {1400, false}} {
		report(f, now, 1000, test.slow, nil)
		if got := f.classes[Class{Service: "s"}].speeds.uneven.Load(); got != test.uneven {
			t.Errorf("slow endpoints take %d us: uneven is %v, want %v", test.slow, got, test.uneven)
		}
	}
}

// The first token times, after a start for instance, must not decide on the choice among endpoints that are not known yet.
func TestFewKnownTokenTimesChangeNoChoice(t *testing.T) {
	now := time.Unix(100, 0)
	f := timedFleet(now, 0, 0)
	s := f.classes[Class{Service: "s"}].speeds
	for known := range 8 {
		var loads []RemoteLoad
		for k, e := range f.Endpoints()[:known] {
			loads = append(loads, RemoteLoad{Endpoint: e, TokenMicros: uint32(1000 * (1 + k%2))})
		}
		f.SetRemoteLoads(now, loads)
		if got, want := s.uneven.Load(), known >= 6; got != want {
			t.Errorf("%d of 24 token times are known: uneven is %v, want %v", known, got, want)
		}
	}
}

// An endpoint without samples must be tried again, but a loss of reports must change nothing.
func TestUnsampledEndpointMovesToTheMedian(t *testing.T) {
	now := time.Unix(100, 0)
	f := timedFleet(now, 1000, 3000)
	slow := &f.Endpoint("e20").tokens.micros
	fast := RemoteLoad{Endpoint: f.Endpoint("e01"), TokenMicros: 1000}
	for range 10 {
		now = now.Add(time.Minute)
		f.SetRemoteLoads(now, []RemoteLoad{fast})
	}
	if got := slow.Load(); got != 3000 {
		t.Errorf("%d us after lost reports, want 3000", got)
	}
	for i := 1; i <= 20; i++ {
		now = now.Add(time.Second)
		f.SetRemoteLoads(now, []RemoteLoad{fast})
		want := map[int]uint32{0: 3000, 1: 2000, 2: 1500}[i/int(unsampledPeriod.Seconds())]
		if got := slow.Load(); got != want {
			t.Errorf("%d us after %d s without samples, want %d", got, i, want)
		}
	}
	if s := f.classes[Class{Service: "s"}].speeds; !s.uneven.Load() {
		t.Error("endpoints count as equally fast because slow ones get no calls")
	}
}

// An endpoint whose limits change must keep its measured token time among the known ones, and still move to the median;
// otherwise a slow one that gets no calls stays slow for ever.
func TestChangedEndpointKeepsItsTokenTime(t *testing.T) {
	now := time.Unix(100, 0)
	f := timedFleet(now, 1000, 3000)
	cfg := proto.Clone(f.Endpoint("e20").Config()).(*configpb.Endpoint)
	cfg.MaxCalls = 8
	f = f.Next(now, []ListedEndpoint{{Config: cfg}}, nil)
	for range 10 {
		now = now.Add(time.Second)
		f.SetRemoteLoads(now, []RemoteLoad{{Endpoint: f.Endpoint("e01"), TokenMicros: 1000}})
	}
	if got, unchanged := f.Endpoint("e20").TokenMicros(), f.Endpoint("e21").TokenMicros(); got != 2000 || got != unchanged {
		t.Errorf("%d us after 10 s without samples, and %d us at an unchanged endpoint, want 2000", got, unchanged)
	}
	if n := f.classes[Class{Service: "s"}].speeds.known.Load(); n != 24 {
		t.Errorf("%d token times are known, want 24", n)
	}
}

func TestPrefillFit(t *testing.T) {
	var p, falling, constant prefillFit
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 200 {
		if i == minPrefillSamples-1 && p.microsPerToken() != defaultPromptMicros {
			t.Error("the fit is used with too few samples")
		}
		tokens := int64(1000 + r.IntN(5000))
		p.add(tokens, time.Duration(40_000+5*tokens+int64(r.IntN(4000)))*time.Microsecond)
		falling.add(tokens, time.Duration(40_000-5*tokens)*time.Microsecond)
		constant.add(2000, time.Duration(r.IntN(9000))*time.Microsecond)
	}
	if got := p.microsPerToken(); math.Abs(got-5) > 0.5 {
		t.Errorf("%v us per token, want 5", got)
	}
	if falling.microsPerToken() != 0 || constant.microsPerToken() != defaultPromptMicros {
		t.Errorf("%v and %v us per token, want 0 and the default", falling.microsPerToken(), constant.microsPerToken())
	}
}

// choicesOf returns a digest of the endpoints chosen in a random sequence of calls.
func choicesOf(f *Fleet, now time.Time) uint64 {
	r, digest := rand.New(rand.NewPCG(3, 3)), fnv.New64a()
	var running []Choice
	for range 3000 {
		e := f.Endpoints()[r.IntN(24)]
		e.setRemoteLoad(now, uint32(r.IntN(9)), uint32(max(0, r.IntN(40)-25)))
		req := Request{Class: Class{Service: "s"}, Domain: string(rune('a' + r.IntN(3))), PromptTokens: int64(r.IntN(2)) * 2000}
		if r.IntN(2) == 0 {
			req.LastEndpoint.EndpointID = f.Endpoints()[r.IntN(24)].Name()
		}
		if r.IntN(8) == 0 {
			req.AvoidDomains = []string{"b"}
		}
		if c, ok := f.Choose(now, req, r); ok {
			running = append(running, c)
			digest.Write([]byte(c.Endpoint().Name()))
		}
		if len(running) > 90 {
			i := r.IntN(len(running))
			running[i].Endpoint().Done(now, Result{OK: true})
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
		}
	}
	return digest.Sum64()
}

// With equal speeds, choices must be those of the version before speeds were measured.
func TestEvenSpeedsChangeNoChoice(t *testing.T) {
	const before = 0x84ed56dd9c66931f
	now := time.Unix(100, 0)
	if got := choicesOf(timedFleet(now, 1000, 1100), now); got != before {
		t.Errorf("digest %#x, want %#x", got, uint64(before))
	}
	if got := choicesOf(timedFleet(now, 1000, 2000), now); got == before {
		t.Error("uneven speeds change no choice either")
	}
}

// BenchmarkSpreadTimed is [BenchmarkSpread] with uneven speeds, also with a queue at the last endpoint
// and with no free slot anywhere.
func BenchmarkSpreadTimed(b *testing.B) {
	now := time.Unix(100, 0)
	for _, test := range []struct {
		name string
		last incarnation.ID
		load uint32
	}{{"new", incarnation.ID{}, 0}, {"stays", incarnation.ID{EndpointID: "e0500", StartMS: 1000}, 0}, {"moves", incarnation.ID{EndpointID: "e0501", StartMS: 1000}, 0}, {"full", incarnation.ID{}, 70}} {
		b.Run(test.name, func(b *testing.B) {
			f, r := NewServiceFleet(time.Time{}, startedAt(1000, 1000), Spread, nil), rand.New(rand.NewPCG(1, 1))
			var loads []RemoteLoad
			for i, e := range f.Endpoints() {
				loads = append(loads, RemoteLoad{Endpoint: e, Running: test.load, TokenMicros: uint32(1300 + i%2*1900)})
			}
			f.SetRemoteLoads(now, loads)
			f.Endpoint("e0501").setRemoteLoad(now, 90, 0)
			req := Request{Class: Class{Service: "s"}, Domain: "1", PromptTokens: 2000, OutputTokens: 150, LastEndpoint: test.last, NewSession: test.name == "moves"}
			b.ReportAllocs()
			for b.Loop() {
				c, ok := f.Choose(now, req, r)
				if !ok {
					b.Fatal("no free slot")
				}
				c.Done(now, Result{OK: true})
			}
		})
	}
}

// Without reports all instances would send their calls to the same fast endpoints.
func TestLostReportsEndTheChoiceByTime(t *testing.T) {
	now, r := time.Unix(100, 0), rand.New(rand.NewPCG(1, 1))
	for _, test := range []struct {
		after       time.Duration
		least, most int
	}{{remoteStateTTL - time.Millisecond, 0, 2}, {remoteStateTTL, 8, 24}} {
		f, slow := timedFleet(now, 1300, 3200), 0
		for range 48 {
			if c, _ := f.Choose(now.Add(test.after), timedRequest(""), r); c.Endpoint().tokens.micros.Load() == 3200 {
				slow++
			}
		}
		if slow < test.least || slow > test.most {
			t.Errorf("%v after the last report %d of 48 calls are at slow endpoints, want %d to %d", test.after, slow, test.least, test.most)
		}
	}
}
