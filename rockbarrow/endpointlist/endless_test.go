// SPDX-License-Identifier: MIT

package endpointlist

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestEndlessListIsEnded guards against an instance that stores or reads the platform's list, or its head, without an end, and that
// takes it for a list of nothing.
func TestEndlessListIsEnded(t *testing.T) {
	const endlessBytes = 128 << 20
	const ok = "HTTP/1.1 200 OK\r\n"
	const gone = `{"instances":[{"name":"a","state":"gone"}`
	p := &Poller{HTTP: &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: 64 << 10}}}
	for _, test := range []struct {
		name, beginning, piece string
		// kept is how many instances were read before, and at least must be kept.
		kept int
	}{
		{"bytes that are no response", "", "b", 0},
		{"header lines", ok, "Header-Name: 12\r\n", 0},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n", 0},
		{"a string", ok + "\r\n" + gone + `,{"name":"`, "b", 1},
		{"a number", ok + "\r\n" + gone + `,{"name":1`, "1", 1},
		{"entries", ok + "\r\n" + gone, `,{"name":"b","state":"live"}`, 1},
		{"empty entries", ok + "\r\n" + gone, `,{}`, 1},
		{"levels", ok + "\r\n" + gone + `,{"name":`, `[`, 1},
		{"white space", ok + "\r\n" + gone + ",", " ", 1},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat(" ", 1<<10) + "\r\n", 0},
		{"an error", "HTTP/1.1 500 x\r\n\r\n", "b", 0},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		written := make(chan int, 1)
		go writeEndlessly(l, test.beginning, test.piece, endlessBytes, written)
		p.URL = "http://" + l.Addr().String()
		list, err := p.read(t.Context())
		l.Close()
		if err == nil || test.kept > 0 && (list == nil || len(list.Instances) < test.kept || list.Instances[0].State != "gone") {
			t.Errorf("%s: %.200v, %v", test.name, list, err)
		}
		if n := <-written; n >= endlessBytes {
			t.Errorf("%s: %d bytes were read", test.name, n)
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
