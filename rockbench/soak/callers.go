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
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// mostOpen bounds the time from the start of a connection to its first request, in every second case.
	mostOpen = 6 * time.Second
	// mostRounds is how often a connection is used at the most, each time after a pause of up to roundPause.
	mostRounds = 3
	roundPause = time.Second
	// mostSending bounds the time in which a body is sent, which some exceed the grace period with, mostParts the parts in which it is
	// sent, and mostBody its size.
	mostSending = 10 * time.Second
	mostParts   = 6
	mostBody    = 32 << 10
	// mostBehind is how many requests come at once or mostApart from each other, and behindTime bounds the time that all but the first
	// take.
	mostBehind = 4
	mostApart  = 500 * time.Millisecond
	behindTime = time.Second
	// answerWait bounds the wait for an answer behind another one: a body and a time limit, and what the instance needs.
	answerWait = mostSending + 9*time.Second + 6*time.Second
	// redial is the pause after a connection that was refused.
	redial = 100 * time.Millisecond
)

// caller is a client of one entry instance. It holds one connection after another, on each of which it sends requests slowly, late or
// behind each other, and which it uses until it is told that it closes or until it ends.
type caller struct {
	fleet  *fleet
	entry  *instance
	number uint64
	// next numbers the requests.
	next int
	r    *rand.Rand
}

func (c *caller) loop(begin, finish context.Context) {
	for begin.Err() == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(begin, "tcp", c.entry.plan.ConsumerAddress)
		if err != nil {
			c.fleet.ledger.Count("connections of callers that were refused")
			wait.For(begin, redial)
			continue
		}
		c.use(begin, finish, conn)
	}
}

// use sends requests on a connection and closes it.
func (c *caller) use(begin, finish context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(finish, func() { conn.Close() })()
	r := bufio.NewReader(conn)
	pause := time.Duration(0)
	if open := time.Duration(c.r.Int64N(int64(mostOpen))); c.r.IntN(2) == 0 {
		pause = open
	}
	for range 1 + c.r.IntN(mostRounds) {
		if !wait.For(begin, pause) {
			return
		}
		w := c.draw(conn)
		go w.run()
		open := c.read(r, conn, w)
		if finish.Err() != nil || !open {
			return
		}
		pause = time.Duration(c.r.Int64N(int64(roundPause)))
	}
}

// read reads the answers to the requests of a writer, which it ends. It reports whether the connection may be used again.
func (c *caller) read(r *bufio.Reader, conn net.Conn, w *callWriter) bool {
	open := true
	for i, call := range w.calls {
		// Without a deadline a connection that hangs would never be reported.
		_ = conn.SetReadDeadline(time.Now().Add(answerWait))
		closes := call.read(r, c.fleet.ledger)
		if closes || call.err != nil {
			open = false
			w.end()
		}
		if call.err != nil {
			// What is sent behind it gets no answer either.
			for _, other := range w.calls[i:] {
				other.err, other.ended, other.ender = call.err, call.ended, call
				if other != call {
					other.told = call.told
				}
				if other.told.IsZero() && i > 0 {
					other.told = w.calls[i-1].told
				}
				c.fleet.calls.add(other)
			}
			break
		}
		if i+1 < len(w.calls) {
			w.calls[i+1].due = time.Now()
		}
	}
	<-w.done
	return open
}

// draw makes the next requests.
func (c *caller) draw(conn net.Conn) *callWriter {
	w := &callWriter{conn: conn, stopped: make(chan struct{}), done: make(chan struct{})}
	switch c.r.IntN(3) {
	case 0:
		c.drawSlow(w)
	case 1:
		c.drawBehind(w)
	case 2:
		route := lastingRoutes[c.r.IntN(len(lastingRoutes))]
		text := c.request(w, "whole", route, route.drawTime(c.r), 1)
		w.pieces = []piece{{text: text, begun: w.calls, whole: w.calls}}
	}
	return w
}

// drawSlow makes a request whose body is sent in parts.
func (c *caller) drawSlow(w *callWriter) {
	route := lastingRoutes[c.r.IntN(len(lastingRoutes))]
	text := c.request(w, "slow", route, route.drawTime(c.r), 2*mostParts+c.r.IntN(mostBody))
	head := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	parts := 2 + c.r.IntN(mostParts-1)
	pause := time.Duration(c.r.Int64N(int64(mostSending))) / time.Duration(parts-1)
	size := (len(text) - head) / parts
	w.pieces = []piece{{text: text[:head+size], begun: w.calls}}
	for i := 1; i < parts; i++ {
		p := piece{after: pause, text: text[head+i*size : head+(i+1)*size]}
		if i == parts-1 {
			p.text, p.whole = text[head+i*size:], w.calls
		}
		w.pieces = append(w.pieces, p)
	}
}

