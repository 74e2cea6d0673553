// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbench/crowd"
)

// TestCrowdOfBodies guards against an entry instance that runs out of memory over bodies of legal size that stop just short of their end.
func TestCrowdOfBodies(t *testing.T) {
	checkConsumers(t, manyClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, lengthFraming(manyBytes))+manyBody[1:])
	})
}

// TestCrowdOfBodiesBesideLoad guards against the same on a machine of the deployments in force whose processor other processes take, so that
// bytes wait unread.
func TestCrowdOfBodiesBesideLoad(t *testing.T) {
	checkBesideLoad(t, usualMachine)
}

// TestCrowdOfBodiesBesideLoadOnATwin guards against the same with less memory for as many descriptors.
func TestCrowdOfBodiesBesideLoadOnATwin(t *testing.T) {
	checkBesideLoad(t, twinMachine)
}

// checkBesideLoad is checkCrowd for bodies at an entry instance of a machine, beside load.
func checkBesideLoad(t *testing.T, m crowdMachine) {
	t.Helper()
	f := crowdFleet(t, m)
	e := f.entries[0]
	x := &crowd.Crowd{Clients: mostClients, Address: e.plan.ConsumerAddress, Send: func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, lengthFraming(manyBytes))+manyBody[1:])
	}}
	startLoad(t)
	checkCrowd(t, f, e, x, false, func(ctx context.Context, n int) bool { return f.answersConsumer(ctx, e, fmt.Sprint("ordinary-", n)) })
}

// TestCrowdOfBodiesInPieces guards against the same if they come piece by piece.
func TestCrowdOfBodiesInPieces(t *testing.T) {
	checkConsumers(t, manyClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, lengthFraming(manyBytes)))
		crowd.SendPieces(c, manyBody[:manyBytes/64-1], 64, 20*time.Millisecond)
	})
}

// TestCrowdOfLargeBodies guards against the same with few large bodies, which also wait unread.
func TestCrowdOfLargeBodies(t *testing.T) {
	checkConsumers(t, fewClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, lengthFraming(largeBodyBytes))+largeBody[1:])
	})
}

// TestCrowdOfLargeChunks guards against the same with one chunk each.
func TestCrowdOfLargeChunks(t *testing.T) {
	checkConsumers(t, manyClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, chunkedFraming)+fmt.Sprintf("%x\r\n", manyBytes-1)+manyBody[1:]+"\r\n")
	})
}

// TestCrowdOfTinyChunks guards against the same with chunks of one byte.
func TestCrowdOfTinyChunks(t *testing.T) {
	chunks := strings.Repeat("1\r\nx\r\n", 6000)
	checkConsumers(t, manyClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, chunkedFraming)+chunks)
	})
}

// TestCrowdOfAnnouncedBodies guards against the same with bodies far over the limit that are announced.
func TestCrowdOfAnnouncedBodies(t *testing.T) {
	checkConsumers(t, fewClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, lengthFraming(4<<30))+largeBody)
	})
}

// TestCrowdOfEndlessChunks guards against the same with bodies over the limit that are just sent.
func TestCrowdOfEndlessChunks(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n", 200<<10) + largeBody[:200<<10] + "\r\n"
	checkConsumers(t, fewClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, chunkedFraming))
		crowd.SendPieces(c, chunk, 20, 0)
	})
}

// TestCrowdOfHeads guards against the same with heads of legal size.
func TestCrowdOfHeads(t *testing.T) {
	checkConsumers(t, manyClients, func(c net.Conn, id string) {
		io.WriteString(c, "GET "+firstRoute+" HTTP/1.1\r\nHost: "+host+"\r\nX-Long: "+manyBody[:15<<10])
	})
}

// TestCrowdOfLargeHeads guards against the same with heads over the limit.
func TestCrowdOfLargeHeads(t *testing.T) {
	checkConsumers(t, fewClients, func(c net.Conn, id string) {
		io.WriteString(c, "GET "+firstRoute+" HTTP/1.1\r\nHost: "+host+"\r\nX-Long: "+largeBody)
	})
}

// TestCrowdOfSmallBodies guards against clients that take all descriptors for good with a body that stops short of its end.
func TestCrowdOfSmallBodies(t *testing.T) {
	checkConsumers(t, manyClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, lengthFraming(1000))+manyBody[:999])
	})
}

// TestCrowdOfExpectedBodies guards against the same with bodies that are asked for and never sent.
func TestCrowdOfExpectedBodies(t *testing.T) {
	checkConsumers(t, manyClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, lengthFraming(manyBytes)+"\r\nExpect: 100-continue"))
	})
}

// TestCrowdOfIdleConnections guards against clients that take all descriptors with connections on which nothing comes.
func TestCrowdOfIdleConnections(t *testing.T) {
	checkConsumers(t, manyClients, func(net.Conn, string) {})
}

