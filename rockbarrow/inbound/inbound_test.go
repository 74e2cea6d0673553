// SPDX-License-Identifier: MIT

package inbound

import (
	"net"
	"testing"
	"time"
)

// fakeClient is a client that waits since a moment, or whose request is handled.
type fakeClient struct {
	since   time.Time
	handled bool
	evicted int
}

func (c *fakeClient) Waiting() (time.Time, bool) { return c.since, !c.handled }
func (c *fakeClient) Evict(bool)                 { c.evicted++ }

// fakeConn notes the size of its receive buffer.
type fakeConn struct {
	net.Conn
	receive int
}

func (c *fakeConn) SetReadBuffer(n int) error {
	c.receive = n
	return nil
}

// TestWhoWaitsLongestGivesWay guards against a client that has just connected and gives way to those that stay without progress, and
// against one that gives way while its request is handled.
func TestWhoWaitsLongestGivesWay(t *testing.T) {
	l := &Limits{MaxConns: 3}
	now := time.Now()
	handled, older, newer := &fakeClient{handled: true}, &fakeClient{since: now.Add(-time.Minute)}, &fakeClient{since: now.Add(-time.Second)}
	for _, c := range []*fakeClient{handled, newer, older, {since: now}} {
		if !l.Add(c, nil) {
			t.Fatal("a client was not let in")
		}
	}
	if older.evicted != 1 || newer.evicted != 0 || handled.evicted != 0 {
		t.Errorf("evicted: %d of the older, %d of the newer, %d handled", older.evicted, newer.evicted, handled.evicted)
	}
	l.Remove(older)
	l = &Limits{MaxConns: 1}
	if !l.Add(handled, nil) || l.Add(newer, nil) {
		t.Error("a client was let in though none could give way")
	}
	l.Remove(handled)
	if !l.Add(newer, nil) {
		t.Error("a client was not let in after another one had left")
	}
}

// TestReceiveBuffersFitTheirMemory guards against receive buffers that together exceed what they may take, and against a client that gets
// none of what is left.
func TestReceiveBuffersFitTheirMemory(t *testing.T) {
	const all, clients = 16 << 20, 4000
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := &Limits{ReceiveBytes: all}
	l.Prepare(inner)
	total := func() (bytes int64) {
		for _, e := range l.clients {
			if !e.evicted {
				bytes += e.receive
			}
		}
		return bytes
	}
	for i := range clients {
		c, conn := &fakeClient{}, &fakeConn{}
		if !l.Add(c, conn) {
			t.Fatal("a client was not let in")
		}
		l.Grow(c, 1<<20)
		if i == 0 && conn.receive != largeBuffer {
			t.Errorf("the first client has a buffer of %d bytes", conn.receive)
		}
		if conn.receive != 0 && conn.receive <= smallBuffer {
			t.Fatalf("a client's buffer became %d bytes", conn.receive)
		}
		if held := l.queue + total(); held > all || l.queue == 0 {
			t.Fatalf("%d clients may hold %d bytes, of which %d are not accepted", i+1, held, l.queue)
		}
	}
	for c := range l.clients {
		l.Remove(c)
	}
	if l.receive != 0 || l.evicted != 0 {
		t.Errorf("%d bytes and %d evicted clients are left", l.receive, l.evicted)
	}
}

// TestReceiveBuffersGrowAsNeeded guards against a client that takes more of the receive buffers than its request needs.
func TestReceiveBuffersGrowAsNeeded(t *testing.T) {
	l := &Limits{ReceiveBytes: 16 << 20}
	c, conn := &fakeClient{}, &fakeConn{}
	l.Add(c, conn)
	for _, want := range []struct{ bytes, buffer int }{{1000, 0}, {2 * smallBuffer, 0}, {31 << 10, 31 << 9}, {10 << 10, 31 << 9}, {1 << 20, largeBuffer}} {
		if l.Grow(c, int64(want.bytes)); conn.receive != want.buffer {
			t.Errorf("a request of %d bytes got a buffer of %d, want %d", want.bytes, conn.receive, want.buffer)
		}
	}
}
