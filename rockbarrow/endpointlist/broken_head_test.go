// SPDX-License-Identifier: MIT

package endpointlist

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// breaker is a server that breaks its answers off.
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
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, b.text)
			if b.reset {
				c.(*net.TCPConn).SetLinger(0)
			}
		}
		c.Close()
	}
}

// TestAHeadThatBreaksOffIsNoList guards against the beginning of an answer that is taken for an empty or a shorter list.
func TestAHeadThatBreaksOffIsNoList(t *testing.T) {
	const body = `{"instances":[{"name":"a","state":"gone"}],"endpoints":[]}`
	p := &Poller{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, head := range []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)), "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"} {
		for cut := range len(head) + 1 {
			for _, reset := range []bool{false, true} {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				go (&breaker{listener: l, text: head[:cut], reset: reset}).loop()
				p.URL = "http://" + l.Addr().String()
				list, err := p.fetch(t.Context())
				l.Close()
				if err == nil || list != nil && len(list.Instances) > 0 {
					t.Errorf("cut at %d of %q, reset %v: %+v", cut, head, reset, list)
				}
			}
		}
	}
}
