// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// lastingService is the service of requests that take long, lastingTime the time that its endpoints take, and lastingLimit the time
	// limit of its routes in ms.
	lastingService = "lasting"
	lastingTime    = 3 * time.Second
	lastingLimit   = 5000
)

// stopFleet starts eight entry instances, with routes whose requests take long.
func stopFleet(t *testing.T) *fleet {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 2, Domains: 4, NoCustomers: true})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	for i := range f.domains {
		e := f.newEndpoint(fmt.Sprint(lastingService, "-", i), lastingService, fmt.Sprint("domain-", i))
		e.ServiceTime = lastingTime
		if err := f.startFresh(e); err != nil {
			t.Fatal(err)
		}
	}
	route := func(path string, kind fleetpb.RouteKind, attempts uint32) *fleetpb.Route {
		return &fleetpb.Route{
			Name: path, Host: host, Prefix: path, Kind: kind, TimeoutMs: lastingLimit, ObjectiveMs: 200, MaxAttempts: attempts,
			Shares: []*fleetpb.Share{{Service: lastingService, Weight: 1}},
		}
	}
	f.extraServices = []*fleetpb.Service{{Name: lastingService, MaxConnections: 300}}
	f.extraRoutes = []*fleetpb.Route{
		route("/lasting-once/", fleetpb.RouteKind_ROUTE_KIND_ONCE, 1), route("/lasting-repeat/", fleetpb.RouteKind_ROUTE_KIND_REPEATABLE, 2),
	}
	if err := f.deploy(t.Context()); err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	f.awaitServed(t, client, f.routes.live[len(f.routes.live)-1])
	<-time.After(settleTime)
	return f
}

// lastingConn is a connection to an entry instance.
type lastingConn struct {
	t    *testing.T
	f    *fleet
	conn net.Conn
	r    *bufio.Reader
}

func (f *fleet) connect(t *testing.T, e *instance) *lastingConn {
	c := connect(t, e)
	return &lastingConn{t: t, f: f, conn: c, r: bufio.NewReader(c)}
}

func (c *lastingConn) write(s string) {
	// What is not delivered gets no answer, which the test reports.
	io.WriteString(c.conn, s)
}

