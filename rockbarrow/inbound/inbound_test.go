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

// TestReceiveBuffersFitTheirMemory guards against receive buffers that together exceed what they may take.
func TestReceiveBuffersFitTheirMemory(t *testing.T) {
	const all, clients = 16 << 20, 4000
	l := &Limits{ReceiveBytes: all}
	total := 0
	for i := range clients {
		c := &fakeConn{}
		l.Add(&fakeClient{}, c)
		if i == 0 && c.receive != maxReceive {
			t.Errorf("the first client has a buffer of %d bytes", c.receive)
		}
		if c.receive < minReceive {
			t.Fatalf("a client has a buffer of %d bytes", c.receive)
		}
		total += c.receive
	}
	if total > all+clients*minReceive {
		t.Errorf("%d bytes", total)
	}
}
