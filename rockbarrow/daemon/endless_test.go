// SPDX-License-Identifier: MIT

package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/engine"
	"rockbarrow.dev/rockbarrow/host"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/recordpb"
)

// endlessBytes is what an endless response has in tests that its reader does not end.
const endlessBytes = 64 << 20

// endless answers each request with a beginning, and then a piece again and again until the reader closes.
type endless struct {
	listener         net.Listener
	beginning, piece string
	written          chan int
}

func newEndless(t *testing.T, beginning, piece string) *endless {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &endless{listener: l, beginning: beginning, piece: piece, written: make(chan int, 16)}
	go e.loop()
	return e
}

func (e *endless) address() string { return "http://" + e.listener.Addr().String() }

func (e *endless) loop() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			io.Copy(io.Discard, r.Body)
			e.written <- e.write(c)
		}
		c.Close()
	}
}

func (e *endless) write(w io.Writer) int {
	n, err := io.WriteString(w, e.beginning)
	if e.piece == "" {
		return n
	}
	block := strings.Repeat(e.piece, 1+(64<<10)/len(e.piece))
	for err == nil && n < endlessBytes {
		var m int
		m, err = io.WriteString(w, block)
		n += m
	}
	return n
}

// TestEndlessAnswerIsEnded guards against an instance that stores or reads an engine's or a service's answer without an end, in its
// head or its body, and against the answers of others that it loses over that.
func TestEndlessAnswerIsEnded(t *testing.T) {
	set := backends()
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	notRun := "HTTP/1.1 503 x\r\n" + engine.HeaderNotRun + ": true\r\n\r\n"
	sound := newEndless(t, ok+"Content-Length: 9\r\n\r\nthe bytes", "")
	for _, kind := range []string{"", "s"} {
		for _, test := range []struct {
			name, beginning, piece string
			notExecuted            bool
		}{
			{"bytes that are no response", "", "b", false},
			{"a status line", "HTTP/1.1 200 ", "b", false},
			{"a header line", ok + "A: ", "b", false},
			{"header lines", ok, "Header-Name: 12\r\n", false},
			{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n", false},
			{"the head of an interim response", "HTTP/1.1 103 Early Hints\r\n", "A: 1\r\n", false},
			{"a body", ok + "\r\n", "b", false},
			{"chunks", chunked, "5\r\nabcde\r\n", false},
			{"the size of a chunk", chunked, "1", false},
			{"a chunk's extension", chunked + "5;", "a", false},
			{"trailers", chunked + "0\r\n", "A: 1\r\n", false},
			{"a refusal", notRun, "b", true},
			{"an error", "HTTP/1.1 500 x\r\n\r\n", "b", false},
			{"a redirect", "HTTP/1.1 302 x\r\nLocation: /x\r\n\r\n", "b", false},
		} {
			e := newEndless(t, test.beginning, test.piece)
			r := callWith(t, set.Call, e.address(), kind)
			if r.Answer != nil || r.NotExecuted != test.notExecuted {
				t.Errorf("%q, %s: %+v", kind, test.name, r)
			}
			if n := <-e.written; n >= endlessBytes {
				t.Errorf("%q, %s: %d bytes were read", kind, test.name, n)
			}
			if r := callWith(t, set.Call, sound.address(), "s"); r.Answer.GetContent() != "the bytes" {
				t.Errorf("%q, %s: another call: %+v", kind, test.name, r)
			}
			<-sound.written
		}
	}
}

// callFunc is the call of a set of backends.
type callFunc = func(ctx context.Context, a host.Attempt, emit func(uint64, string)) host.Result

func callWith(t *testing.T, call callFunc, address, service string) host.Result {
	t.Helper()
	return call(t.Context(), host.Attempt{
		Endpoint: &configpb.Endpoint{Name: "e", Address: address, Service: service}, Created: &recordpb.Created{}, Intent: &recordpb.Intent{},
		Deadline: time.Now().Add(time.Minute),
	}, func(uint64, string) {})
}