// readAnswer reads the answer to a request. It must be whole and, if it says that the request is not run, true.
func (c *lastingConn) readAnswer(id string) string {
	c.conn.SetReadDeadline(time.Now().Add(2 * grace * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return fmt.Sprintf("no answer (%v)", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return fmt.Sprintf("status %d, not whole: %v", resp.StatusCode, err)
	case resp.StatusCode == http.StatusOK && string(body) != standin.ExpectedAnswer(id):
		return fmt.Sprintf("status %d, body %q", resp.StatusCode, body)
	case resp.StatusCode == http.StatusServiceUnavailable:
		c.f.ledger.RecordRefusal(id)
	}
	return fmt.Sprint("status ", resp.StatusCode)
}

// stopping is a planned stop of one instance.
type stopping struct {
	f     *fleet
	e     *instance
	start time.Time
	ended chan struct{}
}

func (f *fleet) stopEntry(e *instance) *stopping {
	s := &stopping{f: f, e: e, start: time.Now(), ended: make(chan struct{})}
	e.expectEnd()
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	e.signal(syscall.SIGTERM)
	go func() {
		defer close(s.ended)
		<-exited
	}()
	return s
}

// at waits until some time after the signal.
func (s *stopping) at(d time.Duration) { <-time.After(time.Until(s.start.Add(d))) }

// checkEnd fails the test if the process is still there at the end of the grace period.
func (s *stopping) checkEnd(t *testing.T) {
	t.Helper()
	select {
	case <-s.ended:
		t.Logf("%s ended %v after the signal", s.e.plan.Instance, time.Since(s.start))
	case <-time.After(time.Until(s.start.Add(grace * time.Second))):
		t.Errorf("%s is still there at the end of the grace period", s.e.plan.Instance)
	}
}

// TestLateRequestsAreAnsweredInAPlannedStop guards against requests that a stopping instance takes although they can't end within its
// grace period, and cuts off without an answer after an endpoint has run them.
func TestLateRequestsAreAnsweredInAPlannedStop(t *testing.T) {
	f := stopFleet(t)
	var running sync.WaitGroup
	for i, path := range []string{"/lasting-once/", "/lasting-repeat/"} {
		e := f.entries[i]
		var conns []*lastingConn
		completions := []float64{1, 2, 2.4, 3, 4, 5, 6, 7}
		for range completions {
			conns = append(conns, f.connect(t, e))
		}
		s := f.stopEntry(e)
		for n, after := range completions {
			running.Go(func() {
				c, id := conns[n], fmt.Sprintf("late-%d-%d", i, n)
				request := standin.RawRequest("POST", host, path+"x", id, "a body of "+id, path == "/lasting-repeat/")
				s.at(min(time.Second, time.Duration(after*float64(time.Second))))
				c.write(request[:len(request)-5])
				s.at(time.Duration(after * float64(time.Second)))
				c.write(request[len(request)-5:])
				answer := c.readAnswer(id)
				t.Logf("%s, whole %v s after the signal: %s after %v, run %v", path, after, answer, time.Since(s.start), f.ledger.HasRun(id))
				switch answer {
				case "status 200", "status 502", "status 503", "status 504":
				default:
					t.Errorf("%s, whole %v s after the signal: %s, run %v", path, after, answer, f.ledger.HasRun(id))
				}
			})
		}
		running.Go(func() { s.checkEnd(t) })
	}
	running.Wait()
	reportAll(t, f)
}

// TestRequestsBehindOthersAreAnsweredInAPlannedStop guards against a stopping instance that throws away what a client has sent behind
// another request, and with a reset perhaps also the answer before it.
func TestRequestsBehindOthersAreAnsweredInAPlannedStop(t *testing.T) {
	f := stopFleet(t)
	e := f.entries[0]
	first := []float64{-2.5, -2, -1.5, -1, -0.5, 0.2, 0.5, 1, 1.5}
	var conns []*lastingConn
	for range first {
		conns = append(conns, f.connect(t, e))
	}
	start := time.Now().Add(3 * time.Second)
	var s *stopping
	signalled := make(chan struct{})
	time.AfterFunc(time.Until(start), func() { s = f.stopEntry(e); close(signalled) })
	var running sync.WaitGroup
	for n, at := range first {
		running.Go(func() {
			c, id := conns[n], fmt.Sprint("first-", n)
			behind := fmt.Sprint("behind-", n)
			<-time.After(time.Until(start.Add(time.Duration(at * float64(time.Second)))))
			one := standin.RawRequest("POST", host, "/lasting-once/x", id, id, false)
			other := standin.RawRequest("GET", host, firstRoute+"x", behind, "", true)
			if n%2 == 0 {
				// Both come in one segment.
				c.write(one + other)
			} else {
				c.write(one)
				<-time.After(500 * time.Millisecond)
				c.write(other)
			}
			sent := time.Now()
			answer := c.readAnswer(id)
			waited := time.Since(sent)
			next := c.readAnswer(behind)
			<-signalled
			t.Logf("first at %v s: %s, behind it %v before that: %s, run %v", at, answer, waited, next, f.ledger.HasRun(behind))
			if answer != "status 200" {
				t.Errorf("first at %v s: %s", at, answer)
			}
			if waited > lossSlack && next != "status 200" && next != "status 503" {
				t.Errorf("first at %v s, behind it: %s, run %v", at, next, f.ledger.HasRun(behind))
			}
		})
	}
	<-signalled
	s.checkEnd(t)
	running.Wait()
	reportAll(t, f)
}

// TestFirstRequestsOnOpenConnectionsAreAnsweredInAPlannedStop guards against a stopping instance that closes a connection on which it
// reads a first request, which its client can't tell from one that was run.
func TestFirstRequestsOnOpenConnectionsAreAnsweredInAPlannedStop(t *testing.T) {
	f := stopFleet(t)
	e := f.entries[0]
	times := []float64{1, 2, 3, 3.5, 4, 4.5}
	var conns []*lastingConn
	s := f.stopEntry(e)
	// The load balancer still sends connections.
	for range times {
		conns = append(conns, f.connect(t, e))
	}
	var running sync.WaitGroup
	for n, at := range times {
		running.Go(func() {
			c, id := conns[n], fmt.Sprint("open-", n)
			s.at(time.Duration(at * float64(time.Second)))
			c.write(standin.RawRequest("GET", host, firstRoute+"x", id, "", true))
			if answer := c.readAnswer(id); answer != "status 200" && answer != "status 503" {
				t.Errorf("first request %v s after the signal: %s, run %v", at, answer, f.ledger.HasRun(id))
			}
		})
	}
	running.Wait()
	s.checkEnd(t)
	reportAll(t, f)
}
