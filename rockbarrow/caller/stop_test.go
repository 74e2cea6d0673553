// SPDX-License-Identifier: MIT

package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/peerpb"
)

// Guards against bodies that hold a place among the requests in progress without a limit of time.
func TestABodyIsWholeWithinTheTimeLimit(t *testing.T) {
	srv := serveWith(t, &fakeRouter{}, func(s *Server) { s.BodyTimeout = 100 * time.Millisecond })
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/runs/east.run/calls HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: 100\r\n\r\n{")
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	wantType(t, resp.StatusCode, string(b), 400, "bad_request", true)
}

// slowRouter answers after a time that is longer than the limit for bodies.
type slowRouter struct{ time.Duration }

func (s slowRouter) Do(ctx context.Context, _ *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error {
	select {
	case <-time.After(s.Duration):
		return emit(finish(1, "slow"))
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a limit for bodies that cancels requests whose body was whole.
func TestTheTimeLimitOfABodyIsNotThatOfTheCall(t *testing.T) {
	srv := serveWith(t, slowRouter{400 * time.Millisecond}, func(s *Server) { s.BodyTimeout = 200 * time.Millisecond })
	if status, body := ask(t, srv, "POST", "/v1/runs/east.run/calls", "k", goodCall); status != 200 {
		t.Fatalf("%d %s", status, body)
	}
}

// Guards against refusals that say "not run" of a request that may have been sent before under its id.
func TestARefusalInAStopIsTrue(t *testing.T) {
	late, cancel := context.WithCancel(context.Background())
	cancel()
	srv := serveWith(t, &fakeRouter{}, func(s *Server) {
		s.Stop = Stop{Late: late, Ended: context.Background()}
		snapshot := control.NewSnapshot(&configpb.Document{
			Customers: []*configpb.Customer{{Name: "club", KeyHashes: []string{control.HashKey("k")}}},
			Bindings:  []*configpb.Binding{{Name: "b", Domains: []string{"east"}}},
			Services:  []*configpb.Service{{Name: "tools", Binding: "b", Repeatable: true}},
		})
		s.Config = func() *control.Snapshot { return snapshot }
	})
	status, body := ask(t, srv, "POST", "/v1/services/tools", "k", "{}")
	wantType(t, status, body, 503, "not_serving", true)
	status, body = ask(t, srv, "POST", "/v1/services/tools", "k", "{}", HeaderKey, "again")
	wantType(t, status, body, 503, "not_serving", false)
}
