// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/platform/wire"
)

// peersFleet starts a fleet with one entry instance in each failure domain.
func peersFleet(t *testing.T) *fleet {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1, Domains: 4, NoCustomers: true})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	// Some instances start later than others.
	for _, in := range f.all() {
		awaitServed(t, in)
	}
	return f
}

// operatorConn is an operator's connection to a control instance.
type operatorConn struct {
	conn net.Conn
	r    *bufio.Reader
	host string
}

func connectOperator(t *testing.T, in *instance) *operatorConn {
	t.Helper()
	c, err := net.Dial("tcp", in.plan.OperatorAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	o := &operatorConn{conn: c, r: bufio.NewReader(c), host: in.plan.OperatorAddress}
	// The connection is accepted once a request is answered.
	o.write(o.request("GET", "/v1/config/read", ""))
	if _, _, err := o.answer(); err != nil {
		t.Fatal(err)
	}
	return o
}

func (c *operatorConn) request(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, c.host, len(body), body)
}

// write sends bytes. What is not delivered gets no answer, which the test reports.
func (c *operatorConn) write(s string) { io.WriteString(c.conn, s) }

// answer returns the status of the next answer and its body, or the error of a connection that ends without a whole one.
func (c *operatorConn) answer() (int, string, error) {
	c.conn.SetReadDeadline(time.Now().Add(2 * grace * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// TestOperatorsAreAnsweredInAPlannedStop guards against a control instance that stops without an answer to operators whose requests it
// has begun to read, or has read behind another request on a connection.
func TestOperatorsAreAnsweredInAPlannedStop(t *testing.T) {
	f := peersFleet(t)
	in := f.control[len(f.control)-1]
	first := connectOperator(t, in)
	first.write(first.request("GET", "/v1/config/read", ""))
	_, text, err := first.answer()
	if err != nil {
		t.Fatal(err)
	}
	d, err := wire.DecodeNewDocument([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	check := func(what string, at time.Duration, status int, body string, err error) {
		t.Logf("%s, whole %v after the signal: status %d %s %v", what, at, status, body[:min(len(body), 100)], err)
		if err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Errorf("%s, whole %v after the signal: status %d, %v", what, at, status, err)
		}
	}
	var running sync.WaitGroup
	var acked uint64
	var mu sync.Mutex
	var waiting []chan *stopping
	begin := func(run func(s func() *stopping)) {
		ch := make(chan *stopping, 1)
		waiting = append(waiting, ch)
		running.Go(func() { run(func() *stopping { return <-ch }) })
	}
	for n, at := range []time.Duration{-time.Millisecond, 0, 50 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second} {
		d.Version++
		b, err := wire.EncodeDocument(d, f.operator.Secrets)
		if err != nil {
			t.Fatal(err)
		}
		version, c := d.GetVersion(), connectOperator(t, in)
		request := c.request("POST", "/v1/config/replace", string(b))
		c.write(request[:len(request)-7])
		begin(func(s func() *stopping) {
			if at < 0 {
				c.write(request[len(request)-7:])
				s()
			} else {
				s().at(at)
				c.write(request[len(request)-7:])
			}
			status, body, err := c.answer()
			check(fmt.Sprint("change ", n), at, status, body, err)
			if status == http.StatusOK {
				mu.Lock()
				acked = max(acked, version)
				mu.Unlock()
			}
		})
	}
	for n, path := range []string{"/v1/evacuations/domain-1/begin", "/v1/evacuations/domain-1/finish", "/v1/config/read"} {
		c, method := connectOperator(t, in), "POST"
		if strings.HasSuffix(path, "read") {
			method = "GET"
		}
		c.write(c.request(method, path, "") + c.request("GET", "/v1/config/read", ""))
		begin(func(s func() *stopping) {
			s()
			status, body, err := c.answer()
			check(fmt.Sprint("first ", n), 0, status, body, err)
			status, body, err = c.answer()
			check(fmt.Sprint("behind ", n), 0, status, body, err)
		})
	}
	s := f.stopEntry(in)
	for _, ch := range waiting {
		ch <- s
	}
	running.Go(func() { s.checkEnd(t) })
	running.Wait()
	other := connectOperator(t, f.control[0])
	other.write(other.request("GET", "/v1/config/read", ""))
	_, text, err = other.answer()
	if err != nil {
		t.Fatal(err)
	}
	if d, err = wire.DecodeNewDocument([]byte(text)); err != nil || d.GetVersion() < acked {
		t.Errorf("version %d is in force after %d was acknowledged, %v", d.GetVersion(), acked, err)
	}
	reportAll(t, f)
}

// shortStop is how long a planned stop of a store or control instance with nothing in progress may take: operators, and
// callers of stores, wait about a second for an answer.
const shortStop = time.Second

// TestStopsOfPeersInCalmAreShort guards against planned stops that wait for watches and streams, which last until they are ended.
func TestStopsOfPeersInCalmAreShort(t *testing.T) {
	f := peersFleet(t)
	for _, in := range []*instance{f.stores[0], f.stores[1], f.stores[2], f.control[0], f.control[1], f.control[2]} {
		waitFor(t.Context(), 2*time.Second)
		s := f.stopEntry(in)
		<-s.ended
		took := time.Since(s.start)
		t.Logf("%s ended %v after the signal", in.plan.Instance, took)
		if took > shortStop {
			t.Errorf("%s ended %v after the signal, want at most %v: %s", in.plan.Instance, took, shortStop, in.tail())
		}
		in.mustStart(t)
		awaitServed(t, in)
	}
	reportAll(t, f)
}

// turnsWith begins the names of the counts of turns by status.
const turnsWith = "turns with status "

// countingTransport counts the turns by their status.
type countingTransport struct {
	next http.RoundTripper
	f    *fleet
}

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(r)
	what := "no answer"
	if err == nil {
		what = fmt.Sprint(resp.StatusCode)
	}
	if strings.HasPrefix(r.URL.Path, "/turn/") {
		c.f.ledger.Count(turnsWith + what)
	}
	return resp, err
}

// TestTurnsAreServedWhileStoresStop guards against turns that fail, other than with a refusal, or exceed budgets, as planned stops of
// stores end calls in progress or lose what they have acknowledged.
func TestTurnsAreServedWhileStoresStop(t *testing.T) {
	f := peersFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var running sync.WaitGroup
	s := &soak{fleet: f}
	for i := range 12 {
		r := rand.New(rand.NewPCG(7, uint64(i)))
		client := &http.Client{Transport: &countingTransport{next: &http.Transport{MaxIdleConnsPerHost: 4}, f: f}}
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				p := &standin.Program{
					Name: fmt.Sprintf("p-%d-%d", i, n), Turns: 4, Entries: s.entries(), Host: host, Budget: 1000,
					TurnPath: "/turn/", OncePath: "/once/", RepeatPath: "/repeat/", Rand: r, Recorder: f.ledger, Client: client,
				}
				p.Run(t.Context())
			}
		})
	}
	for _, apart := range []time.Duration{0, 200 * time.Millisecond} {
		var stops sync.WaitGroup
		for i, in := range f.stores {
			stops.Go(func() {
				waitFor(t.Context(), time.Duration(i)*apart)
				s := f.stopEntry(in)
				s.checkEnd(t)
				if err := in.start(); err != nil {
					t.Error(err)
				}
			})
		}
		stops.Wait()
		waitFor(t.Context(), 2*time.Second)
		t.Logf("after stops %v apart: %v", apart, f.ledger.Counts())
	}
	cancel()
	running.Wait()
	for what, n := range f.ledger.Counts() {
		if strings.HasPrefix(what, turnsWith) && what != turnsWith+"200" && what != turnsWith+"503" {
			t.Errorf("%s: %d", what, n)
		}
	}
	reportAll(t, f)
}

