// SPDX-License-Identifier: MIT

package dial

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
)

// stallingProxy is a proxy that can stall its open connections: it acknowledges
// their data but drops it. New connections work.
type stallingProxy struct {
	net.Listener
	backend string
	// generation is incremented to stall the open connections.
	generation atomic.Int64
}

func (s *stallingProxy) serve() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", s.backend)
		if err != nil {
			c.Close()
			continue
		}
		go s.forward(out, c, s.generation.Load())
		go s.forward(c, out, s.generation.Load())
	}
}

func (s *stallingProxy) forward(to, from net.Conn, generation int64) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if s.generation.Load() != generation {
			io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// TestASilentConnectionIsReplaced guards against calls that keep using a stalled connection.
func TestASilentConnectionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := NewServer()
	grpc_health_v1.RegisterHealthServer(g, health.NewServer())
	go g.Serve(l)
	t.Cleanup(g.Stop)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stallingProxy{Listener: front, backend: l.Addr().String()}
	t.Cleanup(func() { s.Close() })
	go s.serve()
	pool := &Pool{}
	t.Cleanup(pool.Close)
	check := func(within time.Duration) error {
		c, err := pool.Get(front.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		_, err = grpc_health_v1.NewHealthClient(c).Check(ctx, &grpc_health_v1.HealthCheckRequest{}, grpc.WaitForReady(true))
		return err
	}
	for range 3 {
		if err := check(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		s.generation.Add(1)
		if err := check(50 * time.Millisecond); err == nil {
			t.Fatal("a call was answered over a stalled connection")
		}
	}
	if err := check(10 * time.Second); err != nil {
		t.Errorf("the stalled connection was not replaced: %v", err)
	}
}

// TestStreamTimeoutReplacesAStalledConnection guards against streams that stay on a stalled
// connection, and against the loss of one that still carries messages.
func TestStreamTimeoutReplacesAStalledConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := NewServer()
	grpc_health_v1.RegisterHealthServer(g, health.NewServer())
	go g.Serve(l)
	t.Cleanup(g.Stop)
	pool := &Pool{}
	t.Cleanup(pool.Close)
	address := l.Addr().String()
	get := func() *grpc.ClientConn {
		c, err := pool.Get(address)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	c := get()
	sent := time.Now()
	stream, err := grpc_health_v1.NewHealthClient(c).Watch(t.Context(), &grpc_health_v1.HealthCheckRequest{})
	if err == nil {
		_, err = stream.Recv()
	}
	if err != nil {
		t.Fatal(err)
	}
	pool.ReportTimeout(address, c, sent)
	if get() != c {
		t.Error("a connection was replaced that received a message since the call")
	}
	pool.ReportTimeout(address, c, time.Now())
	if get() == c {
		t.Error("a connection was kept that received nothing since the call")
	}
}
