// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"rockbarrow.dev/rockbench/crowd"
)

// TestCrowdOfDocuments guards against a control instance that runs out of memory over documents that stop just short of their end.
func TestCrowdOfDocuments(t *testing.T) {
	checkOperators(t, manyClients, func(c net.Conn, _ string) {
		io.WriteString(c, documentHead(lengthFraming(manyBytes))+manyBody[1:])
	})
}

// TestCrowdOfAnnouncedDocuments guards against the same with documents far over the limit that are announced.
func TestCrowdOfAnnouncedDocuments(t *testing.T) {
	checkOperators(t, fewClients, func(c net.Conn, _ string) {
		io.WriteString(c, documentHead(lengthFraming(4<<30))+largeBody)
	})
}

// TestCrowdOfDocumentHeads guards against the same with heads of operators' requests.
func TestCrowdOfDocumentHeads(t *testing.T) {
	checkOperators(t, manyClients, func(c net.Conn, _ string) {
		io.WriteString(c, "GET /v1/config/read HTTP/1.1\r\nHost: "+host+"\r\nX-Long: "+manyBody[:60_000])
	})
}

// TestCrowdOfReadersOfAConfiguration guards against a control instance that operators can't reach, or that runs out of memory, over clients
// that ask for the configuration and never read it.
func TestCrowdOfReadersOfAConfiguration(t *testing.T) {
	f := crowdFleet(t, smallestMachine)
	c := f.control[0]
	f.operator.Extend = func(document []byte) ([]byte, error) {
		return append([]byte(`{"padding":"`+strings.Repeat("x", 12<<20)+`",`), bytes.TrimPrefix(document, []byte("{"))...), nil
	}
	if err := f.deploy(t.Context()); err != nil {
		t.Fatal(err)
	}
	// One after another, so that each gets an answer.
	x := &crowd.Crowd{Clients: fewClients, Address: c.plan.OperatorAddress, Pause: 20 * time.Millisecond, Send: func(c net.Conn, _ string) {
		// The system takes no more of it than a few bytes.
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Error(err)
		}
		io.WriteString(c, "GET /v1/config/read HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
	}}
	checkCrowd(t, f, c, x, true, func(ctx context.Context, _ int) bool { return f.answersOperator(ctx, c) })
}

// TestCrowdOfProbes guards against an entry instance that runs out of memory or descriptors over heads at the port of the load balancer.
func TestCrowdOfProbes(t *testing.T) {
	f := crowdFleet(t, smallestMachine)
	e := f.entries[0]
	x := &crowd.Crowd{Clients: manyClients, Address: e.plan.ReadyAddress, Send: func(c net.Conn, _ string) {
		io.WriteString(c, "GET /v1/readyz HTTP/1.1\r\nHost: "+host+"\r\nX-Long: "+manyBody[:60_000])
	}}
	checkCrowd(t, f, e, x, false, func(ctx context.Context, n int) bool {
		return e.ready() && f.answersConsumer(ctx, e, fmt.Sprint("ordinary-", n))
	})
}