// TestAStopDuringAStart guards against a process that fails, or stays until it is killed, if it is stopped while it waits for one of its
// addresses or its data folder.
func TestAStopDuringAStart(t *testing.T) {
	binary, err := build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	stop := func(t *testing.T, in *instance, waiting string) {
		in.plan.GraceSeconds = grace
		in.mustStart(t)
		awaitLogged(t, in, waiting)
		start := time.Now()
		in.stop(syscall.SIGTERM)
		if code := in.cmd.ProcessState.ExitCode(); code != 0 || time.Since(start) > grace*time.Second {
			t.Errorf("%s: it ended with code %d after %v: %s", waiting, code, time.Since(start), in.tail())
		}
		t.Logf("%s: ended after %v", waiting, time.Since(start))
	}
	eachRole(t, binary, func(t *testing.T, in *instance) {
		for n := range in.serves() {
			next := solo(t, binary, in.role)
			s := next.serves()[n]
			held, err := net.Listen("tcp", s.address)
			if err != nil {
				t.Fatal(err)
			}
			stop(t, next, `"what":"`+s.name+`"`)
			held.Close()
		}
		if in.role == "entry" {
			return
		}
		// A file is no folder.
		if err := os.WriteFile(in.plan.DataDir, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		stop(t, in, "the data folder can't be used yet")
	})
}
