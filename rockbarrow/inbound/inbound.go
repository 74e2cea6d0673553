// SPDX-License-Identifier: MIT

// Package inbound bounds what the connections of clients take of an instance: descriptors, and memory of the system for bytes that have
// arrived and are not read. A connection comes with a small receive buffer, which grows once its request has room in the instance.
//
// A client that connects is always let in while another one can give way: the one that has made no progress for the longest time. A client
// whose request is being handled never gives way.
package inbound

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// ConnBytes is the size in bytes of what the system holds at most of a connection in its smallest receive buffer.
const ConnBytes = 6 << 10

const (
	// smallBuffer is the receive buffer that a connection comes with, and largeBuffer the largest one, in bytes. The system doubles both.
	smallBuffer, largeBuffer = 4 << 10, 64 << 10
	// growShare is the share of what is left for all, as 1/n, that one connection may take beyond its smallest receive buffer.
	growShare = 16
	// queueShare is the share of all receive buffers, as 1/n, that is for connections which are not accepted; minQueue and maxQueue bound
	// their number.
	queueShare         = 4
	minQueue, maxQueue = 64, 1024
	// evictedShare is the share of the connections, as 1/n, that give way at a time. As many may stay open for their last response.
	evictedShare = 16
)

// Client is a connected client.
type Client interface {
	// Waiting returns since when the client has made no progress, false if it is not waited for: its request is being handled.
	Waiting() (since time.Time, ok bool)
	// Evict disconnects the client. It may get a response first unless atOnce is true. It must not block.
	Evict(atOnce bool)
}

// Limits bound the connections of one address. Set the exported fields before the first call.
type Limits struct {
	// MaxConns is the largest number of connections; zero means no limit.
	MaxConns int
	// ReceiveBytes is what the system may hold of bytes that were not read, for all connections and those that are not accepted; zero
	// leaves it to the system.
	ReceiveBytes int64
	// OnEvict is called for each client that gives way; it may be nil.
	OnEvict func()

	mu      sync.Mutex
	clients map[Client]*entry
	// evicted is the number of clients that were evicted and are not removed.
	evicted int
	// receive is what the system may hold for the clients that were not evicted, and queue for connections that are not accepted.
	receive, queue int64
}

// entry is what a client holds.
type entry struct {
	conn net.Conn
	// receive is what the system may hold for it.
	receive int64
	evicted bool
}

// Prepare bounds the queue of a listener, and what the system holds for each connection from its start: a receive buffer that is made smaller
// later drops what the client was told it may send. It does nothing without limits. Call it before Add.
func (l *Limits) Prepare(listener net.Listener) {
	sc, ok := listener.(syscall.Conn)
	if !ok || l.ReceiveBytes == 0 {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	backlog := min(maxQueue, max(minQueue, l.ReceiveBytes/queueShare/ConnBytes))
	l.queue = backlog * ConnBytes
	// The errors are ignored: the system's defaults are larger.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		_ = syscall.Listen(int(fd), int(backlog))
	})
}

// Add adds a client that has connected, and has others give way if there are too many. It reports false if none can: the client must be
// disconnected then, and is not added.
func (l *Limits) Add(c Client, nc net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFull() && !l.evict() {
		return false
	}
	if l.clients == nil {
		l.clients = map[Client]*entry{}
	}
	l.clients[c] = &entry{conn: nc, receive: ConnBytes}
	l.receive += ConnBytes
	return true
}

// isFull reports whether there is no room for a further client. The caller holds mu.
func (l *Limits) isFull() bool {
	return l.MaxConns > 0 && len(l.clients)-l.evicted >= l.MaxConns || l.ReceiveBytes > 0 && l.left() < ConnBytes
}

// left returns what the system may hold for further connections. The caller holds mu.
func (l *Limits) left() int64 { return l.ReceiveBytes - l.queue - l.receive }

// Grow lets a client send up to a number of bytes before they are read, as far as there is room.
func (l *Limits) Grow(c Client, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.clients[c]
	if !ok || e.evicted || l.ReceiveBytes == 0 {
		return
	}
	// The system holds twice the size of the buffer.
	size := min(largeBuffer, (n+1)/2, l.left()/growShare/2)
	tcp, ok := e.conn.(interface{ SetReadBuffer(int) error })
	if !ok || size <= smallBuffer || 2*size <= e.receive {
		return
	}
	l.receive += 2*size - e.receive
	e.receive = 2 * size
	// The error is that of a closed connection.
	_ = tcp.SetReadBuffer(int(size))
}

// Remove removes a client that is disconnected.
func (l *Limits) Remove(c Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.clients[c]
	if !ok {
		return
	}
	delete(l.clients, c)
	if e.evicted {
		l.evicted--
		return
	}
	l.receive -= e.receive
}

// evict has the clients give way that have waited for the longest time. It reports whether there was one. The caller holds mu.
func (l *Limits) evict() bool {
	type waiting struct {
		client Client
		since  time.Time
	}
	var list []waiting
	for c, e := range l.clients {
		if since, ok := c.Waiting(); ok && !e.evicted {
			list = append(list, waiting{client: c, since: since})
		}
	}
	slices.SortFunc(list, func(a, b waiting) int { return a.since.Compare(b.since) })
	batch := max(1, l.MaxConns/evictedShare)
	for _, w := range list[:min(len(list), batch)] {
		e := l.clients[w.client]
		e.evicted = true
		l.receive -= e.receive
		w.client.Evict(l.evicted >= batch)
		l.evicted++
		if l.OnEvict != nil {
			l.OnEvict()
		}
	}
	return len(list) > 0
}
