// SPDX-License-Identifier: MIT

package inbound

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/stats"
)

// callBytes is what a client of a gRPC server may send before it is read.
const callBytes = 2 * largeBuffer

// Calls bounds the connections of a gRPC server. It is the [stats.Handler] of that server, and wraps its listener.
type Calls struct {
	// Limits are the bounds of connections, and UnfinishedBytes that of what arrives of messages which are not whole; zero means no limit.
	// Set them before Listener.
	Limits          *Limits
	UnfinishedBytes int64

	mu sync.Mutex
	// conns are the open connections by the address of their client.
	conns map[string]*callConn
	// unfinished is the sum of that of all connections.
	unfinished int64
}

// Listener returns a listener whose connections are bounded.
func (t *Calls) Listener(l net.Listener) net.Listener {
	t.Limits.Prepare(l)
	return &callListener{Listener: l, calls: t}
}

// connKey is the key of a connection in the contexts of its calls.
type connKey struct{}

// TagConn notes the connection in the context of its calls.
func (t *Calls) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.conns[info.RemoteAddr.String()]; c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// call is a call in progress. gRPC handles its events one after another.
type call struct {
	conn *callConn
	// read is done once the message is whole, or does not come any more.
	read sync.Once
	// whole is true once its message has been read.
	whole bool
}

// callKey is the key of a call in its context.
type callKey struct{}

// TagRPC notes a call in its context.
func (t *Calls) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	c, ok := ctx.Value(connKey{}).(*callConn)
	if !ok {
		return ctx
	}
	rpc := &call{conn: c}
	t.beginMessage(c)
	// A call of an unknown method has no other end.
	context.AfterFunc(ctx, func() { rpc.read.Do(func() { t.endMessage(c, 0) }) })
	return context.WithValue(ctx, callKey{}, rpc)
}

// HandleConn does nothing.
func (t *Calls) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC counts the calls that are being handled.
func (t *Calls) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, _ := ctx.Value(callKey{}).(*call)
	if c == nil {
		return
	}
	switch s := s.(type) {
	case *stats.InPayload:
		c.read.Do(func() { t.endMessage(c.conn, int64(s.WireLength)) })
		if !c.whole {
			c.whole = true
			c.conn.handled.Add(1)
		}
	case *stats.End:
		if c.whole {
			c.conn.handled.Add(-1)
		}
	}
}

// callConn is a tracked connection.
type callConn struct {
	net.Conn
	calls *Calls
	// handled is the number of its calls that are being handled, and progress the Unix time in ns at which bytes were last read.
	handled, progress atomic.Int64
	closing           sync.Once

	// The mutex of calls guards the fields below. messages is the number of calls whose message is not whole, and unfinished what has
	// arrived meanwhile. Nothing is added once evicted is true.
	messages   int
	unfinished int64
	evicted    bool
}

// Read reads from the connection.
func (c *callConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.progress.Store(time.Now().UnixNano())
		c.calls.receive(c, int64(n))
	}
	return n, err
}

// Close closes the connection.
func (c *callConn) Close() error {
	c.closing.Do(func() {
		c.calls.Limits.Remove(c)
		c.calls.mu.Lock()
		defer c.calls.mu.Unlock()
		c.calls.addUnfinished(c, -c.unfinished)
		c.evicted = true
		// A further connection may come from the same address by now.
		if address := c.RemoteAddr().String(); c.calls.conns[address] == c {
			delete(c.calls.conns, address)
		}
	})
	return c.Conn.Close()
}

// Waiting returns since when nothing has come from the client, false while a call of it is handled.
func (c *callConn) Waiting() (since time.Time, ok bool) {
	return time.Unix(0, c.progress.Load()), c.handled.Load() == 0
}

// Evict disconnects the client. gRPC then closes its side.
func (c *callConn) Evict(bool) {
	// The error is ignored because the connection is not used any more.
	_ = c.Conn.Close()
}

// callListener tracks what it accepts.
type callListener struct {
	net.Listener
	calls *Calls
}

// Accept returns the next connection. Those that there is no room for are closed.
func (l *callListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callConn{Conn: nc, calls: l.calls}
		c.progress.Store(time.Now().UnixNano())
		if !l.calls.Limits.Add(c, nc) {
			// The error is ignored because nothing was read from the connection.
			_ = nc.Close()
			continue
		}
		l.calls.Limits.Grow(c, callBytes)
		l.calls.mu.Lock()
		if l.calls.conns == nil {
			l.calls.conns = map[string]*callConn{}
		}
		l.calls.conns[nc.RemoteAddr().String()] = c
		l.calls.mu.Unlock()
		return c, nil
	}
}
