// SPDX-License-Identifier: MIT

package crowd

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// sendTime bounds the time for which a client tries to send, and readTime that for which all are waited for with their answers.
	sendTime = 20 * time.Second
	readTime = 100 * time.Millisecond
)

// Crowd is a number of clients of one address that don't behave. Set the exported fields before Run.
type Crowd struct {
	Clients int
	Address string
	// Name begins the ids of their requests; empty stands for "crowd-".
	Name string
	// Send sends what a client sends, and leaves its connection open.
	Send func(c net.Conn, id string)
	// Pause is the time between two clients.
	Pause time.Duration

	conns []net.Conn
}

// ID returns the id of a client's request.
func (x *Crowd) ID(i int) string { return cmp.Or(x.Name, "crowd-") + strconv.Itoa(i) }

// Run connects all clients and returns once each has sent what it could.
func (x *Crowd) Run() {
	var sending sync.WaitGroup
	for i := range x.Clients {
		c, err := net.DialTimeout("tcp", x.Address, sendTime)
		if err != nil {
			// It is refused, or the instance has no descriptor for it.
			continue
		}
		x.conns = append(x.conns, c)
		c.SetWriteDeadline(time.Now().Add(sendTime))
		sending.Go(func() { x.Send(c, x.ID(i)) })
		if x.Pause > 0 {
			<-time.After(x.Pause)
		}
	}
	sending.Wait()
}

// Answers returns the heads of the responses that clients have got, after Run.
func (x *Crowd) Answers() []*http.Response {
	var out []*http.Response
	deadline := time.Now().Add(readTime)
	for _, c := range x.conns {
		c.SetReadDeadline(deadline)
	}
	for _, c := range x.conns {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			out = append(out, resp)
		}
	}
	return out
}

// Leave closes all connections.
func (x *Crowd) Leave() {
	for _, c := range x.conns {
		c.Close()
	}
}

// SendPieces sends the same piece a number of times with a pause in between, until it is not taken any more.
func SendPieces(c net.Conn, piece string, n int, pause time.Duration) {
	for range n {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
		if pause > 0 {
			<-time.After(pause)
		}
	}
}
