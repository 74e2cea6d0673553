// SPDX-License-Identifier: MIT

package inbound

import (
	"net"
	"testing"
)

// TestUnfinishedMessagesFitTheirMemory guards against messages that are not whole and together exceed what they may take, and against an
// operator who gives way for what was whole long ago.
func TestUnfinishedMessagesFitTheirMemory(t *testing.T) {
	evicted := 0
	calls := &Calls{Limits: &Limits{OnEvict: func() { evicted++ }}, UnfinishedBytes: 100, conns: map[string]*callConn{}}
	open := func(name string) *callConn {
		client, server := net.Pipe()
		t.Cleanup(func() { client.Close() })
		c := &callConn{Conn: server, calls: calls}
		calls.conns[name] = c
		return c
	}
	ordinary, large, small := open("ordinary"), open("large"), open("small")
	for range 100 {
		calls.receive(ordinary, 10)
		calls.beginMessage(ordinary)
		calls.beginMessage(ordinary)
		// Heads come beside the messages.
		calls.receive(ordinary, 50)
		calls.endMessage(ordinary, 20)
		calls.endMessage(ordinary, 20)
	}
	if calls.unfinished != 0 || evicted != 0 {
		t.Fatalf("%d bytes are held for messages that were whole, and %d clients gave way", calls.unfinished, evicted)
	}
	for _, c := range []*callConn{large, small} {
		calls.beginMessage(c)
	}
	calls.receive(large, 60)
	calls.receive(small, 40)
	if evicted != 0 {
		t.Fatal("a client gave way although there was room")
	}
	calls.receive(small, 1)
	calls.receive(large, 60)
	if !large.evicted || small.evicted || evicted != 1 || calls.unfinished != 41 {
		t.Errorf("the larger gave way: %v, the smaller: %v, %d in all; %d bytes are left", large.evicted, small.evicted, evicted, calls.unfinished)
	}
}
