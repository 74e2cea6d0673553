// SPDX-License-Identifier: MIT

package confighistory

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// run builds requests and changes, one after another, under the clock of the test.
type run struct {
	h *History
}

const (
	slow  = 600 * time.Millisecond
	limit = 150 * time.Millisecond
)

var (
	routed  = Behaviour{Services: []string{"tools"}}
	moved   = Behaviour{Services: []string{"others"}}
	limited = Behaviour{Services: []string{"slow"}, Takes: slow, Limit: limit}
)

// change sends a version that changes a path, and acknowledges it.
func (r *run) change(version uint64, path string, b Behaviour) {
	r.send(version, path, b)
	r.h.Changes.Acknowledge(version)
}

func (r *run) send(version uint64, path string, b Behaviour) {
	r.h.Changes.Send(version, map[string]Behaviour{path: b})
}

// ask adds an undisturbed request that takes a time.
func (r *run) ask(path string, status int, service string, took time.Duration) {
	r.askAt("e", 1, path, status, service, took)
}

func (r *run) askAt(instance string, life int, path string, status int, service string, took time.Duration) {
	sent := time.Now()
	time.Sleep(took)
	r.h.AddAnswer(Answer{
		Instance: instance, Life: life, Whole: true, Undisturbed: true, Controlled: true, Listed: true, Path: path, Sent: sent,
		Response: Response{Status: status, Service: service, Took: took},
	})
}

func (r *run) repeat(n int, f func()) {
	for range n {
		f()
	}
}

