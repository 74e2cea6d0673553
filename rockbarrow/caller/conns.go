// SPDX-License-Identifier: MIT

package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/inbound"
	"rockbarrow.dev/rockbarrow/membudget"
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
	// Bounds limits what the connections take, and Memory what their large heads take; nil means no limit. Set them before Listener.
	Bounds *inbound.Limits
	Memory *membudget.Budget

	mu      sync.Mutex
	open    map[*conn]struct{}
	closing atomic.Bool
	// ended is set once the rest of the connections is closed at once.
	ended atomic.Bool
}

// Listener returns a listener whose connections are tracked.
func (t *Conns) Listener(l net.Listener) net.Listener {
	if t.Bounds != nil {
		t.Bounds.Prepare(l)
	}
	return &listener{Listener: l, conns: t}
}

// State follows the use of connections; it is the ConnState of their server.
func (t *Conns) State(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	tracked.idle = state == http.StateIdle || state == http.StateNew
	tracked.active = state == http.StateActive
	if tracked.idle {
		tracked.progress = time.Now()
	}
	if state != http.StateNew {
		tracked.endHead(state != http.StateActive)
	}
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// Context notes the connection in the contexts of its requests; it is the ConnContext of their server.
func (t *Conns) Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// body returns the body of a request, for which the receive buffer of its connection grows.
func body(r *http.Request) io.ReadCloser {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || c.conns.Bounds == nil || r.ContentLength == 0 {
		return r.Body
	}
	return &inbound.Body{ReadCloser: r.Body, Limits: c.conns.Bounds, Client: c, Length: r.ContentLength}
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

// Accept returns the next connection. Those that there is no room for are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.add(raw); c != nil {
			return c, nil
		}
		// The error is ignored because nothing was read from the connection.
		_ = raw.Close()
	}
}

// add tracks a connection. It returns nil if there is no room for it.
func (t *Conns) add(raw net.Conn) *conn {
	c := &conn{Conn: raw, conns: t, idle: true, progress: time.Now()}
	if t.Bounds != nil && !t.Bounds.Add(c, raw) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[*conn]struct{}{}
	}
	t.open[c] = struct{}{}
	return c
}

// conn is a tracked connection.
type conn struct {
	net.Conn
	conns *Conns

	mu sync.Mutex
	// idle is true from the end of a response, or the start of the connection, until the first byte of a request is read.
	idle bool
	// active is true from the end of a head until the end of its response.
	active bool
	// reading is the size of the buffer of a read in progress, zero without one. net/http reads only when it has nothing of a further
	// request; during a response it detects a disconnect with reads of one byte.
	reading int
	// progress is when bytes were last read, or the connection became idle.
	progress time.Time
	// headBytes is the size of the head as far as it was read, and head is charged for it; nil without a large one.
	headBytes int64
	head      *membudget.Account
	// evicted is true once the body of the request is not read any more for the sake of others.
	evicted atomic.Bool
	// interrupted is true if the read has a deadline after which the connection is closed.
	interrupted bool
}

// errNoRoom reports a head that there is no memory for. net/http responds to other errors than timeouts.
var errNoRoom error = os.ErrDeadlineExceeded

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	c.beginRead(len(b))
	n, err := c.Conn.Read(b)
	if !c.endRead(n) {
		return 0, errNoRoom
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.evicted.Load() {
		err = &membudget.UsedUpError{}
	}
	return n, err
}

func (c *conn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = size
	if c.conns.closing.Load() {
		c.interruptIfIdle()
	}
}

// endRead updates the state after a read, and reports whether there is memory for what was read.
func (c *conn) endRead(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = 0
	if n == 0 {
		return true
	}
	c.idle, c.progress = false, time.Now()
	if c.interrupted {
		c.interrupted = false
		// A connection without deadlines is closed.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return c.active || c.chargeHead(int64(n))
}

const (
	// freeHead is the size of a head that is not charged, in bytes, and headCopies how often others are held at the most.
	freeHead   = 4 << 10
	headCopies = 3
)

// chargeHead charges bytes of a head and reports whether there is room. The caller holds mu.
func (c *conn) chargeHead(n int64) bool {
	c.headBytes += n
	if c.headBytes <= freeHead || c.conns.Memory == nil {
		return true
	}
	if c.head == nil {
		c.head = c.conns.Memory.Open(nil)
		c.head.BeginReading(c.closeNow)
	}
	c.head.RecordRead(time.Now())
	return c.head.TryBody(n * headCopies)
}

// endHead lets a head whose request is handled give way no more, and releases its memory once the request has ended. The caller holds mu.
func (c *conn) endHead(ended bool) {
	c.headBytes = 0
	if c.head == nil {
		return
	}
	c.head.EndReading()
	if ended {
		c.head.Close()
		c.head = nil
	}
}

// closeNow closes the connection for the sake of others.
func (c *conn) closeNow() {
	// The error is ignored because the connection is not used any more.
	_ = c.Conn.Close()
}

// Waiting returns since when nothing has come from the client, false while its request is handled.
func (c *conn) Waiting() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress, !c.active || c.reading > 1
}

// Evict disconnects the client for the sake of others. A request whose body was being read is refused, unless atOnce is true.
func (c *conn) Evict(atOnce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted.Store(true)
	if atOnce || !c.active || c.Conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		c.closeNow()
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
	if c.idle && c.reading > 0 && !c.interrupted {
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
	if c.conns.Bounds != nil {
		c.conns.Bounds.Remove(c)
	}
	return c.Conn.Close()
}
