// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/crowd"
)

// crowdMachine is a machine under test.
type crowdMachine struct{ entryMB, controlMB, files int }

var (
	// smallestMachine has the memory of the smallest entry instances, less than control instances have, and few descriptors.
	smallestMachine = crowdMachine{entryMB: 88, controlMB: 128, files: 1024}
	// usualMachine is the smallest of the deployments in force, and twinMachine that of their small twins.
	usualMachine = crowdMachine{entryMB: 112, controlMB: 128, files: 4100}
	twinMachine  = crowdMachine{entryMB: 88, controlMB: 128, files: 4100}
)

const (
	// manyClients, and mostClients, send bodies of manyBytes, and fewClients some of largeBodyBytes.
	manyClients, manyBytes     = 1500, 64 << 10
	mostClients                = 2500
	fewClients, largeBodyBytes = 400, 900 << 10
	// crowdWait bounds the wait for the answer to an ordinary request.
	crowdWait = 20 * time.Second
)

// checkAnswers checks what the clients were answered: a refusal that says that a request is not run, and when to send it again. If begun is
// true, each has sent whole requests before the one that is not.
func checkAnswers(t *testing.T, f *fleet, x *crowd.Crowd, begun bool) {
	counts := map[int]int{}
	for _, resp := range x.Answers() {
		counts[resp.StatusCode]++
		if resp.StatusCode == http.StatusServiceUnavailable && x.Address == f.entries[0].plan.ConsumerAddress && resp.Header.Get("Retry-After") == "" {
			t.Errorf("503 without Retry-After")
		}
		if resp.StatusCode < 300 && resp.StatusCode >= 200 && !begun {
			t.Errorf("status %d for a request that was not whole", resp.StatusCode)
		}
	}
	for i := range x.Clients {
		if f.ledger.HasRun(x.ID(i)) {
			t.Errorf("%s has run, although it was not whole", x.ID(i))
		}
	}
	t.Logf("answers: %v", counts)
}

// crowdFleet starts a fleet, with limited memory and descriptors for the first instance of each role.
func crowdFleet(t *testing.T, m crowdMachine, contracts ...string) *fleet {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1, Domains: seeds, NoCustomers: true})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	// The limit of bodies changes with the versions.
	for f.routes.tight {
		if err := f.deploy(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for in, mb := range map[*instance]int{f.entries[0]: m.entryMB, f.control[0]: m.controlMB} {
		in.stop(syscall.SIGKILL)
		in.plan.MemoryMB, in.plan.MaxFDs, in.plan.Contracts = mb, m.files, contracts
		if err := in.start(); err != nil {
			t.Fatal(err)
		}
		pid, _ := in.pid()
		limit := &unix.Rlimit{Cur: uint64(m.files), Max: uint64(m.files)}
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), readyWithin)
	defer cancel()
	for !f.entries[0].ready() {
		if !wait.For(ctx, holdTick) {
			t.Fatal("the entry instance is not ready")
		}
	}
	for !f.answersOperator(ctx, f.control[0]) {
		if !wait.For(ctx, holdTick) {
			t.Fatal("the control instance does not answer")
		}
	}
	return f
}

// answersConsumer sends an ordinary request to an entry instance, on a new connection, and reports whether it is served.
func (f *fleet) answersConsumer(ctx context.Context, e *instance, id string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	status, err := standin.Probe(ctx, client, e.plan.ConsumerAddress, host, firstRoute+"x", id)
	return err == nil && status == http.StatusOK
}

// answersOperator sends a read of the configuration to a control instance, on a new connection, and reports whether it is answered.
func (f *fleet) answersOperator(ctx context.Context, c *instance) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.plan.OperatorAddress+"/v1/config/read", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// checkCrowd has a crowd send to an instance, while it stays and once it has gone, an ordinary request must be answered. The process must live,
// within its memory and descriptors.
func checkCrowd(t *testing.T, f *fleet, in *instance, x *crowd.Crowd, begun bool, ordinary func(ctx context.Context, n int) bool) {
	t.Helper()
	pid, ok := in.pid()
	if !ok {
		t.Fatal("the process does not run")
	}
	life := in.life()
	p := &crowd.Footprint{PID: pid, Address: x.Address}
	done := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() { p.Loop(done) })
	x.Run()
	asked := 0
	answered := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), crowdWait)
		defer cancel()
		for {
			asked++
			if ordinary(ctx, asked) {
				return true
			}
			if !wait.For(ctx, holdTick) {
				return false
			}
		}
	}
	if !answered() {
		t.Error("no ordinary request is answered while the crowd stays")
	}
	checkAnswers(t, f, x, begun)
	x.Leave()
	if !answered() {
		t.Error("no ordinary request is answered once the crowd has gone")
	}
	close(done)
	sampling.Wait()
	peak, err := peakKB(pid)
	if err != nil || in.failed() || in.life() != life {
		t.Errorf("the process has ended: %v %v", err, in.failures())
	}
	most := p.Most()
	t.Logf("%s: peak %d MB; with %d MB unread %d MB of %d; %d descriptors; asked %d times", in.plan.Instance, peak>>10, most.Unread>>20, most.Memory>>20, in.plan.MemoryMB, most.Files, asked)
	if peak > in.plan.MemoryMB<<10 || most.Memory > int64(in.plan.MemoryMB)<<20 {
		t.Errorf("%s has held %d MB, and %d MB with what was unread; its machine has %d MB", in.plan.Instance, peak>>10, most.Memory>>20, in.plan.MemoryMB)
	}
	if most.Files > in.plan.MaxFDs {
		t.Errorf("%s had %d descriptors open, of %d", in.plan.Instance, most.Files, in.plan.MaxFDs)
	}
}

