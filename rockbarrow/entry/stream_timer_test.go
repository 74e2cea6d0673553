// SPDX-License-Identifier: MIT

package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/schema/fleetpb"
)

// A client that reads slowly must not make an endpoint look slow, nor must events of an earlier attempt
// make it look fast.
func TestStreamTiming(t *testing.T) {
	type step struct {
		at, written time.Duration
		count       int
	}
	const ms = time.Millisecond
	full := placement.StreamTiming{FirstEvent: 20 * ms, AnswerTokens: 80, DecodedTokens: 60, DecodeTime: 120 * ms}
	tests := []struct {
		name       string
		startCount int
		steps      []step
		want       placement.StreamTiming
	}{
		{"each event alone", 0, []step{{20 * ms, 20 * ms, 1}, {60 * ms, 60 * ms, 2}, {100 * ms, 100 * ms, 3}, {140 * ms, 140 * ms, 4}}, full},
		{"several events at once, and a comment", 0, []step{{10 * ms, 10 * ms, 0}, {20 * ms, 20 * ms, 1}, {140 * ms, 190 * ms, 4}}, full},
		{"resumed", 2, []step{{20 * ms, 20 * ms, 3}, {60 * ms, 60 * ms, 4}}, placement.StreamTiming{FirstEvent: 20 * ms, DecodedTokens: 20, DecodeTime: 40 * ms}},
		{"slow client", 0, []step{{20 * ms, 120 * ms, 1}, {140 * ms, 140 * ms, 4}}, placement.StreamTiming{FirstEvent: 20 * ms, AnswerTokens: 80}},
		{"no event", 0, nil, placement.StreamTiming{}},
	}
	for _, test := range tests {
		sent := time.Unix(100, 0)
		timer, count := streamTimer{sent: sent, startCount: test.startCount}, test.startCount
		for _, s := range test.steps {
			count = s.count
			timer.recordEvents(sent.Add(s.at), count)
			timer.recordWritten(sent.Add(s.written))
		}
		if got := timer.timing(count, 20); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
		if got := timer.timing(count, 0); got != (placement.StreamTiming{}) {
			t.Errorf("%s: %+v for a service without tokens", test.name, got)
		}
	}
}

// The speed of an endpoint must be reported from completed streams only.
func TestDecodingIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		for _, test := range []struct {
			respond func(EndpointRequest) (*Response, error)
			want    bool
		}{{pausedEvents(false), true}, {pausedEvents(true), false}} {
			e := newStreamEntry(t, view, &fakeSender{responses: []func(EndpointRequest) (*Response, error){test.respond}})
			e.Serve(t.Context(), newTurn("plain", "timed", "timed", 50), &fakeWriter{})
			var tokens, micros uint64
			for _, u := range e.EndpointUses() {
				tokens, micros = tokens+u.DecodedTokens, micros+u.DecodeMicros
			}
			if want := map[bool]uint64{true: 6}[test.want]; tokens != want || micros != 50_000*want/3 {
				t.Errorf("complete is %v: %d tokens in %d us", test.want, tokens, micros)
			}
		}
	})
}

// pausedEvents responds with three events of three tokens, 50 ms apart, the last of which may be cut.
func pausedEvents(cut bool) func(EndpointRequest) (*Response, error) {
	return func(EndpointRequest) (*Response, error) {
		read, write := io.Pipe()
		go func() {
			for n := 1; n <= 3; n++ {
				io.WriteString(write, event(n))
				time.Sleep(50 * time.Millisecond)
			}
			if cut {
				io.WriteString(write, "data: cut")
			}
			write.Close()
		}()
		return &Response{Status: 200, Header: http.Header{}, ContentLength: -1, Body: read}, nil
	}
}

// Reports without token times come from older control instances and must be accepted.
func TestTokenTimesMayBeAbsent(t *testing.T) {
	e := newEntry(t, &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, "ok")}})
	e.applyList(singleEndpointList(2, 1000))
	p := e.fleet.Load().Endpoints()[0]
	for _, test := range []struct {
		tokenUS []uint32
		want    uint32
	}{{nil, 0}, {[]uint32{1500}, 1500}, {nil, 1500}, {[]uint32{0}, 1500}} {
		e.ReceiveLoads(&fleetpb.EndpointLoads{ListNumber: 2, Running: []uint32{1}, Failing: []uint32{0}, TokenUs: test.tokenUS})
		if got := p.TokenMicros(); got != test.want {
			t.Errorf("token times %v: %d us, want %d", test.tokenUS, got, test.want)
		}
	}
}

// The tokens of another session must not be taken for those of a new one.
func TestSessionTokens(t *testing.T) {
	var s sessionEndpoints
	x, y := incarnation.ID{EndpointID: "x"}, incarnation.ID{EndpointID: "y"}
	s.record("p", "one", x, 100)
	s.record("p", "two", y, 200)
	for _, test := range []struct {
		program, session string
		endpoint         incarnation.ID
		tokens           uint64
	}{{"p", "one", x, 100}, {"p", "two", y, 200}, {"p", "new", y, 0}, {"p", "", y, 0}, {"q", "one", incarnation.ID{}, 0}} {
		if e, n := s.lookup(test.program, test.session, incarnation.ID{}); e != test.endpoint || n != test.tokens {
			t.Errorf("session %q of %s: %v with %d tokens, want %v with %d", test.session, test.program, e, n, test.endpoint, test.tokens)
		}
	}
	s.record("p", "", x, 300)
	if e, n := s.lookup("p", "", incarnation.ID{}); e != x || n != 300 {
		t.Errorf("the program's own session: %v with %d tokens, want x with 300", e, n)
	}
}

// Counters and log lines must have each run once, and a log line appears every 10 s.
func TestSpeedsAreReported(t *testing.T) {
	e := newEntry(t, &fakeSender{})
	metrics := tally.NewTestScope("", nil)
	var lines strings.Builder
	logger := logrus.New()
	logger.SetOutput(&lines)
	e.Metrics, e.Log = metrics, logrus.NewEntry(logger)
	f := e.fleet.Load()
	var loads []placement.RemoteLoad
	for i, p := range f.Endpoints() {
		loads = append(loads, placement.RemoteLoad{Endpoint: p, TokenMicros: uint32(1000 * (i + 1))})
	}
	now := time.Now()
	f.SetRemoteLoads(now, loads)
	e.reportSpeeds(now)
	req := placement.Request{Class: placement.Class{Service: "s"}, PromptTokens: 100, OutputTokens: 100, NewSession: true}
	req.LastEndpoint = f.Endpoints()[0].Life()
	for i := range 3 {
		c, _ := f.Choose(now, req, newRand())
		c.Done(now, placement.Result{OK: true})
		e.reportSpeeds(now.Add(time.Duration(i+1) * 4 * time.Second))
	}
	if got := metrics.Snapshot().Counters()["runs_stayed+"]; got == nil || got.Value() != 3 {
		t.Errorf("counter runs_stayed is %v, want 3", got)
	}
	if n := strings.Count(lines.String(), "speeds of endpoints"); n != 2 || !strings.Contains(lines.String(), "runs_stayed=3") {
		t.Errorf("%d lines, want 2, the second with 3 runs:\n%s", n, lines.String())
	}
}
