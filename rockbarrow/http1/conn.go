// SPDX-License-Identifier: MIT

package http1

import (
	"net"
	"sync"
	"sync/atomic"
)

// conn is a connection of a [Transport], which reads and writes at the same time.
type conn struct {
	net.Conn
	reader Reader
	// begins is true until the first byte of a request is written.
	begins atomic.Bool

	mu sync.Mutex
	// writeDone is closed once the latest write has returned; nil before the first.
	writeDone chan struct{}
	// writeErr is the first error of a write.
	writeErr error
	// refused is why a response was refused.
	refused error
}

func newConn(c net.Conn) *conn {
	out := &conn{Conn: c}
	out.reader.Source, out.reader.End = c, out.endOfRead
	out.reader.Scanner.needsRequest = true
	return out
}

// beginRequest is called before a request is written.
func (c *conn) beginRequest(method string) {
	c.reader.Scanner.SetMethod(method)
	c.begins.Store(true)
}

// Read is that of [Reader].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if refused := c.reader.Err(); IsRefused(refused) {
		c.mu.Lock()
		c.refused = refused
		c.mu.Unlock()
	}
	return n, err
}

// Write keeps the first error. Nothing is written after a response was refused: net/http then takes another connection for a request
// of which no byte was written.
func (c *conn) Write(p []byte) (int, error) {
	if refused := c.refusal(); refused != nil {
		return 0, refused
	}
	if c.begins.CompareAndSwap(true, false) {
		c.reader.Scanner.awaited.Store(true)
	}
	done := make(chan struct{})
	defer close(done)
	c.mu.Lock()
	c.writeDone = done
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

func (c *conn) endOfRead() error {
	c.mu.Lock()
	done := c.writeDone
	c.mu.Unlock()
	if done == nil {
		return nil
	}
	return EndOfRead(c.Conn, done, c.writeError)
}

func (c *conn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// refusal returns why a response was refused, or nil.
func (c *conn) refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}
