// SPDX-License-Identifier: MIT

package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/backend"
	"rockbarrow.dev/rockbarrow/engine"
	"rockbarrow.dev/rockbarrow/host"
	"rockbarrow.dev/rockbarrow/service"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/recordpb"
)

const completion = `data: {"choices":[{"delta":{"content":"abcd"}}]}` + "\n\n" +
	`data: {"choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":1}}` + "\n\n" + "data: [DONE]\n\n"

// breaker is an endpoint that breaks its answers off.
type breaker struct {
	listener net.Listener
	text     string
	reset    bool
}

func (b *breaker) loop() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.Copy(io.Discard, r.Body)
			io.WriteString(c, b.text)
			if b.reset {
				c.(*net.TCPConn).SetLinger(0)
			}
		}
		c.Close()
	}
}

// TestAnAnswerThatBreaksOffIsNoAnswer guards against the beginning of an engine's or a service's answer that is taken for a whole one,
// or for a call that has not run.
func TestAnAnswerThatBreaksOffIsNoAnswer(t *testing.T) {
	h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	set := &backend.Set{
		Engine:  &engine.Client{HTTP: h, Stall: 20 * time.Second, MaxAnswer: 64 << 10},
		Service: &service.Client{HTTP: h, MaxAnswer: 64 << 10},
	}
	for _, test := range []struct{ name, service, body string }{{"engine", "", completion}, {"service", "s", "the bytes"}} {
		for _, head := range []string{
			fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(test.body)), "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
			"HTTP/1.1 503 Service Unavailable\r\n" + engine.HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n",
		} {
			for _, reset := range []bool{false, true} {
				for cut := range len(head) {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					go (&breaker{listener: l, text: head[:cut], reset: reset}).loop()
					r := set.Call(t.Context(), host.Attempt{
						Endpoint: &configpb.Endpoint{Name: "e", Address: "http://" + l.Addr().String(), Service: test.service}, Created: &recordpb.Created{},
						Intent: &recordpb.Intent{}, Deadline: time.Now().Add(time.Minute),
					}, func(uint64, string) {})
					l.Close()
					if r.Answer != nil || r.NotExecuted {
						t.Errorf("%s, %q, reset %v: %+v", test.name, head[:cut], reset, r)
					}
				}
			}
		}
	}
}