// TestEachBrokenPromiseOnRequestsIsSeen guards against a judge that passes over a promise on how requests are handled under changes, or
// that condemns what may happen.
func TestEachBrokenPromiseOnRequestsIsSeen(t *testing.T) {
	const ms = time.Millisecond
	ok := func(r *run, n int) { r.repeat(n, func() { r.ask("/first/", 200, "tools", ms) }) }
	late := func(r *run, n int) { r.repeat(n, func() { r.ask("/l/", 504, "", limit+501*ms) }) }
	inTime := func(r *run, n int) { r.repeat(n, func() { r.ask("/l/", 504, "", limit+500*ms) }) }
	for _, test := range []struct {
		name string
		do   func(r *run)
		want string
	}{
		{"a route of all configurations is dropped", func(r *run) { r.ask("/first/", 404, "", ms) }, "404 for a route of all"},
		{"an old version in time", func(r *run) {
			r.change(1, "/a/", routed)
			r.change(2, "/a/", moved)
			time.Sleep(ApplyWithin - ms)
			r.ask("/a/", 200, "tools", ms)
		}, ""},
		{"an old version too late: run by the old service", func(r *run) {
			r.change(1, "/a/", routed)
			r.change(2, "/a/", moved)
			time.Sleep(ApplyWithin + ms)
			r.ask("/a/", 200, "tools", ms)
		}, "after the acknowledgement of version 2"},
		{"too late: run with a dropped route", func(r *run) {
			r.change(1, "/a/", routed)
			r.change(2, "/a/", Behaviour{})
			time.Sleep(ApplyWithin + ms)
			r.ask("/a/", 200, "tools", ms)
		}, "after the acknowledgement of version 2"},
		{"too late: refused though the route is there", func(r *run) {
			r.change(1, "/a/", routed)
			time.Sleep(ApplyWithin + ms)
			r.ask("/a/", 404, "", ms)
		}, "after the acknowledgement of version 1"},
		{"too late: a limit of bodies", func(r *run) {
			r.change(1, "/a/", Behaviour{Services: []string{"tools"}, Tight: true})
			time.Sleep(ApplyWithin + ms)
			r.ask("/a/", 200, "tools", ms)
		}, "after the acknowledgement of version 1"},
		{"too late, but not acknowledged", func(r *run) {
			r.change(1, "/a/", routed)
			r.send(2, "/a/", moved)
			time.Sleep(2 * ApplyWithin)
			r.ask("/a/", 200, "tools", ms)
		}, ""},
		{"a version that was sent during the request", func(r *run) {
			r.change(1, "/a/", routed)
			time.Sleep(ApplyWithin + ms)
			sent := time.Now()
			r.send(2, "/a/", moved)
			time.Sleep(ms)
			r.h.AddAnswer(Answer{Instance: "e", Whole: true, Path: "/a/", Sent: sent, Response: Response{Status: 200, Service: "others", Took: ms}})
		}, ""},
		{"a process goes back", func(r *run) {
			r.change(1, "/a/", routed)
			r.send(2, "/a/", moved)
			r.ask("/a/", 200, "others", ms)
			time.Sleep(rollbackSlack + ms)
			r.ask("/a/", 200, "tools", ms)
		}, "after the effect of version 2"},
		{"a process goes back at once", func(r *run) {
			r.change(1, "/a/", routed)
			r.send(2, "/a/", moved)
			r.ask("/a/", 200, "others", ms)
			r.ask("/a/", 200, "tools", ms)
		}, ""},
		{"the next process has an older version", func(r *run) {
			r.change(1, "/a/", routed)
			r.send(2, "/a/", moved)
			r.ask("/a/", 200, "others", ms)
			time.Sleep(rollbackSlack + ms)
			r.askAt("e", 2, "/a/", 200, "tools", ms)
		}, ""},
		{"a process goes back on another path", func(r *run) {
			r.change(1, "/b/", routed)
			r.send(2, "/a/", moved)
			r.send(3, "/b/", moved)
			r.ask("/b/", 200, "others", ms)
			time.Sleep(rollbackSlack + ms)
			r.ask("/a/", 404, "", ms)
		}, "after the effect of version 3"},
		{"both of two configurations are obeyed", func(r *run) {
			contested := Behaviour{Services: []string{"tools"}, Contested: true}
			r.h.Changes.Send(1, map[string]Behaviour{"/a/": contested, "/b/": contested})
			r.ask("/a/", 200, "tools", ms)
			r.ask("/b/", 404, "", ms)
			r.askAt("f", 1, "/b/", 200, "tools", ms)
		}, "of two configurations of version 1"},
		{"one of two configurations is obeyed", func(r *run) {
			contested := Behaviour{Services: []string{"tools"}, Contested: true}
			r.h.Changes.Send(1, map[string]Behaviour{"/a/": contested, "/b/": contested})
			r.ask("/a/", 200, "tools", ms)
			r.askAt("f", 1, "/b/", 404, "", ms)
		}, ""},
		{"added routes are not served", func(r *run) {
			r.change(1, "/a/", routed)
			time.Sleep(ApplyWithin + ms)
			ok(r, 20)
			r.repeat(4, func() { r.ask("/a/", 200, "tools", ms) })
			r.repeat(16, func() { r.ask("/a/", 503, "", ms) })
		}, "4 of 20 requests on added routes"},
		{"added routes are not served by several together", func(r *run) {
			r.change(1, "/a/", routed)
			time.Sleep(ApplyWithin + ms)
			ok(r, 20)
			for i := range 20 {
				r.askAt(fmt.Sprint("e", i), 1, "/a/", 503, "", ms)
			}
		}, "all instances together: 0 of 20 requests on added routes"},
		{"added routes are not served while the list is not", func(r *run) {
			r.change(1, "/a/", routed)
			time.Sleep(ApplyWithin + ms)
			ok(r, 20)
			r.repeat(20, func() {
				r.h.AddAnswer(Answer{Instance: "e", Whole: true, Undisturbed: true, Path: "/a/", Sent: time.Now(), Response: Response{Status: 503}})
			})
		}, ""},
		{"added routes are served", func(r *run) {
			r.change(1, "/a/", routed)
			time.Sleep(ApplyWithin + ms)
			ok(r, 20)
			r.repeat(5, func() { r.ask("/a/", 200, "tools", ms) })
			r.repeat(15, func() { r.ask("/a/", 503, "", ms) })
		}, ""},
		{"added routes and the first are not served", func(r *run) {
			r.change(1, "/a/", routed)
			time.Sleep(ApplyWithin + ms)
			r.ask("/first/", 200, "tools", ms)
			r.repeat(19, func() { r.ask("/first/", 503, "", ms) })
			r.ask("/a/", 200, "tools", ms)
			r.repeat(39, func() { r.ask("/a/", 503, "", ms) })
		}, ""},
		{"too few requests on added routes", func(r *run) {
			r.change(1, "/a/", routed)
			time.Sleep(ApplyWithin + ms)
			ok(r, 20)
			r.repeat(19, func() { r.ask("/a/", 503, "", ms) })
		}, ""},
		{"one request without an answer half a second after its limit", func(r *run) {
			r.change(1, "/l/", limited)
			time.Sleep(ApplyWithin + ms)
			late(r, 1)
		}, "1 of 1 requests had no answer"},
		{"half of the requests", func(r *run) {
			r.change(1, "/l/", limited)
			time.Sleep(ApplyWithin + ms)
			late(r, 5)
			inTime(r, 5)
		}, ""},
		{"over a quarter of the requests, eight", func(r *run) {
			r.change(1, "/l/", limited)
			time.Sleep(ApplyWithin + ms)
			late(r, 8)
			inTime(r, 23)
		}, "8 of 31 requests had no answer"},
		{"over a quarter of the requests, seven", func(r *run) {
			r.change(1, "/l/", limited)
			time.Sleep(ApplyWithin + ms)
			late(r, 7)
			inTime(r, 10)
		}, ""},
		{"a quarter of the requests", func(r *run) {
			r.change(1, "/l/", limited)
			time.Sleep(ApplyWithin + ms)
			late(r, 8)
			inTime(r, 24)
		}, ""},
		{"a late answer while the client did not run", func(r *run) {
			r.change(1, "/l/", limited)
			time.Sleep(ApplyWithin + ms)
			r.h.AddAnswer(Answer{
				Instance: "e", Whole: true, Undisturbed: true, Path: "/l/", Sent: time.Now(), Stalled: 2 * ms,
				Response: Response{Status: http.StatusGatewayTimeout, Took: limit + 501*ms},
			})
		}, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := &run{h: &History{Changes: Changes{First: "/first/", Slow: slow}}}
			test.do(r)
			v := r.h.Judge(time.Minute)
			got := strings.Join(v.Violations, "\n")
			if (test.want == "") != (got == "") || !strings.Contains(got, test.want) {
				t.Errorf("%s: %q, want %q", test.name, got, test.want)
			}
		})
	}
}
