// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/platform/wire"
)

var testTime = time.Unix(1000, 0)

// seconds returns a moment of a test.
func seconds(s float64) time.Time { return testTime.Add(time.Duration(s * float64(time.Second))) }

// lossCase is a request that ended without an answer. Times are in seconds; a negative whole time is a request that was not sent whole.
type lossCase struct {
	name               string
	begun, whole, due  float64
	told, ended        float64
	run, stream, begin bool
	spans              []span
	hangUps            []time.Time
	watchdog           watchdog
	lost               bool
}

var lossCases = []lossCase{
	{name: "run and cut", begun: 10, whole: 10, ended: 17.3, run: true, lost: true},
	{name: "run and cut at once", begun: 10, whole: 10, ended: 10.1, run: true, lost: true},
	{name: "taken but not run", begun: 10, whole: 10, ended: 10.3, lost: true},
	{name: "crosses the end of its connection", begun: 10, whole: 10, ended: 10.2},
	{name: "begun behind a head that said that the connection closes", told: 9.9, begun: 10, whole: 10, ended: 12},
	{name: "run behind such a head", told: 9.9, begun: 10, whole: 10, ended: 12, run: true, lost: true},
	{name: "begun before such a head came", told: 10.1, begun: 10, whole: 10, ended: 12, lost: true},
	{name: "not sent whole", begun: 10, whole: -1, ended: 17},
	{name: "run and cut in a planned stop", begun: 10, whole: 10, ended: 17.3, run: true, spans: []span{{from: seconds(9), to: seconds(18), planned: true}}, lost: true},
	{name: "a fault in progress", begun: 10, whole: 10, ended: 17.3, run: true, spans: []span{{from: seconds(12)}}},
	{name: "a fault before", begun: 10, whole: 10, ended: 17.3, run: true, spans: []span{{from: seconds(6), to: seconds(7.5)}}},
	{name: "a fault long before", begun: 10, whole: 10, ended: 17.3, run: true, spans: []span{{from: seconds(5), to: seconds(6.9)}}, lost: true},
	{name: "a fault later", begun: 10, whole: 10, ended: 17.3, run: true, spans: []span{{from: seconds(17.4)}}, lost: true},
	{name: "a stream cut early in a stop", begun: 10, whole: 10, ended: 13, run: true, stream: true, begin: true, spans: []span{{from: seconds(10), planned: true}}, lost: true},
	{name: "a stream cut late in a stop", begun: 10, whole: 10, ended: 16.7, run: true, stream: true, begin: true, spans: []span{{from: seconds(10), planned: true}}},
	{name: "a stream that has not begun, late in a stop", begun: 10, whole: 10, ended: 16.7, run: true, stream: true, spans: []span{{from: seconds(10), planned: true}}, lost: true},
	{name: "a stream at its limit", begun: 10, whole: 10, ended: 19, run: true, stream: true, begin: true},
	{name: "a stream before its limit, behind another request", begun: 10, whole: 10, due: 13, ended: 19, run: true, stream: true, begin: true,
		spans: []span{{from: seconds(14), planned: true}}, lost: true},
	{name: "a stream around no planned work", begun: 10, whole: 10, ended: 13, run: true, stream: true, begin: true, hangUps: []time.Time{seconds(7.9), seconds(13.1)}},
	{name: "a stream cut after new settings", begun: 10, whole: 10, ended: 13, run: true, stream: true, begin: true, hangUps: []time.Time{seconds(8)}, lost: true},
	{name: "the machine was too busy", begun: 10, whole: 10, ended: 10.6, watchdog: watchdog{stalls: []span{{from: seconds(10.2), to: seconds(11)}}}},
	{name: "the machine was too busy for a part", begun: 10, whole: 10, ended: 10.6, watchdog: watchdog{stalls: []span{{from: seconds(9), to: seconds(10.3)}}}, lost: true},
	{name: "run though the machine was too busy", begun: 10, whole: 10, ended: 10.6, run: true, watchdog: watchdog{stalls: []span{{from: seconds(9), to: seconds(11)}}}, lost: true},
}

// TestALossIsTold guards against a soak that overlooks requests which a planned stop loses, or that reports what other faults cost.
func TestALossIsTold(t *testing.T) {
	for i := range lossCases {
		x := &lossCases[i]
		t.Run(x.name, func(t *testing.T) {
			in := &instance{}
			in.claimed.spans, in.hangUps = x.spans, x.hangUps
			c := &call{instance: in, route: lastingRoutes[0], begun: seconds(x.begun), ended: seconds(x.ended), err: errors.New("EOF")}
			c.ender = c
			if x.stream {
				c.route = lastingRoutes[len(lastingRoutes)-1]
			}
			if x.begin {
				c.status = http.StatusOK
			}
			if x.whole >= 0 {
				c.whole = seconds(x.whole)
			}
			if x.told > 0 {
				c.told = seconds(x.told)
			}
			if x.due > 0 {
				c.due = seconds(x.due)
			}
			if got := c.loss(x.run, &x.watchdog); (got != "") != x.lost {
				t.Errorf("loss %q, want one: %v", got, x.lost)
			}
		})
	}
}

// TestCallersSendAllOfTheirRequests guards against pieces of requests that leave bytes out, or never tell that a request is whole.
func TestCallersSendAllOfTheirRequests(t *testing.T) {
	for seed := range uint64(200) {
		c := &caller{entry: &instance{}, r: rand.New(rand.NewPCG(seed, 0))}
		w := c.draw(nil)
		text, took := "", time.Duration(0)
		begun, whole := map[*call]bool{}, map[*call]bool{}
		for _, p := range w.pieces {
			text, took = text+p.text, took+p.after
			for _, x := range p.begun {
				begun[x] = true
			}
			for _, x := range p.whole {
				whole[x] = true
			}
		}
		requests, last := readRequests(t, text)
		if requests != len(w.calls) || len(begun) != requests || len(whole) != requests || last != w.calls[requests-1].id {
			t.Errorf("seed %d: %d requests are sent, %d begun and %d whole of %d, the last one %q", seed, requests, len(begun), len(whole), len(w.calls), last)
		}
		if took > mostSending {
			t.Errorf("seed %d: the requests are sent in %v", seed, took)
		}
	}
}

// readRequests returns the number of requests in a text, which holds nothing else, and the id of the last one.
func readRequests(t *testing.T, text string) (n int, last string) {
	r := bufio.NewReader(strings.NewReader(text))
	for {
		if _, err := r.Peek(1); err != nil {
			return n, last
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		n, last = n+1, req.Header.Get(wire.RequestID)
	}
}
