// SPDX-License-Identifier: MIT

package inbound

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestBodiesBesideManyConnectionsAreNotSentTwice guards against a receive buffer that is made smaller than what the client was told it may
// send: the system drops the rest, and a body of usual size takes seconds.
func TestBodiesBesideManyConnectionsAreNotSentTwice(t *testing.T) {
	const size = 31 << 10
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	limits := &Limits{MaxConns: 200, ReceiveBytes: 1 << 20}
	limits.Prepare(inner)
	client, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	go func() { _, _ = io.WriteString(client, strings.Repeat("x", size)) }()
	// The client sends what it may before it is accepted.
	<-time.After(100 * time.Millisecond)
	server, err := inner.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for range limits.MaxConns / 2 {
		limits.Add(&fakeClient{}, &fakeConn{})
	}
	if !limits.Add(&fakeClient{}, server) {
		t.Fatal("the client was not let in")
	}
	if _, err := io.ReadFull(server, make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	raw, err := client.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var info *unix.TCPInfo
	if err := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	if info.Total_retrans > 0 {
		t.Errorf("%d segments of a body of %d bytes were sent again", info.Total_retrans, size)
	}
}