// drawBehind makes some requests in one piece, or apart but without a wait for answers.
func (c *caller) drawBehind(w *callWriter) {
	apart := c.r.IntN(2) == 0
	for i := range 2 + c.r.IntN(mostBehind-1) {
		route := lastingRoutes[c.r.IntN(len(lastingRoutes))]
		last := route.drawTime(c.r)
		if i > 0 {
			last = time.Duration(c.r.Int64N(int64(behindTime)))
		}
		text := c.request(w, "behind", route, last, c.r.IntN(2))
		call := w.calls[i:]
		pause := time.Duration(c.r.Int64N(int64(mostApart)))
		if i > 0 && !apart {
			p := &w.pieces[0]
			p.text, p.begun, p.whole = p.text+text, w.calls, w.calls
			continue
		}
		w.pieces = append(w.pieces, piece{after: pause, text: text, begun: call, whole: call})
	}
}

// request adds a request to a writer and returns its text. A size of zero is one without a body.
func (c *caller) request(w *callWriter, how string, route lastingRoute, last time.Duration, size int) string {
	c.next++
	id := fmt.Sprintf("%s-%s-%d-%d", how, route.name, c.number, c.next)
	w.calls = append(w.calls, &call{id: id, how: how, instance: c.entry, route: route, last: last})
	method := http.MethodPost
	if size == 0 {
		method = http.MethodGet
	}
	return standin.RawRequest(method, host, standin.LastingPath(route.path(), last), id, strings.Repeat("x", size), route.repeatable())
}

// piece is what is sent at once, after a pause. It begins some requests and is the last of some.
type piece struct {
	after        time.Duration
	text         string
	begun, whole []*call
}

// callWriter sends requests piece by piece.
type callWriter struct {
	conn   net.Conn
	pieces []piece
	calls  []*call
	// stopped is closed by end, and done once nothing more is sent.
	stopped, done chan struct{}
	isStopped     bool
}

// run sends the pieces until end.
func (w *callWriter) run() {
	defer close(w.done)
	for _, p := range w.pieces {
		select {
		case <-time.After(p.after):
		case <-w.stopped:
			return
		}
		now := time.Now()
		for _, c := range p.begun {
			c.begun = now
		}
		if _, err := io.WriteString(w.conn, p.text); err != nil {
			return
		}
		now = time.Now()
		for _, c := range p.whole {
			c.whole = now
		}
	}
}

// end sends nothing more and waits until the piece in progress is sent.
func (w *callWriter) end() {
	if !w.isStopped {
		w.isStopped = true
		close(w.stopped)
	}
	<-w.done
}

// call is one request of a caller. The writer sets begun and whole, which hold once it is done.
type call struct {
	id, how  string
	instance *instance
	route    lastingRoute
	last     time.Duration
	// begun and whole are when its first and its last byte were sent, zero if they were not.
	begun, whole time.Time
	// due is when the answer before it was whole, zero for the first one.
	due time.Time
	// ender is the request whose answer the connection ended in, which is the call itself or one before it.
	ender *call
	// told is when the head of an answer said that the connection closes, zero if none did.
	told time.Time
	// status is that of the answer, zero without one. If err is set, the answer wasn't whole when the connection ended.
	status int
	err    error
	ended  time.Time
}

// answerStatuses are those that a request may get: all routes are in all configurations, and all requests are valid.
var answerStatuses = []int{
	http.StatusOK, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
}

// read reads the answer and reports whether it says that the connection closes.
func (c *call) read(r *bufio.Reader, l *standin.Recorder) (closes bool) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		c.err, c.ended = errors.Wrap(err, "no answer"), time.Now()
		return true
	}
	defer resp.Body.Close()
	if resp.Close {
		c.told = time.Now()
	}
	c.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.err, c.ended = errors.Wrapf(err, "%d bytes of an answer with status %d", len(body), c.status), time.Now()
		return true
	}
	l.Count(fmt.Sprintf("%s calls with status %d", c.how, c.status))
	if _, stopping := c.instance.claimed.plannedSince(time.Now()); stopping {
		l.Count("calls answered in planned stops")
	}
	switch {
	case !slices.Contains(answerStatuses, c.status):
		l.AddViolation("request %s gets status %d: %s", c.id, c.status, body)
	case c.status == http.StatusServiceUnavailable:
		l.RecordRefusal(c.id)
	case c.status == http.StatusOK && !c.route.streams() && string(body) != standin.ExpectedAnswer(c.id):
		l.AddViolation("request %s gets the answer %q", c.id, body)
	}
	return resp.Close
}
