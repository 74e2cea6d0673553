// SPDX-License-Identifier: MIT

package caller

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// nextRequestWait is how long a connection that is to be closed is read for a request that has arrived.
	nextRequestWait = 50 * time.Millisecond
	// lingerTime is how long a client may read its last response before the connection is closed in both directions: data that
	// arrives afterwards resets the connection, and a reset may discard the response.
	lingerTime = 200 * time.Millisecond
	// closePoll is the interval at which it is checked whether all connections are closed.
	closePoll = 10 * time.Millisecond
)

// Conns tracks the connections of callers, so that a stop closes none with a request on it. http.Server.Shutdown closes a
// connection after its response whatever has arrived behind the request, and a new one whatever has arrived. The zero value is ready.
type Conns struct {
	mu      sync.Mutex
	open    map[*conn]struct{}
	closing atomic.Bool
	// ended is set once the rest of the connections is closed at once.
	ended atomic.Bool
}

// Listener returns a listener whose connections are tracked.
func (t *Conns) Listener(l net.Listener) net.Listener { return &listener{Listener: l, conns: t} }

// State follows the use of connections; it is the ConnState of their server.
func (t *Conns) State(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	tracked.idle = state == http.StateIdle || state == http.StateNew
}

// Close closes each connection once no request is on it, and returns once all are closed or the time is over.
func (t *Conns) Close(end time.Time) {
	t.closing.Store(true)
	t.mu.Lock()
	for c := range t.open {
		c.closeIdle()
	}
	t.mu.Unlock()
	for t.count() > 0 && time.Now().Before(end) {
		time.Sleep(closePoll)
	}
	t.ended.Store(true)
}

func (t *Conns) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// listener tracks what it accepts.
type listener struct {
	net.Listener
	conns *Conns
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, conns: l.conns, idle: true}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.conns.open == nil {
		l.conns.open = map[*conn]struct{}{}
	}
	l.conns.open[c] = struct{}{}
	return c, nil
}

// conn is a tracked connection.
type conn struct {
	net.Conn
	conns *Conns

	mu sync.Mutex
	// idle is true from the end of a response, or the start of the connection, until the first byte of a request is read.
	idle bool
	// reading is true during a read. net/http reads only when it has nothing of a further request.
	reading bool
	// interrupted is true if the read has a deadline after which the connection is closed.
	interrupted bool
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(b)
	c.endRead(n)
	return n, err
}

func (c *conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	if c.conns.closing.Load() {
		c.interruptIfIdle()
	}
}

func (c *conn) endRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n == 0 {
		return
	}
	c.idle = false
	if c.interrupted {
		c.interrupted = false
		// A connection without deadlines is closed.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// closeIdle closes the connection soon if no request is on it or arrives.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interruptIfIdle()
}

// interruptIfIdle ends the read of an idle connection, which net/http then closes. The caller holds mu.
func (c *conn) interruptIfIdle() {
	if c.idle && c.reading && !c.interrupted {
		c.interrupted = c.Conn.SetReadDeadline(time.Now().Add(nextRequestWait)) == nil
	}
}

// CloseWrite ends the direction to the client.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.conns.closing.Load() && !c.conns.ended.Load() && c.CloseWrite() == nil {
		time.Sleep(lingerTime)
	}
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}
