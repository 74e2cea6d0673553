// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"rockbarrow.dev/platform/wire"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/crowd"
)

const (
	// crowdPause bounds the time between two crowds, and crowdStay that for which one stays. A crowd has mostCrowd clients at the most.
	crowdPause, crowdStay = 5 * time.Second, 3 * time.Second
	mostCrowd             = 200
	// crowdBody is the size of the bodies that they begin.
	crowdBody = 60 << 10
)

// crowds has clients that don't behave come to one entry instance after another, many at once: none of their requests is whole, and none may
// run. They may cost no instance its memory.
type crowds struct {
	fleet *fleet
	r     *rand.Rand
}

func (x *crowds) loop(ctx context.Context) {
	for n := 0; wait.For(ctx, time.Duration(x.r.Int64N(int64(crowdPause)))); n++ {
		e := x.fleet.entries[x.r.IntN(len(x.fleet.entries))]
		framing, body := x.draw()
		c := &crowd.Crowd{Clients: 1 + x.r.IntN(mostCrowd), Address: e.plan.ConsumerAddress, Name: fmt.Sprintf("crowd-%d-", n)}
		c.Send = func(conn net.Conn, id string) {
			io.WriteString(conn, bodyHead(id, framing)+body)
		}
		c.Run()
		x.fleet.ledger.Count("crowds")
		wait.For(ctx, time.Duration(x.r.Int64N(int64(crowdStay))))
		c.Leave()
		for i := range c.Clients {
			if x.fleet.ledger.HasRun(c.ID(i)) {
				x.fleet.ledger.AddViolation("request %s has run, although it was not whole", c.ID(i))
			}
		}
	}
}

// draw returns the framing of bodies, and what is sent of each.
func (x *crowds) draw() (framing, body string) {
	body = strings.Repeat("x", crowdBody)
	switch x.r.IntN(5) {
	case 0:
		return lengthFraming(crowdBody), body[1:]
	case 1:
		return chunkedFraming, fmt.Sprintf("%x\r\n%s\r\n", crowdBody, body)
	case 2:
		return chunkedFraming, strings.Repeat("1\r\nx\r\n", crowdBody/6)
	case 3:
		return lengthFraming(4 << 30), body
	}
	return lengthFraming(crowdBody) + "\r\nExpect: 100-continue", ""
}

// bodyHead is the head of a client's request whose body is framed by a header.
func bodyHead(id, framing string) string {
	return "POST " + firstRoute + "x HTTP/1.1\r\nHost: " + host + "\r\n" + wire.RequestID + ": " + id + "\r\n" + framing + "\r\n\r\n"
}

const chunkedFraming = "Transfer-Encoding: chunked"

func lengthFraming(n int64) string { return fmt.Sprint("Content-Length: ", n) }