// checkConsumers is checkCrowd for clients of the first entry instance.
func checkConsumers(t *testing.T, clients int, send func(c net.Conn, id string)) {
	t.Helper()
	checkConsumersBehind(t, clients, false, send)
}

// checkConsumersBehind is checkConsumers for clients that may send whole requests first.
func checkConsumersBehind(t *testing.T, clients int, begun bool, send func(c net.Conn, id string), contracts ...string) {
	t.Helper()
	checkMachine(t, smallestMachine, clients, begun, send, contracts...)
}

// checkMachine is checkConsumersBehind for an instance on a given machine.
func checkMachine(t *testing.T, m crowdMachine, clients int, begun bool, send func(c net.Conn, id string), contracts ...string) {
	t.Helper()
	f := crowdFleet(t, m, contracts...)
	e := f.entries[0]
	x := &crowd.Crowd{Clients: clients, Send: send, Address: e.plan.ConsumerAddress}
	checkCrowd(t, f, e, x, begun, func(ctx context.Context, n int) bool { return f.answersConsumer(ctx, e, fmt.Sprint("ordinary-", n)) })
}

// checkOperators is checkCrowd for clients of the first control instance.
func checkOperators(t *testing.T, clients int, send func(c net.Conn, id string)) {
	t.Helper()
	f := crowdFleet(t, smallestMachine)
	c := f.control[0]
	x := &crowd.Crowd{Clients: clients, Send: send, Address: c.plan.OperatorAddress}
	checkCrowd(t, f, c, x, false, func(ctx context.Context, _ int) bool { return f.answersOperator(ctx, c) })
}

// documentHead is the head of an operator's request.
func documentHead(framing string) string {
	return "POST /v1/config/replace HTTP/1.1\r\nHost: " + host + "\r\n" + framing + "\r\n\r\n"
}

var (
	manyBody  = strings.Repeat("x", manyBytes)
	largeBody = strings.Repeat("x", largeBodyBytes)
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

// TestCrowdOfDocuments guards against a control instance that runs out of memory over documents that stop just short of their end.
func TestCrowdOfDocuments(t *testing.T) {
	checkOperators(t, manyClients, func(c net.Conn, _ string) {
		io.WriteString(c, documentHead(lengthFraming(manyBytes))+manyBody[1:])
	})
}

// TestCrowdOfAnnouncedDocuments guards against the same with documents far over the limit that are announced.
func TestCrowdOfAnnouncedDocuments(t *testing.T) {
	checkOperators(t, fewClients, func(c net.Conn, _ string) {
		io.WriteString(c, documentHead(lengthFraming(4<<30))+largeBody)
	})
}

// TestCrowdOfDocumentHeads guards against the same with heads of operators' requests.
func TestCrowdOfDocumentHeads(t *testing.T) {
	checkOperators(t, manyClients, func(c net.Conn, _ string) {
		io.WriteString(c, "GET /v1/config/read HTTP/1.1\r\nHost: "+host+"\r\nX-Long: "+manyBody[:60_000])
	})
}

// TestCrowdOfReadersOfAConfiguration guards against a control instance that operators can't reach, or that runs out of memory, over clients
// that ask for the configuration and never read it.
func TestCrowdOfReadersOfAConfiguration(t *testing.T) {
	f := crowdFleet(t, smallestMachine)
	c := f.control[0]
	f.operator.Extend = func(document []byte) ([]byte, error) {
		return append([]byte(`{"padding":"`+strings.Repeat("x", 12<<20)+`",`), bytes.TrimPrefix(document, []byte("{"))...), nil
	}
	if err := f.deploy(t.Context()); err != nil {
		t.Fatal(err)
	}
	// One after another, so that each gets an answer.
	x := &crowd.Crowd{Clients: fewClients, Address: c.plan.OperatorAddress, Pause: 20 * time.Millisecond, Send: func(c net.Conn, _ string) {
		// The system takes no more of it than a few bytes.
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Error(err)
		}
		io.WriteString(c, "GET /v1/config/read HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
	}}
	checkCrowd(t, f, c, x, true, func(ctx context.Context, _ int) bool { return f.answersOperator(ctx, c) })
}

// TestCrowdOfProbes guards against an entry instance that runs out of memory or descriptors over heads at the port of the load balancer.
func TestCrowdOfProbes(t *testing.T) {
	f := crowdFleet(t, smallestMachine)
	e := f.entries[0]
	x := &crowd.Crowd{Clients: manyClients, Address: e.plan.ReadyAddress, Send: func(c net.Conn, _ string) {
		io.WriteString(c, "GET /v1/readyz HTTP/1.1\r\nHost: "+host+"\r\nX-Long: "+manyBody[:60_000])
	}}
	checkCrowd(t, f, e, x, false, func(ctx context.Context, n int) bool {
		return e.ready() && f.answersConsumer(ctx, e, fmt.Sprint("ordinary-", n))
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
