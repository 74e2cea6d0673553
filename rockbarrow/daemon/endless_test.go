// SPDX-License-Identifier: MIT

package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

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
	set := backends(tally.NoopScope)
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

// TestManyAnswersStayInTheirMemory guards against answers that are within their limit one by one, and together take the memory of the
// instance, and against usual answers that are lost beside them.
func TestManyAnswersStayInTheirMemory(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n\r\n"
	chunk := `data: {"choices":[{"delta":{"content":"` + strings.Repeat("c", 8<<10) + `"}}]}` + "\n\n"
	usual := newEndless(t, "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("b", 60_000), "")
	for _, test := range []struct {
		name, service, beginning, piece string
		pieces                          int
	}{
		// Each stops just below its limit, and does not end.
		{"services", "s", ok, strings.Repeat("b", 64<<10), 127},
		{"engines", "", ok, chunk, 1023},
		{"lines of engines", "", ok + "data: ", strings.Repeat("b", 64<<10), 15},
	} {
		set := backends(tally.NoopScope)
		memory := set.Engine.Memory
		memory.MaxBytes = 16 << 20
		stop := make(chan struct{})
		server := &halted{t: t, beginning: test.beginning, body: strings.Repeat(test.piece, test.pieces), stop: stop}
		address := server.start()
		ctx, cancel := context.WithCancel(t.Context())
		var calls sync.WaitGroup
		var ended atomic.Int64
		const many = 32
		for range many {
			calls.Go(func() {
				set.Call(ctx, host.Attempt{
					Endpoint: &configpb.Endpoint{Name: "e", Address: address, Service: test.service}, Created: &recordpb.Created{}, Intent: &recordpb.Intent{},
					Deadline: time.Now().Add(time.Minute),
				}, func(uint64, string) {})
				ended.Add(1)
			})
		}
		// Those that find no room fail, the others stay.
		for ended.Load() < many/2 {
			if held := memory.Held(); held > memory.MaxBytes {
				t.Fatalf("%s: %d bytes are held", test.name, held)
			}
			select {
			case <-time.After(5 * time.Millisecond):
			case <-t.Context().Done():
				t.Fatal(t.Context().Err())
			}
		}
		if r := callWith(t, set.Call, usual.address(), "s"); len(r.Answer.GetContent()) != 60_000 {
			t.Errorf("%s: a usual answer beside them: %d bytes, %s", test.name, len(r.Answer.GetContent()), r.Reason)
		}
		cancel()
		close(stop)
		calls.Wait()
		if held := memory.Held(); held != 0 {
			t.Errorf("%s: %d bytes are held after the calls", test.name, held)
		}
	}
}

// halted sends the same bytes as the answer to each request, and neither goes on nor ends.
type halted struct {
	t               *testing.T
	beginning, body string
	stop            chan struct{}
}

func (h *halted) start() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { l.Close() })
	go h.loop(l)
	return "http://" + l.Addr().String()
}

func (h *halted) loop(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go h.serve(c)
	}
}

func (h *halted) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	io.Copy(io.Discard, r.Body)
	if _, err := io.WriteString(c, h.beginning+h.body); err == nil {
		<-h.stop
	}
}