// TestCrowdOfBodiesUnderAContract guards against the same where the deployment has the contract on slow clients, whose requests have accounts
// of their own.
func TestCrowdOfBodiesUnderAContract(t *testing.T) {
	checkConsumersBehind(t, manyClients, false, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, lengthFraming(manyBytes))+manyBody[1:])
	}, "pressure")
}

// TestCrowdBehindAnsweredRequests guards against the same with bodies that follow an answered request on its connection.
func TestCrowdBehindAnsweredRequests(t *testing.T) {
	checkConsumersBehind(t, manyClients, true, func(c net.Conn, id string) {
		// The answer is not read: it may be a refusal.
		io.WriteString(c, standin.RawRequest(http.MethodGet, host, firstRoute+"x", id+"-first", "", true))
		io.WriteString(c, bodyHead(id, lengthFraming(manyBytes))+manyBody[1:])
	})
}

// TestCrowdOfReaders guards against the same with clients that send requests one behind another and never read an answer.
func TestCrowdOfReaders(t *testing.T) {
	checkConsumersBehind(t, fewClients, true, func(c net.Conn, id string) {
		for i := range 50 {
			io.WriteString(c, standin.RawRequest(http.MethodGet, host, firstRoute+"x", fmt.Sprint(id, "-", i), "", true))
		}
	})
}

// TestCrowdOfConnectionsThatLeave guards against the same with connections that are opened and closed at once, some of them in a body.
func TestCrowdOfConnectionsThatLeave(t *testing.T) {
	checkConsumers(t, 2*manyClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, lengthFraming(manyBytes))+manyBody[:20<<10])
		c.Close()
	})
}

// TestCrowdOfSlowBodies guards against an instance whose memory bodies take that go on slowly, faster than the slowest allowed, so that none
// of them stalls.
func TestCrowdOfSlowBodies(t *testing.T) {
	checkConsumers(t, manyClients, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, lengthFraming(largeBodyBytes))+manyBody[:32<<10])
		go crowd.SendPieces(c, manyBody[:1<<10], 1000, 100*time.Millisecond)
	})
}

// TestCrowdOfConnectionsThatComeAgain guards against clients that connect again and again and so get ahead of an ordinary one that connects.
func TestCrowdOfConnectionsThatComeAgain(t *testing.T) {
	f := crowdFleet(t, smallestMachine)
	e := f.entries[0]
	x := &crowd.Crowd{Clients: manyClients / 10, Address: e.plan.ConsumerAddress, Send: func(_ net.Conn, id string) {
		go func() {
			// The latest connections stay open.
			open := make([]net.Conn, 20)
			for i := 0; t.Context().Err() == nil; i = (i + 1) % len(open) {
				c, err := net.DialTimeout("tcp", e.plan.ConsumerAddress, time.Second)
				if err != nil {
					continue
				}
				io.WriteString(c, bodyHead(id, lengthFraming(manyBytes))+manyBody[:10<<10])
				if open[i] != nil {
					open[i].Close()
				}
				open[i] = c
				<-time.After(20 * time.Millisecond)
			}
			for _, c := range open {
				if c != nil {
					c.Close()
				}
			}
		}()
	}}
	checkCrowd(t, f, e, x, false, func(ctx context.Context, n int) bool { return f.answersConsumer(ctx, e, fmt.Sprint("ordinary-", n)) })
}

// TestTheLargestRequestIsServedSlowly guards against a limit that the largest request meets, with the largest head, from a client with a slow
// link, at an instance with little memory.
func TestTheLargestRequestIsServedSlowly(t *testing.T) {
	f := crowdFleet(t, smallestMachine)
	e := f.entries[0]
	c := connect(t, e)
	const id, pieces = "largest", 100
	body := strings.Repeat("x", int(f.limits.BodyBytes))
	head, _, _ := strings.Cut(standin.RawRequest(http.MethodPost, host, firstRoute+"x", id, body, true), "\r\n\r\n")
	const name = "\r\nX-Long: "
	head += name + strings.Repeat("y", int(f.limits.HeaderBytes)-len(head)-len(name)) + "\r\n\r\n"
	for _, part := range []string{head, body} {
		for i := range pieces {
			if _, err := io.WriteString(c, part[len(part)*i/pieces:len(part)*(i+1)/pieces]); err != nil {
				t.Fatal(err)
			}
			<-time.After(20 * time.Millisecond)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(answer) != standin.ExpectedAnswer(id) {
		t.Errorf("status %d, %q, %v", resp.StatusCode, answer, err)
	}
	for _, b := range append(f.ledger.Violations(), f.failures()...) {
		t.Error(b)
	}
}
