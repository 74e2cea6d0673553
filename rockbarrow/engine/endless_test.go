// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/dispatch"
	"rockbarrow.dev/schema/configpb"
)

// TestEndlessLoadReportIsEnded guards against an instance that stores or reads an engine's report on itself without an end.
func TestEndlessLoadReportIsEnded(t *testing.T) {
	const endlessBytes = 64 << 20
	const ok = "HTTP/1.1 200 OK\r\n"
	w := &Watcher{HTTP: &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: 64 << 10}}, Dispatcher: &dispatch.Dispatcher{}, Log: logrus.NewEntry(logrus.New())}
	for _, test := range []struct{ name, beginning, piece string }{
		{"bytes that are no response", "", "b"},
		{"header lines", ok, "Header-Name: 12\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n"},
		{"a string", ok + "\r\n{\"incarnation\":\"", "b"},
		{"fields", ok + "\r\n{\"x\":1", ",\"x\":1"},
		{"white space", ok + "\r\n", " "},
		{"levels", ok + "\r\n{\"x\":", "["},
		{"events", ok + "\r\n{\"events\":[{}", ",{}"},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat(" ", 1<<10) + "\r\n"},
		{"a chunk line", ok + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		{"an error", "HTTP/1.1 500 x\r\n\r\n", "b"},
	} {
		for _, out := range []any{&Load{}, &CacheEvents{}} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			written := make(chan int, 1)
			go writeEndlessly(l, test.beginning, test.piece, endlessBytes, written)
			w.Dispatcher.ApplySnapshot(control.NewSnapshot(&configpb.Document{
				Version: 1, Endpoints: []*configpb.Endpoint{{Name: "e", Address: "http://" + l.Addr().String()}},
			}))
			p := &polled{watcher: w, endpoint: w.Dispatcher.Fleet().Endpoint("e")}
			ctx, cancel := context.WithTimeout(t.Context(), pollTimeout)
			if err := p.get(ctx, "/rockbarrow/load", out); err == nil {
				t.Errorf("%s: %+v", test.name, out)
			}
			cancel()
			l.Close()
			if n := <-written; n >= endlessBytes {
				t.Errorf("%s: %d bytes were read", test.name, n)
			}
		}
	}
}

// writeEndlessly answers one request with a beginning, and a piece again and again until the reader closes.
func writeEndlessly(l net.Listener, beginning, piece string, most int, written chan<- int) {
	c, err := l.Accept()
	if err != nil {
		written <- 0
		return
	}
	defer c.Close()
	n := 0
	if _, err = http.ReadRequest(bufio.NewReader(c)); err == nil {
		n, err = io.WriteString(c, beginning)
	}
	block := strings.Repeat(piece, 1+(64<<10)/len(piece))
	for err == nil && n < most {
		var m int
		m, err = io.WriteString(c, block)
		n += m
	}
	written <- n
}
